// The complete state of the failure detector, as a value. The classes that work on the state, one for each
// concern, live for one call and have no state of their own:
//
//   GroupEvaluation   member states, and the condition of the group: running members, partition, reliability
//   ProbeRounds       starting rounds, second pings, requests to helpers
//   FailureDetector   answers and missing answers: suspicion, failure, recovery
//   ProbeSchedule     the order and the times of probes
//   IdentityTracker   restarts, and two processes under one name
//   ClaimHandler      claims of other routers
//   MessageHandler    datagrams that arrive
//
// Each class uses only classes above it in this list.
#pragma once

#include <cstddef>
#include <cstdint>
#include <deque>
#include <memory>
#include <string>
#include <vector>

#include "membership/gossip_queue.hpp"
#include "membership/local_health.hpp"
#include "membership/loss_rate.hpp"
#include "membership/member_record.hpp"
#include "membership/options.hpp"
#include "membership/output.hpp"
#include "membership/probe_state.hpp"
#include "membership/random_sequence.hpp"
#include "membership/roster.hpp"

namespace thornwick::membership {

inline constexpr double kInitialLoss = 0.05;
inline constexpr double kGroupLossWeight = 1.0 / 16;

// The condition of the group as a whole, in this router's view.
struct GroupCondition {
  bool stale = true;                         // the condition has to be evaluated again
  std::size_t running = 1;                   // running members, this router included
  std::vector<std::size_t> running_by_site;  // running members by site, this router included
  bool cut_off = false;                      // this router reaches fewer than half of the members
  bool view_is_reliable = false;             // enough members answered since the last reset
  std::uint32_t unanswered_in_a_row = 0;     // unanswered ordinary probes of different members
  Time last_answer_at = 0;                   // latest answer of any member
};

// Another process that uses, or used, this router's name.
struct Rival {
  std::uint32_t instance_id = 0;
  std::uint64_t refuted_with = 0;  // the incarnation with which this router refuted it
  std::uint32_t return_count = 0;  // claims with a higher incarnation afterwards
};

struct SwimState {
  SwimState(std::shared_ptr<const Roster> group_roster, std::size_t local_index, const Options& tunables,
            std::uint64_t seed, Time now);

  MemberRecord& local() { return members[self]; }
  const MemberRecord& local() const { return members[self]; }
  bool has_helper(const MemberRecord& member) const { return member.last_helper != roster->size(); }
  // The claim about a member that this router passes on: the strongest claim at the member's incarnation, not
  // this router's own state for the member. A doubt that this router has not announced must not become a
  // suspicion at an incarnation that the member has only just reached.
  Claim claim_of(std::size_t member) const;
  // Whether a claim may be passed on. A router that is cut off passes on no suspicions.
  bool may_pass_on(const Claim& claim) const {
    return !(condition.cut_off && claim.claim_kind == ClaimKind::suspected);
  }
  // Passes on the current claim about the member with the next messages.
  void announce(std::size_t member) { gossip.push(claim_of(member)); }
  // Queues a member to be probed out of turn, unless too many members are queued.
  void expedite_probe(std::size_t member);
  // Raises this router's incarnation above a claimed one, and announces it.
  void refute(Time now, std::uint64_t claimed);
  void report(std::size_t member, std::string text, Severity severity = Severity::info);

  std::shared_ptr<const Roster> roster;
  std::size_t self;  // this router's index in the roster
  Options options;

  RandomSequence random;
  std::vector<MemberRecord> members;  // by index in the roster, this router included
  GroupCondition condition;
  LossRate loss{kInitialLoss, kGroupLossWeight};
  LocalHealth health;
  GossipQueue gossip;
  ProbeState probes;
  std::deque<Rival> rivals;
  Time refuted_at = 0;
  bool leaving = false;
  Time last_call_at;  // time of the last call of Swim

  Metrics metrics;
  std::vector<Change> changes;
  std::vector<OutgoingDatagram> datagrams;
};

}  // namespace thornwick::membership
