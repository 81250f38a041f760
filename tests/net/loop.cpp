// Timers and watchers: one source each in the main loop, whatever their number, and safe to stop in a
// callback.
#include "net/loop.hpp"

#include <sys/socket.h>

#include <catch2/catch.hpp>

using namespace thornwick::net;

namespace {

// A stream with the other end of its socket in hand.
struct SocketPair {
  explicit SocketPair(std::function<void()> callback)
      : stream({.connected = {}, .arrived = {}, .drained = {}, .ended = {}}) {
    int ends[2];
    REQUIRE(socketpair(AF_UNIX, SOCK_STREAM, 0, ends) == 0);
    other = ends[1];
    socket.reset(g_socket_new_from_fd(ends[0], nullptr));
    watcher.start(socket.get(), G_IO_IN, std::move(callback));
  }
  ~SocketPair() {
    watcher.stop();
    close(other);
  }
  void send_byte() { REQUIRE(write(other, "x", 1) == 1); }

  Stream stream;
  int other = -1;
  Owned<GSocket> socket;
  IoWatcher watcher;
};

int polled_descriptors() {
  GMainContext* context = g_main_context_default();
  gint priority = 0;
  gint timeout = 0;
  GPollFD fds[256];
  REQUIRE(g_main_context_acquire(context));
  g_main_context_prepare(context, &priority);
  const int count = g_main_context_query(context, G_MAXINT, &timeout, fds, 256);
  g_main_context_check(context, G_MAXINT, fds, std::min(count, 256));
  g_main_context_release(context);
  return count;
}

void run_ready_callbacks() {
  while (g_main_context_iteration(nullptr, FALSE)) {
  }
}

}  // namespace

TEST_CASE("the main loop polls one descriptor, however many sockets are watched") {
  std::vector<std::unique_ptr<SocketPair>> crowd;
  crowd.push_back(std::make_unique<SocketPair>([] {}));
  const int for_one = polled_descriptors();
  while (crowd.size() < 100) crowd.push_back(std::make_unique<SocketPair>([] {}));
  CHECK(polled_descriptors() == for_one);
}

TEST_CASE("a watcher that another one's callback has stopped is not called any more") {
  int calls = 0;
  std::unique_ptr<SocketPair> first;
  std::unique_ptr<SocketPair> second;
  const auto stop_both = [&] {
    ++calls;
    first->watcher.stop();
    second->watcher.stop();
  };
  first = std::make_unique<SocketPair>(stop_both);
  second = std::make_unique<SocketPair>(stop_both);
  first->send_byte();
  second->send_byte();
  run_ready_callbacks();
  CHECK(calls == 1);
}

TEST_CASE("an event of a closed socket does not reach the socket that got its descriptor") {
  int wrong = 0;
  int right = 0;
  std::unique_ptr<SocketPair> first;
  std::unique_ptr<SocketPair> second;
  std::unique_ptr<SocketPair> third;
  const auto replace = [&](std::unique_ptr<SocketPair>& other) {
    ++right;
    first->watcher.stop();
    second->watcher.stop();
    other.reset();
    third = std::make_unique<SocketPair>([&] { ++wrong; });
  };
  first = std::make_unique<SocketPair>([&] { replace(second); });
  second = std::make_unique<SocketPair>([&] { replace(first); });
  first->send_byte();
  second->send_byte();
  run_ready_callbacks();
  CHECK(right == 1);
  CHECK(wrong == 0);
}

TEST_CASE("timers fire in order, and their callbacks may stop, start and destroy other timers") {
  std::string order;
  Timer first;
  Timer again;
  auto doomed = std::make_unique<Timer>();
  int rounds = 0;
  std::function<void()> repeat = [&] {
    order += 'r';
    if (++rounds < 3) again.start(0, repeat);
  };
  doomed->start(2'000, [&] { order += 'x'; });
  first.start(1'000, [&] {
    order += 'a';
    doomed.reset();
    first.start(5'000, [&] { order += 'b'; });
  });
  again.start(0, repeat);
  while (first.running() || again.running()) g_main_context_iteration(nullptr, TRUE);
  run_ready_callbacks();
  CHECK(order == "rrrab");
}
