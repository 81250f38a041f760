// This router's whole record of one member. Other modules read the MemberView in it only.
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
inline constexpr double kMostContradictions = 8;  // a reporter's credit
inline constexpr double kAnswersPerPeriod = 8;    // to one member

struct MemberRecord {
  explicit MemberRecord(std::size_t no_helper) : helper(no_helper) {}

  MemberView view;

  // Doubt.
  std::uint32_t failed_rounds = 0;  // consecutive, since the last answer; 0: the member is not in doubt
  Time doubted_since = 0;
  Time next_round_at = 0;              // a doubted member gets no round before this time
  std::vector<std::size_t> accusers;   // other members that suspect it at this incarnation
  std::uint32_t indirect_excuses = 0;  // suspicions that other members' claims ended since its last answer

  // Probes.
  bool probing = false;
  bool answered_since_reset = false;  // since this process last started, was suspended or cut off
  std::size_t helper;                 // the helper that last reached it; the roster's size: none
  LossRate loss{0, kMemberLossWeight};

  // Claims.
  ClaimKind claim_kind = ClaimKind::alive;  // the strongest claim at this incarnation
  bool warn = false;                        // the next message to it carries the claim that it should refute
  std::uint64_t contradicted_incarnation =
      0;  // the latest at which this router contradicted a suspicion of it

  // Processes under its name.
  std::deque<std::uint32_t> superseded_instances;  // the latest last
  std::uint32_t returns = 0;                       // recent claims of superseded runs
  Time returned_at = 0;
  Time conflict_at = 0;  // when `view.name_conflict` was last confirmed

  // The member as a peer.
  TokenBucket credit{kMostContradictions};  // contradictions that it may still cause as a reporter
  Time distrusted_until = 0;
  TokenBucket answers{kAnswersPerPeriod};  // that this router may still send to it
};

// Whether a member in this state is not expected to answer probes.
inline bool is_absent(MemberState state) {
  return state == MemberState::failed || state == MemberState::left;
}
// Whether a member in this state counts as running.
inline bool is_present(MemberState state) {
  return state == MemberState::alive || state == MemberState::leaving;
}
// Whether a member in this state has not answered for a while.
inline bool is_doubted(MemberState state) {
  return state == MemberState::suspected || state == MemberState::failed;
}

}  // namespace thornwick::membership
