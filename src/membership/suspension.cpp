#include "membership/suspension.hpp"

#include <algorithm>
#include <limits>
#include <string>

#include "membership/failure_detector.hpp"
#include "membership/group_evaluation.hpp"
#include "membership/probe_rounds.hpp"

namespace thornwick::membership {
namespace {

constexpr Time kLeastSuspension = seconds(1);  // a shorter gap is only a slow process
constexpr int kLeastSuspensionPeriods = 2;

void note_suspension(SwimState& state, Time gap) {
  constexpr Time kMostSeconds = std::numeric_limits<std::uint16_t>::max();
  MemberView& own = state.own().view;
  ++state.metrics.suspensions;
  ++own.suspension_count;
  own.last_suspension_s = static_cast<std::uint16_t>(std::min<Time>(gap / seconds(1), kMostSeconds));
}

// Ends all rounds and doubts, because missing answers during the suspension are no evidence.
void discard_evidence(SwimState& state) {
  for (auto& round : state.probes.rounds) round.over = true;
  for (auto& member : state.members) {
    member.probing = false;
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
  if (gap <= std::max(kLeastSuspension, kLeastSuspensionPeriods * state.options.period)) return;
  note_suspension(state, gap);
  discard_evidence(state);
  // Other routers may have suspected this process meanwhile; a higher incarnation refutes every such claim.
  state.refute(now, state.own().view.incarnation);
  state.report(state.self,
               "this process stood still for " + std::to_string(state.own().view.last_suspension_s) +
                   " s: nothing is believed until others answer",
               Severity::warning);
  state.probes.next_probe_at = now;
  ProbeRounds(state, now).probe_at_random(kWideProbe);
  GroupEvaluation(state, now).refresh();
}

}  // namespace thornwick::membership
