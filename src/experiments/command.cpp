#include "experiments/command.hpp"

#include "experiments/grid_commands.hpp"
#include "experiments/run_command.hpp"
#include "experiments/theory_command.hpp"

namespace thornwick::experiments {

CLI::App* add_command(CLI::App& app, int& status) {
  auto* lab =
      app.add_subcommand("lab", "play emulated days around the real core and module")->require_subcommand(1);
  add_run_command(*lab, status);
  add_grid_commands(*lab, status);
  add_theory_command(*lab, status);
  return lab;
}

}  // namespace thornwick::experiments
