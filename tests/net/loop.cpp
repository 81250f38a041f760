// Timers and watchers: each kind has one source in the main loop, whatever the number of objects, and an
// object can be stopped in a callback.
#include "net/loop.hpp"

#include <sys/socket.h>

#include <catch2/catch.hpp>

using namespace thornwick::net;

namespace {

// A watched socket and the other end of its connection.
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
  std::vector<std::unique_ptr<SocketPair>> pairs;
  pairs.push_back(std::make_unique<SocketPair>([] {}));
  const int count_for_one = polled_descriptors();
  while (pairs.size() < 100) pairs.push_back(std::make_unique<SocketPair>([] {}));
  CHECK(polled_descriptors() == count_for_one);
}

TEST_CASE("a watcher that another watcher's callback has stopped is not called any more") {
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
  int wrong_calls = 0;
  int right_calls = 0;
  std::unique_ptr<SocketPair> first;
  std::unique_ptr<SocketPair> second;
  std::unique_ptr<SocketPair> third;
  const auto replace = [&](std::unique_ptr<SocketPair>& other) {
    ++right_calls;
    first->watcher.stop();
    second->watcher.stop();
    other.reset();
    third = std::make_unique<SocketPair>([&] { ++wrong_calls; });
  };
  first = std::make_unique<SocketPair>([&] { replace(second); });
  second = std::make_unique<SocketPair>([&] { replace(first); });
  first->send_byte();
  second->send_byte();
  run_ready_callbacks();
  CHECK(right_calls == 1);
  CHECK(wrong_calls == 0);
}

TEST_CASE("timers fire in order, and their callbacks may stop, start and destroy other timers") {
  std::string order;
  Timer first;
  Timer repeating;
  auto destroyed = std::make_unique<Timer>();
  int rounds = 0;
  std::function<void()> repeat = [&] {
    order += 'r';
    if (++rounds < 3) repeating.start(0, repeat);
  };
  destroyed->start(2'000, [&] { order += 'x'; });
  first.start(1'000, [&] {
    order += 'a';
    destroyed.reset();
    first.start(5'000, [&] { order += 'b'; });
  });
  repeating.start(0, repeat);
  while (first.running() || repeating.running()) g_main_context_iteration(nullptr, TRUE);
  run_ready_callbacks();
  CHECK(order == "rrrab");
}
