// The data that the parts of the routing policy share. Storage only: each decision is in one of the sources
// that deploy/balancer.toml lists under `policy`.
#pragma once

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <unordered_map>
#include <utility>
#include <vector>

#include "policy/records.hpp"
#include "policy/size_distribution.hpp"
#include "random/hashing.hpp"
#include "thornwick/routing_policy.hpp"

namespace thornwick {

// Replicas in the order of their ids, with the upper edges of their shares on [0, 1). `members` and `edges`
// are of equal length; the pointers are into PolicyState::replicas.
struct IntervalCut {
  std::vector<Replica*> members;
  std::vector<double> edges;
  double fill = 0;  // 0..1; part of the load of all its replicas that the members can take now
  bool any_warm = false;

  // The index of the replica whose interval holds the position. Requires members.
  std::size_t member_at(double position) const {
    const auto edge = std::upper_bound(edges.begin(), edges.end(), position);
    return std::min<std::size_t>(static_cast<std::size_t>(edge - edges.begin()), members.size() - 1);
  }
  // The lower edge of a replica's interval.
  double lower_edge(std::size_t member) const { return member == 0 ? 0 : edges[member - 1]; }
  // The next replica in the order, or the previous one for the last; the same one if it is alone.
  std::size_t adjacent(std::size_t owner) const {
    if (owner + 1 < members.size()) return owner + 1;
    return owner == 0 ? 0 : owner - 1;
  }
};

// A reproducible sequence of random numbers.
class RandomStream {
 public:
  explicit RandomStream(std::uint64_t seed) : state_(seed) {}

  // The next number, between 0 and 1.
  double draw() {
    state_ = mix(state_);
    return unit_interval(state_);
  }
  // A random pause between half of the given one and one and a half times it.
  Time jittered(Time pause) { return static_cast<Time>((0.5 + draw()) * static_cast<double>(pause)); }

 private:
  std::uint64_t state_;
};

// The actions decided since they were last taken, in the order they are to be carried out.
class ActionQueue {
 public:
  void push(Action action) { actions_.push_back(std::move(action)); }
  void set_timer(Time when, std::uint32_t token) {
    push({.kind = ActionKind::set_timer, .time = when, .token = token});
  }
  void send(RequestId id, ReplicaId replica) {
    push({.kind = ActionKind::send, .id = id, .replica = replica});
  }
  void cancel(RequestId id, std::size_t attempt) {
    push({.kind = ActionKind::cancel, .id = id, .attempt = static_cast<std::uint8_t>(attempt)});
  }
  // Ends a request with this router's own answer: a rejection or a failure, with its Retry-After.
  void finish(ActionKind kind, RequestId id, Time retry_after, RefusalReason refusal) {
    push({.kind = kind, .id = id, .time = retry_after, .refusal = refusal});
  }
  void message_peers(std::string message) {
    push({.kind = ActionKind::message_peer, .token = Gossip::kAllPeers, .message = std::move(message)});
  }
  std::vector<Action> take() { return std::exchange(actions_, {}); }

 private:
  std::vector<Action> actions_;
};

// Tokens of timers with one purpose; reviews of requests use those from kFirstReviewTimer on.
inline constexpr std::uint32_t kDiscoveryTimer = 0;
inline constexpr std::uint32_t kGossipTimer = 1;
inline constexpr std::uint32_t kFirstReviewTimer = 2;

// The requests that a timer will bring up for review, by the timer's token.
class ReviewTimers {
 public:
  // Registers a review; returns the token for its timer.
  std::uint32_t add(RequestId id) {
    last_token_ = std::max(last_token_ + 1, kFirstReviewTimer);
    reviews_[last_token_] = id;
    return last_token_;
  }
  // The request whose review is due with the token, if it is one of a review. It is forgotten.
  std::optional<RequestId> take(std::uint32_t token) {
    const auto review = reviews_.extract(token);
    return review.empty() ? std::nullopt : std::optional(review.mapped());
  }

 private:
  std::unordered_map<std::uint32_t, RequestId> reviews_;
  std::uint32_t last_token_ = 0;
};

// The work of requests by their prompt prefix.
class PrefixWork {
 public:
  using Table = std::map<std::uint64_t, double>;

  void add(std::uint64_t prefix, double work) {
    total_ += work;
    table_[prefix] += work;
  }
  // Adds a prefix that is not known yet.
  void add_new(std::uint64_t prefix, double work) {
    if (table_.try_emplace(prefix, work).second) total_ += work;
  }
  // Drops the prefixes whose work is below the mean and halves the others.
  void decay();

  const Table& table() const { return table_; }
  // The part of a prefix in all recorded work and `other_work` together, 0..1; 0 for an unknown prefix.
  double fraction_of(std::uint64_t prefix, double other_work) const {
    const auto found = table_.find(prefix);
    return found == table_.end() ? 0 : found->second / std::max(1e-9, total_ + other_work);
  }

 private:
  Table table_;
  double total_ = 0;
};

// Shared by all parts of one RoutingPolicy. A part's private data is in the part.
struct PolicyState {
  // Throws std::invalid_argument where the settings make no sense.
  explicit PolicyState(const Settings& policy_settings);

  // Before a full list: what it omits is gone.
  void mark_all_gone() {
    for (auto& [id, replica] : replicas) replica.listing.state = EndpointState::removed;
  }

  // Drops the replicas that are gone and that no request refers to, and invalidates the cuts. This bounds the
  // memory where replicas are replaced often, and a new replica does not get the record of an earlier one
  // with its id.
  void forget_gone_replicas();

  // The record of a replica; nullptr if the id is unknown.
  Replica* find_replica(ReplicaId id) {
    const auto found = replicas.find(id);
    return found == replicas.end() ? nullptr : &found->second;
  }
  // A request in work; nullptr if the id is unknown.
  PendingRequest* find_pending(RequestId id) {
    const auto found = pending.find(id);
    return found == pending.end() ? nullptr : &found->second;
  }

  // Counts a request that another pool's policy has sent to a replica that both pools share.
  void count_shared_send(ReplicaId id) {
    if (Replica* replica = find_replica(id)) ++replica->in_flight;
  }

  // The ready replicas that are ejected and get no share of the cuts.
  std::vector<ReplicaId> ejected(Time now) const;

  Settings settings;
  Time longest_latency_objective = 0;  // of all classes of request
  RandomStream random;
  ActionQueue actions;

  std::map<ReplicaId, Replica> replicas;  // in sorted-id order, the order all routers share
  std::unordered_map<RequestId, PendingRequest> pending;

  // The cuts over the replicas at home and over all others; computed again when stale (interval_cuts.hpp).
  IntervalCut home_cut;
  IntervalCut remote_cut;
  bool cuts_are_stale = true;

  // Learned, and handed to a successor (learned_state.hpp).
  std::vector<Sample> samples;  // a ring: next_sample modulo its size is the oldest once it is full
  std::size_t next_sample = 0;  // counts all samples ever recorded
  PrefixWork prefix_work;
  std::map<std::uint16_t, double> pace_of_kind;  // of each kind of replica; 1 until seen to be slow
  std::vector<double> tenant_usage;              // recent requests of each tenant
  double zone_overflow = 0;                      // part of the sessions that leave the zone
  double load_shedding = 0;                      // part of the arrivals that is rejected at once
};

}  // namespace thornwick
