// Implements the request manager's clock with timers of the GLib main loop.
#pragma once

#include <functional>

#include "core/request_manager.hpp"
#include "net/loop.hpp"

namespace thornwick::node {

// Times are microseconds of the loop's monotonic clock. A call of `wake_at` replaces the earlier call.
class LoopClock : public core::Clock {
 public:
  Time now() const override { return net::now_us(); }
  void wake_at(Time due_at) override {
    timer_.start(due_at - now(), [this] { wake(); });
  }

  // Called by the main loop at the time passed to `wake_at`. Must be set before the first call of `wake_at`.
  std::function<void()> wake;

 private:
  net::Timer timer_;
};

}  // namespace thornwick::node
