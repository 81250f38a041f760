#include "membership/group_evaluation.hpp"

#include <algorithm>
#include <utility>

namespace thornwick::membership {
namespace {

// This router is cut off after this many consecutive ordinary probes of different members without an answer.
constexpr std::size_t kUnansweredWhenCutOff = 16;
// A router that is cut off stays so until it reaches half of the members and a further 1/16 of them. Without
// this margin a router of a large group that is split into halves would change its state with each message.
constexpr std::size_t kReconnectMargin = 16;
// A member that was found to have failed within this many periods before this router was cut off may still
// run.
constexpr int kRecentFailurePeriods = 10;
constexpr std::size_t kEnoughAnswers = 10;
// In groups larger than this, rounds for a member that another router suspects are delayed at random, so that
// not all routers probe the member at once.
constexpr std::size_t kLargeGroup = 20;

}  // namespace

std::uint32_t rounds_until_suspicion(const SwimState& state, double loss) {
  if (!state.options.adaptive) return 1;
  const auto members = static_cast<double>(state.members.size());
  return rounds_until(state.options.suspicion_probability / members, loss);
}

void GroupEvaluation::set_state(std::size_t member, MemberState state, const std::string& reason) {
  MemberView& view = state_.members[member].view;
  if (view.state == state) return;
  state_.report(member, std::string(name_of(state)) + ", was " + name_of(view.state) + ": " + reason,
                state == MemberState::failed ? Severity::warning : Severity::info);
  view.state = state;
  view.state_since = now_;
  mark_stale();
  refresh();
}

void GroupEvaluation::suspect(std::size_t member, const std::string& reason) {
  ++state_.metrics.suspicions;
  MemberRecord& record = state_.members[member];
  record.failed_rounds = std::max<std::uint32_t>(record.failed_rounds, 1);
  if (record.doubted_since == 0) record.doubted_since = now_;
  // Another router suspects the member, and the member may have answered that router by now.
  if (state_.members.size() > kLargeGroup && !record.suspecting_members.empty()) {
    const double delay = state_.random.unit() * static_cast<double>(state_.options.period);
    record.next_round_at = now_ + static_cast<Time>(delay);
  }
  set_state(member, MemberState::suspected, reason);
}

void GroupEvaluation::refresh() {
  if (!std::exchange(state_.condition.stale, false)) return;
  const Reach reach = count_members();
  const bool cut_off = is_cut_off(reach);
  if (cut_off == state_.condition.cut_off) return;
  state_.condition.cut_off = cut_off;
  if (cut_off)
    on_cut_off(reach);
  else
    on_reconnected(reach);
}

GroupEvaluation::Reach GroupEvaluation::count_members() {
  Reach reach;
  std::size_t running = 1;
  auto& by_site = state_.condition.running_by_site;
  std::fill(by_site.begin(), by_site.end(), 0);
  ++by_site[state_.roster->site_of(state_.self)];
  for (std::size_t i = 0; i < state_.members.size(); ++i) {
    if (i == state_.self) continue;
    const MemberRecord& member = state_.members[i];
    if (is_present(member.view.state)) {
      ++running;
      ++by_site[state_.roster->site_of(i)];
    }
    if (member.view.state == MemberState::left) continue;
    ++reach.all;
    if (!counts_as_unreachable(member)) ++reach.reachable;
  }
  state_.condition.running = running;
  return reach;
}

// A member that was not probed often enough yet does not count as unreachable. A member that only another
// router suspects does not count either, until one of this router's rounds has failed.
bool GroupEvaluation::counts_as_unreachable(const MemberRecord& member) const {
  switch (member.view.state) {
    case MemberState::failed: return true;
    case MemberState::suspected: return member.failed_rounds > 1;
    case MemberState::unknown:
      return member.failed_rounds >= rounds_until_suspicion(state_, state_.loss.value());
    default: return false;
  }
}

bool GroupEvaluation::is_cut_off(const Reach& reach) const {
  const std::size_t margin = state_.condition.cut_off ? reach.all / kReconnectMargin : 0;
  if (2 * reach.reachable < reach.all + margin) return true;
  return state_.condition.unanswered_in_a_row >=
         std::min<std::size_t>(kUnansweredWhenCutOff, state_.members.size());
}

namespace {

std::string describe_reach(std::size_t reachable, std::size_t all) {
  return "it reaches " + std::to_string(reachable) + " of " + std::to_string(all);
}

}  // namespace

void GroupEvaluation::on_cut_off(const Reach& reach) {
  state_.condition.view_is_reliable = false;
  const std::string evidence = state_.condition.unanswered_in_a_row > 1
                                   ? "no member answers, of " + std::to_string(reach.all - 1) + " others"
                                   : describe_reach(reach.reachable, reach.all);
  state_.report(state_.self, "this router is cut off: " + evidence + "; it reports no member as gone",
                Severity::warning);
  doubt_recent_failures();
}

void GroupEvaluation::on_reconnected(const Reach& reach) {
  // Probes that were not answered while this router was cut off are no evidence against a member.
  for (auto& member : state_.members) {
    if (member.failed_rounds == 0) continue;
    member.failed_rounds = 1;
    member.doubted_since = now_;
  }
  state_.report(state_.self,
                "this router is no longer cut off: " + describe_reach(reach.reachable, reach.all));
  update_confidence();
}

void GroupEvaluation::doubt_recent_failures() {
  const Time recent = kRecentFailurePeriods * state_.options.period;
  for (std::size_t i = 0; i < state_.members.size(); ++i) {
    MemberRecord& member = state_.members[i];
    if (member.view.state != MemberState::failed || now_ - member.view.state_since > recent) continue;
    member.failed_rounds = 1;
    member.doubted_since = now_;
    set_state(i, MemberState::suspected, "this router itself may be cut off");
  }
}

void GroupEvaluation::update_confidence() {
  if (state_.condition.view_is_reliable || state_.condition.cut_off) return;
  std::size_t answered = 0;
  std::size_t others = 0;
  for (std::size_t i = 0; i < state_.members.size(); ++i) {
    const MemberRecord& member = state_.members[i];
    if (i == state_.self || member.view.state == MemberState::left) continue;
    ++others;
    if (member.answered_since_reset) ++answered;
  }
  if (answered < std::min(kEnoughAnswers, (others + 1) / 2)) return;
  state_.condition.view_is_reliable = true;
  state_.report(state_.self, "this router's view of the group is reliable: " + std::to_string(answered) +
                                 " of " + std::to_string(others) + " others answered");
}

}  // namespace thornwick::membership
