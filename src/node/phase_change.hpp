// The reasons for which a router's lifecycle enters another phase.
#pragma once

#include <string_view>

namespace thornwick::node {

enum class PhaseChange {
  leave_command,        // operators called LEAVE
  join_command,         // operators called JOIN
  shutdown,             // the process was asked to shut down
  predecessor_drained,  // the predecessor of a handover was drained, and so is this process
  successor_serving,    // the successor of a handover serves
  successor_lost,       // the successor of a handover has exited
};

// Returns the text of the reason for log lines.
constexpr std::string_view to_string(PhaseChange reason) {
  switch (reason) {
    case PhaseChange::leave_command: return "LEAVE was called";
    case PhaseChange::join_command: return "JOIN was called";
    case PhaseChange::shutdown: return "shutdown requested";
    case PhaseChange::predecessor_drained: return "the predecessor was drained";
    case PhaseChange::successor_serving: return "a successor serves";
    case PhaseChange::successor_lost: break;
  }
  return "the successor has exited";
}

}  // namespace thornwick::node
