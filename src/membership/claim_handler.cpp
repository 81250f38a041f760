#include "membership/claim_handler.hpp"

#include <algorithm>

#include "membership/reporter_trust.hpp"

namespace thornwick::membership {
namespace {

// The maximum by which another router's claim may raise a member's incarnation. Without this limit a faulty
// router could use up the incarnations of a member.
constexpr std::uint64_t kMaxIncarnationIncrease = std::uint64_t{1} << 26;
// The number of suspicions that other routers' claims may clear before the member has to answer this router.
// Without this limit a faulty router could keep a failed member alive.
constexpr std::uint32_t kMaxSuspicionsClearedByOthers = 3;
constexpr std::size_t kMaxSuspectingMembers = 4;
// An answer to this router within this many periods outweighs another router's suspicion.
constexpr int kRecentAnswerPeriods = 2;

}  // namespace

void ClaimHandler::accept(const Claim& claim, std::size_t reporter) {
  const std::size_t member = state_.roster->find_id(claim.member);
  if (member == state_.roster->size()) {
    ++state_.metrics.unknown_routers;
    return;
  }
  if (member == state_.self) return on_claim_about_self(claim);
  const MemberView& view = state_.members[member].view;
  if (claim.incarnation < view.incarnation) return;
  if (reporter != member && !is_trusted(state_, now_, reporter)) {
    ++state_.metrics.distrusted_claims;
    return;
  }
  if (claim.incarnation > view.incarnation) return on_newer_claim(member, claim, reporter);
  if (claim.identity == view.identity) on_current_claim(member, claim, reporter);
}

void ClaimHandler::on_newer_claim(std::size_t member, const Claim& claim, std::size_t reporter) {
  const std::uint64_t known = state_.members[member].view.incarnation;
  const bool is_from_itself = reporter == member;
  if (!is_from_itself && known > 0 && claim.incarnation - known > kMaxIncarnationIncrease) {
    ++state_.metrics.implausible_incarnations;
    return;
  }
  if (claim.claim_kind == ClaimKind::suspected) return on_suspicion(member, claim, reporter);
  on_newer_incarnation(member, claim, is_from_itself ? Source::member_itself : Source::another);
}

// Handles a claim with the known incarnation.
void ClaimHandler::on_current_claim(std::size_t member, const Claim& claim, std::size_t reporter) {
  MemberRecord& record = state_.members[member];
  if (claim.claim_kind == ClaimKind::suspected) {
    if (reporter != member) on_suspicion(member, claim, reporter);
  } else if (claim.claim_kind == ClaimKind::alive) {
    // The reporter reaches the member, so this router probes the member again.
    if (record.view.state == MemberState::failed) state_.expedite_probe(member);
  } else if (record.view.state != MemberState::left) {
    record.claim_kind = ClaimKind::leaving;
    group_.set_state(member, MemberState::leaving, "it announced its shutdown");
    if (record.view.state_since == now_) state_.announce(member);
  }
}

// Takes over the claim's incarnation and its kind.
void ClaimHandler::adopt(std::size_t member, const Claim& claim) {
  identities_.on_newer_claim(member, claim);
  MemberRecord& record = state_.members[member];
  record.view.incarnation = claim.incarnation;
  record.claim_kind = claim.claim_kind;
  record.suspecting_members.clear();
}

// Handles a higher incarnation: the member refuted a suspicion, restarted, or announces its shutdown.
void ClaimHandler::on_newer_incarnation(std::size_t member, const Claim& claim, Source source) {
  adopt(member, claim);
  MemberRecord& record = state_.members[member];
  record.needs_warning = false;
  state_.announce(member);
  if (claim.claim_kind == ClaimKind::leaving)
    return group_.set_state(member, MemberState::leaving, "it announced its shutdown");
  const bool is_from_itself = source == Source::member_itself;
  if (is_doubted(record.view.state) && !is_from_itself) {
    ++record.suspicions_cleared_by_others;
    if (record.suspicions_cleared_by_others > kMaxSuspicionsClearedByOthers)
      return state_.expedite_probe(member);
  }
  record.failed_rounds = 0;
  record.doubted_since = 0;
  record.next_round_at = 0;
  group_.mark_stale();
  group_.set_state(member, MemberState::alive,
                   is_from_itself ? "it sent a message" : "it refuted an earlier claim");
}

void ClaimHandler::on_suspicion(std::size_t member, const Claim& claim, std::size_t reporter) {
  MemberRecord& record = state_.members[member];
  if (claim.incarnation > record.view.incarnation) adopt(member, claim);
  switch (record.view.state) {
    case MemberState::alive: return on_suspicion_of_live_member(member, reporter);
    case MemberState::unknown: return state_.expedite_probe(member);
    case MemberState::suspected: return add_suspecting_member(record, reporter);
    default: return;
  }
}

void ClaimHandler::add_suspecting_member(MemberRecord& record, std::size_t reporter) {
  auto& suspecting_members = record.suspecting_members;
  if (suspecting_members.size() >= kMaxSuspectingMembers) return;
  if (std::find(suspecting_members.begin(), suspecting_members.end(), reporter) == suspecting_members.end())
    suspecting_members.push_back(reporter);
}

void ClaimHandler::on_suspicion_of_live_member(std::size_t member, std::size_t reporter) {
  MemberRecord& record = state_.members[member];
  const Time recent = kRecentAnswerPeriods * state_.options.period;
  if (record.view.last_answer_at > 0 && now_ - record.view.last_answer_at < recent) {
    record.needs_warning = true;
    state_.expedite_probe(member);
    return note_contradiction(state_, now_, member, reporter);
  }
  record.suspecting_members.push_back(reporter);
  record.claim_kind = ClaimKind::suspected;
  group_.suspect(member, state_.roster->at(reporter).name + " suspects it");
  state_.announce(member);
}

void ClaimHandler::on_claim_about_self(const Claim& claim) {
  const MemberView& local = state_.local().view;
  if (claim.incarnation < local.incarnation) return;
  if (claim.identity.instance_id != local.identity.instance_id) return identities_.on_rival(claim);
  const bool is_true =
      claim.claim_kind == ClaimKind::alive || (claim.claim_kind == ClaimKind::leaving && state_.leaving);
  if (is_true && claim.incarnation == local.incarnation) return;
  if (claim.claim_kind == ClaimKind::suspected) {
    ++state_.metrics.refuted_suspicions;
    state_.health.worsen();
  }
  state_.refute(now_, claim.incarnation);
}

}  // namespace thornwick::membership
