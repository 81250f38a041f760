// System calls of a router under load fail with the errors that Linux documents. Each request that a client
// could send must get its answer, and no descriptor or failure may remain when the faults end.
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

// After this time all connections to replicas are closed.
constexpr Time kConnectionCloseTime = milliseconds(500);

struct Case {
  SystemCall call;
  std::vector<int> errors;
  double fraction;
  SocketSide side = SocketSide::any;
};

// Faults that leave the client's own connection intact, so that each of its requests must be answered.
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

// Number of scripts with all faults together. THORNWICK_FAULT_SEEDS sets another number for manual runs.
constexpr int kDefaultScripts = 3;

int script_count() {
  const char* text = std::getenv("THORNWICK_FAULT_SEEDS");
  return text == nullptr ? kDefaultScripts : std::atoi(text);
}

}  // namespace

TEST_CASE(
    "each request gets its answer while a system call fails, and the router then serves as before without "
    "leaks") {
  std::size_t index = GENERATE(range(std::size_t{0}, std::size_t{8}));
  const Case& test_case = cases()[index];
  FaultySite site(index + 1);
  site.run_requests(10, 2);
  REQUIRE(site.served() == 20);
  const std::size_t descriptors = site.descriptors();
  for (const int error : test_case.errors) {
    CAPTURE(index, error);
    site.faults.clear();
    const std::uint64_t injected = site.faults.injected();
    const std::size_t sent = site.sent();
    const std::size_t answered = site.answered();
    site.faults.add({test_case.call, error, test_case.fraction, test_case.side});
    site.run_requests(40, 3);
    CHECK(site.faults.injected() > injected);
    CHECK(site.sent() >= sent + 40);
    CHECK(site.answered() - answered == site.sent() - sent);
  }
  site.faults.clear();
  const std::size_t served = site.served();
  site.run_requests(10, 2);
  CHECK(site.served() - served == 20);
  CHECK(site.descriptors() <= descriptors + 3);  // one more connection to each replica
  CHECK(site.stop(SIGTERM) == 0);
}

TEST_CASE("a lack of sockets in the router is not counted as a failure of a replica") {
  const Fault fault = GENERATE(Fault{.call = SystemCall::connect, .error = EADDRNOTAVAIL},
                               Fault{.call = SystemCall::connect, .error = EAGAIN},
                               Fault{.call = SystemCall::connect, .error = ENOBUFS},
                               Fault{.call = SystemCall::socket, .error = EMFILE},
                               Fault{.call = SystemCall::socket, .error = ENOBUFS});
  CAPTURE(fault.error);
  FaultySite site(1);
  site.run_requests(10, 1);
  REQUIRE(site.served() == 10);
  run_until([] { return false; }, kConnectionCloseTime);  // all connections to replicas are closed
  site.faults.add(fault);
  site.run_requests(60, 1);
  CHECK(site.faults.injected() > 0);
  CHECK(site.answered() == 70);
  const std::size_t served = site.served();
  CHECK(served < 20);
  site.faults.clear();
  site.run_requests(60, 1);
  CHECK(site.served() - served == 60);
}

TEST_CASE("each request gets its answer while all system calls fail occasionally") {
  constexpr double kCaseFraction = 0.15;  // multiplies the fraction that each case has alone
  for (int seed = 1; seed <= script_count(); ++seed) {
    CAPTURE(seed);
    FaultySite site(static_cast<std::uint64_t>(seed));
    site.run_requests(10, 2);
    REQUIRE(site.served() == 20);
    for (std::size_t i = 0; i < cases().size(); ++i) {
      const Case& test_case = cases()[i];
      const int error = test_case.errors[(static_cast<std::size_t>(seed) + i) % test_case.errors.size()];
      site.faults.add({test_case.call, error, kCaseFraction * test_case.fraction, test_case.side});
    }
    site.run_requests(60, 3);
    CHECK(site.faults.injected() > 0);
    CHECK(site.answered() == site.sent());
    site.faults.clear();
    const std::size_t served = site.served();
    site.run_requests(10, 2);
    CHECK(site.served() - served == 20);
    CHECK(site.stop(SIGTERM) == 0);
  }
}
