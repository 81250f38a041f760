// One-shot timers of the main loop.
#pragma once

#include <glib.h>

#include <functional>
#include <map>
#include <optional>

#include "net/clock.hpp"

namespace thornwick::net {

// Calls a callback once after a delay. A timer stops when it is destroyed. The callback may start or destroy
// its own timer. All timers share one source of the main loop.
class Timer {
 public:
  Timer() = default;
  Timer(const Timer&) = delete;
  Timer& operator=(const Timer&) = delete;
  ~Timer() { stop(); }

  // Calls `callback` from the main loop after `delay` microseconds, or as soon as possible if `delay` is not
  // positive. A running timer is restarted.
  void start(Time delay, std::function<void()> callback);
  void stop();
  bool running() const { return position_.has_value(); }

 private:
  friend class TimerQueue;
  // By the monotonic time (microseconds) at which the timer is due.
  using Queue = std::multimap<gint64, Timer*>;

  std::optional<Queue::iterator> position_;
  std::function<void()> callback_;
};

}  // namespace thornwick::net
