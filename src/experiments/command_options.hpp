// Options that several sub-commands of `thornwick lab` share.
#pragma once

#include <CLI/CLI.hpp>
#include <fstream>
#include <string>
#include <vector>

#include "emulator/baseline_policies.hpp"
#include "experiments/error.hpp"

namespace thornwick::experiments {

inline constexpr int kMaxDays = 100'000;
inline constexpr int kMaxThreads = 1024;

// Returns the names that --policy accepts: the baseline policies, then the routing policy ("module").
inline std::vector<std::string> policy_names() {
  std::vector<std::string> names = emulator::baseline_policy_names();
  names.emplace_back("module");
  return names;
}

inline void add_threads_option(CLI::App& command, unsigned& threads) {
  command.add_option("--threads", threads, "0: as many as there are cores")
      ->check(CLI::Range(0, kMaxThreads));
}

// Writes a page to a file. Throws ExperimentError(output_file) if the file cannot be written.
inline void write_page(const std::string& path, const std::string& page) {
  std::ofstream file(path);
  file << page;
  file.flush();
  if (!file) throw ExperimentError(ErrorKind::output_file, path + ": cannot be written");
}

}  // namespace thornwick::experiments
