#include "membership/suspension.hpp"

#include <algorithm>
#include <limits>
#include <string>

#include "membership/failure_detector.hpp"
#include "membership/group_evaluation.hpp"
#include "membership/probe_rounds.hpp"

namespace thornwick::membership {
namespace {

constexpr Time kMinSuspension = seconds(1);  // after a shorter gap the process was only slow
constexpr int kMinSuspensionPeriods = 2;

void note_suspension(SwimState& state, Time gap) {
  constexpr Time kMaxSeconds = std::numeric_limits<std::uint16_t>::max();
  MemberView& local = state.local().view;
  ++state.metrics.suspensions;
  ++local.suspension_count;
  local.last_suspension_s = static_cast<std::uint16_t>(std::min<Time>(gap / seconds(1), kMaxSeconds));
}

// Ends all rounds and clears all doubts, because missing answers during the suspension are no evidence.
void discard_evidence(SwimState& state) {
  for (auto& round : state.probes.rounds) round.has_ended = true;
  for (auto& member : state.members) {
    member.is_being_probed = false;
    member.answered_since_reset = false;
    if (member.view.state == MemberState::failed) continue;
    member.failed_rounds = 0;
    member.doubted_since = 0;
  }
  state.condition.unanswered_in_a_row = 0;
  state.condition.stale = true;
  state.condition.view_is_reliable = false;
}

}  // namespace

void check_suspension(SwimState& state, Time now) {
  const Time gap = now - state.last_call_at;
  state.last_call_at = std::max(state.last_call_at, now);
  if (gap <= std::max(kMinSuspension, kMinSuspensionPeriods * state.options.period)) return;
  note_suspension(state, gap);
  discard_evidence(state);
  // Other routers may have suspected this process during the suspension. A higher incarnation refutes such
  // claims.
  state.refute(now, state.local().view.incarnation);
  state.report(state.self,
               "this process was suspended for " + std::to_string(state.local().view.last_suspension_s) +
                   " s: its view of the group is not reliable until others answer",
               Severity::warning);
  state.probes.next_probe_at = now;
  ProbeRounds(state, now).probe_at_random(kWideProbe);
  GroupEvaluation(state, now).refresh();
}

}  // namespace thornwick::membership
