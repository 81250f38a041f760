// A rate limit that allows bursts up to a capacity.
#pragma once

#include <algorithm>

#include "thornwick/routing_policy.hpp"

namespace thornwick::membership {

class TokenBucket {
 public:
  explicit TokenBucket(double tokens, Time refilled_at = 0) : tokens_(tokens), refilled_at_(refilled_at) {}

  // The refill rate and the capacity of a bucket.
  struct Rate {
    double tokens = 0;  // tokens that are added in each interval
    Time interval = 1;  // microseconds
    double capacity = 0;
  };

  // Adds the tokens that have accrued since the last refill.
  void refill(Time now, const Rate& rate) {
    const double accrued =
        rate.tokens * static_cast<double>(now - refilled_at_) / static_cast<double>(rate.interval);
    tokens_ = std::min(rate.capacity, tokens_ + accrued);
    refilled_at_ = now;
  }
  void spend() { tokens_ -= 1; }
  // Spends a token, into debt if necessary, but not below `min`, which is negative.
  void spend_down_to(double min) { tokens_ = std::max(min, tokens_ - 1); }
  double tokens() const { return tokens_; }

 private:
  double tokens_;
  Time refilled_at_;
};

}  // namespace thornwick::membership
