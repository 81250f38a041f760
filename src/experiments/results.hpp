// The results of experiments in one SQLite file, so that an interrupted sweep continues where it stopped and
// reports can be made later.
#pragma once

#include <cstdint>
#include <memory>
#include <string>
#include <vector>

#include "emulator/result.hpp"

namespace thornwick::experiments {

// One cell of a grid: what was set, and which policy decided.
struct GridPoint {
  std::string scenario;  // its name
  std::string settings;  // "fleet.boxes=48 day.load=0.6", in the grid's order; empty: as the file has it
  std::string policy;

  bool operator==(const GridPoint&) const = default;
};

// One day that was played.
struct ResultRow {
  GridPoint point;
  std::uint64_t seed = 0;
  double score = 0;
  double in_time_share = 0;      // of the priority weight asked for
  double cached_share = 0;       // of the prompt tokens that were sent
  double rejected_share = 0;     // of the requests
  double attempts_per_turn = 0;  // a turn is one request of a session, with its retries
  double decision_us = 0;        // microseconds of the policy for each turn; 0 where not measured
  double requests_per_s = 0;     // of the machine's time; 0 where not measured
  std::uint64_t turns = 0;
  std::uint64_t rules_broken = 0;
  std::string json;  // the whole result; of the first days only
};

enum class Detail { figures, whole_result };
ResultRow summarise(const GridPoint& point, const emulator::Result& result, Detail detail);

class Results {
 public:
  // Opens the file, or makes it. Throws ExperimentError(results_file) with one line if it is not a results
  // file, if a newer version wrote it, or if it cannot be written.
  explicit Results(const std::string& path);
  ~Results();

  // `key` stands for what was played: the days of another text of the same scenario have another key.
  bool has(const std::string& key, std::uint64_t seed) const;
  void add(const std::string& key, const ResultRow& row);
  std::vector<ResultRow> rows_of(const std::string& key) const;  // by seed
  std::vector<ResultRow> all_rows() const;  // by the order in which their points came, then by seed

 private:
  struct File;
  std::unique_ptr<File> file_;
};

}  // namespace thornwick::experiments
