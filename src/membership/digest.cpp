// Swim::digest(): a text that is equal for two states of the failure detector if they behave alike from then
// on.
#include <sstream>

#include "membership/swim.hpp"

namespace thornwick::membership {
namespace {

void add_member(std::ostream& out, const MemberRecord& member) {
  const MemberView& view = member.view;
  out << static_cast<int>(view.state) << ' ' << view.incarnation << ' ' << view.identity.instance_id << ' '
      << static_cast<int>(view.recovery) << view.name_conflict << member.failed_rounds << ' '
      << member.suspicions_cleared_by_others << member.is_being_probed << member.needs_warning
      << member.answered_since_reset << ' ' << member.superseded_instances.size() << ' '
      << view.suspension_count << ';';
}

void add_round(std::ostream& out, const ProbeRound& round, Time now) {
  out << round.member << static_cast<int>(round.stage) << round.is_ordinary << round.deadline - now << ';';
}

}  // namespace

std::string Swim::digest() const {
  std::ostringstream out;
  const Time now = state_.last_call_at;
  const GroupCondition& condition = state_.condition;
  const ProbeState& probes = state_.probes;
  for (const auto& member : state_.members) add_member(out, member);
  for (const auto& round : probes.rounds) {
    if (!round.has_ended) add_round(out, round, now);
  }
  for (const auto& update : state_.gossip.updates()) out << update.claim.member << update.sent_count << ',';
  out << condition.cut_off << condition.view_is_reliable << state_.leaving << condition.unanswered_in_a_row
      << ' ' << probes.next_probe_at - now << ' ' << probes.expedited.size() << ' ' << probes.indirect.size()
      << ' ' << state_.loss.value();
  return out.str();
}

}  // namespace thornwick::membership
