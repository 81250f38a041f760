#include "membership/claim_handler.hpp"

#include <algorithm>

#include "membership/reporter_trust.hpp"

namespace thornwick::membership {
namespace {

// The most by which another router's claim may raise a member's incarnation, so that a faulty router cannot
// use up the member's numbers.
constexpr std::uint64_t kMostIncarnationJump = std::uint64_t{1} << 26;
// The number of suspicions that other routers' claims may end before the member has to answer itself. Without
// this limit a faulty router could keep a failed member alive.
constexpr std::uint32_t kMostIndirectExcuses = 3;
constexpr std::size_t kMostAccusers = 4;
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
  const bool from_itself = reporter == member;
  if (!from_itself && known > 0 && claim.incarnation - known > kMostIncarnationJump) {
    ++state_.metrics.implausible_incarnations;
    return;
  }
  if (claim.claim_kind == ClaimKind::suspected) return on_suspicion(member, claim, reporter);
  on_newer_incarnation(member, claim, from_itself ? Source::member_itself : Source::another);
}

// Handles a claim at the known incarnation.
void ClaimHandler::on_current_claim(std::size_t member, const Claim& claim, std::size_t reporter) {
  MemberRecord& record = state_.members[member];
  if (claim.claim_kind == ClaimKind::suspected) {
    if (reporter != member) on_suspicion(member, claim, reporter);
  } else if (claim.claim_kind == ClaimKind::alive) {
    // The reporter reaches the member, so this router probes it again.
    if (record.view.state == MemberState::failed) state_.expedite_probe(member);
  } else if (record.view.state != MemberState::left) {
    record.claim_kind = ClaimKind::leaving;
    group_.set_state(member, MemberState::leaving, "it says that it ends");
    if (record.view.state_since == now_) state_.announce(member);
  }
}

// Takes over the claim's incarnation and its kind.
void ClaimHandler::adopt(std::size_t member, const Claim& claim) {
  identities_.on_newer_claim(member, claim);
  MemberRecord& record = state_.members[member];
  record.view.incarnation = claim.incarnation;
  record.claim_kind = claim.claim_kind;
  record.accusers.clear();
}

// Handles a higher incarnation: the member refuted a suspicion, restarted, or announces its shutdown.
void ClaimHandler::on_newer_incarnation(std::size_t member, const Claim& claim, Source source) {
  adopt(member, claim);
  MemberRecord& record = state_.members[member];
  record.warn = false;
  state_.announce(member);
  if (claim.claim_kind == ClaimKind::leaving)
    return group_.set_state(member, MemberState::leaving, "it says that it ends");
  const bool from_itself = source == Source::member_itself;
  if (is_doubted(record.view.state) && !from_itself) {
    ++record.indirect_excuses;
    if (record.indirect_excuses > kMostIndirectExcuses) return state_.expedite_probe(member);
  }
  record.failed_rounds = 0;
  record.doubted_since = 0;
  record.next_round_at = 0;
  group_.mark_stale();
  group_.set_state(member, MemberState::alive,
                   from_itself ? "it speaks" : "it outranked what was said of it");
}

void ClaimHandler::on_suspicion(std::size_t member, const Claim& claim, std::size_t reporter) {
  MemberRecord& record = state_.members[member];
  if (claim.incarnation > record.view.incarnation) adopt(member, claim);
  switch (record.view.state) {
    case MemberState::alive: return on_suspicion_of_live_member(member, reporter);
    case MemberState::unknown: return state_.expedite_probe(member);
    case MemberState::suspected: return add_accuser(record, reporter);
    default: return;
  }
}

void ClaimHandler::add_accuser(MemberRecord& record, std::size_t reporter) {
  auto& accusers = record.accusers;
  if (accusers.size() >= kMostAccusers) return;
  if (std::find(accusers.begin(), accusers.end(), reporter) == accusers.end()) accusers.push_back(reporter);
}

void ClaimHandler::on_suspicion_of_live_member(std::size_t member, std::size_t reporter) {
  MemberRecord& record = state_.members[member];
  const Time recent = kRecentAnswerPeriods * state_.options.period;
  if (record.view.last_answer_at > 0 && now_ - record.view.last_answer_at < recent) {
    record.warn = true;
    state_.expedite_probe(member);
    return note_contradiction(state_, now_, member, reporter);
  }
  record.accusers.push_back(reporter);
  record.claim_kind = ClaimKind::suspected;
  group_.suspect(member, state_.roster->at(reporter).name + " suspects it");
  state_.announce(member);
}

void ClaimHandler::on_claim_about_self(const Claim& claim) {
  const MemberView& own = state_.own().view;
  if (claim.incarnation < own.incarnation) return;
  if (claim.identity.instance_id != own.identity.instance_id) return identities_.on_rival(claim);
  const bool true_claim =
      claim.claim_kind == ClaimKind::alive || (claim.claim_kind == ClaimKind::leaving && state_.leaving);
  if (true_claim && claim.incarnation == own.incarnation) return;
  if (claim.claim_kind == ClaimKind::suspected) {
    ++state_.metrics.refuted_suspicions;
    state_.health.worsen();
  }
  state_.refute(now_, claim.incarnation);
}

}  // namespace thornwick::membership
