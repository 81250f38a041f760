// The offer and the lines of a hand-over, as an earlier version wrote them.
#include "net/handover.hpp"

#include <gio/gunixfdmessage.h>
#include <gio/gunixsocketaddress.h>

#include <array>
#include <catch2/catch.hpp>
#include <thread>

#include "../store/scratch.hpp"
#include "committed.hpp"
#include "net/unix_socket.hpp"

using namespace thornwick;
using namespace thornwick::net;
using thornwick::testing::check_written;
using thornwick::testing::committed;
using thornwick::testing::Scratch;

namespace {

constexpr const char* kFile = "handover.hex";
constexpr Time kMoment = milliseconds(200);
constexpr unsigned kTimeoutSeconds = 20;  // of each blocking call
constexpr std::size_t kHeadBytes = 8;     // these carry the descriptors
const std::string kListenAddress = "0.0.0.0:8080";
const std::string kList = R"({"version":7,"replicas":[]})";
const std::string kLearned("learned\0\xff", 9);

template <typename Holds>
void loop_until(Holds holds) {
  bool late = false;
  Timer limit;
  limit.start(seconds(20), [&] { late = true; });
  while (!late && !holds()) g_main_context_iteration(nullptr, TRUE);
  REQUIRE_FALSE(late);
}

Owned<GSocket> connected_to(const std::string& path) {
  Owned<GSocket> socket(
      g_socket_new(G_SOCKET_FAMILY_UNIX, G_SOCKET_TYPE_STREAM, G_SOCKET_PROTOCOL_DEFAULT, nullptr));
  REQUIRE(socket);
  const Owned<GSocketAddress> address(g_unix_socket_address_new(path.c_str()));
  REQUIRE(g_socket_connect(socket.get(), address.get(), nullptr, nullptr));
  g_socket_set_blocking(socket.get(), FALSE);
  return socket;
}

HandoverState handover_state(const Scratch& scratch) {
  HandoverState handover_state;
  handover_state.sockets[kListenAddress] = listen_unix(scratch.path("served"));
  handover_state.drained = true;
  handover_state.reserved_descriptors = 300;
  handover_state.endpoint_list = kList;
  handover_state.learned_state = kLearned;
  return handover_state;
}

// An old process that sends the committed offer and lines.
class CommittedPredecessor {
 public:
  CommittedPredecessor(const std::string& path, const Scratch& scratch)
      : listening_(listen_unix(path)),
        listening_socket_(listen_unix(scratch.path("served"))),
        thread_([this] { run(); }) {}
  ~CommittedPredecessor() { thread_.join(); }
  CommittedPredecessor(const CommittedPredecessor&) = delete;
  CommittedPredecessor& operator=(const CommittedPredecessor&) = delete;

  // Waits until the new process has sent everything, and returns it.
  std::string received() {
    thread_.join();
    thread_ = std::thread([] {});
    return received_;
  }

 private:
  void run() {
    g_socket_set_blocking(listening_.get(), TRUE);
    g_socket_set_timeout(listening_.get(), kTimeoutSeconds);
    const Owned<GSocket> socket(g_socket_accept(listening_.get(), nullptr, nullptr));
    if (!socket) return;
    g_socket_set_timeout(socket.get(), kTimeoutSeconds);
    const Owned<GUnixFDMessage> descriptors(G_UNIX_FD_MESSAGE(g_unix_fd_message_new()));
    g_unix_fd_message_append_fd(descriptors.get(), g_socket_get_fd(listening_socket_.get()), nullptr);
    GSocketControlMessage* message = G_SOCKET_CONTROL_MESSAGE(descriptors.get());
    GOutputVector head{offer_.data(), kHeadBytes};
    g_socket_send_message(socket.get(), nullptr, &head, 1, &message, 1, 0, nullptr, nullptr);
    send(socket.get(), offer_.substr(kHeadBytes));
    receive(socket.get(), serving_line_.size());
    send(socket.get(), yielded_line_);
    receive(socket.get(), serving_line_.size() + passed_on_line_.size());
  }
  static void send(GSocket* socket, const std::string& bytes) {
    g_socket_send(socket, bytes.data(), bytes.size(), nullptr, nullptr);
  }
  void receive(GSocket* socket, std::size_t size) {
    std::array<char, 256> bytes;
    while (received_.size() < size) {
      const gssize got = g_socket_receive(socket, bytes.data(), bytes.size(), nullptr, nullptr);
      if (got <= 0) return;
      received_.append(bytes.data(), static_cast<std::size_t>(got));
    }
  }

  const std::string offer_ = committed(kFile, "offer");
  const std::string serving_line_ = committed(kFile, "serving");
  const std::string yielded_line_ = committed(kFile, "yours-drained");
  const std::string passed_on_line_ = committed(kFile, "passed-on");
  std::string received_;
  Owned<GSocket> listening_;         // for the successor
  Owned<GSocket> listening_socket_;  // part of the offer
  std::thread thread_;               // last: it uses all of the others
};

}  // namespace

TEST_CASE("handover: each field of a committed offer is decoded, and a successor sends the committed lines") {
  const Scratch scratch;
  const std::string path = scratch.path("old");
  CommittedPredecessor predecessor_process(path, scratch);
  auto inherited = receive_handover(path);
  REQUIRE(inherited);
  CHECK(inherited->sockets.size() == 1);
  CHECK(inherited->sockets.contains(kListenAddress));
  CHECK(inherited->drained);
  CHECK(inherited->reserved_descriptors == 300);
  CHECK(inherited->endpoint_list == kList);
  CHECK(inherited->learned_state == kLearned);
  std::optional<bool> yielded;
  HandoverClient predecessor(
      std::move(inherited->connection),
      {.predecessor_yielded = [&](bool drained) { yielded = drained; }, .predecessor_exited = [] {}});
  predecessor.send_serving();
  loop_until([&] { return yielded.has_value(); });
  CHECK(*yielded);
  predecessor.send_handed_over();
  CHECK(predecessor_process.received() == committed(kFile, "serving") + committed(kFile, "passed-on"));
}

TEST_CASE(
    "handover: the same offer encodes to the committed bytes, and a predecessor answers with the committed "
    "lines") {
  for (const bool drained : {false, true}) {
    const Scratch scratch;
    const std::string path = scratch.path("old");
    bool lost = false;
    const HandoverServer server(path, {.offer = [&] { return handover_state(scratch); },
                                       .successor_serving = [&] { return drained; },
                                       .successor_lost = [&] { lost = true; }});
    std::string received;
    Stream successor({.connected = [] {},
                      .arrived = [&](std::string_view bytes) { received += bytes; },
                      .drained = {},
                      .ended = [] {}});
    successor.adopt(connected_to(path));
    const std::size_t size = committed(kFile, "offer").size();
    loop_until([&] { return received.size() >= size; });
    check_written(kFile, "offer", std::exchange(received, {}));
    successor.write(committed(kFile, "serving"));
    loop_until([&] { return !received.empty() && received.back() == '\n'; });
    check_written(kFile, drained ? "yours-drained" : "yours", received);
    // A successor that has passed on is not lost when it ends; without that line it would be reported as lost
    // within kMoment.
    successor.write(committed(kFile, "passed-on"));
    successor.finish_sending();
    bool over = false;
    Timer moment;
    moment.start(kMoment, [&] { over = true; });
    loop_until([&] { return over; });
    CHECK_FALSE(lost);
  }
}

TEST_CASE("handover: the path at which a process waits for a successor is unchanged") {
  CHECK(handover_path("/run/user/7", "r0", "127.0.0.1:8080") ==
        "/run/user/7/" + committed(kFile, "path-name"));
}
