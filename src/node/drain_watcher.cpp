#include "node/drain_watcher.hpp"

namespace thornwick::node {
namespace {

constexpr Time kIdleTime = seconds(3);  // a process that is to end does so after this time without clients
constexpr Time kCheckInterval = kIdleTime / 10;

}  // namespace

void DrainWatcher::start() {
  restart_idle_time();
  schedule();
}

void DrainWatcher::schedule() {
  timer_.start(kCheckInterval, [this] { on_timer(); });
}

void DrainWatcher::on_timer() {
  const bool busy = busy_();
  if (busy) restart_idle_time();
  // Once a successor listens at the address, no new client can connect here.
  const Time required = lifecycle_.phase() == lifecycle::Phase::handed_over ? 0 : kIdleTime;
  if (!busy && net::now_us() - idle_since_ >= required) return drained_();
  schedule();
}

}  // namespace thornwick::node
