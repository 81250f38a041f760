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
  const bool done = lifecycle_.begin_drain(net::now_us());
  if (done) callbacks_.phase_changed("LEAVE was called");
  return phase_answer(done);
}

std::string AdminCommands::join() {
  const bool done = lifecycle_.end_drain();
  if (done) callbacks_.phase_changed("JOIN was called");
  return phase_answer(done);
}

std::string AdminCommands::phase_answer(bool success) const {
  return (success ? "+OK " : "-ERR ") + std::string(lifecycle::name_of(lifecycle_.phase())) + "\n";
}

}  // namespace thornwick::node
