#include "tools/running_router.hpp"

#include <fmt/format.h>
#include <unistd.h>

#include <memory>

#include "config/operator_file.hpp"
#include "net/unix_socket.hpp"
#include "node/identity.hpp"
#include "tools/command_error.hpp"

namespace thornwick::tools {
namespace {

constexpr Time kOutcomeTimeout = seconds(20);
constexpr Time kAnswerTimeout = seconds(3);
constexpr Time kStatusTimeout = seconds(5);
constexpr Time kPollInterval = milliseconds(50);  // time between two requests for the outcome

struct StatusOptions {
  std::string socket;
  bool json = false;
};

int print_status(const StatusOptions& options, const std::string& parent_name, const std::string& call,
                 const std::string& operator_file) {
  const std::string path =
      options.socket.empty() ? config::read_operator_file(operator_file).group.status_socket : options.socket;
  if (path.empty()) {
    throw UsageError(parent_name +
                     " status: name the socket, or an operator's file (-o) that has group.status");
  }
  fmt::print("{}", net::call_unix_socket(path, options.json ? call + " JSON" : call, kStatusTimeout));
  return 0;
}

// Sends the command and asks for its outcome until it is decided or kOutcomeTimeout has passed. Returns the
// router's last answer: the outcome, or `+OK pending`.
std::string wait_for_outcome(const std::string& socket, const RouterCommand& command, std::uint64_t id) {
  std::string answer = net::call_unix_socket(
      socket, fmt::format("{} {} {}", command.name, id, command.arguments), kAnswerTimeout);
  const Time deadline = net::now_us() + kOutcomeTimeout;
  while (answer.starts_with("+OK pending") && net::now_us() < deadline) {
    answer = net::call_unix_socket(socket, fmt::format("CORRECTION {}", id), kAnswerTimeout);
    usleep(static_cast<useconds_t>(kPollInterval));
  }
  return answer;
}

}  // namespace

void add_status(CLI::App& parent, const StatusCommand& status_command, int& status,
                const std::string& operator_file) {
  auto options = std::make_shared<StatusOptions>();
  auto* command = parent.add_subcommand("status", status_command.description);
  command->add_option("SOCKET", options->socket,
                      "the router's group.status; without it, that of the operator's file (-o)");
  command->add_flag("--json", options->json, "one JSON object");
  command->callback([options, parent_name = parent.get_name(), call = status_command.call, &status,
                     &operator_file] { status = print_status(*options, parent_name, call, operator_file); });
}

int run_command(const std::string& socket, const RouterCommand& command) {
  const std::uint64_t id = command.id != 0 ? command.id : node::random_number() | 1;
  const std::string answer = wait_for_outcome(socket, command, id);
  if (answer.starts_with("+OK yes")) {
    fmt::print("yes (id {})\n", id);
    return 0;
  }
  const std::string first_line = answer.substr(0, answer.find('\n'));
  const auto status = answer.starts_with("-ERR no:") ? ExitStatus::failure : ExitStatus::outcome_unknown;
  throw CommandError(status, fmt::format("{} (id {})", answer.empty() ? "no answer" : first_line, id));
}

}  // namespace thornwick::tools
