// Every system call of a router under load fails in the ways that Linux documents: each request that a client
// could send gets its answer, and what the faults left behind is gone after them.
#include <catch2/catch.hpp>
#include <cerrno>
#include <csignal>
#include <filesystem>
#include <fstream>
#include <memory>
#include <vector>

#include "../incidents/router_config.hpp"
#include "../incidents/slow_discovery.hpp"
#include "fault_control.hpp"
#include "net/loop.hpp"

using namespace thornwick;
using testing::CountingReplica;
using testing::Fault;
using testing::FaultControl;
using testing::kShortCount;
using testing::Program;
using testing::run_until;
using testing::Scratch;
using testing::SlowDiscovery;
using testing::SocketSide;
using testing::SystemCall;

namespace {

constexpr Time kSecond = 1'000'000;
constexpr Time kBetweenRequests = 4'000;
// So short that many attempts need a new connection.
constexpr long kKeepalive = 4'000;
// Above a request's own time and the half second in which a late answer is none that is lost.
constexpr Time kMostWait = 6 * kSecond;

// A client with one connection, on which it sends one request after the other.
class Client {
 public:
  Client(const std::string& address, std::size_t requests, std::size_t& next_request)
      : requests_left_(requests), next_request_(next_request) {
    stream_ = std::make_unique<net::Stream>(
        net::Stream::Callbacks{.connected = [this] { send(); },
                               .arrived = [this](std::string_view bytes) { on_bytes(bytes); },
                               .drained = [] {},
                               .ended = [this] { ended_ = true; }});
    REQUIRE(stream_->connect(net::parse_address(address).get()));
  }
  bool done() const { return requests_left_ == 0 || ended_; }
  std::size_t sent() const { return sent_; }
  std::size_t answered() const { return answered_; }
  std::size_t served() const { return served_; }

 private:
  void send() {
    ++sent_;
    stream_->write(testing::write_router_request(++next_request_));
  }
  void on_bytes(std::string_view bytes) {
    reader_.feed(bytes);
    for (;;) {
      switch (reader_.next()) {
        case http::MessageReader::Piece::none: return;
        case http::MessageReader::Piece::head: continue;
        case http::MessageReader::Piece::body: reader_.take_body(); continue;
        case http::MessageReader::Piece::end: on_answer(); continue;
      }
    }
  }
  void on_answer() {
    ++answered_;
    if (reader_.head().status == 200) ++served_;
    if (--requests_left_ > 0 && reader_.head().keeps_alive()) return send();
    requests_left_ = 0;
    stream_->close();
  }

  std::unique_ptr<net::Stream> stream_;
  http::MessageReader reader_{http::MessageReader::Kind::answer};
  std::size_t requests_left_;
  std::size_t& next_request_;
  std::size_t sent_ = 0, answered_ = 0, served_ = 0;
  bool ended_ = false;
};

// A router under faults, with three replicas and its clients.
class Site {
 public:
  explicit Site(std::uint64_t seed) : faults(seed), discovery_(0), config_(scratch_.path("config.json")) {
    const std::string entries = replicas_[0].entry("s-01", "SERVING") + "," +
                                replicas_[1].entry("s-02", "SERVING") + "," +
                                replicas_[2].entry("s-03", "SERVING");
    discovery_.publish(1, entries);
    std::ofstream(config_) << testing::write_router_config(
        {.discovery = discovery_.address(), .known = entries, .keepalive_us = kKeepalive});
    router_ = std::make_unique<Program>(config_, "text", scratch_.folder(), faults.environment());
    const std::string serves = router_->says(" serves on ");
    const auto begin = serves.find("127.0.0.1:");
    REQUIRE(begin != std::string::npos);
    address_ = serves.substr(begin, serves.find(',') - begin);
  }

  // Connections that come one after the other, with this many requests on each.
  void load(std::size_t connections, std::size_t requests_on_each) {
    const std::size_t first = clients_.size();
    for (std::size_t i = 0; i < connections; ++i) {
      clients_.push_back(std::make_unique<Client>(address_, requests_on_each, next_request_));
      run_until([] { return false; }, kBetweenRequests);
    }
    run_until(
        [&] {
          return std::all_of(clients_.begin() + static_cast<std::ptrdiff_t>(first), clients_.end(),
                             [](const auto& client) { return client->done(); });
        },
        kMostWait);
  }
  std::size_t sent() const { return sum(&Client::sent); }
  std::size_t answered() const { return sum(&Client::answered); }
  std::size_t served() const { return sum(&Client::served); }

