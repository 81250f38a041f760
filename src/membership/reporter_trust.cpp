#include "membership/reporter_trust.hpp"

namespace thornwick::membership {
namespace {

// A reporter's allowance of contradictions is refilled completely within this many periods. A reporter that
// has used up the allowance is distrusted for the same time.
constexpr int kAllowancePeriods = 30;

}  // namespace

bool is_trusted(const SwimState& state, Time now, std::size_t reporter) {
  return now >= state.members[reporter].distrusted_until;
}

void note_contradiction(SwimState& state, Time now, std::size_t member, std::size_t reporter) {
  MemberRecord& suspected = state.members[member];
  if (suspected.contradicted_incarnation == suspected.view.incarnation) return;
  suspected.contradicted_incarnation = suspected.view.incarnation;
  ++state.metrics.contradicted_suspicions;
  MemberRecord& record = state.members[reporter];
  const Time interval = kAllowancePeriods * state.options.period;
  record.contradiction_allowance.refill(now, {kMaxContradictions, interval, kMaxContradictions});
  record.contradiction_allowance.spend();
  if (record.contradiction_allowance.tokens() >= 0) return;
  record.distrusted_until = now + interval;
  state.report(reporter, "its claims about others were false too often, and are ignored for a while",
               Severity::warning);
}

}  // namespace thornwick::membership
