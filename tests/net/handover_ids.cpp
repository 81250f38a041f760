// Request ids while the process is replaced: whichever process has the first request, no id runs twice
// (docs/incidents/2026-12-id-at-two-processes.md).
#include <array>
#include <thread>

#include "holding_replica.hpp"
#include "net/unix_socket.hpp"
#include "router_processes.hpp"

using namespace thornwick;
using thornwick::testing::ClientSocket;
using thornwick::testing::HoldingReplica;
using thornwick::testing::request_text;
using thornwick::testing::ServingRouter;
using thornwick::testing::SharedFiles;

namespace {

constexpr const char* kConflict = "HTTP/1.1 409";

// Sends a request, and returns the first line of its answer.
std::string first_line(ClientSocket& client, const std::string& id) {
  client.send(request_text(id));
  return client.read_until("\r\n");
}

std::string first_line_of_new_client(int port, const std::string& id) {
  ClientSocket client(port);
  return first_line(client, id);
}

// A client whose connection the process has accepted, because it has answered a first call.
struct KeptClient : ClientSocket {
  explicit KeptClient(int port) : ClientSocket(port) {
    send("GET /health/ready HTTP/1.1\r\n\r\n");
    REQUIRE(read_until("}").starts_with("HTTP/1.1 200"));
  }
};

bool has_handed_over(ServingRouter& old_process) {
  return old_process.program.wait_for_line("handed-over: a successor serves") != "";
}

// A router with a request in flight, and a connection that brings another request later.
struct RouterWithRequest {
  explicit RouterWithRequest(const std::string& class_rules = {})
      : files(replica.port, 1, {}, class_rules),
        first(files.config, files.tmp),
        kept(first.front),
        open(first.front) {
    open.send(request_text("open"));
    REQUIRE(replica.wait_until_begun("open"));
    REQUIRE(open.read_until("begins").starts_with("HTTP/1.1 200"));
  }
  HoldingReplica replica;
  SharedFiles files;
  ServingRouter first;
  KeptClient kept;
  ClientSocket open;
};

}  // namespace

// The operators' case: the new process ran the id of a request that was in flight at the old one.
TEST_CASE(
    "handover: an id in flight at the old process is refused by the new one until its answer has ended") {
  RouterWithRequest router;
  ServingRouter second(router.files.config, router.files.tmp);
  REQUIRE(has_handed_over(router.first));
  CHECK(first_line_of_new_client(second.front, "open").starts_with(kConflict));
  CHECK(router.replica.runs("open") == 1);
  router.replica.finish_all();
  CHECK(router.open.read_until("0\r\n\r\n").find("[DONE]") != std::string::npos);
  CHECK(first_line_of_new_client(second.front, "another").starts_with("HTTP/1.1 200"));
}

TEST_CASE(
    "handover: an id in flight at the new process is refused on a connection that the old one has kept") {
  RouterWithRequest router;
  ServingRouter second(router.files.config, router.files.tmp);
  REQUIRE(has_handed_over(router.first));
  ClientSocket client(second.front);
  CHECK(first_line(client, "later").starts_with("HTTP/1.1 200"));
  CHECK(first_line(router.kept, "later").starts_with(kConflict));
  CHECK(router.replica.runs("later") == 1);
}

TEST_CASE(
    "handover: a request on a connection that the old process has kept is served, and its id then in use") {
  RouterWithRequest router;
  ServingRouter second(router.files.config, router.files.tmp);
  REQUIRE(has_handed_over(router.first));
  CHECK(first_line(router.kept, "kept").starts_with("HTTP/1.1 200"));
  CHECK(first_line_of_new_client(second.front, "kept").starts_with(kConflict));
  CHECK(router.replica.runs("kept") == 1);
}

TEST_CASE("handover: the ids of an old process that is stopped or killed are still refused") {
  const int signal_number = GENERATE(SIGSTOP, SIGKILL);
  RouterWithRequest router;
  ServingRouter second(router.files.config, router.files.tmp);
  REQUIRE(has_handed_over(router.first));
  router.first.program.signal(signal_number);
  if (signal_number == SIGKILL) REQUIRE(second.program.wait_for_line("the predecessor has exited") != "");
  CHECK(first_line_of_new_client(second.front, "open").starts_with(kConflict));
  CHECK(first_line_of_new_client(second.front, "another").starts_with("HTTP/1.1 200"));
  CHECK(router.replica.runs("open") == 1);
  router.first.program.signal(SIGCONT);
}

TEST_CASE("handover: the successor accepts connections if the old process is stopped and does not yield") {
  RouterWithRequest router;
  std::thread stopping([&] {
    router.first.program.wait_for_line("successor connected");
    router.first.program.signal(SIGSTOP);
  });
  ServingRouter second(router.files.config, router.files.tmp);
  stopping.join();
  ClientSocket client(second.front);
  CHECK(first_line(client, "later").starts_with("HTTP/1.1 200"));
  CHECK(first_line_of_new_client(second.front, "open").starts_with(kConflict));
  router.kept.send(request_text("later"));
  router.first.program.signal(SIGCONT);
  CHECK(router.kept.read_until("\r\n").starts_with(kConflict));
  CHECK(router.replica.runs("later") == 1);
  CHECK(router.replica.runs("open") == 1);
}

