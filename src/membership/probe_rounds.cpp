#include "membership/probe_rounds.hpp"

#include <algorithm>
#include <utility>

#include "membership/sending.hpp"

namespace thornwick::membership {
namespace {

constexpr std::size_t kMaxRounds = 64;
constexpr int kRoundsPerPeriod = 4;    // a round lasts a quarter of a period
constexpr int kStagesPerRound = 3;     // stages of equal duration
constexpr int kKeepRoundsPeriods = 5;  // ended rounds are kept this long, for late answers
// If more members than this are in doubt, or a larger fraction of messages is lost, the cause is not a single
// bad link, and one helper suffices.
constexpr std::size_t kFewDoubted = 3;
constexpr double kWidespreadLoss = 0.06;

}  // namespace

Time ProbeRounds::round_duration() const {
  const Time base = state_.options.period / kRoundsPerPeriod;
  return state_.options.local_health ? base * (1 + state_.health.score()) : base;
}

Time ProbeRounds::next_due(const SwimState& state, Time latest) {
  Time due = latest;
  for (const auto& round : state.probes.rounds) {
    if (!round.has_ended) due = std::min(due, round.next_stage_at);
  }
  return due;
}

void ProbeRounds::erase_old() {
  std::erase_if(state_.probes.rounds, [&](const ProbeRound& round) {
    return round.has_ended && now_ - round.deadline > kKeepRoundsPeriods * state_.options.period;
  });
}

bool ProbeRounds::make_room() {
  auto& rounds = state_.probes.rounds;
  if (rounds.size() < kMaxRounds) return true;
  const auto old =
      std::find_if(rounds.begin(), rounds.end(), [](const ProbeRound& round) { return round.has_ended; });
  if (old == rounds.end()) return false;
  rounds.erase(old);
  return true;
}

void ProbeRounds::start(std::size_t member) {
  MemberRecord& record = state_.members[member];
  if (member == state_.self || record.is_being_probed || !make_room()) return;
  ProbeRound& round = state_.probes.rounds.emplace_back();
  round.member = member;
  round.number = ++state_.probes.last_number;
  round.started_at = now_;
  round.next_stage_at = now_ + round_duration() / kStagesPerRound;
  round.deadline = now_ + round_duration();
  round.is_ordinary = record.failed_rounds == 0 && record.view.state == MemberState::alive;
  record.is_being_probed = true;
  ++state_.metrics.probe_rounds;
  send(state_, member, {.kind = MessageKind::ping, .number = round.number});
}

void ProbeRounds::advance(ProbeRound& round) {
  if (round.stage == ProbeRound::Stage::pinged) {
    round.stage = ProbeRound::Stage::pinged_twice;
    round.next_stage_at = round.started_at + round_duration() * 2 / kStagesPerRound;
  } else {
    round.stage = ProbeRound::Stage::helpers_asked;
    round.next_stage_at = round.deadline;
  }
  const MemberRecord& record = state_.members[round.member];
  if (is_absent(record.view.state)) return;
  send(state_, round.member, {.kind = MessageKind::ping, .number = round.number});
  const bool last_stage = round.stage == ProbeRound::Stage::helpers_asked;
  // A member that is reached only through a helper is probed through that helper in the second stage already.
  if (!last_stage && !state_.has_helper(record)) return;
  const bool prefers_last_helper = !last_stage || record.failed_rounds % 2 == 0;
  const MessageHead request{.kind = MessageKind::ping_request,
                            .number = round.number,
                            .subject_id = state_.roster->id_of(round.member)};
  for (const auto helper :
       choose_helpers(round.member, prefers_last_helper ? FirstHelper::last_successful : FirstHelper::any))
    send(state_, helper, request);
}

// The rank of a helper; helpers are chosen from the lowest rank up. With FirstHelper::last_successful the
// helper that last reached the member comes first, because the same helper usually works between two routers
// that do not reach each other. That helper does not come first every time, so that others are tried when it
// fails. Members that answer directly come next, and members that are reached through helpers come last.
int ProbeRounds::helper_rank(std::size_t helper, std::size_t member, FirstHelper first) const {
  if (first == FirstHelper::last_successful && helper == state_.members[member].last_helper) return 0;
  const MemberView& view = state_.members[helper].view;
  return view.answered_directly || view.last_answer_at == 0 ? 1 : 2;
}

std::vector<std::size_t> ProbeRounds::choose_helpers(std::size_t member, FirstHelper first) {
  struct Candidate {
    int rank = 0;
    std::size_t member = 0;
  };
  std::vector<Candidate> candidates;
  for (std::size_t i = 0; i < state_.members.size(); ++i) {
    const MemberRecord& other = state_.members[i];
    const bool healthy = other.view.state == MemberState::alive && other.failed_rounds == 0;
    if (i == state_.self || i == member || !healthy) continue;
    candidates.push_back({helper_rank(i, member, first), i});
  }
  const bool many_doubted = state_.members.size() > candidates.size() + 2 + kFewDoubted;
  const bool one_helper_suffices = many_doubted || state_.loss.value() > kWidespreadLoss;
  state_.random.shuffle(candidates);
  std::stable_sort(candidates.begin(), candidates.end(),
                   [](const Candidate& a, const Candidate& b) { return a.rank < b.rank; });
  const std::size_t count =
      std::min(candidates.size(), one_helper_suffices ? 1 : state_.options.helper_count);
  std::vector<std::size_t> chosen;
  for (std::size_t i = 0; i < count; ++i) chosen.push_back(candidates[i].member);
  return chosen;
}

void ProbeRounds::probe_at_random(std::size_t count) {
  std::vector<std::size_t> others;
  for (std::size_t i = 0; i < state_.members.size(); ++i) {
    const MemberRecord& member = state_.members[i];
    const bool candidate =
        member.view.state == MemberState::alive || member.view.state == MemberState::suspected;
    if (i != state_.self && candidate && !member.is_being_probed) others.push_back(i);
  }
  for (; count > 0 && !others.empty(); --count) {
    std::swap(others[state_.random.below(others.size())], others.back());
    start(others.back());
    others.pop_back();
  }
}

}  // namespace thornwick::membership
