// Implements the program's command line: global options, and the sub-commands of src/tools and
// src/experiments.
#include <CLI/CLI.hpp>
#include <algorithm>
#include <csignal>
#include <functional>
#include <iostream>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include "config/config.hpp"
#include "experiments/command.hpp"
#include "logging/log.hpp"
#include "node/config_validation.hpp"
#include "tools/budgets.hpp"
#include "tools/command_error.hpp"
#include "tools/group.hpp"
#include "tools/load.hpp"
#include "tools/models.hpp"
#include "tools/replication.hpp"
#include "tools/serve.hpp"
#include "tools/standins.hpp"
#include "tools/store.hpp"

namespace thornwick {
namespace {

constexpr std::string_view kVersion = "0.3.0";

constexpr std::string_view kFooter =
    "SIGHUP reads the configuration again; SIGUSR1 prints the counters; SIGTERM lets the router finish what\n"
    "it has and end.";

// Returns the names of the log levels, in the order of logging::Level.
const std::vector<std::string>& level_names() {
  static const std::vector<std::string> names = {"debug", "info", "warning", "error"};
  return names;
}

logging::Level level_named(const std::string& name) {
  const auto& names = level_names();
  return static_cast<logging::Level>(std::find(names.begin(), names.end(), name) - names.begin());
}

struct GlobalOptions {
  tools::ServeOptions files;
  std::string log_level = "info";
  std::string log_format = "text";
};

// The sub-commands that run() itself implements, except `serve`, which is also the default. All other
// sub-commands run in callbacks while the command line is parsed.
struct BuiltinCommands {
  CLI::App* check_config = nullptr;
  CLI::App* version = nullptr;
  CLI::App* help = nullptr;
};

void add_global_options(CLI::App& app, GlobalOptions& options) {
  app.add_option("-c,--config", options.files.config, "the platform's configuration, instead of $GW_CONFIG")
      ->type_name("FILE");
  app.add_option("-o,--operator", options.files.operator_file,
                 "the operator's file: all that is not the platform's")
      ->type_name("FILE");
  app.add_option("-l,--log-level", options.log_level, "debug, info, warning or error")
      ->check(CLI::IsMember(level_names()))
      ->capture_default_str();
  app.add_option("--log-format", options.log_format, "text, or json: one object a line, fields named")
      ->check(CLI::IsMember({"text", "json"}))
      ->capture_default_str();
}

BuiltinCommands add_builtin_commands(CLI::App& app) {
  BuiltinCommands commands;
  commands.check_config =
      app.add_subcommand("check-config", "read the configuration, say what is wrong with it, and end");
  commands.version = app.add_subcommand("version", "print the version");
  commands.help = app.add_subcommand("help", "print this page");
  app.add_subcommand("serve", "route until stopped (the default)");
  return commands;
}

// Adds the sub-commands of src/tools and src/experiments. The sub-command that runs sets `status` to its exit
// status.
std::vector<CLI::App*> add_tools(CLI::App& app, const GlobalOptions& options, int& status) {
  const std::string& operator_file = options.files.operator_file;
  std::vector<CLI::App*> commands = tools::add_store_commands(app, status);
  commands.push_back(tools::add_standins(app, status));
  commands.push_back(tools::add_load(app, status));
  commands.push_back(experiments::add_command(app, status));
  commands.push_back(tools::add_group(app, status, operator_file));
  commands.push_back(tools::add_copies(app, status, operator_file));
  commands.push_back(tools::add_models(app, status));
  commands.push_back(tools::add_budgets(app, status));
  return commands;
}

void set_up_logging(const GlobalOptions& options) {
  logging::set_threshold(level_named(options.log_level));
  logging::set_format(options.log_format == "json" ? logging::Format::json : logging::Format::text);
}

int run(int argc, char** argv) {
  CLI::App app("thornwick: a request router for language-model boxes", "thornwick");
  app.footer(std::string(kFooter));
  app.set_version_flag("-v,--version", "thornwick " + std::string(kVersion));
  app.require_subcommand(0, 1);
  app.fallthrough();
  GlobalOptions options;
  int status = 0;
  add_global_options(app, options);
  const BuiltinCommands builtin = add_builtin_commands(app);
  const std::vector<CLI::App*> tool_commands = add_tools(app, options, status);
  // The help page is made before parsing, because afterwards it would be the page of the sub-command that
  // ran.
  const std::string help = app.help();
  try {
    app.parse(argc, argv);
  } catch (const CLI::ParseError& error) {
    return app.exit(error) == 0 ? 0 : static_cast<int>(tools::ExitStatus::usage_error);
  }
  set_up_logging(options);
  if (builtin.help->parsed()) {
    std::cout << help;
  } else if (builtin.version->parsed()) {
    std::cout << "thornwick " << kVersion << '\n';
  } else if (builtin.check_config->parsed()) {
    node::check_config(config::read_config(options.files.config, options.files.operator_file));
    std::cout << "the configuration is good\n";
  } else if (std::none_of(tool_commands.begin(), tool_commands.end(),
                          [](const CLI::App* command) { return command->parsed(); })) {
    tools::serve(options.files);
  }
  return status;
}

// Prints the error and returns the exit status of the program.
int fail(const std::exception& error, tools::ExitStatus status) {
  std::cerr << "thornwick: " << error.what() << '\n';
  return static_cast<int>(status);
}

}  // namespace
}  // namespace thornwick

int main(int argc, char** argv) {
  std::signal(SIGPIPE, SIG_IGN);
  std::signal(SIGHUP, SIG_IGN);  // ignored until a router runs, which reloads its configuration at SIGHUP
  try {
    return thornwick::run(argc, argv);
  } catch (const thornwick::tools::CommandError& error) {
    return thornwick::fail(error, error.status());
  } catch (const std::exception& error) {
    return thornwick::fail(error, thornwick::tools::ExitStatus::usage_error);
  }
}
