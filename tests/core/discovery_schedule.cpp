// Calls of discovery by many routers in virtual time: what each learns in time, and what discovery has to
// bear.
#include "core/discovery_schedule.hpp"

#include <algorithm>
#include <boost/random/mersenne_twister.hpp>
#include <boost/random/uniform_01.hpp>
#include <catch2/catch.hpp>
#include <cmath>
#include <deque>
#include <memory>
#include <optional>

using thornwick::milliseconds;
using thornwick::seconds;
using thornwick::Time;
using thornwick::core::DiscoverySchedule;

namespace {

constexpr Time kSecond = seconds(1);
constexpr Time kStep = milliseconds(10);
constexpr Time kInformedWithin = seconds(6);

// What becomes of a call that begins while discovery is away.
enum class Away { refuses, errs, says_nothing };

struct Outage {
  Time from = 0, to = 0;
  Away how = Away::refuses;
};

// Discovery: works through its calls in turn, those that were given up included; renewals pass the queue.
struct World {
  struct Call {
    std::uint64_t number = 0;
    DiscoverySchedule::Call plan;
    std::optional<Time> renewal = {};  // when its watch answers; none: no watch that works
    bool lost = false;                 // discovery never answers it
  };
  struct Router {
    std::unique_ptr<DiscoverySchedule> schedule;
    Time next = 0;             // when it calls
    std::deque<Call> out;      // the oldest call first
    std::uint64_t latest = 0;  // number of the latest call
    Time list_time = 0;        // its list is of this moment
    Call* find(std::uint64_t number) {
      const auto found =
          std::find_if(out.begin(), out.end(), [&](auto& call) { return call.number == number; });
      return found == out.end() ? nullptr : &*found;
    }
  };
  struct Queued {
    Router* router = nullptr;
    std::uint64_t number = 0;
    Time came = 0;
  };

  World(std::uint32_t count, double bears, std::uint64_t seed)
      : cost(static_cast<Time>(1e6 / bears)), dice(seed), routers(count) {
    for (auto& router : routers) {
      router.schedule =
          std::make_unique<DiscoverySchedule>(DiscoverySchedule::Options{.routers = count},
                                              [this] { return boost::random::uniform_01<double>()(dice); });
      router.next = router.schedule->first(0);
    }
  }

  bool away() const { return outage && now >= outage->from && now < outage->to; }

  void fail(Router& router, std::uint64_t number) {
    const Call call = *router.find(number);
    std::erase_if(router.out, [&](const Call& out) { return out.number == number; });
    if (number == router.latest) router.next = router.schedule->failed(now, call.plan);
  }
  void answer(Router& router) {
    router.out.clear();
    router.list_time = now;
    router.schedule->answered();
    Call& renewal = add_call(router);  // at once
    renewal.renewal = now + renewal.plan.wait;
  }
  Call& add_call(Router& router) {
    if (router.out.size() >= DiscoverySchedule::kMaxCallsOut) router.out.erase(router.out.begin() + 1);
    router.latest = ++last_number;
    router.out.push_back({.number = router.latest, .plan = router.schedule->begin(now)});
    router.next = router.out.back().plan.next;
    return router.out.back();
  }
  void begin(Router& router) {
    Call& call = add_call(router);
    ++begun;
    if (!away()) {
      queue.push_back({&router, call.number, now});
    } else if (outage->how == Away::says_nothing) {
      call.lost = true;
    } else {
      fail(router, call.number);
    }
  }
  // Open watches break, or say nothing more.
  void break_watches(bool silently) {
    for (auto& router : routers) {
      for (std::size_t i = router.out.size(); i-- > 0;) {
        Call& call = router.out[i];
        if (!call.renewal) continue;
        call.renewal.reset();
        call.lost = true;
        if (!silently) fail(router, call.number);
      }
    }
  }
  void serve() {
    while (!queue.empty() && free_at <= now) {
      const Queued first = queue.front();
      // Each answer takes its turn; `latency` is what a queue of other callers adds to it.
      if (now - first.came < latency) return;
      queue.pop_front();
      free_at = now + cost;
      const Call* call = first.router->find(first.number);
      if (call == nullptr || call->lost) continue;            // given up, and paid for all the same
      if (now - first.came > latency + patience || away()) {  // it has waited too long
        fail(*first.router, first.number);
        continue;
      }
      answer(*first.router);
    }
  }
  void run_router(Router& router) {
    for (const Call& call : router.out) {
      if (call.renewal && now >= *call.renewal) return answer(router);
    }
    for (std::size_t i = router.out.size(); i-- > 0;) {
      if (now >= router.out[i].plan.limit) fail(router, router.out[i].number);
    }
    if (now >= router.next) begin(router);
  }
  void run_to(Time end) {
    for (; now < end; now += kStep) {
      if (outage && now == outage->from) {
        queue.clear();
        break_watches(outage->how == Away::says_nothing);
      }
      for (auto& router : routers) run_router(router);
      serve();
      const std::size_t second = static_cast<std::size_t>(now / kSecond);
      if (second >= per_second.size()) per_second.resize(second + 1);
      per_second[second] += static_cast<double>(begun - std::exchange(counted, begun));
    }
  }
  Time oldest() const {
    Time least = now;
    for (const auto& router : routers) least = std::min(least, router.list_time);
    return now - least;
  }
  // The mean over any five seconds.
  double most_a_second() const {
    double most = 0;
    for (std::size_t i = 0; i + 5 <= per_second.size(); ++i) {
      double sum = 0;
      for (std::size_t k = 0; k < 5; ++k) sum += per_second[i + k];
      most = std::max(most, sum / 5);
    }
    return most;
  }

