#include "net/io_watcher.hpp"

#include <glib-unix.h>
#include <sys/epoll.h>
#include <unistd.h>

#include <array>
#include <cerrno>
#include <cstdint>
#include <string>
#include <utility>
#include <vector>

#include "logging/log.hpp"
#include "net/net_error.hpp"

namespace thornwick::net {
namespace {

constexpr std::size_t kMaxEventsPerRound = 64;
constexpr int kGenerationShift = 32;
constexpr std::uint64_t kDescriptorMask = 0xffffffff;

}  // namespace

// The one source of the main loop for all watchers. The kernel keeps the set of sockets (epoll), so that the
// main loop polls one descriptor instead of one for each connection.
class Poller {
 public:
  static Poller& instance() {
    static Poller poller;
    return poller;
  }

  Poller(const Poller&) = delete;
  Poller& operator=(const Poller&) = delete;

  // Sets the watcher of a descriptor for one condition; nullptr removes the watcher.
  void set(int descriptor, GIOCondition condition, IoWatcher* watcher) {
    const auto index = static_cast<std::size_t>(descriptor);
    if (index >= slots_.size()) slots_.resize(index + 1);
    Slot& slot = slots_[index];
    const bool was_watched = slot.watched();
    (condition == G_IO_OUT ? slot.writer : slot.reader) = watcher;
    if (was_watched || slot.watched()) update_kernel(descriptor, slot, was_watched);
  }

 private:
  // The watchers of one descriptor. `generation` distinguishes the watched socket from an earlier socket with
  // the same descriptor, whose event may still be in the current batch.
  struct Slot {
    IoWatcher* reader = nullptr;
    IoWatcher* writer = nullptr;
    std::uint32_t generation = 0;

    bool watched() const { return reader != nullptr || writer != nullptr; }
  };

  Poller() : epoll_(epoll_create1(EPOLL_CLOEXEC)) {
    if (epoll_ < 0) throw NetError(std::string("cannot watch sockets: ") + g_strerror(errno));
    source_ = g_unix_fd_source_new(epoll_, G_IO_IN);
    const GUnixFDSourceFunc callback = &Poller::dispatch;
    // The cast goes through void (*)(), which converts to any function type. GLib casts back before the call.
    g_source_set_callback(source_, reinterpret_cast<GSourceFunc>(reinterpret_cast<void (*)()>(callback)),
                          nullptr, nullptr);
    g_source_attach(source_, nullptr);
  }
  ~Poller() {
    g_source_destroy(source_);
    g_source_unref(source_);
    ::close(epoll_);
  }

  static gboolean dispatch(gint, GIOCondition, gpointer) {
    instance().run_ready();
    return G_SOURCE_CONTINUE;
  }

  void update_kernel(int descriptor, Slot& slot, bool was_watched) {
    const bool is_watched = slot.watched();
    if (!was_watched || !is_watched) ++slot.generation;
    epoll_event event{};
    if (slot.reader != nullptr) event.events |= EPOLLIN;
    if (slot.writer != nullptr) event.events |= EPOLLOUT;
    event.data.u64 = static_cast<std::uint64_t>(descriptor) |
                     (static_cast<std::uint64_t>(slot.generation) << kGenerationShift);
    int operation = EPOLL_CTL_MOD;
    if (!was_watched) operation = EPOLL_CTL_ADD;
    if (!is_watched) operation = EPOLL_CTL_DEL;
    if (epoll_ctl(epoll_, operation, descriptor, &event) != 0) {
      logging::warning("socket") << "cannot watch a socket: " << g_strerror(errno);
    }
  }

  void run_ready() {
    std::array<epoll_event, kMaxEventsPerRound> events{};
    const int count = epoll_wait(epoll_, events.data(), static_cast<int>(events.size()), 0);
    for (int i = 0; i < count; ++i) {
      const auto& event = events[static_cast<std::size_t>(i)];
      const auto index = static_cast<std::size_t>(event.data.u64 & kDescriptorMask);
      const auto generation = static_cast<std::uint32_t>(event.data.u64 >> kGenerationShift);
      const bool ended = (event.events & (EPOLLHUP | EPOLLERR)) != 0;
      if (ended || (event.events & EPOLLIN) != 0) run(index, generation, &Slot::reader);
      if (ended || (event.events & EPOLLOUT) != 0) run(index, generation, &Slot::writer);
    }
  }

  // Calls a watcher, unless an earlier callback of this batch has stopped the watcher or closed its socket.
  void run(std::size_t index, std::uint32_t generation, IoWatcher* Slot::*direction) {
    IoWatcher* watcher = slots_[index].*direction;
    if (watcher == nullptr || slots_[index].generation != generation) return;
    const auto callback = watcher->callback_;
    (*callback)();
  }

  int epoll_ = -1;
  GSource* source_ = nullptr;
  std::vector<Slot> slots_;  // by descriptor
};

void IoWatcher::start(GSocket* socket, GIOCondition condition, std::function<void()> callback) {
  stop();
  callback_ = std::make_shared<const std::function<void()>>(std::move(callback));
  descriptor_ = g_socket_get_fd(socket);
  condition_ = condition;
  Poller::instance().set(descriptor_, condition_, this);
}

void IoWatcher::stop() {
  if (running()) Poller::instance().set(std::exchange(descriptor_, -1), condition_, nullptr);
}

}  // namespace thornwick::net
