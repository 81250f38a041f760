// Lets another thread schedule a call on the main loop.
#pragma once

#include <glib.h>

#include <functional>
#include <memory>

namespace thornwick::node {

// To be constructed and destroyed in the loop's thread. After its destruction nothing is called any more,
// even if triggers are still used.
class LoopNotifier {
 public:
  explicit LoopNotifier(std::function<void()> on_loop)
      : target_(std::make_shared<Target>(Target{std::move(on_loop)})) {}
  ~LoopNotifier() { target_->on_loop = nullptr; }
  LoopNotifier(const LoopNotifier&) = delete;
  LoopNotifier& operator=(const LoopNotifier&) = delete;

  // May be called in any thread; each call leads to one call of `on_loop`, later and on the loop.
  std::function<void()> trigger() const {
    return [target = target_] {
      g_idle_add_full(G_PRIORITY_DEFAULT, run, new std::shared_ptr<Target>(target), release);
    };
  }

 private:
  struct Target {
    std::function<void()> on_loop;  // read and written in the loop's thread only
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
