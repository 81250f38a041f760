// Many routers report drains to each other in virtual time, over a network that loses, repeats and delays
// messages.
#include "core/drain_tracker.hpp"

#include <boost/random/mersenne_twister.hpp>
#include <boost/random/uniform_01.hpp>
#include <catch2/catch.hpp>
#include <limits>
#include <memory>

using namespace thornwick;
using core::DrainTracker;

namespace {

constexpr Time kSecond = seconds(1);

// The inner decider: records the states of the replicas and counts the events that reach it.
struct RecordingDecider : core::Decider {
  explicit RecordingDecider(std::map<ReplicaId, EndpointState>& recorded) : states(recorded) {}
  void on_endpoints(Time, EndpointUpdate, std::span<const Endpoint> entries) override {
    for (const auto& entry : entries) states[entry.id] = entry.state;
  }
  void on_request(Time, const Request&) override {}
  void on_first_token(Time, RequestId, std::uint8_t, ReplicaId, Time) override {}
  void on_attempt_result(Time, const AttemptResult&) override {}
  void on_client_disconnected(Time, RequestId) override {}
  void on_timer(Time, std::uint32_t) override { ++timer_count; }
  void on_probe_result(Time, ReplicaId, bool, std::span<const float>) override {}
  void on_peer_message(Time, std::uint32_t, std::span<const std::uint8_t>) override { ++message_count; }
  std::vector<Action> take_actions() override { return {}; }
  std::map<ReplicaId, EndpointState>& states;
  int timer_count = 0;
  int message_count = 0;
};

std::vector<Endpoint> replicas(int count) {
  std::vector<Endpoint> all;
  for (int i = 1; i <= count; ++i)
    all.push_back({.id = static_cast<ReplicaId>(i), .started_at = i * kSecond});
  return all;
}

struct SimulatedGroup {
  struct Router {
    std::map<ReplicaId, EndpointState> states;
    std::unique_ptr<DrainTracker> tracker;
  };
  SimulatedGroup(int count, int replica_count, double loss_rate, std::uint64_t seed)
      : message_loss(loss_rate), random(seed), routers(static_cast<std::size_t>(count)) {
    for (std::uint32_t i = 0; i < routers.size(); ++i) {
      Settings settings;
      settings.group_size = static_cast<std::uint32_t>(count);
      settings.rank = i;
      settings.seed = seed * 1000 + i;
      settings.may_message_peers = true;
      routers[i].tracker =
          std::make_unique<DrainTracker>(std::make_unique<RecordingDecider>(routers[i].states), settings);
      routers[i].tracker->on_endpoints(now, EndpointUpdate::full, replicas(replica_count));
    }
  }
  double random_fraction() { return boost::random::uniform_01<double>()(random); }
  // Returns how many copies of one message the network delivers to one router.
  int random_copy_count() {
    if (random_fraction() < message_loss) return 0;
    return random_fraction() < 0.1 ? 2 : 1;
  }
  void collect_actions(std::uint32_t i) {
    for (const auto& action : routers[i].tracker->take_actions()) {
      if (action.kind == ActionKind::set_timer)
        events.emplace(action.time,
                       [this, i, token = action.token] { routers[i].tracker->on_timer(now, token); });
      if (action.kind != ActionKind::message_peer) continue;
      REQUIRE(action.message.size() <= 256);
      ++message_count;
      for (std::uint32_t to = 0; to < routers.size(); ++to) {
        for (int copies = random_copy_count(); copies > 0; --copies) deliver_later(i, to, action.message);
      }
    }
  }
  void deliver_later(std::uint32_t from, std::uint32_t to, const std::string& message) {
    events.emplace(now + 2'000 + static_cast<Time>(random_fraction() * 20'000), [this, from, to, message] {
      routers[to].tracker->on_peer_message(
          now, from, {reinterpret_cast<const std::uint8_t*>(message.data()), message.size()});
    });
  }
  void receive_delta(std::uint32_t i, const Endpoint& entry) {
    routers[i].tracker->on_endpoints(now, EndpointUpdate::delta, {&entry, 1});
    collect_actions(i);
  }
  void receive_full_list(std::uint32_t i, const std::vector<Endpoint>& entries) {
    routers[i].tracker->on_endpoints(now, EndpointUpdate::full, entries);
    collect_actions(i);
  }
  void run_until(Time end) {
    while (!events.empty() && events.begin()->first <= end) {
      auto event = events.extract(events.begin());
      now = std::max(now, event.key());
      event.mapped()();
      for (std::uint32_t i = 0; i < routers.size(); ++i) collect_actions(i);
    }
    now = end;
  }
  int informed_routers(ReplicaId id) const {
    return static_cast<int>(std::count_if(routers.begin(), routers.end(), [&](const auto& router) {
      return router.states.at(id) != EndpointState::ready;
    }));
  }

