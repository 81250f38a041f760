#include "membership/failure_detector.hpp"

#include <algorithm>
#include <string>
#include <utility>

namespace thornwick::membership {
namespace {

constexpr std::uint32_t kMaxLostRounds = 4;  // failed rounds in a row that count as lost messages, at most
// Factor on the rounds until failure for a member that is reached through a helper: a probe and its answer
// then pass four links, and are lost more often.
constexpr std::uint32_t kIndirectFactor = 2;
// The number of this router's rounds that another member's suspicion replaces. One round is always needed.
constexpr std::uint32_t kRoundsPerSuspectingMember = 2;
// Periods without an answer before a member counts as failed, because the member may only be slow.
constexpr int kMinUnresponsivePeriods = 2;
// An answer of another member that is at most this many periods old shows that this router is not cut off.
constexpr int kRecentAnswerPeriods = 1;
constexpr std::uint32_t kRoundsUntilLeft = 2;  // for a member that announced its shutdown
// A round that is handled later after its deadline than a period divided by this number is no evidence
// against the member, because this process itself was too slow.
constexpr int kLateHandlingDivisor = 4;
constexpr double kRoundTripWeight = 8;  // a new sample counts an eighth, as in RFC 6298

// The loss rate towards a member: the member's rate, but at least the group's.
double loss_towards(const SwimState& state, const MemberRecord& member) {
  return std::max(state.loss.value(), member.loss.value());
}

std::string describe_failed_rounds(const MemberRecord& member) {
  return std::to_string(member.failed_rounds) + " rounds of probes without an answer";
}

}  // namespace

// Iterates by index, because a failed round may start others.
void FailureDetector::process_rounds() {
  rounds_.erase_old();
  for (std::size_t i = 0; i < state_.probes.rounds.size(); ++i) process_round(i);
}

void FailureDetector::process_round(std::size_t index) {
  ProbeRound& round = state_.probes.rounds[index];
  if (round.has_ended) return;
  if (now_ >= round.deadline) {
    round.has_ended = true;
    const ProbeRound failed = round;
    on_round_failed(failed);
  } else if (now_ >= round.next_stage_at) {
    rounds_.advance(round);
  }
}

void FailureDetector::on_round_failed(const ProbeRound& round) {
  MemberRecord& member = state_.members[round.member];
  member.is_being_probed = false;
  if (now_ > round.deadline + state_.options.period / kLateHandlingDivisor) return;
  ++state_.metrics.unanswered_rounds;
  const MemberState state = member.view.state;
  if (is_absent(state)) return;
  if (round.is_ordinary) on_ordinary_round_failed();
  if (member.failed_rounds == 0) member.doubted_since = round.started_at;
  ++member.failed_rounds;
  group_.mark_stale();
  if (state == MemberState::leaving) return on_leaving_member_unresponsive(round.member);
  if (state == MemberState::alive) suspect_if_unresponsive(round.member);
  fail_if_unresponsive(round.member);
}

void FailureDetector::on_ordinary_round_failed() {
  state_.health.worsen();
  ++state_.condition.unanswered_in_a_row;
  rounds_.probe_at_random(state_.condition.unanswered_in_a_row >= 2 ? kWideProbe : 1);
}

void FailureDetector::on_leaving_member_unresponsive(std::size_t member) {
  if (state_.members[member].failed_rounds < kRoundsUntilLeft) return;
  state_.members[member].failed_rounds = 0;
  group_.set_state(member, MemberState::left, "it announced its shutdown and no longer answers");
}

void FailureDetector::suspect_if_unresponsive(std::size_t member) {
  MemberRecord& record = state_.members[member];
  if (record.failed_rounds < rounds_until_suspicion(state_, loss_towards(state_, record))) return;
  group_.suspect(member, describe_failed_rounds(record));
  if (state_.condition.cut_off) return;
  ++state_.metrics.announced_suspicions;
  record.claim_kind = std::max(record.claim_kind, ClaimKind::suspected);
  state_.announce(member);
}

std::uint32_t FailureDetector::rounds_until_failure(const MemberRecord& member) const {
  const std::uint32_t unaided =
      state_.options.adaptive ? rounds_until(state_.options.failure_probability, loss_towards(state_, member))
                              : static_cast<std::uint32_t>(state_.options.rounds_until_failure);
  const std::uint32_t needed = state_.has_helper(member) ? kIndirectFactor * unaided : unaided;
  const auto replaced =
      kRoundsPerSuspectingMember * static_cast<std::uint32_t>(member.suspecting_members.size());
  return needed > replaced ? needed - replaced : 1;
}

bool FailureDetector::is_unresponsive(const MemberRecord& member) const {
  const bool long_enough = now_ - member.doubted_since >= kMinUnresponsivePeriods * state_.options.period;
  return long_enough && member.failed_rounds >= rounds_until_failure(member);
}

// Whether another member has answered recently. A router that gets no answers cannot know whether the
// unresponsive member or the router itself is cut off. An older answer does not count, even if it came after
// the doubt began, because it may be from before this router was cut off.
bool FailureDetector::another_answers(const MemberRecord& unresponsive) const {
  if (state_.members.size() == 2) return true;  // the group has no third member
  const Time recently = now_ - kRecentAnswerPeriods * state_.options.period;
  return state_.condition.last_answer_at >= std::max(unresponsive.doubted_since, recently);
}

void FailureDetector::fail_if_unresponsive(std::size_t member) {
  MemberRecord& record = state_.members[member];
  if (record.failed_rounds >= 2 * rounds_until_failure(record))
    record.next_round_at = now_ + state_.options.period;
  if (!is_unresponsive(record)) return;
  if (another_answers(record)) {
    state_.probes.pending_failures.push_back(member);
  } else {
    rounds_.probe_at_random(1);  // an answer to this probe calls fail_unresponsive_members()
  }
}

// Called when a member has answered, which shows that this router is not cut off: other members without
// answers may now count as failed.
void FailureDetector::fail_unresponsive_members() {
  group_.refresh();
  for (std::size_t i = 0; i < state_.members.size(); ++i) {
    const MemberRecord& member = state_.members[i];
    const bool may_fail =
        member.view.state == MemberState::alive || member.view.state == MemberState::suspected;
    if (may_fail && member.failed_rounds > 0 && is_unresponsive(member))
      state_.probes.pending_failures.push_back(i);
  }
  apply_pending_failures();
}

void FailureDetector::apply_pending_failures() {
  for (const auto member : std::exchange(state_.probes.pending_failures, {})) {
    MemberRecord& record = state_.members[member];
    if (state_.condition.cut_off || record.failed_rounds == 0) continue;
    ++state_.metrics.failures;
    const int loss_percent = static_cast<int>(100 * loss_towards(state_, record));
    group_.set_state(
        member, MemberState::failed,
        describe_failed_rounds(record) + ", at a message loss of " + std::to_string(loss_percent) + " %");
    record.failed_rounds = 0;
  }
}

void FailureDetector::on_answer(std::size_t member, std::size_t via, std::uint32_t number) {
  auto& rounds = state_.probes.rounds;
  const auto round = std::find_if(rounds.begin(), rounds.end(), [&](const ProbeRound& candidate) {
    return candidate.number == number && candidate.member == member;
  });
  if (round == rounds.end()) {
    ++state_.metrics.ignored;
    return;
  }
  if (!round->has_ended) note_answered_round(*round, via == member);
  on_proof_of_life(member, via);
  fail_unresponsive_members();
}

void FailureDetector::note_answered_round(ProbeRound& round, bool direct) {
  round.has_ended = true;
  MemberRecord& member = state_.members[round.member];
  member.is_being_probed = false;
  if (round.is_ordinary) {
    state_.loss.on_answered();
    state_.health.improve();
  }
  // After a second ping it is not known which of the two pings was answered.
  if (!direct || round.stage != ProbeRound::Stage::pinged) return;
  double& smoothed = member.view.round_trip_us;
  const auto sample = static_cast<double>(std::max<Time>(1, now_ - round.started_at));
  smoothed = smoothed == 0 ? sample : smoothed + (sample - smoothed) / kRoundTripWeight;
}

void FailureDetector::on_proof_of_life(std::size_t member, std::size_t via) {
  MemberRecord& record = state_.members[member];
  record.view.last_answer_at = now_;
  record.view.answered_directly = via == member;
  record.last_helper = via == member ? state_.roster->size() : via;
  state_.condition.last_answer_at = now_;
  learn_loss(record);
  reset_doubt(record);
  if (state_.condition.unanswered_in_a_row > 0) group_.mark_stale();
  state_.condition.unanswered_in_a_row = 0;
  restore(member, via);
  group_.update_confidence();
}

// Counts the failed rounds as lost messages. Called only when the member has proved that it runs, because
// missing answers of a failed member are no message loss.
void FailureDetector::learn_loss(MemberRecord& member) {
  member.loss.on_answered();
  for (std::uint32_t count = std::min(member.failed_rounds, kMaxLostRounds); count > 0; --count) {
    state_.loss.on_lost();
    member.loss.on_lost();
  }
}

void FailureDetector::reset_doubt(MemberRecord& member) {
  member.suspecting_members.clear();
  member.failed_rounds = 0;
  member.suspicions_cleared_by_others = 0;
  member.doubted_since = 0;
  member.next_round_at = 0;
  member.answered_since_reset = true;
}

void FailureDetector::restore(std::size_t member, std::size_t via) {
  MemberRecord& record = state_.members[member];
  if (record.view.state == MemberState::suspected) ++state_.metrics.false_suspicions;
  if (record.view.state == MemberState::left)
    group_.set_state(member, MemberState::leaving, "it still answers");
  if (is_present(record.view.state)) return;
  // Other routers may still have the claim that the member has failed. Only the member itself can refute that
  // claim, so the member is warned.
  record.needs_warning = record.view.state != MemberState::unknown;
  record.claim_kind = ClaimKind::alive;
  group_.set_state(member, MemberState::alive,
                   via == member ? "it answers" : "it answers through " + state_.roster->at(via).name);
  if (record.needs_warning) state_.expedite_probe(member);
}

}  // namespace thornwick::membership
