#include "emulator/baseline_policies.hpp"

#include <absl/container/flat_hash_map.h>

#include <algorithm>
#include <cmath>
#include <functional>
#include <limits>
#include <stdexcept>
#include <utility>

#include "emulator/random_stream.hpp"
#include "random/hashing.hpp"

namespace thornwick::emulator {
namespace {

// The base of all baseline policies. The class keeps the ready replicas in the order of their ids and the
// attempts in flight, and retries a request until its attempts are used up. A request is rejected only then,
// or if no replica is ready.
class BaselinePolicy : public core::Decider {
 public:
  explicit BaselinePolicy(const BaselineSettings& settings)
      : settings_(settings), random_(settings.seed, StreamPurpose::policy) {}

  void on_endpoints(Time, EndpointUpdate scope, std::span<const Endpoint> entries) override {
    if (scope == EndpointUpdate::failed) return;
    if (scope == EndpointUpdate::full) {
      ready_.clear();
      weights_.clear();
    }
    for (const auto& entry : entries) update(entry);
  }

  void on_request(Time, const Request& request) override {
    OpenRequest& open = open_[request.id];
    open.request = request;
    send(open);
  }

  void on_first_token(Time, RequestId, std::uint8_t, ReplicaId, Time) override {}

  void on_attempt_result(Time, const AttemptResult& result) override {
    if (--in_flight_[result.replica] <= 0) in_flight_.erase(result.replica);
    const auto found = open_.find(result.id);
    if (found == open_.end()) return;
    if (result.concluded) {
      open_.erase(found);
      return;
    }
    found->second.last = result.replica;
    send(found->second);
  }

  void on_client_disconnected(Time, RequestId id) override { open_.erase(id); }
  void on_timer(Time, std::uint32_t) override {}
  void on_probe_result(Time, ReplicaId, bool, std::span<const float>) override {}
  void on_peer_message(Time, std::uint32_t, std::span<const std::uint8_t>) override {}
  std::vector<Action> take_actions() override { return std::exchange(actions_, {}); }

 protected:
  struct OpenRequest {
    Request request;
    std::uint32_t attempts = 0;
    ReplicaId last = 0;  // replica of the last attempt, which failed
  };

  // Returns an index into ready(), which is not empty when choose() is called.
  virtual std::size_t choose(const OpenRequest& open) = 0;

  const std::vector<ReplicaId>& ready() const { return ready_; }

  // Returns the number of attempts in flight at a ready replica.
  int in_flight(std::size_t index) const {
    const auto found = in_flight_.find(ready_[index]);
    return found == in_flight_.end() ? 0 : found->second;
  }

  // Returns the capacity of a ready replica that discovery lists.
  double weight(std::size_t index) const { return weights_.at(ready_[index]); }

  RandomStream& random() { return random_; }
  const BaselineSettings& settings() const { return settings_; }

 private:
  void update(const Endpoint& entry) {
    constexpr double kMinWeight = 1e-3;
    const auto at = std::lower_bound(ready_.begin(), ready_.end(), entry.id);
    const bool listed = at != ready_.end() && *at == entry.id;
    if (entry.state == EndpointState::ready) {
      if (!listed) ready_.insert(at, entry.id);
      weights_[entry.id] = std::max(kMinWeight, static_cast<double>(entry.weight));
    } else if (listed) {
      ready_.erase(at);
    }
  }

  void send(OpenRequest& open) {
    const RequestId id = open.request.id;
    if (ready_.empty() || open.attempts >= settings_.attempts) {
      actions_.push_back({.kind = ActionKind::reject, .id = id});
      open_.erase(id);
      return;
    }
    std::size_t index = choose(open);
    // A retry does not go to the replica that has just failed.
    if (open.attempts > 0 && ready_[index] == open.last) index = (index + 1) % ready_.size();
    ++open.attempts;
    ++in_flight_[ready_[index]];
    actions_.push_back({.kind = ActionKind::send, .id = id, .replica = ready_[index]});
  }

  BaselineSettings settings_;
  RandomStream random_;
  std::vector<ReplicaId> ready_;
  absl::flat_hash_map<ReplicaId, double> weights_;
  absl::flat_hash_map<ReplicaId, int> in_flight_;
  absl::flat_hash_map<RequestId, OpenRequest> open_;
  std::vector<Action> actions_;
};

class Random final : public BaselinePolicy {
 public:
  using BaselinePolicy::BaselinePolicy;

