#include "core/slow_start_budget.hpp"

#include <algorithm>
#include <cmath>
#include <limits>

#include "random/hashing.hpp"

namespace thornwick::core {
namespace {

// A listed weight may be 0. Such a replica still counts with this weight.
constexpr double kMinWeight = 1e-3;

double effective_weight(const Endpoint& replica) { return std::max<double>(kMinWeight, replica.weight); }

}  // namespace

SlowStartBudget::SlowStartBudget(std::unique_ptr<Decider> inner, const Settings& settings, Time now)
    : DeciderDecorator(std::move(inner)), settings_(settings), router_started_at_(now), now_(now) {
  for (const TenantSettings& tenant : settings.tenants) total_quota_ += tenant.quota_per_s;
}

double SlowStartBudget::allowed_sends(const Endpoint& replica, Time age) const {
  if (total_quota_ <= 0 || replica.started_at == 0 || age >= settings_.warm_up)
    return std::numeric_limits<double>::infinity();
  const double share = effective_weight(replica) / std::max(kMinWeight, total_weight_);
  const double warmth = static_cast<double>(std::max<Time>(0, age)) / static_cast<double>(settings_.warm_up);
  const double capacity = settings_.initial_capacity + (1 - settings_.initial_capacity) * warmth;
  return settings_.overload_multiple * capacity * total_quota_ * share *
         static_cast<double>(settings_.overload_after) / static_cast<double>(seconds(1));
}

// Returns the sends that remain after each router has taken its fixed share.
double SlowStartBudget::remainder_of(double sends) const {
  return sends - std::floor(sends / settings_.group_size) * settings_.group_size;
}

// Returns the number of turns, over all routers, in the windows before this one.
std::uint64_t SlowStartBudget::turns_before(const Endpoint& replica, long window) const {
  double sum = 0;
  for (long i = 0; i < window; ++i) {
    const double sends = allowed_sends(replica, (i - 1) * settings_.overload_after);
    if (std::isfinite(sends)) sum += remainder_of(sends) / 2;
  }
  return static_cast<std::uint64_t>(sum);
}

long SlowStartBudget::window_at(const Endpoint& replica, Time when) const {
  return static_cast<long>(std::max<Time>(0, when - replica.started_at) /
                           std::max<Time>(1, settings_.overload_after));
}

SlowStartBudget::SlowStart& SlowStartBudget::slow_start_of(const Endpoint& replica) {
  SlowStart& slow_start = slow_starts_[replica.id];
  if (slow_start.started != replica.started_at) {
    slow_start = {};
    slow_start.started = replica.started_at;
  }
  return slow_start;
}

// Returns whether this router may send one more request to the replica now, and counts the request if so.
bool SlowStartBudget::try_send(Time now, ReplicaId id) {
  const auto found = ready_.find(id);
  if (found == ready_.end()) return true;  // the replica is not listed as ready, so no limit is known
  const Endpoint& replica = found->second;
  if (!std::isfinite(allowed_sends(replica, now - replica.started_at))) return true;
  // The limit at the beginning of the window that ends now: the limit grows during the window.
  const double sends = allowed_sends(replica, now - replica.started_at - settings_.overload_after);
  SlowStart& slow_start = slow_start_of(replica);
  if (settings_.group_size > kMaxWindowsPerTurn * std::max(1.0, sends))
    return try_send_within_share(now, slow_start, 1);
  const long window = window_at(replica, now);
  // A router that was killed in this window may have used its share before it started again, and has
  // forgotten it.
  if (router_started_at_ >= replica.started_at && window == window_at(replica, router_started_at_))
    return false;
  if (try_send_within_share(now, slow_start, static_cast<std::uint64_t>(sends / settings_.group_size)))
    return true;
  if (!try_send_in_turn(replica, window, slow_start)) return false;
  slow_start.recent_sends.push_back(now);  // counts against a fixed share that grows later
  return true;
}

bool SlowStartBudget::try_send_within_share(Time now, SlowStart& slow_start, std::uint64_t share) const {
  auto& recent = slow_start.recent_sends;
  while (!recent.empty() && recent.front() + settings_.overload_after <= now) recent.pop_front();
  if (recent.size() >= share) return false;
  recent.push_back(now);
  return true;
}

bool SlowStartBudget::try_send_in_turn(const Endpoint& replica, long window, SlowStart& slow_start) const {
  if (slow_start.turn_window != window) {
    slow_start.turn_window = window;
    slow_start.sends_in_turn = 0;
  }
  const std::uint64_t group_size = settings_.group_size;
  // Shifts the numbers, so that the turns after each start of a replica begin at another router.
  const std::uint64_t shift = mix(replica.id ^ static_cast<std::uint64_t>(replica.started_at)) % group_size;
  // Returns how many of the numbers below `number` belong to this router.
  const auto local_numbers_below = [&](std::uint64_t number) {
    const std::uint64_t shifted = number + shift;
    return shifted / group_size + (shifted % group_size > settings_.rank ? 1 : 0);
  };
  const std::uint64_t local_turns = local_numbers_below(turns_before(replica, window + 1)) -
                                    local_numbers_below(turns_before(replica, window));
  if (slow_start.sends_in_turn >= local_turns) return false;
  ++slow_start.sends_in_turn;
  return true;
}

void SlowStartBudget::on_endpoints(Time now, EndpointUpdate scope, std::span<const Endpoint> entries) {
  now_ = now;
  if (scope != EndpointUpdate::failed) update_ready(scope, entries);
  DeciderDecorator::on_endpoints(now, scope, entries);
}

void SlowStartBudget::update_ready(EndpointUpdate scope, std::span<const Endpoint> entries) {
  if (scope != EndpointUpdate::delta) ready_.clear();
  for (const Endpoint& entry : entries) {
    if (entry.state == EndpointState::ready) {
      ready_[entry.id] = entry;
    } else {
      ready_.erase(entry.id);
    }
  }
  total_weight_ = 0;
  for (const auto& [id, replica] : ready_) total_weight_ += effective_weight(replica);
  std::erase_if(slow_starts_, [&](const auto& entry) { return !ready_.contains(entry.first); });
}

void SlowStartBudget::on_request(Time now, const Request& request) {
  now_ = now;
  DeciderDecorator::on_request(now, request);
}

void SlowStartBudget::on_first_token(Time now, RequestId id, std::uint8_t attempt, ReplicaId replica,
                                     Time elapsed) {
  now_ = now;
  DeciderDecorator::on_first_token(now, id, attempt, replica, elapsed);
}

void SlowStartBudget::on_attempt_result(Time now, const AttemptResult& result) {
  now_ = now;
  DeciderDecorator::on_attempt_result(now, result);
}

void SlowStartBudget::on_timer(Time now, std::uint32_t token) {
  now_ = now;
  DeciderDecorator::on_timer(now, token);
}

std::vector<Action> SlowStartBudget::take_actions() {
  auto actions = DeciderDecorator::take_actions();
  for (Action& action : actions) {
    if (action.kind == ActionKind::send && !try_send(now_, action.replica)) action.time = kNotSent;
  }
  return actions;
}

}  // namespace thornwick::core
