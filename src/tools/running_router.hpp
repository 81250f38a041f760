// Sends commands to the Unix socket of a running router (group.status of the operator's file).
#pragma once

#include <CLI/CLI.hpp>
#include <cstdint>
#include <string>

namespace thornwick::tools {

struct StatusCommand {
  std::string description;  // for the help page
  std::string call;         // the line to send; " JSON" is appended to request an answer in JSON
};
// Adds a sub-command `status` that prints the router's answer, as text or JSON, and sets `status` to the exit
// status. `operator_file` is the path of the operator's file; the reference is read after the command line is
// parsed.
void add_status(CLI::App& parent, const StatusCommand& status_command, int& status,
                const std::string& operator_file);

// A command of node/replication_commands.hpp with an id: GRANT, SET or REPLACE.
struct RouterCommand {
  std::string name;
  std::uint64_t id = 0;  // 0: a random id is used
  std::string arguments;
};
// Sends the command, waits at most 20 seconds for its outcome, and prints the outcome. Returns the exit
// status of a command that was carried out. Throws CommandError: `failure` if the router has rejected the
// command; `outcome_unknown` if no outcome arrived in time, in which case the command can be repeated with
// the same id without being carried out twice. Throws net::NetError if no router answers.
int run_command(const std::string& socket, const RouterCommand& command);

}  // namespace thornwick::tools
