#include "policy/overload.hpp"

#include "policy/peer_observations.hpp"

namespace thornwick {

constexpr double kSlowFraction = 0.6;  // a slow answer takes more than this fraction of the objective
constexpr double kZoneOverflowIncrease = 0.04;   // added to the zone overflow by a slow answer from home
constexpr double kZoneOverflowDecrease = 0.006;  // for any other answer: the balance is at one slow in eight
constexpr double kMaxZoneOverflow = 0.7;         // largest fraction of the sessions that leave the zone
constexpr double kLoadSheddingIncrease = 0.08;   // added to load shedding by a late answer
constexpr double kLoadSheddingDecrease = 0.01;   // for any other answer: the balance is at one late in nine
constexpr int kFastRecoveryRun = 20;      // answers in time in a row until shedding falls as fast as it rose
constexpr double kMaxLoadShedding = 0.9;  // some requests must be sent to learn that an overload is over
constexpr double kSevereLoadShedding = 0.5;     // above it, a replica that does not answer may just be busy
constexpr double kLargeGroupWeight = 8;         // factor on the effect of an answer in a large group
constexpr double kMinRetryAfterFraction = 0.1;  // of the longest Retry-After
constexpr std::size_t kRankedArrivals = 64;  // recent arrivals among which a request is ranked by its weight
constexpr double kRepeatWeight = 0.1;        // factor on the weight of a request that its client repeats
constexpr double kOverShareRatio = 1.25;     // a tenant is over its share beyond this multiple of it
constexpr double kPriorRequests = 8;  // requests added to the usage at the shares, to guard small samples
constexpr double kUsageDecay = 0.98;  // factor on earlier usage with each request

bool Overload::must_shed(const Request& request) {
  const double weight = priority_weight_of(request);
  if (recent_weights_.size() < kRankedArrivals) recent_weights_.push_back(0);
  recent_weights_[next_weight_ % kRankedArrivals] = weight;
  ++next_weight_;
  if (state_.load_shedding <= 0 || request.resumed) return false;
  const auto below = std::count_if(recent_weights_.begin(), recent_weights_.end(),
                                   [weight](double other) { return other < weight; });
  const auto same = std::count(recent_weights_.begin(), recent_weights_.end(), weight);
  const double rank = static_cast<double>(below) + state_.random.draw() * static_cast<double>(same);
  return rank < state_.load_shedding * static_cast<double>(recent_weights_.size());
}

double Overload::priority_weight_of(const Request& request) {
  double weight = state_.settings.classes[request.priority_class].priority_weight * request.weight_factor;
  if (request.client_repeat) weight *= kRepeatWeight;
  return is_over_share(request) ? weight * state_.settings.over_share_weight : weight;
}

bool Overload::is_over_share(const Request& request) {
  const auto& tenants = state_.settings.tenants;
  if (request.tenant >= tenants.size()) return false;
  std::vector<double>& usage = state_.tenant_usage;
  usage.resize(tenants.size());
  double total = kPriorRequests;
  double shares = 0;
  for (std::size_t i = 0; i < usage.size(); ++i) {
    usage[i] *= kUsageDecay;
    total += usage[i];
    shares += tenants[i].share;
  }
  const double share = tenants[request.tenant].share / std::max(1e-9, shares);
  usage[request.tenant] += 1;
  return usage[request.tenant] + kPriorRequests * share > kOverShareRatio * share * total;
}

AnswerTime Overload::on_answer(Time wait, Time latency_objective) {
  const double ratio = static_cast<double>(wait) / static_cast<double>(std::max<Time>(1, latency_objective));
  const bool late = ratio >= 1;
  in_time_run_ = late ? 0 : in_time_run_ + 1;
  const double change = late ? shedding_increase() : -shedding_decrease() / (1 - state_.load_shedding);
  state_.load_shedding = std::clamp(state_.load_shedding + change, 0.0, kMaxLoadShedding);
  if (late) return AnswerTime::late;
  return ratio > kSlowFraction ? AnswerTime::slow : AnswerTime::in_time;
}

double Overload::shedding_increase() const {
  const bool large_group = shares_observations(state_.settings);
  return kLoadSheddingIncrease * (large_group ? kLargeGroupWeight / state_.settings.group_size : 1);
}

double Overload::shedding_decrease() const {
  if (shares_observations(state_.settings)) return kLoadSheddingDecrease * kLargeGroupWeight;
  return in_time_run_ > kFastRecoveryRun ? kLoadSheddingIncrease : kLoadSheddingDecrease;
}

void Overload::on_answer_from(const Replica& replica, AnswerTime time) {
  const bool slow = time != AnswerTime::in_time;
  if (replica.listing.zone == state_.settings.zone) {
    state_.zone_overflow += slow ? kZoneOverflowIncrease : -kZoneOverflowDecrease;
  } else if (slow) {
    state_.zone_overflow -= 2 * kZoneOverflowIncrease;
  }
  state_.zone_overflow = std::clamp(state_.zone_overflow, 0.0, kMaxZoneOverflow);
}

void Overload::on_reported_late_answer() {
  const double increase = report_weight(state_.settings) * shedding_increase();
  state_.load_shedding = std::min(kMaxLoadShedding, state_.load_shedding + increase);
}

Time Overload::draw_retry_after() {
  if (!state_.settings.retry_after) return 0;
  const auto max_retry_after = static_cast<double>(state_.settings.max_retry_after);
  const double fraction = std::max(kMinRetryAfterFraction, state_.load_shedding);
  const Time retry_after = state_.random.jittered(static_cast<Time>(fraction * max_retry_after));
  return std::clamp<Time>(retry_after, 1, std::max<Time>(1, state_.settings.max_retry_after));
}

bool Overload::is_severe() const { return state_.load_shedding > kSevereLoadShedding; }

double Overload::max_load_shedding() { return kMaxLoadShedding; }

}  // namespace thornwick
