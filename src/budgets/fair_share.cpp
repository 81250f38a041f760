#include "budgets/fair_share.hpp"

#include <algorithm>
#include <cmath>
#include <stdexcept>
#include <string>

namespace thornwick::budgets {
namespace {

constexpr double kMicrosecondsPerSecond = 1e6;
constexpr Time kMeasureWindow = milliseconds(500);  // minimum length; the served rate is measured over it
constexpr Time kMaxRetryAfter = seconds(60);
constexpr Time kMinDecreaseInterval = milliseconds(100);  // signs of scarcity come in bursts
constexpr double kMinRate = 1;             // tokens per second, so that some requests are always admitted
constexpr double kMinActiveWeight = 1e-9;  // avoids a division by zero
constexpr double kMinCost = 1;             // tokens

double in_seconds(Time duration) { return static_cast<double>(duration) / kMicrosecondsPerSecond; }

}  // namespace

FairShare::FairShare(const FairShareOptions& options) : options_(options) {
  for (const double weight : options.weights) {
    if (!(weight > 0) || !std::isfinite(weight))
      throw std::invalid_argument("fair share: the weight " + std::to_string(weight) +
                                  " is not above 0 and finite");
  }
}

FairShare::Member& FairShare::member_of(std::uint16_t number) {
  while (members_.size() <= number) {
    const std::size_t index = members_.size();
    members_.emplace_back().weight = index < options_.weights.size() ? options_.weights[index] : 1;
  }
  return members_[number];
}

// The virtual time that a member's finish tag may be ahead.
double FairShare::max_ahead() const {
  return options_.max_ahead_s * std::max(kMinRate, handed_out_per_s_) /
         std::max(kMinActiveWeight, active_weight_);
}

// Removes members that made no request for `idle_after`, so that their share does not stay unused.
void FairShare::retire_idle_members(Time now) {
  while (!active_.empty() && active_.front().last_request_at + options_.idle_after <= now) {
    active_weight_ -= active_.front().weight;
    active_.pop_front();
  }
  if (active_.empty()) active_weight_ = 0;  // drops rounding errors
}

void FairShare::measure_served_rate(Time now) {
  if (now - window_started_at_ < kMeasureWindow) return;
  const double seconds = in_seconds(now - window_started_at_);
  const bool first_window = window_started_at_ == 0;
  served_per_s_ = first_window ? 0 : window_tokens_ / seconds;
  // During scarcity everything that can be served is served, so the handed-out rate is at least the served
  // rate.
  if (is_scarce(now) && !first_window) handed_out_per_s_ = std::max(handed_out_per_s_, served_per_s_);
  window_tokens_ = 0;
  window_started_at_ = now;
  if (is_scarce(now)) handed_out_per_s_ *= 1 + options_.growth_per_s * std::min(1.0, seconds);
}

void FairShare::advance_to(Time now) {
  measure_served_rate(now);
  if (now <= updated_at_) return;
  const double seconds = in_seconds(now - updated_at_);
  if (active_weight_ > 0) virtual_time_ += std::max(kMinRate, handed_out_per_s_) * seconds / active_weight_;
  updated_at_ = now;
  retire_idle_members(now);
}

void FairShare::mark_active(Member& member, Time now) {
  if (member.is_linked()) {
    active_.erase(active_.iterator_to(member));
  } else {
    active_weight_ += member.weight;
  }
  active_.push_back(member);
  member.last_request_at = now;
}

FairShare::Admission FairShare::admit(Time now, std::uint16_t member, double cost) {
  advance_to(now);
  Member& requester = member_of(member);
  mark_active(requester, now);
  const double start = std::max(virtual_time_, requester.finish_tag);
  const double duration = std::max(kMinCost, cost) / requester.weight;
  if (!is_scarce(now)) {
    // Limits the debt with which a member enters a period of scarcity.
    requester.finish_tag = std::min(start + duration, virtual_time_ + max_ahead());
    return {};
  }
  if (start - virtual_time_ > max_ahead()) {
    // Scarcity lasts as long as a member is held back, because it would return at once otherwise.
    scarce_until_ = std::max(scarce_until_, now + options_.scarcity_duration);
    const double excess = start - virtual_time_ - max_ahead();
    const double seconds = excess * active_weight_ / std::max(kMinRate, handed_out_per_s_);
    const auto wait = static_cast<Time>(std::ceil(seconds * kMicrosecondsPerSecond));
    return {false, std::clamp(wait, Time{1}, kMaxRetryAfter)};
  }
  requester.finish_tag = start + duration;
  return {};
}

void FairShare::adjust_cost(std::uint16_t member, double cost) {
  Member& adjusted = member_of(member);
  adjusted.finish_tag += cost / adjusted.weight;
}

void FairShare::on_served(Time now, double tokens) {
  advance_to(now);
  window_tokens_ += std::max(0.0, tokens);
}

void FairShare::on_scarcity(Time now) {
  advance_to(now);
  const double seconds = in_seconds(std::max(kMinDecreaseInterval, now - window_started_at_));
  const double served = std::max({served_per_s_, window_tokens_ / seconds, kMinRate});
  if (!is_scarce(now)) {
    handed_out_per_s_ = served;
    rate_decreased_at_ = now;
  } else if (handed_out_per_s_ > served && now - rate_decreased_at_ >= kMinDecreaseInterval) {
    handed_out_per_s_ = std::max(served, handed_out_per_s_ * options_.decrease_factor);
    rate_decreased_at_ = now;
  }
  scarce_until_ = now + options_.scarcity_duration;
}

}  // namespace thornwick::budgets
