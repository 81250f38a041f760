// Callbacks of the main loop when sockets are ready.
#pragma once

#include <gio/gio.h>

#include <functional>
#include <memory>

namespace thornwick::net {

// Watches a socket for one condition, G_IO_IN or G_IO_OUT; the end of a connection counts as both conditions.
// A watcher stops when it is destroyed, and must stop before its socket is closed. The callback may start or
// destroy its own watcher. All watchers share one source of the main loop.
class IoWatcher {
 public:
  IoWatcher() = default;
  IoWatcher(const IoWatcher&) = delete;
  IoWatcher& operator=(const IoWatcher&) = delete;
  ~IoWatcher() { stop(); }

  // Throws NetError if the kernel has no descriptor left for epoll, which the first watcher creates.
  void start(GSocket* socket, GIOCondition condition, std::function<void()> callback);
  void stop();
  bool running() const { return descriptor_ >= 0; }

 private:
  friend class Poller;

  int descriptor_ = -1;
  GIOCondition condition_ = G_IO_IN;
  std::shared_ptr<const std::function<void()>> callback_;  // shared with a call that is running
};

}  // namespace thornwick::net
