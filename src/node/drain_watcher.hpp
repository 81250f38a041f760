// Waits until a process that shuts down or has handed over has no request in flight and no client connected.
#pragma once

#include <functional>

#include "lifecycle/lifecycle.hpp"
#include "net/loop.hpp"

namespace thornwick::node {

class DrainWatcher {
 public:
  // `busy` returns whether requests are in flight or clients are connected. `router_lifecycle` is not owned
  // and must outlive the watcher.
  DrainWatcher(const lifecycle::Lifecycle& router_lifecycle, std::function<bool()> busy)
      : lifecycle_(router_lifecycle), is_busy_(std::move(busy)) {}

  // Sets the callback that the main loop calls once the process has been idle for long enough to exit.
  void on_drained(std::function<void()> callback) { on_drained_ = std::move(callback); }

  // Starts to watch, or restarts the running watch.
  void start();
  // Restarts the idle time without stopping the watch.
  void restart_idle_time() { idle_since_ = net::now_us(); }
  void stop() { timer_.stop(); }

 private:
  void schedule();
  void on_timer();

  const lifecycle::Lifecycle& lifecycle_;
  std::function<bool()> is_busy_;
  std::function<void()> on_drained_ = [] {};
  Time idle_since_ = 0;
  net::Timer timer_;
};

}  // namespace thornwick::node