  Time now = 0, free_at = 0, cost;
  boost::random::mt19937_64 dice;
  std::vector<Router> routers;
  std::deque<Queued> queue;
  Time latency = 0;
  Time patience = seconds(2);  // a call that waited longer fails
  std::uint64_t last_number = 0;
  std::optional<Outage> outage;
  std::uint64_t begun = 0, counted = 0;
  std::vector<double> per_second;
};

}  // namespace

TEST_CASE("whatever befalls discovery, a group that fits its pace has the list within 6 s of its return") {
  const auto routers = GENERATE(1u, 4u, 16u, 30u);
  const auto how = GENERATE(Away::refuses, Away::errs, Away::says_nothing);
  const auto length = GENERATE(as<Time>{}, 1, 3, 8, 20);
  const auto seed = GENERATE(1u, 2u, 3u);
  CAPTURE(routers, static_cast<int>(how), length, seed);
  World world(routers, 20, seed);
  world.run_to(seconds(10));
  CHECK(world.oldest() <= kInformedWithin);
  const Time back = seconds(10) + length * kSecond;
  world.outage = Outage{seconds(10), back, how};
  world.run_to(back + kInformedWithin);
  for (const auto& router : world.routers) CHECK(router.list_time > back);
  world.run_to(back + seconds(60));
  CHECK(world.oldest() <= kInformedWithin);
}

TEST_CASE("watches that fall silent are replaced before what they miss counts as told") {
  const auto routers = GENERATE(1u, 4u, 16u, 30u);
  const auto seed = GENERATE(1u, 2u, 3u);
  CAPTURE(routers, seed);
  World world(routers, 20, seed);
  world.run_to(seconds(20));
  world.break_watches(true);
  const Time silent = world.now;
  world.run_to(silent + kInformedWithin);
  for (const auto& router : world.routers) CHECK(router.list_time > silent);
}

TEST_CASE("calls of all routers together keep to the pace, and a slow discovery is not drowned") {
  const auto routers = GENERATE(4u, 30u, 100u, 300u);
  const auto bears = GENERATE(6.0, 20.0);
  const auto seed = GENERATE(1u, 2u);
  CAPTURE(routers, bears, seed);
  World world(routers, bears, seed);
  world.run_to(seconds(60));
  world.outage = Outage{seconds(60), seconds(68), Away::refuses};
  // Within the time that the settings allow after a failed call, or in three times what its calls take in
  // turn.
  world.run_to(seconds(68) + std::max<Time>(seconds(40), static_cast<Time>(routers / bears * 3e6)));
  int late = 0;
  for (const auto& router : world.routers) late += router.list_time <= seconds(68);
  CHECK(late == 0);
  // A mean over five seconds: chance adds four deviations at the most.
  CHECK(world.most_a_second() <=
        DiscoverySchedule::kCallsPerS + 4 * std::sqrt(DiscoverySchedule::kCallsPerS / 5));
}

TEST_CASE(
    "a discovery that needs long for each answer still informs its routers, and no call is lost to the "
    "next") {
  const auto routers = GENERATE(1u, 6u, 30u, 300u);
  const auto latency = GENERATE(as<Time>{}, 1'300'000, seconds(2), seconds(4), seconds(9));
  const auto seed = GENERATE(1u, 2u, 3u);
  CAPTURE(routers, latency, seed);
  World world(routers, 20, seed);
  world.latency = latency;
  // One round of calls, and for each router its turn.
  const Time round = routers <= 30 ? kSecond : seconds(24);
  world.run_to(round + latency + routers * kSecond / 20 + kSecond);
  for (const auto& router : world.routers) CHECK(router.list_time > 0);
}

TEST_CASE("a queue of calls that each wait nearly too long is worked off: who has an answer leaves it") {
  const auto bears = GENERATE(2.2, 3.5);  // calls a second: fewer than six routers begin
  const auto seed = GENERATE(1u, 2u, 3u, 4u);
  CAPTURE(bears, seed);
  World world(6, bears, seed);
  world.patience = seconds(3);
  world.run_to(seconds(10));
  CHECK(world.oldest() <= kInformedWithin);
  // All lose their watches at the same moment.
  world.break_watches(false);
  const Time broken = world.now;
  world.run_to(broken + kInformedWithin);
  for (const auto& router : world.routers) CHECK(router.list_time > broken);
}

TEST_CASE("a call that is lost is followed by another beside it, while calls out are bounded") {
  World world(1, 20, 1);
  world.outage = Outage{kStep, seconds(60), Away::says_nothing};
  world.run_to(seconds(60));
  CHECK(world.begun >= 60 / 3);
  CHECK(world.routers[0].out.size() <= DiscoverySchedule::kMaxCallsOut);
  world.run_to(seconds(60) + kInformedWithin);
  CHECK(world.routers[0].list_time > seconds(60));
}

TEST_CASE("an agent is asked again soon, whatever became of a call") {
  DiscoverySchedule schedule({.routers = 300, .pushed = true}, [] { return 0.5; });
  CHECK(schedule.first(0) == 0);
  const auto call = schedule.begin(0);
  CHECK(call.next < seconds(2));
  CHECK(schedule.failed(kSecond, call) <= kSecond + kSecond / 10);
}
