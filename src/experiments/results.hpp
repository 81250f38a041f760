// The results of experiments in one SQLite file, so that an interrupted sweep continues where it stopped and
// reports can be made later.
#pragma once

#include <cstdint>
#include <memory>
#include <string>
#include <vector>

#include "emulator/result.hpp"

namespace thornwick::experiments {

// One cell of a grid: the scenario, its settings and the policy.
struct GridPoint {
  std::string scenario;  // name of the scenario
  std::string settings;  // "fleet.boxes=48 day.load=0.6", in the grid's order; empty: the file's settings
  std::string policy;

  bool operator==(const GridPoint&) const = default;
};

// The results of one day.
struct ResultRow {
  GridPoint point;
  std::uint64_t seed = 0;
  double score = 0;
  double in_time_share = 0;      // earned share of the requested priority weight
  double cached_share = 0;       // share of the prompt tokens that was found in caches
  double rejected_share = 0;     // share of the requests that was rejected
  double attempts_per_turn = 0;  // a turn is one request of a session, with its retries
  double decision_us = 0;        // policy's time for each turn in microseconds; 0 if not measured
  double requests_per_s = 0;     // emulated requests per second of run time; 0 if not measured
  std::uint64_t turns = 0;
  std::uint64_t rules_broken = 0;
  std::string json;  // the complete result, only of the first day of each cell
};

enum class Detail { figures, whole_result };
ResultRow summarise(const GridPoint& point, const emulator::Result& result, Detail detail);

class Results {
 public:
  // Opens or creates the file. Throws ExperimentError(results_file) with one line if it is not a results
  // file, if a newer version wrote it, or if it cannot be written.
  explicit Results(const std::string& path);
  ~Results();

  // `key` identifies a cell. Another text of the same scenario has another key.
  bool has(const std::string& key, std::uint64_t seed) const;
  void add(const std::string& key, const ResultRow& row);
  std::vector<ResultRow> rows_of(const std::string& key) const;  // in the order of the seeds
  std::vector<ResultRow> all_rows() const;  // in the order in which their points were added, then by seed

 private:
  struct File;
  std::unique_ptr<File> file_;
};

}  // namespace thornwick::experiments
