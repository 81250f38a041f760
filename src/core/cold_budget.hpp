// How much all routers together may send to a replica that has just started, divided among them without a message.
// Stands in front of whoever decides; no I/O.
//
// Promise: in no window of `tip_after` do the parts of all routers sum to more than the settings allow a cold replica
// then, N = tip_multiple x its present capacity x tip_after, and one. Capacity is in requests a second: the members'
// quotas over the whole service, by listed weight; present capacity rises evenly from cold_from, the least that the
// settings promise. Without quotas nobody can tell, and nothing is limited here.
//
// The time since the start, the same at every router, is cut into steps of a quarter of a window; each may have a fifth
// of N, so that a window that lies across five steps holds no more than N. What steps may have is numbered in one row,
// and number s belongs to router s mod group_size: parts below one a step come round in turn. A router that has just
// started itself may have forgotten what it sent, and sends nothing in the step in which it started.
//
// Where a router's turn would come less often than every kTurns windows, each has too few requests for its turns to be
// used: all of 300 routers in turn sent a cold replica 7 % of its ramp (docs/standing.md). There the module's shares,
// whose mean is under half of N, decide, and a router sends one in a window at the most: neither its repeats nor its
// own crowd add to the sum.
//
// A send that is not covered gets the outcome `not_sent` at once; whoever decides goes elsewhere.
#pragma once

#include <map>
#include <unordered_map>

#include "core/decider.hpp"

namespace sprucecourse::core {

class ColdBudget final : public Outer {
 public:
  static constexpr int kSteps = 4;      // a window has
  static constexpr double kTurns = 4;

  ColdBudget(std::unique_ptr<Decider> inner, const Settings& settings, Time now);

  void on_directory(Time now, DirectoryScope scope, std::span<const ReplicaListing> entries) override;
  void on_request(Time now, const Request& request) override;
  void on_first_token(Time now, RequestId id, std::uint8_t attempt, ReplicaId replica, Time elapsed) override;
  void on_attempt_result(Time now, const AttemptResult& result) override;
  void on_timer(Time now, std::uint32_t token) override;
  std::vector<Action> take_actions() override;

  // What the settings allow this replica in a window that begins `age` after its start; infinity for one that is warm.
  double allowed(const ReplicaListing& replica, Time age) const;
  // Whether this router may send one more to it now; counts it if so.
  bool spend(Time now, ReplicaId replica);
  std::uint64_t spared() const { return spared_; }  // sends that were not covered

 private:
  struct Ramp {
    Time started = 0;
    long step = -1;         // the latest one in which anything was sent
    std::uint64_t spent = 0;  // in it
    Time last = 0;            // when anything was sent
  };
  bool spend_one(Time now, Ramp& ramp, Time started) const;
  // Of all routers' sends, how many the steps before this one may have.
  std::uint64_t before(const ReplicaListing& replica, long step) const;

  Settings settings_;
  double quota_ = 0;  // requests a second, all members
  Time begun_ = 0, now_ = 0;
  std::map<ReplicaId, ReplicaListing> ready_;
  double weights_ = 0;  // of all that are ready
  std::unordered_map<ReplicaId, Ramp> ramps_;
  std::uint64_t spared_ = 0;
};

}  // namespace sprucecourse::core
