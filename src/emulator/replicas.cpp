// Replicas of the emulated day: how they take work, warm up, fall over, go and retry.
#include <algorithm>
#include <cmath>

#include "emulator/day.hpp"
#include "emulator/fleet.hpp"
#include "random/hashing.hpp"

namespace thornwick::emulator {
namespace {

constexpr Time kSilence = seconds(3);          // after which a router gives a stream up
constexpr Time kWarmStep = milliseconds(250);  // a cold replica's pace is set anew so often

}  // namespace

// Its id tells nothing of its kind or zone.
void Day::add_replica(bool at_start) {
  const auto number = static_cast<std::uint32_t>(replicas.size());
  Replica& replica = replicas.emplace_back();
  do {
    replica.id = static_cast<ReplicaId>(mix(seed ^ (std::uint64_t{number} << 20) ^ replica.id) >> 33) + 1;
  } while (replica_index.contains(replica.id));
  replica_index[replica.id] = number;
  DrawnReplica drawn = draw_box(scenario, number, fleet_chance);
  replica.zone = drawn.zone, replica.kind = drawn.kind;
  replica.engine = std::move(drawn.engine);
  replica.speed = drawn.speed, replica.initial_capacity = drawn.initial_capacity,
  replica.warm_up = drawn.warm_up;
  replica.result = {.id = replica.id,
                    .kind = scenario.kinds[replica.kind].name,
                    .zone = scenario.zones[replica.zone],
                    .held = {},
                    .read = {}};
  for (auto& router : routers) {
    router->links.resize(replicas.size());
    router->told_off.resize(replicas.size());
  }
  if (at_start) return;
  replica.started = now;
  set_pace(number);
  announce(number, EndpointState::ready, static_cast<Time>(1e6 * add_s));
}

// Part of its full speed that a replica has now.
double Day::ability(const Replica& replica) const {
  return replica.started == 0 ? 1
                              : ability_at(now - replica.started, replica.warm_up, replica.initial_capacity);
}

void Day::set_pace(std::uint32_t number) {
  Replica& replica = replicas[number];
  if (!replica.up) return;
  replica.engine->set_pace(now, ability(replica) * replica.pace);
  if (ability(replica) < 1) at(now + kWarmStep, What::replica_warms, 0, number);
  wake_replica(number);
}

// The engine's next moment is on the agenda once.
void Day::wake_replica(std::uint32_t number) {
  Replica& replica = replicas[number];
  const Time next = replica.up ? replica.engine->next() : kNever;
  if (next == replica.wake_at) return;
  replica.wake_at = next;
  ++replica.wakes;
  if (next != kNever) at(next, What::replica_wakes, replica.wakes, number);
}

// Rule 4, as it is told: more than so many times what it can do, for so long, by all routers together.
void Day::watch_tipping(Replica& replica, std::uint32_t number, double work) {
  if (ability(replica) >= 1) return;
  const Time window = static_cast<Time>(1000 * scenario.tip_ms);
  replica.lately.push_back({now, work});
  replica.lately_sum += work;
  while (replica.lately.front().first < now - window) {
    replica.lately_sum -= replica.lately.front().second;
    replica.lately.pop_front();
  }
  const double able = replica.speed * ability(replica) * static_cast<double>(window);
  if (replica.lately_sum <= scenario.overload_multiple * able) return;
  ++result.broken.tipped;
  take_down(number, false);
}

void Day::attempt_arrives(Name name) {
  Attempt* attempt = attempts.find(name);
  if (attempt == nullptr) return;
  Replica& replica = replicas[attempt->replica];
  EmulatedRouter& router = *routers[attempt->router];
  if (!replica.up && replica.silent) return;
  if (!replica.up) return at(now + one_way(replica.zone, router.zone), What::attempt_broke, name);
  const Turn* turn = turns.find(attempt->turn);
  if (turn == nullptr) return;
  ++replica.result.sent;
  replica.result.work += turn->work;
  const Time back = one_way(replica.zone, router.zone);
  if (scenario.kinds[replica.kind].error_rate > 0 &&
      replica_random.happens(scenario.kinds[replica.kind].error_rate)) {
    return at(now + back, What::attempt_broke, name);
  }
  attempt->generated = turn->generated;
  const bool taken = replica.engine->offer(now, {.job = name,
                                                 .session = turn->key,
                                                 .prefix = turn->prefix,
                                                 .prompt = turn->prompt,
                                                 .beginning = turn->beginning,
                                                 .generated = turn->generated,
                                                 .size = turn->work,
                                                 .due = turn->deadline});
  if (!taken) {
    ++replica.result.full;
    return at(now + back, What::attempt_refused, name);
  }
  attempt->at_replica = true;
  const std::uint32_t number = attempt->replica;
  result.work_wasted += turn->work;  // until it is answered
  watch_tipping(replica, number, turn->work);
  wake_replica(number);
}

// The process dies or the zone is cut off. Who waits for a dead process hears of it; of a silent one nobody
// does.
void Day::take_down(std::uint32_t number, bool silent) {
  Replica& replica = replicas[number];
  if (!replica.up) return;
  replica.up = false;
  replica.silent = silent;
  replica.engine->clear();
  replica.lately.clear();
  replica.lately_sum = 0;
  wake_replica(number);
  std::vector<Name> lost;
  attempts.each([&](Name name, const Attempt& attempt) {
    if (attempt.replica == number && attempt.at_replica) lost.push_back(name);
  });
  for (const Name name : lost) {
    const Time heard = silent ? kSilence : one_way(replica.zone, routers[attempts.find(name)->router]->zone);
    at(now + heard, What::attempt_broke, name);
  }
  replica.connections = 0;
  for (auto& router : routers) router->links[number].idle.clear();
  announce(number, EndpointState::gone, static_cast<Time>(1e6 * (silent ? silent_notice_s : notice_s)));
}

void Day::bring_back(std::uint32_t number) {
  Replica& replica = replicas[number];
  if (replica.up) return;
  replica.up = true;
  replica.silent = false;
  replica.started = now;
  set_pace(number);
  announce(number, EndpointState::ready, static_cast<Time>(1e6 * add_s));
}

}  // namespace thornwick::emulator