  Time now = seconds(1000);
  double message_loss;
  boost::random::mt19937_64 random;
  std::vector<Router> routers;
  std::multimap<Time, std::function<void()>> events;
  int message_count = 0;
};

Endpoint draining_entry(ReplicaId id) {
  return {.id = id, .state = EndpointState::draining, .started_at = id * kSecond};
}

std::string encode_report(ReplicaId id, std::uint32_t start) {
  std::string bytes{0x44, 1};
  for (const auto value : {id, start}) {
    for (int shift = 0; shift < 32; shift += 8) bytes += static_cast<char>(value >> shift & 0xff);
  }
  return bytes;
}

}  // namespace

TEST_CASE("a drain that one router learns of reaches all routers within half a second") {
  const int count = GENERATE(2, 4, 30, 300);
  const auto seed = GENERATE(1u, 2u);
  CAPTURE(count, seed);
  SimulatedGroup group(count, 10, 0, seed);
  group.receive_delta(0, draining_entry(3));
  group.run_until(group.now + kSecond / 2);
  CHECK(group.informed_routers(3) == count);
  CHECK(group.informed_routers(4) == 0);
  CHECK(group.message_count == 1);  // no router forwards a peer's report
}

TEST_CASE(
    "few of the routers that learn of a drain together report it, and all learn of it despite lost "
    "messages") {
  const auto seed = GENERATE(1u, 2u, 3u);
  SimulatedGroup group(300, 40, 0.2, seed);
  for (std::uint32_t i = 0; i < 240; ++i) group.receive_delta(i, draining_entry(3));
  group.run_until(group.now + kSecond / 2);
  CHECK(group.message_count < 20);
  CHECK(group.informed_routers(3) == 300);
}

TEST_CASE("a drain in a full list is reported like one in a delta, and so is a replica that the list omits") {
  SimulatedGroup group(3, 10, 0, 7);
  auto list = replicas(10);
  list[2].state = EndpointState::draining;  // replica 3
  list.erase(list.begin() + 4);             // replica 5
  group.receive_full_list(0, list);
  group.run_until(group.now + kSecond / 2);
  CHECK(group.informed_routers(3) == 3);
  CHECK(group.informed_routers(4) == 0);
  CHECK(group.informed_routers(5) ==
        2);  // the first router's decider reads from the list itself that the replica is missing
  // The same list again causes no report.
  const int message_count = group.message_count;
  group.receive_full_list(0, list);
  group.run_until(group.now + kSecond / 2);
  CHECK(group.message_count == message_count);
}

TEST_CASE("a full list with a later start of a replica ends a peer's report about the earlier start") {
  SimulatedGroup group(2, 10, 0, 7);
  group.receive_delta(0, draining_entry(3));
  group.run_until(group.now + kSecond / 2);
  REQUIRE(group.informed_routers(3) == 2);
  auto list = replicas(10);
  group.receive_full_list(1, list);
  CHECK(group.informed_routers(3) == 2);
  list[2].started_at = seconds(2000);
  group.receive_full_list(1, list);
  CHECK(group.informed_routers(3) == 1);
}

TEST_CASE("in a small group reports are repeated, so that a lost message delays them by a second") {
  const auto seed = GENERATE(range(1u, 21u));
  CAPTURE(seed);
  SimulatedGroup group(6, 10, 0.2, seed);
  group.receive_delta(0, draining_entry(3));
  group.run_until(group.now + seconds(6));
  CHECK(group.message_count == 1 + DrainTracker::kRepeats);
  CHECK(group.informed_routers(3) >= 5);
  // Repeats end, and there are none after the drain is over.
  group.receive_delta(0, draining_entry(4));
  group.run_until(group.now + kSecond / 2);
  group.receive_delta(0, {.id = 4, .started_at = seconds(4)});
  const int message_count = group.message_count;
  group.run_until(group.now + seconds(6));
  CHECK(group.message_count == message_count);
}

