// The request manager's clock, backed by the GLib main loop's timers.
#pragma once

#include <functional>

#include "core/request_manager.hpp"
#include "net/loop.hpp"

namespace thornwick::node {

// Tells the time in microseconds of the loop's monotonic clock. A call of `wake_at` replaces the earlier one.
class LoopClock : public core::Clock {
 public:
  Time now() const override { return net::now_us(); }
  void wake_at(Time when) override {
    timer_.start(when - now(), [this] { wake(); });
  }

  // Called on the loop at the time that `wake_at` named. Has to be set before the first `wake_at`.
  std::function<void()> wake;

 private:
  net::Timer timer_;
};

}  // namespace thornwick::node
