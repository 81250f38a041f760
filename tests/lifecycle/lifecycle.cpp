// The phases of the router's life: any order of what may happen, and the promises of a drain.
#include "lifecycle/lifecycle.hpp"

#include <rapidcheck.h>

#include <catch2/catch.hpp>

using namespace thornwick;
using lifecycle::Lifecycle;
using lifecycle::Phase;

TEST_CASE("readiness, connections and requests follow the phase") {
  Lifecycle life(0);
  CHECK_FALSE(life.ready(0));
  CHECK_FALSE(life.can_serve(0));
  CHECK(life.ready(5'000'001));  // without a list, so that clients get answers
  life.set_endpoints_known();
  CHECK(life.phase() == Phase::serving);
  CHECK((life.ready(1) && life.can_serve(1) && life.accepts_connections() && life.keeps_connections() &&
         life.admits_requests(1)));
  CHECK_FALSE(life.closes_idle_connections(1));

  REQUIRE(life.begin_drain(1'000'000));
  CHECK_FALSE(life.ready(1'000'000));
  CHECK(life.can_serve(1'000'000));
  CHECK_FALSE(life.keeps_connections());
  CHECK((life.accepts_connections() && life.admits_requests(1'200'000) &&
         !life.closes_idle_connections(1'200'000)));
  REQUIRE(life.begin_drain(2'000'000));  // again: nothing begins anew
  CHECK((life.closes_idle_connections(2'000'000) && life.closes_unused_connections(2'000'000)));
  CHECK_FALSE(life.admits_requests(2'500'000));
  REQUIRE(life.end_drain());
  CHECK((life.ready(2'500'000) && life.admits_requests(2'500'000) && life.keeps_connections() &&
         !life.closes_idle_connections(9'000'000)));
}

TEST_CASE("a successor's death gives back the phase before it") {
  Lifecycle life(0);
  life.set_endpoints_known();
  life.hand_over(1'000'000);
  CHECK((life.ready(2'000'000) && !life.can_serve(2'000'000) && !life.accepts_connections() &&
         !life.keeps_connections()));
  CHECK_FALSE(life.begin_drain(2'000'000));
  life.cancel_handover();
  CHECK((life.phase() == Phase::serving && life.accepts_connections() && life.keeps_connections()));
  REQUIRE(life.begin_drain(3'000'000));
  life.hand_over(3'000'000);
  CHECK_FALSE(life.ready(3'000'000));  // a drain holds for whoever serves
  life.cancel_handover();
  CHECK(life.phase() == Phase::drained);
}

// What comes later than 0.7 s after SIGTERM and is unanswered at SIGKILL is lost.
TEST_CASE("after SIGTERM new connections have their time, and then nothing is taken that could be cut off") {
  Lifecycle life(0);
  life.set_endpoints_known();
  life.terminate(1'000'000);
  CHECK((life.admits_requests(1'400'000) && life.accepts_connections() &&
         !life.closes_unused_connections(1'400'000)));
  life.terminate(1'600'000);  // again: the first one counts
  CHECK((!life.admits_requests(1'700'000) && life.closes_unused_connections(1'700'000) &&
         life.closes_idle_connections(1'700'000)));
  life.hand_over(1'700'000);
  CHECK_FALSE(life.admits_requests(1'800'000));
}

TEST_CASE(
    "whatever came before, 4 s after LEAVE nothing that came in the last 2 s can be held, and SIGTERM is "
    "final") {
  REQUIRE(rc::check("any order of calls", [] {
    Lifecycle life(0);
    life.set_endpoints_known();
    Time now = 0;
    bool ending = false;
    Time left = -1;
    for (const int what : *rc::gen::container<std::vector<int>>(rc::gen::inRange(0, 5))) {
      now += *rc::gen::inRange(0, 3'000'000);
      const bool handed = life.phase() == Phase::handed_over;
      if (what == 0 && life.begin_drain(now) && left < 0) left = now;
      if (what == 1 && life.end_drain()) left = -1;
      if (what == 2) life.terminate(now), ending = true;
      if (what == 3) life.hand_over(now);
      if (what == 4) life.cancel_handover();
      RC_ASSERT(life.drained() == (left >= 0));
      if (left >= 0) RC_ASSERT(!life.ready(now));
      if (left >= 0 && !handed && !ending && life.phase() == Phase::drained)
        RC_ASSERT(!life.admits_requests(left + 2'000'000));
      if (left >= 0)
        RC_ASSERT(life.closes_idle_connections(left + 2'000'000) &&
                  life.closes_unused_connections(left + 2'000'000));
      if (ending)
        RC_ASSERT(!life.admits_requests(now + 700'000) && life.closes_unused_connections(now + 700'000));
      if (ending)
        RC_ASSERT(!life.keeps_connections() && !life.can_serve(now) && !life.begin_drain(now) &&
                  !life.end_drain());
      if (!ending && left < 0 && life.phase() == Phase::serving)
        RC_ASSERT(life.ready(now) && life.keeps_connections());
    }
  }));
}