TEST_CASE("a drain of a replica that this router never had as ready reaches routers that have it as ready") {
  SimulatedGroup group(4, 10, 0, 7);
  auto list = replicas(10);
  list.erase(list.begin() + 2);
  group.receive_full_list(0, list);
  group.run_until(group.now + seconds(6));
  REQUIRE(group.message_count == 1 + DrainTracker::kRepeats);  // replica 3 was removed
  group.routers[1].tracker->on_endpoints(group.now, EndpointUpdate::delta, std::vector{Endpoint{.id = 11}});
  group.receive_delta(0, {.id = 11, .state = EndpointState::draining});
  group.run_until(group.now + kSecond / 2);
  CHECK(group.routers[1].states.at(11) == EndpointState::draining);
  // The drain is reported once, even if a later list names it again.
  group.run_until(group.now + seconds(6));
  const int message_count = group.message_count;
  group.receive_delta(0, {.id = 11, .state = EndpointState::draining});
  group.run_until(group.now + seconds(6));
  CHECK(group.message_count == message_count);
}

TEST_CASE(
    "a report about a later start than the listed one takes the replica out of use, and one about an earlier "
    "start does not") {
  SimulatedGroup group(2, 10, 0, 7);
  group.deliver_later(0, 1, encode_report(3, 2999));
  group.deliver_later(0, 1, encode_report(4, 4001));
  group.run_until(group.now + kSecond);
  CHECK(group.informed_routers(3) == 0);
  CHECK(group.informed_routers(4) == 1);
  // A start of 0 stands for long ago and is earlier than any other.
  group.receive_delta(1, {.id = 5, .started_at = 0});
  group.deliver_later(0, 1, encode_report(5, 5000));
  group.deliver_later(0, 1, encode_report(6, 0));
  group.run_until(group.now + kSecond);
  CHECK(group.informed_routers(5) == 1);
  CHECK(group.informed_routers(6) == 0);
}

TEST_CASE("a report lasts longer while discovery sends no list, but not forever") {
  const bool list_arrives = GENERATE(false, true);
  SimulatedGroup group(2, 10, 0, 7);
  group.receive_delta(0, draining_entry(5));
  group.run_until(group.now + kSecond);
  REQUIRE(group.informed_routers(5) == 2);
  if (list_arrives) group.receive_delta(1, {.id = 6, .started_at = seconds(6)});
  group.run_until(group.now + seconds(30));
  CHECK(group.informed_routers(5) == (list_arrives ? 1 : 2));
  group.run_until(group.now + seconds(30));
  CHECK(group.informed_routers(5) == 1);
}

TEST_CASE("a peer's report ends when the local list has a later start, or when it expires") {
  SimulatedGroup group(2, 10, 0, 7);
  group.receive_delta(0, draining_entry(3));
  group.run_until(group.now + kSecond);
  REQUIRE(group.informed_routers(3) == 2);
  // The same list as before does not make the replica ready again; a new start does.
  group.receive_delta(1, {.id = 3, .started_at = seconds(3)});
  CHECK(group.informed_routers(3) == 2);
  group.receive_delta(1, {.id = 3, .started_at = seconds(2000)});
  CHECK(group.informed_routers(3) == 1);
  // A late report about the earlier start is ignored.
  group.deliver_later(0, 1, encode_report(3, 3000));
  group.run_until(group.now + kSecond);
  CHECK(group.informed_routers(3) == 1);
  group.receive_delta(0, draining_entry(5));
  group.run_until(group.now + kSecond);
  CHECK(group.informed_routers(5) == 2);
  group.run_until(group.now + seconds(60));
  CHECK(group.informed_routers(5) == 1);  // the local list of the second router never confirmed the drain
}