 private:
  std::size_t choose(const OpenRequest&) override { return random().below(ready().size()); }
};

class RoundRobin final : public BaselinePolicy {
 public:
  // The first replica depends on the seed, so that routers begin with different replicas.
  explicit RoundRobin(const BaselineSettings& settings) : BaselinePolicy(settings), next_(settings.seed) {}

 private:
  std::size_t choose(const OpenRequest&) override { return next_++ % ready().size(); }

  std::size_t next_;
};

class LeastOutstanding final : public BaselinePolicy {
 public:
  using BaselinePolicy::BaselinePolicy;

 private:
  std::size_t choose(const OpenRequest&) override {
    const std::size_t start = random().below(ready().size());  // a random start breaks ties evenly
    std::size_t best = start;
    for (std::size_t i = 1; i < ready().size(); ++i) {
      const std::size_t index = (start + i) % ready().size();
      if (in_flight(index) < in_flight(best)) best = index;
    }
    return best;
  }
};

// Chooses the less loaded of two random replicas: Mitzenmacher 2001, "The power of two choices in randomized
// load balancing".
class TwoChoices final : public BaselinePolicy {
 public:
  using BaselinePolicy::BaselinePolicy;

 private:
  std::size_t choose(const OpenRequest&) override {
    const std::size_t first = random().below(ready().size());
    const std::size_t second = random().below(ready().size());
    return in_flight(second) < in_flight(first) ? second : first;
  }
};

enum class Weighting { equal, by_capacity };

// Chooses the replica with the highest hash of session and replica (Thaler and Ravishankar 1998). With
// weights, each replica gets sessions in proportion to its listed capacity (Schindelhauer and Schomaker
// 2005).
template <Weighting weighting>
class Rendezvous final : public BaselinePolicy {
 public:
  using BaselinePolicy::BaselinePolicy;

 private:
  std::size_t choose(const OpenRequest& open) override {
    const std::uint64_t key = open.request.session != 0 ? open.request.session : open.request.id;
    std::size_t best = 0;
    double best_score = std::numeric_limits<double>::infinity();
    for (std::size_t i = 0; i < ready().size(); ++i) {
      const double divisor = weighting == Weighting::by_capacity ? weight(i) : 1;
      const double score = -std::log(unit_interval(mix(key ^ mix(ready()[i])))) / divisor;
      if (score >= best_score) continue;
      best_score = score;
      best = i;
    }
    return best;
  }
};

// Size interval task assignment with equal work (Harchol-Balter, Crovella and Murta 1999, section 5). A
// request's work hint is its size. The edges of the intervals are in BaselineSettings::cutoffs.
class Sita final : public BaselinePolicy {
 public:
  using BaselinePolicy::BaselinePolicy;

 private:
  std::size_t choose(const OpenRequest& open) override {
    const auto& edges = settings().cutoffs;
    const auto interval =
        std::lower_bound(edges.begin(), edges.end(), open.request.work_hint) - edges.begin();
    return std::min<std::size_t>(static_cast<std::size_t>(interval), ready().size() - 1);
  }
};

struct NamedPolicy {
  std::string name;
  std::function<std::unique_ptr<core::Decider>(const BaselineSettings&)> make;
};

template <typename Policy>
NamedPolicy named(std::string name) {
  return {std::move(name),
          [](const BaselineSettings& settings) { return std::make_unique<Policy>(settings); }};
}

const std::vector<NamedPolicy>& policies() {
  static const std::vector<NamedPolicy> all = {
      named<Random>("random"),
      named<RoundRobin>("round-robin"),
      named<LeastOutstanding>("least-outstanding"),
      named<TwoChoices>("two-choices"),
      named<Rendezvous<Weighting::equal>>("rendezvous"),
      named<Rendezvous<Weighting::by_capacity>>("weighted-rendezvous"),
      named<Sita>("sita")};
  return all;
}

}  // namespace

const std::vector<std::string>& baseline_policy_names() {
  static const std::vector<std::string> names = [] {
    std::vector<std::string> all;
    for (const auto& policy : policies()) all.push_back(policy.name);
    return all;
  }();
  return names;
}

std::unique_ptr<core::Decider> make_baseline_policy(const std::string& name,
                                                    const BaselineSettings& settings) {
  for (const auto& policy : policies()) {
    if (policy.name == name) return policy.make(settings);
  }
  throw std::invalid_argument("no such policy: " + name);
}

}  // namespace thornwick::emulator
