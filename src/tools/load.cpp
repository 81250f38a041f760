#include "tools/load.hpp"

#include <fmt/format.h>

#include <memory>
#include <string>
#include <vector>

#include "emulator/day.hpp"
#include "testbed/load.hpp"
#include "tools/command_error.hpp"
#include "tools/main_loop.hpp"
#include "tools/standins.hpp"
#include "tools/trace_file.hpp"

namespace thornwick::tools {
namespace {

struct LoadOptions {
  std::string scenario;
  std::string trace;        // path of a trace to replay instead of the scenario's day; empty: none
  std::string write_trace;  // path of a trace to write; empty: none is written
  std::vector<std::string> routers;
  std::string dialect = "platform";
  std::uint64_t seed = 1;
  std::size_t connections = 800;
  bool json = false;
};

void print_result(const testbed::Load& load) {
  const auto& result = load.result();
  fmt::print("score {:.4f}  in time {:.4f}  kept {:.3f}  requests {}  tries {}\n", result.score,
             result.total_weight.share(), result.cached_share(), result.turns, result.tries);
  fmt::print("{:<12} {:>8} {:>8} {:>8} {:>9} {:>9} {:>9} {:>9}\n", "class", "requests", "served", "in time",
             "p50 ms", "p90 ms", "p99 ms", "p999 ms");
  for (const auto& priority_class : result.classes) {
    const auto quantile_ms = [&priority_class](double quantile) {
      return priority_class.first_token_us.quantile(quantile) / 1000;
    };
    fmt::print("{:<12} {:>8} {:>8} {:>8} {:>9.1f} {:>9.1f} {:>9.1f} {:>9.1f}\n", priority_class.name,
               priority_class.turns, priority_class.served, priority_class.in_time, quantile_ms(0.5),
               quantile_ms(0.9), quantile_ms(0.99), quantile_ms(0.999));
  }
  const auto& metrics = load.metrics();
  fmt::print("without a connection {}, unanswered {}, sent 10 ms late or more {}\n", metrics.no_connection,
             metrics.unanswered, metrics.late_starts);
}

std::vector<emulator::PlannedRequest> requests_of(const LoadOptions& options,
                                                  const emulator::Scenario& scenario) {
  if (options.trace.empty()) return emulator::planned_requests(scenario, options.seed);
  return read_trace(options.trace, scenario);
}

int send_load(const LoadOptions& options, testbed::LoadOptions load_options) {
  load_options.routers = options.routers;
  load_options.dialect = options.dialect;
  load_options.seed = options.seed;
  load_options.max_connections = options.connections;
  testbed::Load load(std::move(load_options));
  const MainLoop loop = make_main_loop();
  quit_on_stop_signals(loop.get());
  load.start([&loop] { g_main_loop_quit(loop.get()); });
  g_main_loop_run(loop.get());
  if (options.json) {
    fmt::print("{}\n", emulator::to_json(load.result(), emulator::Costs::excluded));
  } else {
    print_result(load);
  }
  return load.metrics().unanswered == 0 ? 0 : 1;
}

int run_load(const LoadOptions& options) {
  net::descriptors().limit = kStandinDescriptors;
  testbed::LoadOptions load_options;
  load_options.scenario = emulator::read_scenario(options.scenario);
  load_options.requests = requests_of(options, load_options.scenario);
  if (!options.write_trace.empty()) {
    write_trace(options.write_trace, load_options.requests);
    if (options.routers.empty()) return 0;
  }
  if (options.routers.empty()) throw UsageError("load: --router ADDRESS is needed");
  return send_load(options, std::move(load_options));
}

}  // namespace

CLI::App* add_load(CLI::App& app, int& status) {
  auto options = std::make_shared<LoadOptions>();
  auto* command = app.add_subcommand("load", "open-loop clients of a scenario's day or of a recorded trace");
  command->add_option("SCENARIO", options->scenario, "classes, members, and how clients behave")->required();
  command->add_option("--router", options->routers, "addresses; several are taken in turn");
  command->add_option("--dialect", options->dialect, "what the clients speak")
      ->check(CLI::IsMember({"platform", "messages"}))
      ->capture_default_str();
  command->add_option("--seed", options->seed, "of the day")->capture_default_str();
  command->add_option("--trace", options->trace, "requests from this file instead (JSON lines)")
      ->check(CLI::ExistingFile);
  command->add_option("--write-trace", options->write_trace,
                      "write the day's requests there; alone, nothing is sent");
  command->add_option("--connections", options->connections, "at the most")
      ->check(CLI::Range(1, 3000))
      ->capture_default_str();
  command->add_flag("--json", options->json, "the result as one JSON object, as `lab run --json` has it");
  command->callback([options, &status] { status = run_load(*options); });
  return command;
}

}  // namespace thornwick::tools
