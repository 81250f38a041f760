// This router's complete record of one member. Other modules read only the MemberView in the record.
#pragma once

#include <cstddef>
#include <cstdint>
#include <deque>
#include <vector>

#include "membership/loss_rate.hpp"
#include "membership/member_view.hpp"
#include "membership/token_bucket.hpp"

namespace thornwick::membership {

inline constexpr double kMemberLossWeight = 1.0 / 8;
inline constexpr double kMaxContradictions = 8;    // capacity of a reporter's allowance
inline constexpr double kMaxAnswersPerPeriod = 8;  // answers to one member

struct MemberRecord {
  explicit MemberRecord(std::size_t no_helper) : last_helper(no_helper) {}

  MemberView view;

  // Evidence against the member.
  std::uint32_t failed_rounds = 0;  // consecutive, since the last answer; 0: the member is not in doubt
  Time doubted_since = 0;
  Time next_round_at = 0;                       // a doubted member gets no round before this time
  std::vector<std::size_t> suspecting_members;  // members that suspect this incarnation
  // Suspicions that other members' claims cleared since the member's last answer.
  std::uint32_t suspicions_cleared_by_others = 0;

  // Probes of the member.
  bool is_being_probed = false;
  bool answered_since_reset = false;  // since this process last started, was suspended or cut off
  std::size_t last_helper;  // the helper through which the member last answered; the roster's size: none
  LossRate loss{0, kMemberLossWeight};

  // Claims about the member.
  ClaimKind claim_kind = ClaimKind::alive;  // kind of the strongest claim at this incarnation
  bool needs_warning = false;               // the next message to the member carries the claim to refute
  // The latest incarnation at which this router contradicted a suspicion of the member.
  std::uint64_t contradicted_incarnation = 0;

  // Processes that use or used the member's name.
  std::deque<std::uint32_t> superseded_instances;  // instance ids, the latest last
  std::uint32_t return_count = 0;                  // recent claims of superseded processes
  Time last_return_at = 0;
  Time conflict_confirmed_at = 0;  // when `view.name_conflict` was last confirmed

  // Limits on the member as a reporter and as a requester.
  TokenBucket contradiction_allowance{kMaxContradictions};  // contradictions that the member may still cause
  Time distrusted_until = 0;
  TokenBucket answer_allowance{kMaxAnswersPerPeriod};  // answers that this router may still send
};

// Whether a member in this state is not expected to answer probes.
inline bool is_absent(MemberState state) {
  return state == MemberState::failed || state == MemberState::left;
}
// Whether a member in this state counts as running.
inline bool is_present(MemberState state) {
  return state == MemberState::alive || state == MemberState::leaving;
}
// Whether a member in this state is suspected or has failed.
inline bool is_doubted(MemberState state) {
  return state == MemberState::suspected || state == MemberState::failed;
}

}  // namespace thornwick::membership
