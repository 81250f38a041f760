// The data that the modules of the routing policy share. This is storage only: each decision is in one of the
// source files that deploy/balancer.toml lists under `policy`.
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

// A division of the interval [0, 1) among replicas in the order of their ids. `edges` contains the upper edge
// of the share of each member; both vectors have the same length. The pointers refer to
// PolicyState::replicas.
struct IntervalCut {
  std::vector<Replica*> members;
  std::vector<double> edges;
  double available = 0;  // 0..1; fraction of the load of its side that the members can take now
  bool any_warm = false;

  // Returns the index of the replica whose interval contains the position. Requires at least one member.
  std::size_t member_at(double position) const {
    const auto edge = std::upper_bound(edges.begin(), edges.end(), position);
    return std::min<std::size_t>(static_cast<std::size_t>(edge - edges.begin()), members.size() - 1);
  }
  // Returns the lower edge of a replica's interval.
  double lower_edge(std::size_t member) const { return member == 0 ? 0 : edges[member - 1]; }
  // Returns the index of the next replica, or of the previous one for the last replica, or `owner` if it is
  // the only member.
  std::size_t adjacent(std::size_t owner) const {
    if (owner + 1 < members.size()) return owner + 1;
    return owner == 0 ? 0 : owner - 1;
  }
};

// A reproducible sequence of random numbers.
class RandomStream {
 public:
  explicit RandomStream(std::uint64_t seed) : state_(seed) {}

  // Returns the next number, between 0 and 1, both excluded.
  double draw() {
    state_ = mix(state_);
    return unit_interval(state_);
  }
  // Returns a random pause between 0.5 and 1.5 times the given one.
  Time jittered(Time pause) { return static_cast<Time>((0.5 + draw()) * static_cast<double>(pause)); }

 private:
  std::uint64_t state_;
};

// The actions decided since the last take(), in the order in which they must be carried out.
class ActionQueue {
 public:
  void push(Action action) { actions_.push_back(std::move(action)); }
  void set_timer(Time expires_at, std::uint32_t token) {
    push({.kind = ActionKind::set_timer, .time = expires_at, .token = token});
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

// Timer tokens. Each review of a request has a token of its own, from kFirstReviewTimer on.
inline constexpr std::uint32_t kDiscoveryTimer = 0;
inline constexpr std::uint32_t kGossipTimer = 1;
inline constexpr std::uint32_t kFirstReviewTimer = 2;

// The requests that wait for a review, by the token of the timer.
class ReviewTimers {
 public:
  // Registers a review; returns the token for its timer.
  std::uint32_t add(RequestId id) {
    last_token_ = std::max(last_token_ + 1, kFirstReviewTimer);
    reviews_[last_token_] = id;
    return last_token_;
  }
  // Removes and returns the request whose review has this token; nullopt if there is none.
  std::optional<RequestId> take(std::uint32_t token) {
    const auto review = reviews_.extract(token);
    return review.empty() ? std::nullopt : std::optional(review.mapped());
  }

 private:
  std::unordered_map<std::uint32_t, RequestId> reviews_;
  std::uint32_t last_token_ = 0;
};

// The decayed work of requests, by prompt prefix.
class PrefixWork {
 public:
  using Table = std::map<std::uint64_t, double>;

  void add(std::uint64_t prefix, double work) {
    total_ += work;
    table_[prefix] += work;
  }
  // Adds the work of a prefix unless the prefix is already recorded.
  void add_new(std::uint64_t prefix, double work) {
    if (table_.try_emplace(prefix, work).second) total_ += work;
  }
  // Removes the prefixes whose work is below the mean, and halves the work of the others.
  void decay();

  const Table& table() const { return table_; }
  // Returns the fraction (0..1) of a prefix in the sum of all recorded work and `other_work`; 0 if the prefix
  // is unknown.
  double fraction_of(std::uint64_t prefix, double other_work) const {
    const auto found = table_.find(prefix);
    return found == table_.end() ? 0 : found->second / std::max(1e-9, total_ + other_work);
  }

 private:
  Table table_;
  double total_ = 0;
};

// The data shared by all modules of one RoutingPolicy. Data that only one module uses is in that module.
struct PolicyState {
  // Throws std::invalid_argument if a setting is invalid.
  explicit PolicyState(const Settings& policy_settings);

  // Marks all replicas as removed. To be called before a full list is applied, which omits removed replicas.
  void mark_all_removed() {
    for (auto& [id, replica] : replicas) replica.listing.state = EndpointState::removed;
  }

  // Deletes the records of removed replicas that no request refers to, and clears the cuts. This limits
  // memory use where replicas are replaced often, and keeps a new replica from inheriting the record of an
  // earlier replica with the same id.
  void erase_removed_replicas();

  // Returns the record of a replica; nullptr if the id is unknown.
  Replica* find_replica(ReplicaId id) {
    const auto found = replicas.find(id);
    return found == replicas.end() ? nullptr : &found->second;
  }
  // Returns a request in progress; nullptr if the id is unknown.
  PendingRequest* find_pending(RequestId id) {
    const auto found = pending.find(id);
    return found == pending.end() ? nullptr : &found->second;
  }

  // Counts a request that another pool's policy has sent to a replica that both pools share.
  void count_shared_send(ReplicaId id) {
    if (Replica* replica = find_replica(id)) ++replica->in_flight;
  }

  // Returns the ready replicas that are ejected and get no share of the cuts.
  std::vector<ReplicaId> ejected(Time now) const;

  Settings settings;
  Time longest_latency_objective = 0;  // the longest one of all classes
  RandomStream random;
  ActionQueue actions;

  std::map<ReplicaId, Replica> replicas;  // in the order of the ids, which is the same for all routers
  std::unordered_map<RequestId, PendingRequest> pending;

  // The cuts over the replicas at home and over all others (interval_cuts.hpp).
  IntervalCut home_cut;
  IntervalCut remote_cut;
  bool cuts_are_stale = true;  // the cuts must be computed again

  // What is learned, and handed over to a successor (learned_state.hpp).
  std::vector<Sample> samples;  // ring buffer; once full, next_sample modulo its size is the oldest
  std::size_t next_sample = 0;  // number of samples that were ever recorded
  PrefixWork prefix_work;
  std::map<std::uint16_t, double> kind_speed_factors;  // by kind of replica; 1 until its answers are slow
  std::vector<double> tenant_usage;                    // decayed number of requests of each tenant
  double zone_overflow = 0;                            // fraction of the sessions that leave the zone
  double load_shedding = 0;                            // fraction of the arrivals that are rejected at once
};

}  // namespace thornwick
