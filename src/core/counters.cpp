#include "core/counters.hpp"

namespace thornwick::core {

void Counters::count(CompletionStatus status) {
  switch (status) {
    case CompletionStatus::served: ++served; break;
    case CompletionStatus::rejected: ++rejected; break;
    case CompletionStatus::failed: ++failed; break;
    case CompletionStatus::timed_out: ++timed_out; break;
    case CompletionStatus::interrupted: ++interrupted; break;
    case CompletionStatus::client_disconnected: ++client_disconnected; break;
  }
}

}  // namespace thornwick::core
