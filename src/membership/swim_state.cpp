#include "membership/swim_state.hpp"

#include <algorithm>
#include <utility>

namespace thornwick::membership {
namespace {

constexpr std::size_t kMaxExpedited = 64;

}  // namespace

SwimState::SwimState(std::shared_ptr<const Roster> group_roster, std::size_t local_index,
                     const Options& tunables, std::uint64_t seed, Time now)
    : roster(std::move(group_roster)),
      self(local_index),
      options(tunables),
      random(seed),
      members(roster->size(), MemberRecord(roster->size())),
      probes(now),
      last_call_at(now) {
  condition.running_by_site.assign(roster->sites().size(), 0);
  for (auto& member : members) member.view.state_since = now;
}

Claim SwimState::claim_of(std::size_t member) const {
  const MemberRecord& record = members[member];
  const bool is_local_shutdown = member == self && leaving;
  return {roster->id_of(member), is_local_shutdown ? ClaimKind::leaving : record.claim_kind,
          record.view.identity, record.view.incarnation};
}

void SwimState::expedite_probe(std::size_t member) {
  auto& queue = probes.expedited;
  if (queue.size() >= kMaxExpedited) return;
  if (std::find(queue.begin(), queue.end(), member) == queue.end()) queue.push_back(member);
}

void SwimState::refute(Time now, std::uint64_t claimed) {
  MemberView& view = local().view;
  view.incarnation = std::max(view.incarnation, options.refuting_incarnation(claimed));
  refuted_at = now;
  announce(self);
}

void SwimState::report(std::size_t member, std::string text, Severity severity) {
  changes.push_back({member, std::move(text), severity});
}

}  // namespace thornwick::membership
