// The rule against duplicate effects in an emulated day, by what the replicas have run: the day knows that,
// and a router only knows what may have run.
#include <algorithm>

#include "emulator/day_simulation.hpp"

namespace thornwick::emulator {

// Returns whether the replica discards a repeat that is sent now, after an earlier attempt that was run.
bool DaySimulation::discards_repeat(const RequestClass& request_class, const Execution& earlier,
                                    std::uint32_t replica) const {
  if (request_class.effect != Effect::keyed) return request_class.effect == Effect::safe;
  if (static_cast<double>(now_ - earlier.sent_at) > 1000 * request_class.dedup_window_ms) return false;
  return request_class.dedup_scope == DedupScope::all ||
         replicas_[earlier.replica].zone == replicas_[replica].zone;
}

void DaySimulation::check_repeat(const ClientRequest& request, std::uint32_t replica) {
  const RequestClass& request_class = scenario_.classes[request.plan.class_index];
  const bool harmless =
      std::all_of(request.executions.begin(), request.executions.end(),
                  [&](const Execution& earlier) { return discards_repeat(request_class, earlier, replica); });
  if (!harmless) ++result_.violations.harmful_repeats;
}

void DaySimulation::check_rejection(const ClientRequest& request) {
  const RequestClass& request_class = scenario_.classes[request.plan.class_index];
  if (request.executions.empty() || request_class.effect == Effect::safe) return;
  const bool discarded_everywhere =
      request_class.effect == Effect::keyed && request_class.dedup_scope == DedupScope::all;
  if (!discarded_everywhere) ++result_.violations.harmful_rejections;
}

}  // namespace thornwick::emulator
