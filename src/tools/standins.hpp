// `thornwick boxes`: stand-ins for replicas and discovery on loopback (docs/experiments.md).
#pragma once

#include <CLI/CLI.hpp>
#include <cstddef>

namespace thornwick::tools {

// The limit of descriptors for commands with stand-ins.
inline constexpr std::size_t kStandinDescriptors = 4000;

// The command sets `status` to its exit status.
CLI::App* add_standins(CLI::App& app, int& status);

}  // namespace thornwick::tools
