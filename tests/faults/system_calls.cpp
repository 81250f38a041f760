// Every system call of a router under load fails in the ways that Linux documents: each request that a client
// could send gets its answer, and what the faults left behind is gone after them.
#include <catch2/catch.hpp>
#include <cerrno>
#include <csignal>
#include <cstdlib>
#include <vector>

#include "fault_control.hpp"
#include "faulty_site.hpp"

using namespace thornwick;
using testing::Fault;
using testing::FaultySite;
using testing::kShortCount;
using testing::run_until;
using testing::SocketSide;
using testing::SystemCall;

namespace {

// After which no connection to a replica is left.
constexpr Time kConnectionsAreOver = milliseconds(500);

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

// Of the scripts with all faults together: more by hand, with THORNWICK_FAULT_SEEDS.
constexpr int kScripts = 3;

int scripts() {
  const char* text = std::getenv("THORNWICK_FAULT_SEEDS");
  return text == nullptr ? kScripts : std::atoi(text);
}

}  // namespace

TEST_CASE("each request gets its answer while a system call fails, and nothing is left over") {
  std::size_t index = GENERATE(range(std::size_t{0}, std::size_t{8}));
  const Case& tried = cases()[index];
  FaultySite site(index + 1);
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
  CHECK(site.end(SIGTERM) == 0);
}

TEST_CASE("a router's own lack of sockets counts as no replica's failure") {
  const Fault fault = GENERATE(Fault{.call = SystemCall::connect, .error = EADDRNOTAVAIL},
                               Fault{.call = SystemCall::connect, .error = EAGAIN},
                               Fault{.call = SystemCall::connect, .error = ENOBUFS},
                               Fault{.call = SystemCall::socket, .error = EMFILE},
                               Fault{.call = SystemCall::socket, .error = ENOBUFS});
  CAPTURE(fault.error);
  FaultySite site(1);
  site.load(10, 1);
  REQUIRE(site.served() == 10);
  run_until([] { return false; }, kConnectionsAreOver);  // no connection is left
  site.faults.add(fault);
  site.load(60, 1);
  CHECK(site.faults.injected() > 0);
  CHECK(site.answered() == 70);
  const std::size_t served = site.served();
  CHECK(served < 20);
  site.faults.clear();
  site.load(60, 1);
  CHECK(site.served() - served == 60);
}

TEST_CASE("each request gets its answer while all system calls fail now and then") {
  constexpr double kPart = 0.15;  // of what each case has alone
  for (int seed = 1; seed <= scripts(); ++seed) {
    CAPTURE(seed);
    FaultySite site(static_cast<std::uint64_t>(seed));
    site.load(10, 2);
    REQUIRE(site.served() == 20);
    for (std::size_t i = 0; i < cases().size(); ++i) {
      const Case& one = cases()[i];
      const int error = one.errors[(static_cast<std::size_t>(seed) + i) % one.errors.size()];
      site.faults.add({one.call, error, kPart * one.part, one.side});
    }
    site.load(60, 3);
    CHECK(site.faults.injected() > 0);
    CHECK(site.answered() == site.sent());
    site.faults.clear();
    const std::size_t served = site.served();
    site.load(10, 2);
    CHECK(site.served() - served == 20);
    CHECK(site.end(SIGTERM) == 0);
  }
}
