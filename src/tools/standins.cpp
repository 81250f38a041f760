#include "tools/standins.hpp"

#include <fmt/format.h>

#include <cstdio>
#include <fstream>
#include <memory>
#include <string>

#include "emulator/day.hpp"
#include "testbed/installation.hpp"
#include "tools/command_error.hpp"
#include "tools/main_loop.hpp"

namespace thornwick::tools {
namespace {

struct StandinOptions {
  std::string scenario;
  std::string config_out;  // path of the router's configuration to write; empty: none is written
  std::string discovery = "127.0.0.1:0";
  std::string listen = "127.0.0.1:8080";
  std::uint64_t seed = 1;
  double seconds = 0;
};

// Writes a new file and renames it to `path`, so that a process that waits for the file never reads an
// incomplete file.
void write_router_config(const std::string& path, const std::string& config) {
  const std::string temporary_path = path + ".new";
  std::ofstream(temporary_path) << config << '\n';
  if (std::rename(temporary_path.c_str(), path.c_str()) != 0) throw FileError(path, "cannot be written");
}

void print_addresses(const testbed::Installation& installation) {
  fmt::print("discovery {}\n", installation.discovery());
  for (const auto& [uid, address] : installation.replicas()) fmt::print("box {} {}\n", uid, address);
  std::fflush(stdout);
}

int run_standins(const StandinOptions& options) {
  net::descriptors().limit = kStandinDescriptors;
  testbed::InstallationOptions installation_options;
  installation_options.scenario = emulator::read_scenario(options.scenario);
  installation_options.seed = options.seed;
  installation_options.discovery = options.discovery;
  installation_options.router_listen = options.listen;
  testbed::Installation installation(installation_options);
  if (!options.config_out.empty()) write_router_config(options.config_out, installation.router_config());
  print_addresses(installation);
  installation.schedule_faults();
  const MainLoop loop = make_main_loop();
  quit_on_stop_signals(loop.get());
  net::Timer end;
  if (options.seconds > 0)
    end.start(static_cast<Time>(1e6 * options.seconds), [&loop] { g_main_loop_quit(loop.get()); });
  g_main_loop_run(loop.get());
  const auto& metrics = installation.metrics();
  fmt::print("asked {} full {} begun {} done {} cut off {}\n", metrics.requests, metrics.rejected,
             metrics.started, metrics.completed, metrics.disconnected);
  return 0;
}

}  // namespace

CLI::App* add_standins(CLI::App& app, int& status) {
  auto options = std::make_shared<StandinOptions>();
  auto* command =
      app.add_subcommand("boxes", "stand-in boxes and discovery of a scenario, in real time, on loopback");
  command->add_option("SCENARIO", options->scenario, "a scenario's file (TOML)")->required();
  command->add_option("--config-out", options->config_out, "write a router's configuration there");
  command->add_option("--discovery", options->discovery, "where discovery listens")->capture_default_str();
  command->add_option("--listen", options->listen, "where that configuration's router is to listen")
      ->capture_default_str();
  command->add_option("--seed", options->seed, "of the boxes and the troubles")->capture_default_str();
  command->add_option("--seconds", options->seconds, "end after so long; 0: when stopped")
      ->check(CLI::Range(0.0, 1e7));
  command->callback([options, &status] { status = run_standins(*options); });
  return command;
}

}  // namespace thornwick::tools
