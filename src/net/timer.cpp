#include "net/timer.hpp"

#include <algorithm>
#include <utility>

namespace thornwick::net {

// The one source of the main loop for all timers. With a source for each timer, the loop would check some
// hundred sources, one for each connection, whenever a byte arrives.
class TimerQueue {
 public:
  static TimerQueue& instance() {
    static TimerQueue queue;
    return queue;
  }

  TimerQueue(const TimerQueue&) = delete;
  TimerQueue& operator=(const TimerQueue&) = delete;

  Timer::Queue::iterator add(gint64 due_at, Timer* timer) {
    const auto position = queue_.emplace(due_at, timer);
    if (wake_up_at_ < 0 || due_at < wake_up_at_) set_wake_up(due_at);
    return position;
  }

  // The source's time is not changed; at worst, the source wakes once without a due timer.
  void remove(Timer::Queue::iterator position) { queue_.erase(position); }

 private:
  TimerQueue() {
    static GSourceFuncs functions = {nullptr, nullptr, &TimerQueue::dispatch, nullptr, nullptr, nullptr};
    source_ = g_source_new(&functions, sizeof(GSource));
    g_source_attach(source_, nullptr);
  }
  ~TimerQueue() {
    g_source_destroy(source_);
    g_source_unref(source_);
  }

  static gboolean dispatch(GSource*, GSourceFunc, gpointer) {
    instance().run_due();
    return G_SOURCE_CONTINUE;
  }

  void run_due() {
    const gint64 now = g_get_monotonic_time();
    wake_up_at_ = -1;
    while (!queue_.empty() && queue_.begin()->first <= now) {
      Timer* timer = queue_.begin()->second;
      const auto callback = std::move(timer->callback_);  // the callback may start or destroy the timer
      timer->stop();
      callback();
    }
    set_wake_up(queue_.empty() ? -1 : queue_.begin()->first);
  }

  void set_wake_up(gint64 due_at) {
    wake_up_at_ = due_at;
    g_source_set_ready_time(source_, due_at);
  }

  GSource* source_ = nullptr;
  Timer::Queue queue_;
  gint64 wake_up_at_ = -1;  // monotonic time at which the source is due, in microseconds; -1: not set
};

void Timer::start(Time delay, std::function<void()> callback) {
  stop();
  callback_ = std::move(callback);
  if (clock_rate() != 1) delay = static_cast<Time>(static_cast<double>(delay) / clock_rate());
  position_ = TimerQueue::instance().add(g_get_monotonic_time() + std::max<Time>(0, delay), this);
}

void Timer::stop() {
  if (position_) TimerQueue::instance().remove(*std::exchange(position_, std::nullopt));
}

}  // namespace thornwick::net
