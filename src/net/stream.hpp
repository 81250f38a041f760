// Non-blocking byte streams over TCP and Unix sockets.
#pragma once

#include <cstdint>
#include <deque>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <utility>

#include "net/deferred_delete.hpp"
#include "net/descriptors.hpp"
#include "net/gobject_handle.hpp"
#include "net/io_watcher.hpp"
#include "net/memory_account.hpp"
#include "net/timer.hpp"

namespace thornwick::net {

// One connection. The owner may close the stream in any callback, and must destroy it with deferred_delete().
class Stream : public DeferredDeletable {
 public:
  struct Callbacks {
    std::function<void()> connected;                // connect() has succeeded
    std::function<void(std::string_view)> arrived;  // bytes were received
    std::function<void()> drained;                  // the kernel has accepted all written bytes
    std::function<void()> ended;  // the other side ended its sending, or the connection broke
  };

  explicit Stream(Callbacks callbacks) : callbacks_(std::move(callbacks)) {}
  Stream(const Stream&) = delete;
  Stream& operator=(const Stream&) = delete;
  ~Stream() override { close(); }

  // Takes over a connected socket.
  void adopt(Owned<GSocket> socket);
  // Returns false if connecting failed at once, or the process may hold no more descriptors. Otherwise
  // `connected` or `ended` is called later.
  bool connect(GSocketAddress* address);
  // Queues the bytes, which are sent in order when the connection is up and the kernel accepts them. Has no
  // effect after close().
  void write(std::shared_ptr<const std::string> bytes);
  void write(std::string bytes) { write(std::make_shared<const std::string>(std::move(bytes))); }
  // Bytes that the kernel has not accepted yet.
  std::size_t unsent() const { return unsent_; }
  // Bytes that the kernel has accepted since the stream was created.
  std::uint64_t sent() const { return sent_; }
  // Counts unsent bytes in the memory account from now on.
  void count_unsent_bytes(MemoryUse use) { held_bytes_.emplace(use); }
  // Stops reading until resume_reading(). The kernel's buffer fills up, and the other side must wait.
  void pause_reading();
  // Has no effect unless reading is paused.
  void resume_reading();
  // Reads what has come and was not read yet, from any callback.
  void receive_pending();
  // Closes the sending side. The other side reads the end of the stream, and may still send.
  void finish_sending();
  // Closes the connection at once. No callback follows.
  void close();
  bool open() const { return socket_ != nullptr; }
  // Whether a read or a write has found the end of the connection; `ended` was or will be called.
  bool broken() const { return ended_; }
  // Whether bytes, or the end of the stream, can be read now.
  bool readable_now() const;
  // Whether the other side has ended its sending or the connection is broken, even if earlier bytes are still
  // unread.
  bool ended_now() const;

 private:
  void on_connected();
  void watch_reading();
  void on_readable();
  void flush();
  void on_broken();
  void drop_unsent();
  void update_held_bytes();

  Callbacks callbacks_;
  Owned<GSocket> socket_;
  std::optional<HeldDescriptor> held_descriptor_;  // while `socket_` is open
  IoWatcher reading_;
  IoWatcher writing_;
  Timer end_notification_;
  std::deque<std::shared_ptr<const std::string>> queue_;
  std::size_t front_sent_ = 0;  // bytes of the queue's first entry that the kernel has accepted
  std::size_t unsent_ = 0;
  std::size_t queued_memory_ = 0;  // that the entries of the queue take
  std::uint64_t sent_ = 0;
  std::optional<HeldBytes> held_bytes_;
  bool connected_ = false;
  bool reading_paused_ = false;
  bool ended_ = false;
};

}  // namespace thornwick::net
