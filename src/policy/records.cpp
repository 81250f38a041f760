#include "policy/records.hpp"

namespace thornwick {

Time latency_objective_of(const ClassSettings& request_class, const Request& request) {
  const auto per_1000 = static_cast<double>(request_class.latency_objective_per_1000_prompt_tokens);
  const double grown =
      request.prompt_tokens / 1000 * per_1000 + request_class.latency_objective_stretch * request.work_hint;
  return request_class.latency_objective + static_cast<Time>(grown);
}

bool is_failure(Outcome outcome) {
  return outcome == Outcome::error || outcome == Outcome::timed_out || outcome == Outcome::connect_failed ||
         outcome == Outcome::reset;
}

}  // namespace thornwick
