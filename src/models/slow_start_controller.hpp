// How many requests of other models a pool takes over. A fallback must not
// overload the pool that it relies on: the rate begins at a small part of what
// the pool serves of its own models, grows while the pool keeps up, is halved
// when it does not, and is zero while no replica of the pool is warm.
//
// Times are in microseconds; work is in tokens of prompt and answer.
#pragma once

#include <algorithm>
#include <span>
#include <vector>

#include "models/catalogue.hpp"

namespace thornwick::models {

// How many requests may go to another model, over all pools: a part of all
// requests, and a saved-up burst (the retry budget of Finagle and Envoy, for
// models).
class FallbackBudget {
 public:
  explicit FallbackBudget(const Limits& limits) : limits_(limits), saved_(limits.fallback_burst) {}
  void request() { saved_ = std::min(limits_.fallback_burst, saved_ + limits_.fallback_fraction); }
  bool spend() {
    if (saved_ < 1) return false;
    saved_ -= 1;
    return true;
  }
  void refund() { saved_ = std::min(limits_.fallback_burst, saved_ + 1); }

 private:
  Limits limits_;
  double saved_;
};

class SlowStartController {
 public:
  // A replica is warm so long after its start.
  SlowStartController(const Limits& limits, Time warm_up)
      : limits_(limits), warm_up_(warm_up), part_(limits.initial_fallback_fraction) {}

  void set_replicas(std::span<const Endpoint> ready) { replicas_.assign(ready.begin(), ready.end()); }
  // The pool got a request of its own model.
  void own(Time now, double work);
  // The pool's decider rejected a request, or a replica of it was full.
  void rejected(Time now);
  // Whether a request of another model may come; if so it is counted.
  [[nodiscard]] bool admits(Time now, double work);

  double warm_part(Time now) const;  // of the replicas' weight
  double part() const { return part_; }

 private:
  void advance_to(Time now);

  Limits limits_;
  Time warm_up_;
  std::vector<Endpoint> replicas_;
  double part_;
  double own_per_s_ = 0;  // tokens a second of the pool's own model, decaying average
  double mean_work_ = 0;  // of a request, moving average
  double level_ = 0;      // tokens that are admitted now
  bool asked_ = false;    // a request of another model came since the last update
  Time updated_at_ = 0;
  Time held_until_ = 0;  // nothing is admitted before
};

}  // namespace thornwick::models
