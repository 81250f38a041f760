#include "policy/overload.hpp"

#include "policy/peer_observations.hpp"

namespace thornwick {

constexpr double kSlowPart = 0.6;            // an answer after more than this part of the objective is slow
constexpr double kZoneOverflowUp = 0.04;     // added to the zone overflow by a slow answer from home
constexpr double kZoneOverflowDown = 0.006;  // taken from it by any other: it settles at one slow in eight
constexpr double kMaxZoneOverflow = 0.7;     // the largest part of the sessions that leaves the zone
constexpr double kLoadSheddingUp = 0.08;     // added to load shedding by a late answer
constexpr double kLoadSheddingDown = 0.01;   // taken from it by any other: it settles at one late in nine
constexpr int kCalmRun = 20;  // answers in time in a row, after which load shedding falls as fast as it rose
constexpr double kMaxLoadShedding = 0.9;     // some requests must be sent to learn that an overload is over
constexpr double kSevere = 0.5;              // load shedding above which a silent replica may just be busy
constexpr double kLargeGroupWeight = 8;      // answers in a large group count this much, by its size
constexpr double kMinRetryAfterPart = 0.1;   // the least Retry-After, as a part of the longest
constexpr std::size_t kRankedArrivals = 64;  // recent arrivals among which a request is ranked by its weight
constexpr double kRepeatWeight = 0.1;        // factor on the weight of a request that its client sends again
constexpr double kOverShare = 1.25;          // a tenant is over its share beyond this multiple of it
constexpr double kTenantPrior = 8;    // requests added to the usage at the shares, to guard small samples
constexpr double kTenantFade = 0.98;  // factor on earlier usage with each request

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
  double total = kTenantPrior;
  double shares = 0;
  for (std::size_t i = 0; i < usage.size(); ++i) {
    usage[i] *= kTenantFade;
    total += usage[i];
    shares += tenants[i].share;
  }
  const double share = tenants[request.tenant].share / std::max(1e-9, shares);
  usage[request.tenant] += 1;
  return usage[request.tenant] + kTenantPrior * share > kOverShare * share * total;
}

AnswerTime Overload::on_answer(Time waited, Time latency_objective) {
  const double part = static_cast<double>(waited) / static_cast<double>(std::max<Time>(1, latency_objective));
  const bool late = part >= 1;
  in_time_run_ = late ? 0 : in_time_run_ + 1;
  const double change = late ? shedding_increase() : -shedding_decrease() / (1 - state_.load_shedding);
  state_.load_shedding = std::clamp(state_.load_shedding + change, 0.0, kMaxLoadShedding);
  if (late) return AnswerTime::late;
  return part > kSlowPart ? AnswerTime::slow : AnswerTime::in_time;
}

double Overload::shedding_increase() const {
  const bool large = shares_observations(state_.settings);
  return kLoadSheddingUp * (large ? kLargeGroupWeight / state_.settings.group_size : 1);
}

double Overload::shedding_decrease() const {
  if (shares_observations(state_.settings)) return kLoadSheddingDown * kLargeGroupWeight;
  return in_time_run_ > kCalmRun ? kLoadSheddingUp : kLoadSheddingDown;
}

void Overload::on_answer_from(const Replica& replica, AnswerTime time) {
  const bool slow = time != AnswerTime::in_time;
  if (replica.listing.zone == state_.settings.zone) {
    state_.zone_overflow += slow ? kZoneOverflowUp : -kZoneOverflowDown;
  } else if (slow) {
    state_.zone_overflow -= 2 * kZoneOverflowUp;
  }
  state_.zone_overflow = std::clamp(state_.zone_overflow, 0.0, kMaxZoneOverflow);
}

void Overload::on_reported_late_answer() {
  const double increase = report_weight(state_.settings) * shedding_increase();
  state_.load_shedding = std::min(kMaxLoadShedding, state_.load_shedding + increase);
}

Time Overload::retry_after_advice() {
  if (!state_.settings.retry_after) return 0;
  const auto longest = static_cast<double>(state_.settings.max_retry_after);
  const double part = std::max(kMinRetryAfterPart, state_.load_shedding);
  const Time advice = state_.random.jittered(static_cast<Time>(part * longest));
  return std::clamp<Time>(advice, 1, std::max<Time>(1, state_.settings.max_retry_after));
}

bool Overload::is_severe() const { return state_.load_shedding > kSevere; }

double Overload::max_load_shedding() { return kMaxLoadShedding; }

}  // namespace thornwick
