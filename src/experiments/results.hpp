// What experiments came to, in one SQLite file: an interrupted sweep goes on where it stopped, and reports
// are made from it later.
#pragma once

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "emulator/result.hpp"

namespace thornwick::experiments {

// One cell of a grid: what was set, and who decided.
struct Point {
  std::string scenario;  // its name
  std::string settings;  // "fleet.replicas=48 day.load=0.6", in the grid's order; empty: as the file has it
  std::string policy;
  bool operator==(const Point&) const = default;
};

struct Row {
  Point point;
  std::uint64_t seed = 0;
  double score = 0, in_time = 0, kept = 0, rejected = 0, attempts = 0;  // shares, and attempts for each turn
  double module_us = 0, requests_per_s = 0;                             // of the run; 0 where not measured
  std::uint64_t turns = 0, rules = 0;
  std::string json;  // everything; of the first days only
};
Row summarise(const Point& point, const emulator::Result& result, bool whole);

class Results {
 public:
  // Makes the file if there is none. Throws std::runtime_error with one line if it is no such file, is of a
  // newer version, or cannot be written.
  explicit Results(const std::string& path);
  ~Results();

  // `key` says what was played: rows of another text of the same scenario are other rows.
  bool has(const std::string& key, std::uint64_t seed) const;
  void add(const std::string& key, const Row& row);
  std::vector<Row> of(const std::string& key) const;  // by seed
  std::vector<Row> all() const;                       // by the order in which their points came, then by seed

 private:
  struct File;
  std::unique_ptr<File> file_;
};

}  // namespace thornwick::experiments
