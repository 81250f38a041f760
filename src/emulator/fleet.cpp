#include "emulator/fleet.hpp"

#include <algorithm>
#include <cmath>

namespace thornwick::emulator {
namespace {

std::size_t to_count(double value) { return static_cast<std::size_t>(std::max(1.0, std::round(value))); }

double draw(RandomStream& random, const Range& range) { return random.between(range.low, range.high); }

std::unique_ptr<Engine> make_engine(const ReplicaKind& kind, double speed, RandomStream& random) {
  if (kind.queue) return make_queue_replica(speed);
  ModelLimits limits;
  limits.slots = to_count(draw(random, kind.slots));
  limits.queue = to_count(draw(random, kind.waiting));
  limits.memory_tokens = 1000 * draw(random, kind.memory_k_tokens);
  limits.chunk = draw(random, kind.chunk);
  limits.step_us = 1000 * draw(random, kind.step_ms);
  limits.per_sequence_us = draw(random, kind.per_sequence_us);
  limits.context_us_per_k = draw(random, kind.context_us_per_k);
  limits.read_per_s = draw(random, kind.read_per_s);
  limits.caches_generated = kind.caches_generated;
  limits.drops_expired = kind.drops_expired;
  return make_model_replica(limits, speed);
}

// Returns the kind of replica `number`. Each kind gets its share of the fleet.
std::uint16_t kind_of(const Scenario& scenario, std::size_t number) {
  double total = 0;
  for (const auto& kind : scenario.kinds) total += kind.share;
  const double position = (static_cast<double>(number % scenario.replicas) + 0.5) /
                          static_cast<double>(scenario.replicas) * total;
  std::uint16_t kind = 0;
  double upper = scenario.kinds.front().share;
  while (kind + 1U < scenario.kinds.size() && upper <= position) {
    ++kind;
    upper += scenario.kinds[kind].share;
  }
  return kind;
}

}  // namespace

double warm_up_factor(Time age, Time warm_up, double initial_capacity) {
  if (warm_up <= 0) return 1;
  return initial_capacity + (1 - initial_capacity) *
                                std::clamp(static_cast<double>(age) / static_cast<double>(warm_up), 0.0, 1.0);
}

DrawnReplica draw_replica(const Scenario& scenario, std::size_t number, RandomStream& random) {
  DrawnReplica replica;
  replica.kind = kind_of(scenario, number);
  replica.zone = static_cast<std::uint16_t>(number % scenario.zones.size());
  const ReplicaKind& kind = scenario.kinds[replica.kind];
  replica.speed = draw(random, kind.speed);
  replica.engine = make_engine(kind, replica.speed, random);
  replica.initial_capacity = draw(random, kind.initial_capacity);
  replica.warm_up = static_cast<Time>(1e6 * draw(random, kind.warm_up_s));
  return replica;
}

}  // namespace thornwick::emulator
