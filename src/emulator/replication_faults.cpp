#include "emulator/replication_faults.hpp"

#include <fmt/format.h>

#include <algorithm>

namespace thornwick::emulator {
namespace {

constexpr double kMeanIntervalSeconds = 2.5;
constexpr std::size_t kFaultKinds = 12;
constexpr std::size_t kAmnesiaReplicas =
    3;  // number of replicas for which restore_older_disk_behind_cut() works
constexpr int kRequestsAtResume = 20;

Time from_seconds(double seconds) { return static_cast<Time>(1e6 * seconds); }

}  // namespace

void ReplicationFaults::start() { schedule_fault(); }

void ReplicationFaults::schedule_fault() {
  const double interval_s = cluster_.random().exponential(kMeanIntervalSeconds);
  cluster_.schedule(cluster_.now() + from_seconds(interval_s), [this] {
    if (ended_) return;
    inject();
    schedule_fault();
  });
}

void ReplicationFaults::end_all() {
  ended_ = true;
  for (std::size_t i = 0; i < cluster_.size(); ++i) {
    for (std::size_t j = 0; j < cluster_.size(); ++j) cluster_.unblock(i, j);
    cluster_.resume(i);
    cluster_.free_disk(i);
    cluster_.restore_disk_speed(i);
    cluster_.start(i, Disk::same);
  }
  cluster_.set_loss(0);
  cluster_.write_log("all is mended");
}

// Injects one fault of a random kind. The order in which random numbers are drawn must not change, because
// recorded simulations depend on the order.
void ReplicationFaults::inject() {
  RandomStream& random = cluster_.random();
  const std::size_t router = random.below(cluster_.size());
  const Time duration = from_seconds(random.between(0.2, 8));
  const bool may_lose = may_lose_a_disk() && !cluster_.recovering(router);
  switch (random.below(kFaultKinds)) {
    case 0:
    case 1: return restart(router, draw_disk(may_lose), duration);
    case 2: return suspend(router, duration);
    case 3: return cut({router}, duration);
    case 4: return cut_random_half(duration);
    case 5: return lose_messages(duration);
    case 6: return slow_disk(router, duration);
    case 7: return fill_disk(router, duration);
    case 8:
      if (may_lose) restore_older_disk_behind_cut();
      return;
    case 9: return correct_at_isolated_leader(duration);
    case 10: return suspend_beyond_lease(router);
    default: return clients_.send_correction(router);
  }
}

// Whether every ledger has a leader. The ledgers tolerate no loss before each has a leader for the first
// time.
bool ReplicationFaults::all_ledgers_led() const {
  for (std::size_t ledger = 0; ledger < cluster_.options().ledgers; ++ledger) {
    if (!cluster_.leader_of(ledger)) return false;
  }
  return true;
}

// The ledgers tolerate the loss of a minority of their replicas at a time. Another disk may be lost once the
// replicas on the previous ones have recovered.
bool ReplicationFaults::may_lose_a_disk() const {
  return all_ledgers_led() && cluster_.recovering_routers() < cluster_.options().replicas / 2;
}

Disk ReplicationFaults::draw_disk(bool may_lose) {
  if (!may_lose || !cluster_.random().happens(0.6)) return Disk::same;
  return cluster_.random().happens(0.7) ? Disk::empty : Disk::older;
}

void ReplicationFaults::restart(std::size_t router, Disk disk, Time duration) {
  cluster_.kill(router);
  cluster_.schedule(cluster_.now() + duration, [this, router, disk] {
    // Another disk may have been lost in the meantime.
    const Disk allowed = may_lose_a_disk() ? disk : Disk::same;
    if (!ended_) cluster_.start(router, allowed);
  });
}

void ReplicationFaults::suspend(std::size_t router, Time duration) {
  cluster_.suspend(router);
  cluster_.schedule(cluster_.now() + duration, [this, router] { cluster_.resume(router); });
}

// Suspends a process for longer than its leases last. Requests arrive as soon as the process is resumed.
void ReplicationFaults::suspend_beyond_lease(std::size_t router) {
  cluster_.suspend(router);
  cluster_.schedule(cluster_.now() + 3 * kLeaseDuration, [this, router] {
    cluster_.resume(router);
    for (int i = 0; i < kRequestsAtResume; ++i) clients_.send_request(router);
  });
}

// Separates these routers from the others, with a probability of 0.2 in one direction only.
void ReplicationFaults::cut(const Routers& separated, Time duration) {
  ++cluster_.result().cuts;
  cluster_.write_log(fmt::format("cut off: {}", fmt::join(separated, " ")));
  const bool one_way = cluster_.random().happens(0.2);
  std::vector<Direction> blocked;
  for (std::size_t i = 0; i < cluster_.size(); ++i) {
    for (std::size_t j = 0; j < cluster_.size(); ++j) {
      if (separated.contains(i) == separated.contains(j)) continue;
      if (!one_way || separated.contains(i)) blocked.push_back({i, j});
    }
  }
  for (const auto& direction : blocked) cluster_.block(direction.from, direction.to);
  cluster_.schedule(cluster_.now() + duration, [this, blocked] {
    for (const auto& direction : blocked) cluster_.unblock(direction.from, direction.to);
  });
}

void ReplicationFaults::cut_random_half(Time duration) {
  Routers half;
  for (std::size_t i = 0; i < cluster_.size(); ++i) {
    if (cluster_.random().happens(0.5)) half.insert(i);
  }
  cut(half, duration);
}

void ReplicationFaults::lose_messages(Time duration) {
  const double loss = cluster_.random().between(0, 0.3);
  cluster_.set_loss(loss);
  cluster_.write_log(fmt::format("{:.0f} % are lost, some repeated and late", 100 * loss));
  cluster_.schedule(cluster_.now() + duration, [this] { cluster_.set_loss(0); });
}

void ReplicationFaults::slow_disk(std::size_t router, Time duration) {
  cluster_.slow_disk_down(router);
  cluster_.schedule(cluster_.now() + duration, [this, router] { cluster_.restore_disk_speed(router); });
}

void ReplicationFaults::fill_disk(std::size_t router, Time duration) {
  cluster_.fill_disk(router);
  cluster_.write_log(fmt::format("r{}'s disk is full", router));
  cluster_.schedule(cluster_.now() + duration, [this, router] { cluster_.free_disk(router); });
}

// Sends a correction to a leader without a majority, which must not confirm the correction.
void ReplicationFaults::correct_at_isolated_leader(Time duration) {
  const std::size_t leader = cluster_.leader_of(0).value_or(0);
  cut({leader}, duration);
  cluster_.schedule(cluster_.now() + milliseconds(50), [this, leader] { clients_.send_correction(leader); });
}

// Makes a replica lose a leader's entries by restoring an older disk. At that time the replica that lacks the
// entries can be reached and the leader cannot, for a shorter time than a replica's entry timeout.
void ReplicationFaults::restore_older_disk_behind_cut() {
  if (cluster_.options().replicas != kAmnesiaReplicas) return;
  const std::size_t leader = cluster_.leader_of(0).value_or(0);
  auto others = replication::place_replicas(cluster_.roster(), 0, kAmnesiaReplicas);
  if (std::erase(others, leader) == 0) return;
  const std::size_t lagging = others[cluster_.random().below(2)];
  const std::size_t forgetting = others[others[0] == lagging ? 1 : 0];
  if (!cluster_.alive(forgetting) || !cluster_.alive(leader)) return;
  cluster_.snapshot_disk(forgetting);
  cut({lagging}, seconds(2));
  cluster_.schedule(cluster_.now() + milliseconds(1900), [this, leader, forgetting] {
    if (ended_ || cluster_.recovering_routers() > 0) return;
    cluster_.kill(forgetting);
    cluster_.start(forgetting, Disk::older);
    cut({leader}, seconds(5));
    // The ledgers do not tolerate the loss of a replica that has just started while no other replica has its
    // state.
    cluster_.forbid_kills_until(cluster_.now() + seconds(10));
  });
}

}  // namespace thornwick::emulator
