// The system's clock is stepped while requests wait. Their timeouts count elapsed time, so a step must not
// affect them.
#include <catch2/catch.hpp>

#include "fault_control.hpp"
#include "faulty_site.hpp"

using namespace thornwick;
using testing::FaultySite;

namespace {

constexpr std::int64_t kHour = seconds(3'600);
// The router subtracts this from a request's timeout, for the transit before the request was read
// (fronts/dialect.cpp).
constexpr Time kTransitAllowance = milliseconds(1);

}  // namespace

TEST_CASE("a step of the system's clock ends no request early and leaves none without its answer") {
  const auto step = GENERATE(values<std::int64_t>({kHour, -kHour, seconds(5), -seconds(5)}));
  CAPTURE(step);
  FaultySite site(1, "", FaultySite::Replicas::silent);
  const Time begun = net::now_us();
  site.start_requests(5);
  testing::run_until([] { return false; }, milliseconds(500));
  site.faults.step_wall_clock(step);
  testing::run_until([&] { return site.answered() > 0; }, testing::kMaxWait);
  // A request ends at its timeout and not before, since the replicas never answer.
  CHECK(net::now_us() - begun >= testing::kRequestTime - kTransitAllowance);
  testing::run_until([&] { return site.answered() == 5; }, testing::kMaxWait);
  CHECK(site.answered() == 5);
  CHECK(site.served() == 0);
}

TEST_CASE("a router whose system clock has been stepped serves as before") {
  const auto step = GENERATE(values<std::int64_t>({kHour, -kHour}));
  CAPTURE(step);
  FaultySite site(1);
  site.run_requests(10, 2);
  site.faults.step_wall_clock(step);
  site.run_requests(20, 2);
  CHECK(site.served() == 60);
  CHECK(site.stop(SIGTERM) == 0);
}