TEST_CASE("handover: the old process refuses a request as harmless if its successor is stopped") {
  RouterWithRequest router;
  ServingRouter second(router.files.config, router.files.tmp);
  REQUIRE(has_handed_over(router.first));
  second.program.signal(SIGSTOP);
  CHECK(first_line(router.kept, "kept").starts_with("HTTP/1.1 503"));
  second.program.signal(SIGCONT);
  CHECK(first_line_of_new_client(second.front, "kept").starts_with("HTTP/1.1 200"));
  CHECK(router.replica.runs("kept") == 1);
}

// Guards against a request that runs twice: the other process may have its id in work, and the client is
// answered that a repeat does no harm.
TEST_CASE(
    "handover: a request whose id nobody decides about is refused as harmless only if its class permits") {
  struct Answer {
    std::string class_rules;
    std::string status;
  };
  const Answer answer =
      GENERATE(Answer{R"(,"effect":"unsafe")", "HTTP/1.1 502"},
               Answer{R"(,"effect":"keyed","dedupScope":"zone","window":5000000)", "HTTP/1.1 502"},
               Answer{R"(,"effect":"keyed","dedupScope":"all","window":5000000)", "HTTP/1.1 503"});
  RouterWithRequest router(answer.class_rules);
  ServingRouter second(router.files.config, router.files.tmp);
  REQUIRE(has_handed_over(router.first));
  second.program.signal(SIGSTOP);
  CHECK(first_line(router.kept, "kept").starts_with(answer.status));
  second.program.signal(SIGCONT);
  CHECK(router.replica.runs("kept") == 0);
}

TEST_CASE("handover: the id of a client that left is refused by the process and by its successors") {
  RouterWithRequest router;
  {
    ClientSocket leaving(router.first.front);
    leaving.send(request_text("left"));
    REQUIRE(router.replica.wait_until_begun("left"));
    REQUIRE(leaving.read_until("begins") != "");
  }
  // The second answer of 409 is not the first request's any more: its client has gone.
  CHECK(router.first.program.wait_for_line("cancelled by the client") != "");
  CHECK(first_line_of_new_client(router.first.front, "left").starts_with(kConflict));
  ServingRouter second(router.files.config, router.files.tmp);
  REQUIRE(has_handed_over(router.first));
  CHECK(first_line_of_new_client(second.front, "left").starts_with(kConflict));
  ServingRouter third(router.files.config, router.files.tmp);
  REQUIRE(has_handed_over(second));
  CHECK(second.program.wait_for_exit() == 0);
  CHECK(first_line_of_new_client(third.front, "left").starts_with(kConflict));
  CHECK(first_line_of_new_client(third.front, "open").starts_with(kConflict));
  CHECK(router.replica.runs("left") == 1);
  CHECK(router.replica.runs("open") == 1);
}

// Guards against requests that the old process had read behind one in flight, and that got no answer
// (review/8).
TEST_CASE("handover: requests behind one in flight at the old process are answered, each by that process") {
  RouterWithRequest router;
  ClientSocket pipelining(router.first.front);
  pipelining.send(request_text("p1") + request_text("p2") + request_text("p3"));
  REQUIRE(router.replica.wait_until_begun("p1"));
  ServingRouter second(router.files.config, router.files.tmp);
  REQUIRE(has_handed_over(router.first));
  router.replica.finish_all();
  for (const char* id : {"p1", "p2", "p3"}) {
    CHECK(pipelining.read_until("0\r\n\r\n").find("[DONE]") != std::string::npos);
    CHECK(router.replica.runs(id) == 1);
  }
  CHECK(pipelining.read_until("more").empty());  // the connection is closed with the last answer
  CHECK(router.first.program.wait_for_exit() == 0);
}

// A predecessor that was drained when it made its offer, and is not any more when it yields.
TEST_CASE("handover: a JOIN at the old process after its offer ends the drain of the new one") {
  const SharedFiles files;
  auto listening = net::listen_unix(files.path);
  g_socket_set_timeout(listening.get(), 20);
  std::thread predecessor([&] {
    g_socket_set_blocking(listening.get(), TRUE);
    const net::Owned<GSocket> socket(g_socket_accept(listening.get(), nullptr, nullptr));
    net::HandoverState state;
    state.drained = true;
    state.request_ids.emplace();
    const net::SentOffer offer = net::send_offer_head(socket.get(), state);
    g_socket_send(socket.get(), offer.unsent_bytes.data(), offer.unsent_bytes.size(), nullptr, nullptr);
    std::string received;
    std::array<char, 256> bytes{};
    while (received.find("serving\n") == std::string::npos) {
      const gssize size = g_socket_receive(socket.get(), bytes.data(), bytes.size(), nullptr, nullptr);
      if (size <= 0) return;
      received.append(bytes.data(), static_cast<std::size_t>(size));
    }
    g_socket_send(socket.get(), "yours\n", 6, nullptr, nullptr);
    while (g_socket_receive(socket.get(), bytes.data(), bytes.size(), nullptr, nullptr) > 0) {
    }
  });
  {
    ServingRouter second(files.config, files.tmp);
    CHECK(second.program.wait_for_line("JOIN was called") != "");
    CHECK(testing::call_admin_endpoint(second.admin_endpoint, "HEALTH") == "+OK serving\n");
  }
  predecessor.join();
}