TEST_CASE(
    "a faulty peer takes out half of the ready replicas at the most, and unreadable messages change "
    "nothing") {
  SimulatedGroup group(2, 10, 0, 7);
  for (ReplicaId id = 1; id <= 10; ++id) group.deliver_later(0, 1, encode_report(id, id * 1000));
  for (const std::string& broken :
       {std::string{0x44}, std::string{0x44, 1}, std::string{0x44, 2} + encode_report(9, 9000).substr(2),
        encode_report(9, 9000) + "x", std::string{0x44, 1} + std::string(8 * 32, 'x')}) {
    group.deliver_later(0, 1, broken);
  }
  group.run_until(group.now + kSecond);
  int replicas_out_of_use = 0;
  for (ReplicaId id = 1; id <= 10; ++id) replicas_out_of_use += group.informed_routers(id);
  CHECK(replicas_out_of_use == 5);
  CHECK(group.routers[1].tracker->undecodable_messages() == 5);
}

TEST_CASE(
    "reports beyond half of the ready replicas are held back until the local list is no longer renewed") {
  const bool renewed = GENERATE(false, true);
  const int routers = GENERATE(2, 300);
  CAPTURE(renewed, routers);
  SimulatedGroup group(routers, 10, 0, 7);
  for (ReplicaId id = 1; id <= 8; ++id) group.deliver_later(0, 1, encode_report(id, id * 1000));
  const auto replicas_out_of_use = [&] {
    int count = 0;
    for (ReplicaId id = 1; id <= 10; ++id) count += group.informed_routers(id);
    return count;
  };
  for (int step = 0; step < 4; ++step) {
    if (renewed) group.routers[1].tracker->on_endpoints(group.now, EndpointUpdate::delta, {});
    if (renewed) group.collect_actions(1);
    group.run_until(group.now + kSecond);
    CHECK(replicas_out_of_use() == 5);
  }
  for (int step = 0; step < 4; ++step) {
    if (renewed) group.routers[1].tracker->on_endpoints(group.now, EndpointUpdate::delta, {});
    if (renewed) group.collect_actions(1);
    group.run_until(group.now + kSecond);
  }
  CHECK(replicas_out_of_use() == (renewed ? 5 : 8));
  CHECK(group.routers[1].tracker->is_reported(8) == !renewed);
  // Each report expires, whether it was in force or held back.
  group.run_until(group.now + seconds(60));
  CHECK(replicas_out_of_use() == 0);
}

TEST_CASE("a report that was held back takes effect when the local list has more ready replicas") {
  SimulatedGroup group(2, 4, 0, 7);
  for (ReplicaId id = 1; id <= 3; ++id) group.deliver_later(0, 1, encode_report(id, id * 1000));
  group.run_until(group.now + kSecond);
  const auto replicas_out_of_use = [&] {
    return group.informed_routers(1) + group.informed_routers(2) + group.informed_routers(3);
  };
  CHECK(replicas_out_of_use() == 2);
  group.receive_delta(1, {.id = 5, .started_at = seconds(5)});
  group.receive_delta(1, {.id = 6, .started_at = seconds(6)});
  CHECK(replicas_out_of_use() == 3);
}

TEST_CASE("a router that has only a cached list accepts reports beyond half of the ready replicas") {
  std::map<ReplicaId, EndpointState> states;
  Settings settings;
  settings.group_size = 2;
  DrainTracker tracker(std::make_unique<RecordingDecider>(states), settings);
  tracker.on_endpoints(kSecond, EndpointUpdate::cached, replicas(2));
  for (ReplicaId id = 1; id <= 2; ++id) {
    const std::string report = encode_report(id, id * 1000);
    tracker.on_peer_message(kSecond, 1,
                            {reinterpret_cast<const std::uint8_t*>(report.data()), report.size()});
  }
  CHECK(states.at(1) == EndpointState::draining);
  CHECK(states.at(2) == EndpointState::draining);
}

TEST_CASE("messages and timers of others are forwarded to the inner decider") {
  std::map<ReplicaId, EndpointState> states;
  auto inner = std::make_unique<RecordingDecider>(states);
  RecordingDecider* decider = inner.get();
  DrainTracker tracker(std::move(inner), {});
  const std::uint8_t gossip_message[] = {0x54, 1, 0, 0, 0, 0, 1};
  tracker.on_peer_message(0, 1, gossip_message);
  tracker.on_timer(0, 1);
  CHECK(decider->message_count == 1);
  CHECK(decider->timer_count == 1);
}
