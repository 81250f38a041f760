// Limits the fallback work that a pool accepts from other models, so that a fallback does not overload the
// pool. The accepted rate starts at a small fraction of the pool's primary work, grows while the pool keeps
// up, is halved when it does not, and is zero while no replica of the pool is warm.
//
// Times are in microseconds; work is in tokens of prompt and answer.
#pragma once

#include <algorithm>
#include <span>
#include <vector>

#include "models/catalogue.hpp"

namespace thornwick::models {

// Limits the requests that go to another model, over all pools: to a fraction of all requests plus a saved
// burst. This is the retry budget of Finagle and Envoy, applied to models.
class FallbackBudget {
 public:
  explicit FallbackBudget(const Limits& limits) : limits_(limits), saved_requests_(limits.fallback_burst) {}
  void add_request() {
    saved_requests_ = std::min(limits_.fallback_burst, saved_requests_ + limits_.fallback_fraction);
  }
  bool spend() {
    if (saved_requests_ < 1) return false;
    saved_requests_ -= 1;
    return true;
  }
  void refund() { saved_requests_ = std::min(limits_.fallback_burst, saved_requests_ + 1); }

 private:
  Limits limits_;
  double saved_requests_;
};

class SlowStartController {
 public:
  // `warm_up`: time after its start at which a replica is warm.
  SlowStartController(const Limits& limits, Time warm_up)
      : limits_(limits), warm_up_(warm_up), fallback_fraction_(limits.initial_fallback_fraction) {}

  void set_replicas(std::span<const Endpoint> ready) { replicas_.assign(ready.begin(), ready.end()); }
  // Records a request for the pool's own model.
  void on_primary_request(Time now, double tokens);
  // Called when the pool's decider rejected a request or a replica of the pool was full.
  void on_rejection(Time now);
  // Whether a request for another model may be accepted; if so, the request is counted.
  [[nodiscard]] bool try_admit(Time now, double tokens);

  // The fraction of the replicas' weight that is warm.
  double warm_fraction(Time now) const;
  double fallback_fraction() const { return fallback_fraction_; }

 private:
  void advance_to(Time now);

  Limits limits_;
  Time warm_up_;
  std::vector<Endpoint> replicas_;
  double fallback_fraction_;
  double primary_per_s_ = 0;         // tokens per second, exponentially decayed
  double mean_work_ = 0;             // moving average of the tokens of a request
  double available_tokens_ = 0;      // tokens that may be admitted now
  bool fallback_requested_ = false;  // a request for another model arrived since the last update
  Time updated_at_ = 0;
  Time held_until_ = 0;  // no fallback work is admitted before
};

}  // namespace thornwick::models
