// `thornwick boxes`: runs stand-ins for replicas and for discovery on loopback (docs/experiments.md).
#pragma once

#include <CLI/CLI.hpp>
#include <cstddef>

namespace thornwick::tools {

// The limit of net::descriptors() for commands that run stand-ins or clients.
inline constexpr std::size_t kStandinDescriptors = 4000;

// Adds the command, which sets `status` to its exit status.
CLI::App* add_standins(CLI::App& app, int& status);

}  // namespace thornwick::tools
