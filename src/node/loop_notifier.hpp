// Lets other threads schedule a call on the main loop.
#pragma once

#include <glib.h>

#include <functional>
#include <memory>

namespace thornwick::node {

// Must be constructed and destroyed in the thread of the main loop. After destruction `on_loop` is not called
// any more, even if triggers are still used.
class LoopNotifier {
 public:
  explicit LoopNotifier(std::function<void()> on_loop)
      : target_(std::make_shared<Target>(Target{std::move(on_loop)})) {}
  ~LoopNotifier() { target_->on_loop = nullptr; }
  LoopNotifier(const LoopNotifier&) = delete;
  LoopNotifier& operator=(const LoopNotifier&) = delete;

  // Returns a function that may be called in any thread. Each call of it makes the main loop call `on_loop`
  // once, later.
  std::function<void()> trigger() const {
    return [target = target_] {
      g_idle_add_full(G_PRIORITY_DEFAULT, run, new std::shared_ptr<Target>(target), release);
    };
  }

 private:
  struct Target {
    std::function<void()> on_loop;  // accessed only in the thread of the main loop
  };

  static gboolean run(gpointer data) {
    const auto& target = *static_cast<std::shared_ptr<Target>*>(data);
    if (target->on_loop) target->on_loop();
    return G_SOURCE_REMOVE;
  }
  static void release(gpointer data) { delete static_cast<std::shared_ptr<Target>*>(data); }

  std::shared_ptr<Target> target_;
};

}  // namespace thornwick::node
