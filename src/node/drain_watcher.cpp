#include "node/drain_watcher.hpp"

namespace thornwick::node {
namespace {

constexpr Time kMinIdleTime = seconds(3);  // without clients and requests, after which the process may exit
constexpr Time kCheckInterval = kMinIdleTime / 10;

}  // namespace

void DrainWatcher::start() {
  restart_idle_time();
  schedule();
}

void DrainWatcher::schedule() {
  timer_.start(kCheckInterval, [this] { on_timer(); });
}

void DrainWatcher::on_timer() {
  const bool busy = is_busy_();
  if (busy) restart_idle_time();
  // A process that has handed over need not wait: new clients connect to the successor.
  const Time required_idle_time = lifecycle_.phase() == lifecycle::Phase::handed_over ? 0 : kMinIdleTime;
  if (!busy && net::now_us() - idle_since_ >= required_idle_time) return on_drained_();
  schedule();
}

}  // namespace thornwick::node
