#include "core/cold_budget.hpp"

#include <algorithm>
#include <cmath>
#include <limits>

#include "records.hpp"

namespace sprucecourse::core {
namespace {

constexpr double kLeastWeight = 1e-3;

}  // namespace

ColdBudget::ColdBudget(std::unique_ptr<Decider> inner, const Settings& settings, Time now)
    : Outer(std::move(inner)), settings_(settings), begun_(now), now_(now) {
  for (const auto& member : settings.tenants) quota_ += member.quota_per_s;
}

// ---------------------------------------------------------------- what is allowed

double ColdBudget::allowed(const ReplicaListing& replica, Time age) const {
  if (quota_ <= 0 || replica.started == 0 || age >= settings_.cold) return std::numeric_limits<double>::infinity();
  const double part = std::max<double>(kLeastWeight, replica.weight) / std::max(kLeastWeight, weights_);
  const double warm = static_cast<double>(std::max<Time>(0, age)) / static_cast<double>(settings_.cold);
  const double present = settings_.cold_from + (1 - settings_.cold_from) * warm;
  return settings_.tip_multiple * present * quota_ * part * static_cast<double>(settings_.tip_after) / 1e6;
}

std::uint64_t ColdBudget::before(const ReplicaListing& replica, long step) const {
  double sum = 0;
  for (long i = 0; i < step; ++i) sum += allowed(replica, i * settings_.tip_after / kSteps) / (kSteps + 1);
  return static_cast<std::uint64_t>(sum);
}

bool ColdBudget::spend(Time now, ReplicaId id) {
  const auto found = ready_.find(id);
  if (found == ready_.end()) return true;  // not ours to judge
  const ReplicaListing& replica = found->second;
  const Time age = now - replica.started;
  const double all = allowed(replica, age);
  if (!std::isfinite(all)) return true;
  if (settings_.group_size > kTurns * std::max(1.0, all)) return spend_one(now, ramps_[id], replica.started);
  const Time length = std::max<Time>(1, settings_.tip_after / kSteps);
  const auto step_at = [&](Time when) { return static_cast<long>(std::max<Time>(0, when - replica.started) / length); };
  const long step = step_at(now);
  // Guards against a second part for a router that was killed and has forgotten the first.
  if (begun_ >= replica.started && step == step_at(begun_)) return false;
  Ramp& ramp = ramps_[id];
  if (ramp.started != replica.started || ramp.step != step) ramp = {replica.started, step, 0, 0};
  // Of the numbers from `first` to `last`, those that are this router's; each replica's row begins at another one.
  const std::uint64_t group = std::max<std::uint64_t>(1, settings_.group_size);
  const std::uint64_t shift = mix(id ^ static_cast<std::uint64_t>(replica.started)) % group;
  const auto own_below = [&](std::uint64_t number) {
    const std::uint64_t at = number + shift;
    return at / group + (at % group > settings_.rank ? 1 : 0);
  };
  const std::uint64_t part = own_below(before(replica, step + 1)) - own_below(before(replica, step));
  if (ramp.spent >= part) return false;
  ++ramp.spent;
  ramp.last = now;
  return true;
}

bool ColdBudget::spend_one(Time now, Ramp& ramp, Time started) const {
  if (ramp.started == started && now < ramp.last + settings_.tip_after) return false;
  ramp = {started, -1, 0, now};
  return true;
}

// ---------------------------------------------------------------- events

void ColdBudget::on_directory(Time now, DirectoryScope scope, std::span<const ReplicaListing> entries) {
  now_ = now;
  if (scope != DirectoryScope::failed) {
    if (scope != DirectoryScope::delta) ready_.clear();
    for (const auto& entry : entries) {
      entry.state == Listed::ready ? void(ready_[entry.id] = entry) : void(ready_.erase(entry.id));
    }
    weights_ = 0;
    for (const auto& [id, replica] : ready_) weights_ += std::max<double>(kLeastWeight, replica.weight);
    std::erase_if(ramps_, [&](const auto& ramp) { return !ready_.contains(ramp.first); });
  }
  Outer::on_directory(now, scope, entries);
}

void ColdBudget::on_request(Time now, const Request& request) {
  now_ = now;
  Outer::on_request(now, request);
}

void ColdBudget::on_first_token(Time now, RequestId id, std::uint8_t attempt, ReplicaId replica, Time elapsed) {
  now_ = now;
  Outer::on_first_token(now, id, attempt, replica, elapsed);
}

void ColdBudget::on_attempt_result(Time now, const AttemptResult& result) {
  now_ = now;
  Outer::on_attempt_result(now, result);
}

void ColdBudget::on_timer(Time now, std::uint32_t token) {
  now_ = now;
  Outer::on_timer(now, token);
}

std::vector<Action> ColdBudget::take_actions() {
  auto actions = Outer::take_actions();
  for (auto& action : actions) {
    if (action.kind != ActionKind::send || spend(now_, action.replica)) continue;
    ++spared_;
    action.time = kNotSent;
  }
  return actions;
}

}  // namespace sprucecourse::core
