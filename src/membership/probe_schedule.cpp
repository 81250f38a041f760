#include "membership/probe_schedule.hpp"

#include <algorithm>

#include "membership/sending.hpp"

namespace thornwick::membership {
namespace {

constexpr std::size_t kMaxDoubtRounds = 4;  // open rounds for members in doubt
constexpr int kExpeditedPerPeriod = 4;      // probes out of turn in a period
// The gap between two ordinary probes is a period, plus or minus a tenth at random, so that the routers'
// probes do not synchronise.
constexpr double kMinGap = 0.9;
constexpr double kGapSpread = 0.2;

}  // namespace

Time ProbeSchedule::next_due(const SwimState& state) {
  const Time due = ProbeRounds::next_due(state, state.probes.next_probe_at);
  return state.probes.expedited.empty() ? due : std::min(due, state.probes.next_expedited_at);
}

void ProbeSchedule::probe_doubted() {
  const auto& rounds = state_.probes.rounds;
  auto open = std::count_if(rounds.begin(), rounds.end(),
                            [](const ProbeRound& round) { return !round.has_ended && !round.is_ordinary; });
  std::size_t& last = state_.probes.last_doubted;
  for (std::size_t i = 0; i < state_.members.size(); ++i) {
    if (static_cast<std::size_t>(open) >= kMaxDoubtRounds) return;
    last = (last + 1) % state_.members.size();
    const MemberRecord& member = state_.members[last];
    if (member.failed_rounds == 0 || member.is_being_probed || is_absent(member.view.state)) continue;
    if (now_ < member.next_round_at) continue;
    rounds_.start(last);
    ++open;
  }
}

void ProbeSchedule::probe_expedited() {
  ProbeState& probes = state_.probes;
  if (probes.expedited.empty() || now_ < probes.next_expedited_at) return;
  const std::size_t member = probes.expedited.front();
  probes.expedited.pop_front();
  probes.next_expedited_at = now_ + state_.options.period / kExpeditedPerPeriod;
  rounds_.start(member);
}

void ProbeSchedule::probe_ordinary() {
  ProbeState& probes = state_.probes;
  if (now_ < probes.next_probe_at) return;
  if (may_probe(state_, now_)) {
    probes.last_probe_at = now_;
    probe_next_member();
  }
  const double gap =
      (kMinGap + kGapSpread * state_.random.unit()) * static_cast<double>(state_.options.period);
  probes.next_probe_at = now_ + static_cast<Time>(gap);
}

std::vector<std::size_t> ProbeSchedule::absent_members() const {
  std::vector<std::size_t> absent;
  for (std::size_t i = 0; i < state_.members.size(); ++i) {
    const MemberRecord& member = state_.members[i];
    if (is_absent(member.view.state) && !member.is_being_probed) absent.push_back(i);
  }
  return absent;
}

void ProbeSchedule::shuffle_order() {
  auto& order = state_.probes.order;
  for (std::size_t i = 0; i < state_.members.size(); ++i) {
    if (i != state_.self) order.push_back(i);
  }
  state_.random.shuffle(order);
}

// Probes the members in a random order in which each occurs once, so that the time between two probes of a
// member is bounded. Absent members are probed in a fraction of the turns: often enough to notice their
// return, and rarely enough to delay the probes of others only a little.
void ProbeSchedule::probe_next_member() {
  const std::vector<std::size_t> absent = absent_members();
  RandomSequence& random = state_.random;
  if (!absent.empty() && random.unit() < state_.options.absent_probe_fraction)
    return rounds_.start(absent[random.below(absent.size())]);
  auto& order = state_.probes.order;
  for (std::size_t tries = 0; tries < 2 * state_.members.size() + 1; ++tries) {
    if (order.empty()) shuffle_order();
    if (order.empty()) return;
    const std::size_t member = order.back();
    order.pop_back();
    const MemberRecord& record = state_.members[member];
    if (!is_absent(record.view.state) && !record.is_being_probed) return rounds_.start(member);
  }
  if (!absent.empty()) rounds_.start(absent[random.below(absent.size())]);
}

}  // namespace thornwick::membership
