#include "core/timer_queue.hpp"

#include <utility>

namespace thornwick::core {

TimerQueue::Handle TimerQueue::set(Time when, const TimerEntry& timer) {
  const auto added = entries_.emplace(when, timer);
  if (added == entries_.begin()) clock_.wake_at(when);
  return added;
}

void TimerQueue::cancel(Handle& timer) {
  if (timer) entries_.erase(*std::exchange(timer, std::nullopt));
}

std::optional<TimerEntry> TimerQueue::take_due(Time now) {
  if (entries_.empty() || entries_.begin()->first > now) return std::nullopt;
  return entries_.extract(entries_.begin()).mapped();
}

void TimerQueue::request_wake_up() {
  if (!entries_.empty()) clock_.wake_at(entries_.begin()->first);
}

}  // namespace thornwick::core
