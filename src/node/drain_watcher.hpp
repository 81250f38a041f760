// Watches a process that is to end, until no request is in flight and no client is connected.
#pragma once

#include <functional>

#include "lifecycle/lifecycle.hpp"
#include "net/loop.hpp"

namespace thornwick::node {

class DrainWatcher {
 public:
  // `busy` returns whether requests are in flight or clients are connected. `router_lifecycle` is not owned
  // and has to outlive the watcher.
  DrainWatcher(const lifecycle::Lifecycle& router_lifecycle, std::function<bool()> busy)
      : lifecycle_(router_lifecycle), busy_(std::move(busy)) {}

  // Sets the callback for the end of a watch, when the process has been idle for long enough. It is called on
  // the loop.
  void on_drained(std::function<void()> drained) { drained_ = std::move(drained); }

  // Starts a watch, or restarts the running one.
  void start();
  // The idle time begins now; a running watch goes on.
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