  // Descriptors that the router holds.
  std::size_t descriptors() const {
    const auto folder = "/proc/" + std::to_string(router_->pid()) + "/fd";
    return static_cast<std::size_t>(
        std::distance(std::filesystem::directory_iterator(folder), std::filesystem::directory_iterator()));
  }
  // Ends the router. Returns its exit status.
  int end() {
    router_->signal(SIGTERM);
    return router_->status();
  }

  FaultControl faults;

 private:
  std::size_t sum(std::size_t (Client::*of)() const) const {
    std::size_t total = 0;
    for (const auto& client : clients_) total += (client.get()->*of)();
    return total;
  }

  Scratch scratch_;
  std::array<CountingReplica, 3> replicas_;
  SlowDiscovery discovery_;
  std::string config_, address_;
  std::unique_ptr<Program> router_;
  std::vector<std::unique_ptr<Client>> clients_;
  std::size_t next_request_ = 0;
};

struct Case {
  SystemCall call;
  std::vector<int> errors;
  double part;
  SocketSide side = SocketSide::any;
};

// Faults after which a client's own connection is whole, so that each of its requests has to be answered.
const std::vector<Case>& cases() {
  static const std::vector<Case> all = {
      {SystemCall::accept, {ECONNABORTED, EINTR, ENFILE, EMFILE, ENOBUFS, ENOMEM, EPROTO}, 0.3},
      {SystemCall::socket, {EMFILE, ENFILE, ENOBUFS, ENOMEM}, 0.3},
      {SystemCall::connect, {EADDRNOTAVAIL, ENETUNREACH, ECONNREFUSED, EAGAIN, ETIMEDOUT, ENOBUFS}, 0.3},
      {SystemCall::receive, {EINTR, EAGAIN, kShortCount}, 0.3},
      {SystemCall::receive, {ETIMEDOUT, EHOSTUNREACH, ECONNRESET, ENOBUFS}, 0.1, SocketSide::connected},
      {SystemCall::send, {EINTR, kShortCount}, 0.3},
      {SystemCall::send, {EPIPE, ETIMEDOUT, EHOSTUNREACH, ECONNRESET}, 0.1, SocketSide::connected},
      {SystemCall::poll, {EINTR}, 0.3},
  };
  return all;
}

}  // namespace

TEST_CASE("each request gets its answer while a system call fails, and nothing is left over") {
  std::size_t index = GENERATE(range(std::size_t{0}, std::size_t{8}));
  const Case& tried = cases()[index];
  Site site(index + 1);
  site.load(10, 2);
  REQUIRE(site.served() == 20);
  const std::size_t descriptors = site.descriptors();
  for (const int error : tried.errors) {
    CAPTURE(index, error);
    site.faults.clear();
    const std::uint64_t injected = site.faults.injected();
    const std::size_t sent = site.sent();
    const std::size_t answered = site.answered();
    site.faults.add({tried.call, error, tried.part, tried.side});
    site.load(40, 3);
    CHECK(site.faults.injected() > injected);
    CHECK(site.sent() >= sent + 40);
    CHECK(site.answered() - answered == site.sent() - sent);
  }
  site.faults.clear();
  const std::size_t served = site.served();
  site.load(10, 2);
  CHECK(site.served() - served == 20);
  CHECK(site.descriptors() <= descriptors + 3);  // one connection to a replica more, each
  CHECK(site.end() == 0);
}

TEST_CASE("what the router itself lacks for a connection is held against no replica") {
  const Fault fault = GENERATE(Fault{.call = SystemCall::connect, .error = EADDRNOTAVAIL},
                               Fault{.call = SystemCall::connect, .error = EAGAIN},
                               Fault{.call = SystemCall::connect, .error = ENOBUFS},
                               Fault{.call = SystemCall::socket, .error = EMFILE},
                               Fault{.call = SystemCall::socket, .error = ENOBUFS});
  CAPTURE(fault.error);
  Site site(1);
  site.load(10, 1);
  REQUIRE(site.served() == 10);
  run_until([] { return false; }, 2 * kKeepalive);  // no connection is left
  site.faults.add(fault);
  site.load(60, 1);
  CHECK(site.faults.injected() >= 60);
  CHECK(site.answered() == 70);
  const std::size_t served = site.served();
  CHECK(served < 20);
  site.faults.clear();
  site.load(60, 1);
  CHECK(site.served() - served == 60);
}
