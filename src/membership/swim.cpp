#include "membership/swim.hpp"

#include "membership/claim_handler.hpp"
#include "membership/failure_detector.hpp"
#include "membership/group_evaluation.hpp"
#include "membership/identity_tracker.hpp"
#include "membership/message_handler.hpp"
#include "membership/probe_rounds.hpp"
#include "membership/probe_schedule.hpp"
#include "membership/suspension.hpp"

namespace thornwick::membership {
namespace {

constexpr double kFirstProbePeriodDivisor = 4;  // the first probe is sent within a quarter of a period

}  // namespace

Swim::Swim(std::shared_ptr<const Roster> roster, std::size_t self, Identity identity, Options options,
           std::uint64_t seed, Time now)
    : state_(std::move(roster), self, options, seed, now) {
  MemberView& local = state_.local().view;
  local.state = MemberState::alive;
  local.identity = identity;
  local.incarnation = first_incarnation(identity.start_number);
  if (identity.start_number > 1) local.recovery = RecoveryState::same_disk;
  const double delay = state_.random.unit() * static_cast<double>(options.period) / kFirstProbePeriodDivisor;
  state_.probes.next_probe_at = now + static_cast<Time>(delay);
  state_.probes.last_number = static_cast<std::uint32_t>(state_.random.draw());
  state_.announce(self);
  GroupEvaluation group(state_, now);
  group.refresh();
  group.update_confidence();
}

Time Swim::next_tick() const { return ProbeSchedule::next_due(state_); }

void Swim::tick(Time now) {
  check_suspension(state_, now);
  GroupEvaluation group(state_, now);
  FailureDetector detector(state_, now);
  ProbeSchedule schedule(state_, now);
  detector.process_rounds();
  group.refresh();
  // Members are set to failed after all rounds were processed, so that every result of this tick counts.
  detector.apply_pending_failures();
  schedule.probe_doubted();
  IdentityTracker(state_, now).expire_conflicts();
  schedule.probe_expedited();
  schedule.probe_ordinary();
  group.refresh();
}

void Swim::on_message(Time now, std::span<const std::uint8_t> bytes) {
  check_suspension(state_, now);
  MessageHandler(state_, now).handle(bytes);
}

void Swim::on_claims(Time now, std::size_t reporter, const std::vector<Claim>& claims) {
  check_suspension(state_, now);
  ClaimHandler handler(state_, now);
  for (const auto& claim : claims) handler.accept(claim, reporter);
  GroupEvaluation(state_, now).refresh();
}

void Swim::leave(Time now) {
  check_suspension(state_, now);
  if (state_.leaving) return;
  state_.leaving = true;
  state_.local().view.state = MemberState::leaving;
  state_.announce(state_.self);
  ProbeRounds(state_, now).probe_at_random(kWideProbe);
}

std::vector<Claim> Swim::claims() const {
  std::vector<Claim> claims;
  for (std::size_t i = 0; i < state_.members.size(); ++i) {
    const Claim claim = state_.claim_of(i);
    if (claim.incarnation > 0 && state_.may_pass_on(claim)) claims.push_back(claim);
  }
  return claims;
}

}  // namespace thornwick::membership
