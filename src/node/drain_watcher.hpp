// Watches a process that is to end until no request and no client is left.
#pragma once

#include <functional>

#include "lifecycle/lifecycle.hpp"
#include "net/loop.hpp"

namespace thornwick::node {

class DrainWatcher {
 public:
  // `busy`: whether requests are open or clients connected. `router_lifecycle` has to outlive the watcher.
  DrainWatcher(const lifecycle::Lifecycle& router_lifecycle, std::function<bool()> busy)
      : lifecycle_(router_lifecycle), busy_(std::move(busy)) {}

  // Called on the loop each time that a watch ends because the process has been idle for long enough.
  void on_drained(std::function<void()> drained) { drained_ = std::move(drained); }

  // Begins a watch, or begins the running one anew.
  void start();
  // The idle time counts from now on; a watch that runs goes on.
  void restart_idle_time() { idle_since_ = net::now_us(); }
  void stop() { timer_.stop(); }

 private:
  void schedule();
  void on_timer();

  const lifecycle::Lifecycle& lifecycle_;
  std::function<bool()> busy_;
  std::function<void()> drained_ = [] {};
  Time idle_since_ = 0;
  net::Timer timer_;
};

}  // namespace thornwick::node
