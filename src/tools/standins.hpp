// `thornwick boxes`: stand-ins for replicas and discovery on loopback (docs/experiments.md).
#pragma once

#include <CLI/CLI.hpp>
#include <cstddef>

namespace thornwick::tools {

// Descriptors that commands with stand-ins may hold.
inline constexpr std::size_t kStandinDescriptors = 4000;

// `status` becomes the exit status.
CLI::App* add_standins(CLI::App& app, int& status);

}  // namespace thornwick::tools
