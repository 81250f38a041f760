#include "membership/sending.hpp"

#include <algorithm>
#include <bit>
#include <utility>

namespace thornwick::membership {
namespace {

constexpr double kMessagesPerPeriod = 2.2;
constexpr double kMaxBudget = 8;
constexpr double kMinBudget = -6;
// An ordinary probe is sent after this many periods, whatever the budget is.
constexpr int kMaxPeriodsWithoutProbe = 5;
// An update is sent this many times the binary logarithm of the group's size.
constexpr std::uint32_t kGossipFactor = 3;
constexpr std::size_t kMaxRunning = 255;  // a count in a message has one byte

// Fills a message with claims: first a claim about the receiver that the receiver should refute, then gossip
// updates, the least often sent first, and then claims about all members in turn while there is room. The
// claims in turn update a router that did not run or missed an update.
class ClaimFiller {
 public:
  ClaimFiller(SwimState& state, Message& message)
      : state_(state), message_(message), room_(room_for(message.running_by_site.size())) {}

  void fill(std::size_t to) {
    add_warning(to);
    add_updates();
    add_members_in_turn();
  }

 private:
  bool has_room() const { return message_.claims.size() < room_; }
  bool contains(std::uint32_t id) const {
    return std::any_of(message_.claims.begin(), message_.claims.end(),
                       [&](const Claim& claim) { return claim.member == id; });
  }

  void add_warning(std::size_t to) {
    const MemberRecord& receiver = state_.members[to];
    const bool warns_buddy = state_.options.buddy_system && is_doubted(receiver.view.state);
    if (!receiver.needs_warning && !warns_buddy) return;
    Claim warning = state_.claim_of(to);
    if (warning.claim_kind == ClaimKind::alive) warning.claim_kind = ClaimKind::suspected;
    if (warning.incarnation > 0) message_.claims.push_back(warning);
  }

  void add_updates() {
    const std::uint32_t self = message_.from.member;
    for (GossipUpdate& update : state_.gossip.sorted()) {
      if (!has_room()) break;
      const std::uint32_t id = update.claim.member;
      if (contains(id) || id == self || !state_.may_pass_on(update.claim)) continue;
      message_.claims.push_back(update.claim);
      ++update.sent_count;
    }
    const auto max_sent_count =
        kGossipFactor * static_cast<std::uint32_t>(std::bit_width(state_.members.size()));
    state_.gossip.erase_sent(max_sent_count, self);
  }

  void add_members_in_turn() {
    const std::size_t members = state_.members.size();
    for (std::size_t tries = 0; tries < members && has_room(); ++tries) {
      const std::size_t member = state_.gossip.next_filler(members);
      const Claim claim = state_.claim_of(member);
      if (member == state_.self || claim.incarnation == 0) continue;
      if (state_.may_pass_on(claim) && !contains(claim.member)) message_.claims.push_back(claim);
    }
  }

  SwimState& state_;
  Message& message_;
  std::size_t room_;
};

}  // namespace

void send(SwimState& state, std::size_t to, const MessageHead& head) {
  const MemberView& local = state.local().view;
  Message message;
  message.kind = head.kind;
  message.group = state.roster->hash();
  message.from = state.claim_of(state.self);
  message.number = head.number;
  message.subject_id = head.subject_id;
  message.suspension_count = local.suspension_count;
  message.last_suspension_s = local.last_suspension_s;
  for (const auto count : state.condition.running_by_site)
    message.running_by_site.push_back(static_cast<std::uint8_t>(std::min(count, kMaxRunning)));
  ClaimFiller(state, message).fill(to);
  std::string bytes = write(message);
  ++state.metrics.sent;
  state.metrics.sent_bytes += bytes.size();
  state.probes.budget.spend_down_to(kMinBudget);
  state.datagrams.push_back({to, std::move(bytes)});
}

bool may_answer(SwimState& state, Time now, std::size_t member) {
  TokenBucket& answer_allowance = state.members[member].answer_allowance;
  answer_allowance.refill(now, {kMaxAnswersPerPeriod, state.options.period, kMaxAnswersPerPeriod});
  if (answer_allowance.tokens() < 1) {
    ++state.metrics.ignored;
    return false;
  }
  answer_allowance.spend();
  return true;
}

bool may_probe(SwimState& state, Time now) {
  TokenBucket& budget = state.probes.budget;
  budget.refill(now, {kMessagesPerPeriod, state.options.period, kMaxBudget});
  if (budget.tokens() >= 0) return true;
  return now - state.probes.last_probe_at >= kMaxPeriodsWithoutProbe * state.options.period;
}

}  // namespace thornwick::membership
