#include "membership/reporter_trust.hpp"

namespace thornwick::membership {
namespace {

// A reporter's credit is renewed completely within this many periods. A reporter that has used up its credit
// is distrusted for as long.
constexpr int kCreditPeriods = 30;

}  // namespace

bool is_trusted(const SwimState& state, Time now, std::size_t reporter) {
  return now >= state.members[reporter].distrusted_until;
}

void note_contradiction(SwimState& state, Time now, std::size_t member, std::size_t reporter) {
  MemberRecord& accused = state.members[member];
  if (accused.contradicted_incarnation == accused.view.incarnation) return;
  accused.contradicted_incarnation = accused.view.incarnation;
  ++state.metrics.contradicted_suspicions;
  MemberRecord& record = state.members[reporter];
  const Time interval = kCreditPeriods * state.options.period;
  record.credit.refill(now, {kMostContradictions, interval, kMostContradictions});
  record.credit.spend();
  if (record.credit.tokens() >= 0) return;
  record.distrusted_until = now + interval;
  state.report(reporter, "what it says of others was untrue too often, and is not believed for a while",
               Severity::warning);
}

}  // namespace thornwick::membership
