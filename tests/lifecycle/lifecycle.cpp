// The phases of the router's lifecycle: any order of events, and the guarantees of a drain.
#include "lifecycle/lifecycle.hpp"

#include <rapidcheck.h>

#include <catch2/catch.hpp>

using namespace thornwick;
using lifecycle::Lifecycle;
using lifecycle::Phase;

TEST_CASE("readiness, connections and requests follow the phase") {
  Lifecycle router_lifecycle(0);
  CHECK_FALSE(router_lifecycle.ready(0));
  CHECK_FALSE(router_lifecycle.can_serve(0));
  CHECK(router_lifecycle.ready(5'000'001));  // without an endpoint list, so that clients get answers
  router_lifecycle.set_endpoints_known();
  CHECK(router_lifecycle.phase() == Phase::serving);
  CHECK((router_lifecycle.ready(1) && router_lifecycle.can_serve(1) &&
         router_lifecycle.accepts_connections() && router_lifecycle.keeps_connections() &&
         router_lifecycle.admits_requests(1)));
  CHECK_FALSE(router_lifecycle.closes_idle_connections(1));

  REQUIRE(router_lifecycle.begin_drain(1'000'000));
  CHECK_FALSE(router_lifecycle.ready(1'000'000));
  CHECK(router_lifecycle.can_serve(1'000'000));
  CHECK_FALSE(router_lifecycle.keeps_connections());
  CHECK((router_lifecycle.accepts_connections() && router_lifecycle.admits_requests(1'200'000) &&
         !router_lifecycle.closes_idle_connections(1'200'000)));
  REQUIRE(router_lifecycle.begin_drain(2'000'000));  // a second LEAVE does not restart the drain
  CHECK((router_lifecycle.closes_idle_connections(2'000'000) &&
         router_lifecycle.closes_unused_connections(2'000'000)));
  CHECK_FALSE(router_lifecycle.admits_requests(2'500'000));
  REQUIRE(router_lifecycle.end_drain());
  CHECK((router_lifecycle.ready(2'500'000) && router_lifecycle.admits_requests(2'500'000) &&
         router_lifecycle.keeps_connections() && !router_lifecycle.closes_idle_connections(9'000'000)));
}

TEST_CASE("the loss of a successor restores the phase before the handover") {
  Lifecycle router_lifecycle(0);
  router_lifecycle.set_endpoints_known();
  router_lifecycle.hand_over(1'000'000);
  CHECK((router_lifecycle.ready(2'000'000) && !router_lifecycle.can_serve(2'000'000) &&
         !router_lifecycle.accepts_connections() && !router_lifecycle.keeps_connections()));
  CHECK_FALSE(router_lifecycle.begin_drain(2'000'000));
  router_lifecycle.cancel_handover();
  CHECK((router_lifecycle.phase() == Phase::serving && router_lifecycle.accepts_connections() &&
         router_lifecycle.keeps_connections()));
  REQUIRE(router_lifecycle.begin_drain(3'000'000));
  router_lifecycle.hand_over(3'000'000);
  CHECK_FALSE(router_lifecycle.ready(3'000'000));  // a drain applies to the successor too
  router_lifecycle.cancel_handover();
  CHECK(router_lifecycle.phase() == Phase::drained);
}

// A request that arrives more than 0.7 s after SIGTERM may be unanswered at the time of SIGKILL.
TEST_CASE("after SIGTERM requests are admitted for a short time, and then none that SIGKILL could cut off") {
  Lifecycle router_lifecycle(0);
  router_lifecycle.set_endpoints_known();
  router_lifecycle.terminate(1'000'000);
  CHECK((router_lifecycle.admits_requests(1'400'000) && router_lifecycle.accepts_connections() &&
         !router_lifecycle.closes_unused_connections(1'400'000)));
  router_lifecycle.terminate(1'600'000);  // a second SIGTERM changes nothing
  CHECK((!router_lifecycle.admits_requests(1'700'000) &&
         router_lifecycle.closes_unused_connections(1'700'000) &&
         router_lifecycle.closes_idle_connections(1'700'000)));
  router_lifecycle.hand_over(1'700'000);
  CHECK_FALSE(router_lifecycle.admits_requests(1'800'000));
}

TEST_CASE(
    "4 s after LEAVE no request of the last 2 s is in flight whatever events precede it, and SIGTERM is "
    "final") {
  REQUIRE(rc::check("any order of calls", [] {
    Lifecycle router_lifecycle(0);
    router_lifecycle.set_endpoints_known();
    Time now = 0;
    bool shutting_down = false;
    Time drained_at = -1;  // when the drain began; -1: not drained
    for (const int event : *rc::gen::container<std::vector<int>>(rc::gen::inRange(0, 5))) {
      now += *rc::gen::inRange(0, 3'000'000);
      const bool handed_over = router_lifecycle.phase() == Phase::handed_over;
      if (event == 0 && router_lifecycle.begin_drain(now) && drained_at < 0) drained_at = now;
      if (event == 1 && router_lifecycle.end_drain()) drained_at = -1;
      if (event == 2) {
        router_lifecycle.terminate(now);
        shutting_down = true;
      }
      if (event == 3) router_lifecycle.hand_over(now);
      if (event == 4) router_lifecycle.cancel_handover();
      RC_ASSERT(router_lifecycle.drained() == (drained_at >= 0));
      if (drained_at >= 0) RC_ASSERT(!router_lifecycle.ready(now));
      if (drained_at >= 0 && !handed_over && !shutting_down && router_lifecycle.phase() == Phase::drained)
        RC_ASSERT(!router_lifecycle.admits_requests(drained_at + 2'000'000));
      if (drained_at >= 0)
        RC_ASSERT(router_lifecycle.closes_idle_connections(drained_at + 2'000'000) &&
                  router_lifecycle.closes_unused_connections(drained_at + 2'000'000));
      if (shutting_down)
        RC_ASSERT(!router_lifecycle.admits_requests(now + 700'000) &&
                  router_lifecycle.closes_unused_connections(now + 700'000));
      if (shutting_down)
        RC_ASSERT(!router_lifecycle.keeps_connections() && !router_lifecycle.can_serve(now) &&
                  !router_lifecycle.begin_drain(now) && !router_lifecycle.end_drain());
      if (!shutting_down && drained_at < 0 && router_lifecycle.phase() == Phase::serving)
        RC_ASSERT(router_lifecycle.ready(now) && router_lifecycle.keeps_connections());
    }
  }));
}
