#include "node/admin_commands.hpp"

#include "net/loop.hpp"

namespace thornwick::node {

std::string AdminCommands::answer(std::string_view line) {
  if (line == "HEALTH") return phase_answer(lifecycle_.can_serve(net::now_us()));
  if (line == "DUMP") return "+OK\n" + callbacks_.metrics() + ".\n";
  if (line == "LEAVE") return leave();
  if (line == "JOIN") return join();
  return {};
}

std::string AdminCommands::leave() {
  const bool success = lifecycle_.begin_drain(net::now_us());
  if (success) callbacks_.phase_changed(PhaseChange::leave_command);
  return phase_answer(success);
}

std::string AdminCommands::join() {
  const bool success = lifecycle_.end_drain();
  if (success) callbacks_.phase_changed(PhaseChange::join_command);
  return phase_answer(success);
}

std::string AdminCommands::phase_answer(bool success) const {
  return (success ? "+OK " : "-ERR ") + std::string(lifecycle::name_of(lifecycle_.phase())) + "\n";
}

}  // namespace thornwick::node
