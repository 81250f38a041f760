#include "membership/failure_detector.hpp"

#include <algorithm>
#include <string>
#include <utility>

namespace thornwick::membership {
namespace {

constexpr std::uint32_t kMostLostRounds = 4;  // failed rounds of one doubt that count as lost messages
// Factor on the rounds for a member that is reached through a helper, because a message passes four links
// then and is lost more often.
constexpr std::uint32_t kIndirectFactor = 2;
// Rounds of this router's own that another's suspicion replaces; one is always needed.
constexpr std::uint32_t kRoundsPerAccuser = 2;
// Periods of silence before a member is called gone, because a silent member may only be slow.
constexpr int kLeastSilentPeriods = 2;
// An answer of another member that is at most so many periods old shows that this router is not cut off.
constexpr int kRecentAnswerPeriods = 1;
constexpr std::uint32_t kRoundsUntilLeft = 2;  // failed rounds of a member that announced its shutdown
// This process was itself too slow for a round that it handles later than a period divided by this after the
// round's end. Such a round is no evidence against the member.
constexpr int kNeglectedDivisor = 4;
constexpr double kRoundTripWeight = 8;  // an eighth, as in RFC 6298

// The loss towards a member is its own rate, and at least the group's.
double loss_towards(const SwimState& state, const MemberRecord& member) {
  return std::max(state.loss.value(), member.loss.value());
}

std::string describe_silence(const MemberRecord& member) {
  return std::to_string(member.failed_rounds) + " rounds of probes without an answer";
}

}  // namespace

// ---------------------------------------------------------------- silence

// Iterates by index, because a failed round may start others.
void FailureDetector::process_rounds() {
  rounds_.erase_old();
  for (std::size_t i = 0; i < state_.probes.rounds.size(); ++i) process_round(i);
}

void FailureDetector::process_round(std::size_t index) {
  ProbeRound& round = state_.probes.rounds[index];
  if (round.over) return;
  if (now_ >= round.due) {
    round.over = true;
    const ProbeRound failed = round;
    on_round_failed(failed);
  } else if (now_ >= round.next_stage_at) {
    rounds_.advance(round);
  }
}

void FailureDetector::on_round_failed(const ProbeRound& round) {
  MemberRecord& member = state_.members[round.member];
  member.probing = false;
  if (now_ > round.due + state_.options.period / kNeglectedDivisor) return;
  ++state_.metrics.unanswered_rounds;
  const MemberState state = member.view.state;
  if (is_absent(state)) return;
  if (round.ordinary) on_ordinary_round_failed();
  if (member.failed_rounds == 0) member.doubted_since = round.started_at;
  ++member.failed_rounds;
  group_.mark_stale();
  if (state == MemberState::leaving) return on_leaving_member_silent(round.member);
  if (state == MemberState::alive) suspect_if_silent_for_long(round.member);
  condemn_if_silent_for_long(round.member);
}

void FailureDetector::on_ordinary_round_failed() {
  state_.health.worsen();
  ++state_.condition.unanswered_in_a_row;
  rounds_.probe_at_random(state_.condition.unanswered_in_a_row >= 2 ? kWideProbe : 1);
}

void FailureDetector::on_leaving_member_silent(std::size_t member) {
  if (state_.members[member].failed_rounds < kRoundsUntilLeft) return;
  state_.members[member].failed_rounds = 0;
  group_.set_state(member, MemberState::left, "it said that it would end, and does not answer any more");
}

void FailureDetector::suspect_if_silent_for_long(std::size_t member) {
  MemberRecord& record = state_.members[member];
  if (record.failed_rounds < rounds_until_suspicion(state_, loss_towards(state_, record))) return;
  group_.suspect(member, describe_silence(record));
  if (state_.condition.cut_off) return;
  ++state_.metrics.announced_suspicions;
  record.claim_kind = std::max(record.claim_kind, ClaimKind::suspected);
  state_.announce(member);
}

std::uint32_t FailureDetector::rounds_until_failure(const MemberRecord& member) const {
  const std::uint32_t unaided =
      state_.options.adaptive ? rounds_until(state_.options.failure_probability, loss_towards(state_, member))
                              : static_cast<std::uint32_t>(state_.options.rounds);
  const std::uint32_t needed = state_.has_helper(member) ? kIndirectFactor * unaided : unaided;
  const auto replaced = kRoundsPerAccuser * static_cast<std::uint32_t>(member.accusers.size());
  return needed > replaced ? needed - replaced : 1;
}

bool FailureDetector::is_silent_for_long(const MemberRecord& member) const {
  const bool long_enough = now_ - member.doubted_since >= kLeastSilentPeriods * state_.options.period;
  return long_enough && member.failed_rounds >= rounds_until_failure(member);
}

// Whether another member has answered recently. A router that no member answers cannot know whether the
// silent member or the router itself is cut off. An answer that is not recent does not count, even if it came
// after the doubt began, because it may be from before this router was cut off.
bool FailureDetector::another_answers(const MemberRecord& silent) const {
  if (state_.members.size() == 2) return true;  // the group has no third member
  const Time recently = now_ - kRecentAnswerPeriods * state_.options.period;
  return state_.condition.last_answer_at >= std::max(silent.doubted_since, recently);
}

void FailureDetector::condemn_if_silent_for_long(std::size_t member) {
  MemberRecord& record = state_.members[member];
  if (record.failed_rounds >= 2 * rounds_until_failure(record))
    record.next_round_at = now_ + state_.options.period;
  if (!is_silent_for_long(record)) return;
  if (another_answers(record)) {
    state_.probes.failure_verdicts.push_back(member);
  } else {
    rounds_.probe_at_random(1);  // an answer to this probe calls condemn_silent_members()
  }
}

// Called when a member has answered: other silent members may be called gone now.
void FailureDetector::condemn_silent_members() {
  group_.refresh();
  for (std::size_t i = 0; i < state_.members.size(); ++i) {
    const MemberRecord& member = state_.members[i];
    const bool may_fail =
        member.view.state == MemberState::alive || member.view.state == MemberState::suspected;
    if (may_fail && member.failed_rounds > 0 && is_silent_for_long(member))
      state_.probes.failure_verdicts.push_back(i);
  }
  apply_verdicts();
}

void FailureDetector::apply_verdicts() {
  for (const auto member : std::exchange(state_.probes.failure_verdicts, {})) {
    MemberRecord& record = state_.members[member];
    if (state_.condition.cut_off || record.failed_rounds == 0) continue;
    ++state_.metrics.failures;
    const int loss_percent = static_cast<int>(100 * loss_towards(state_, record));
    group_.set_state(member, MemberState::failed,
                     describe_silence(record) + ", at a loss of " + std::to_string(loss_percent) + " %");
    record.failed_rounds = 0;
  }
}

// ---------------------------------------------------------------- answers

void FailureDetector::on_answer(std::size_t member, std::size_t via, std::uint32_t number) {
  auto& rounds = state_.probes.rounds;
  const auto round = std::find_if(rounds.begin(), rounds.end(), [&](const ProbeRound& candidate) {
    return candidate.number == number && candidate.member == member;
  });
  if (round == rounds.end()) {
    ++state_.metrics.ignored;
    return;
  }
  if (!round->over) note_answered_round(*round, via == member);
  on_proof_of_life(member, via);
  condemn_silent_members();
}

void FailureDetector::note_answered_round(ProbeRound& round, bool direct) {
  round.over = true;
  MemberRecord& member = state_.members[round.member];
  member.probing = false;
  if (round.ordinary) {
    state_.loss.on_answered();
    state_.health.improve();
  }
  // After a second ping it is not known which of the two was answered.
  if (!direct || round.stage != ProbeRound::Stage::pinged) return;
  double& smoothed = member.view.round_trip_us;
  const auto sample = static_cast<double>(std::max<Time>(1, now_ - round.started_at));
  smoothed = smoothed == 0 ? sample : smoothed + (sample - smoothed) / kRoundTripWeight;
}

void FailureDetector::on_proof_of_life(std::size_t member, std::size_t via) {
  MemberRecord& record = state_.members[member];
  record.view.last_answer_at = now_;
  record.view.answered_directly = via == member;
  record.helper = via == member ? state_.roster->size() : via;
  state_.condition.last_answer_at = now_;
  learn_loss(record);
  reset_doubt(record);
  if (state_.condition.unanswered_in_a_row > 0) group_.mark_stale();
  state_.condition.unanswered_in_a_row = 0;
  restore(member, via);
  group_.update_confidence();
}

// Counts the failed rounds as lost messages. Called only when the member has proved that it runs, because the
// silence of a failed member is no message loss.
void FailureDetector::learn_loss(MemberRecord& member) {
  member.loss.on_answered();
  for (std::uint32_t count = std::min(member.failed_rounds, kMostLostRounds); count > 0; --count) {
    state_.loss.on_lost();
    member.loss.on_lost();
  }
}

void FailureDetector::reset_doubt(MemberRecord& member) {
  member.accusers.clear();
  member.failed_rounds = 0;
  member.indirect_excuses = 0;
  member.doubted_since = 0;
  member.next_round_at = 0;
  member.answered_since_reset = true;
}

void FailureDetector::restore(std::size_t member, std::size_t via) {
  MemberRecord& record = state_.members[member];
  if (record.view.state == MemberState::suspected) ++state_.metrics.false_suspicions;
  if (record.view.state == MemberState::left)
    group_.set_state(member, MemberState::leaving, "it answers still");
  if (is_present(record.view.state)) return;
  // Other routers may still believe the claim that this router believed. Only the member itself can refute
  // it, so it is warned.
  record.warn = record.view.state != MemberState::unknown;
  record.claim_kind = ClaimKind::alive;
  group_.set_state(member, MemberState::alive,
                   via == member ? "it answers" : "it answers over " + state_.roster->at(via).name);
  if (record.warn) state_.expedite_probe(member);
}

}  // namespace thornwick::membership
