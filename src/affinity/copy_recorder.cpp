#include "affinity/copy_recorder.hpp"

#include <algorithm>
#include <cmath>

#include "affinity/odometer.hpp"

namespace thornwick::affinity {
namespace {

constexpr std::size_t kSweptEntries = 4;       // entries of each table that are visited with every answer
constexpr double kRateWindow = 30e6;           // microseconds over which a replica's token rate is smoothed
constexpr std::uint64_t kAnswersPerSave = 64;  // answers between two saves of a replica's odometer
constexpr double kMicrosecondsPerSecond = 1e6;

}  // namespace

Copy CopyRecorder::make_copy(Time now, Slot slot, double tokens) const {
  const Replica& replica = replicas_.at(slot);
  return {.tokens = whole_tokens(tokens),
          .odometer = odometer_reading(replica.sent_tokens),
          .last_used_s = whole_seconds(now),
          .replica = slot,
          .epoch = replica.epoch};
}

void CopyRecorder::record_prompt(Time now, const Request& request, Slot slot) {
  if (request.session != 0 && request.prompt_tokens >= kMinCachedTokens) record_session(now, request, slot);
  const double prefix_tokens = std::min<double>(request.prefix_tokens, request.prompt_tokens);
  if (request.prefix != 0 && prefix_tokens >= kMinCachedTokens) record_prefix(now, request, slot);
}

void CopyRecorder::record_session(Time now, const Request& request, Slot slot) {
  Session& session = table_.sessions().put(
      request.session,
      [this](std::uint64_t key, const Session& evicted) { static_cast<void>(journal_.erase(key, evicted)); });
  if (!lookup_.has_valid_copy(session.copies, whole_seconds(now)))
    session.cached_size = whole_tokens(request.prompt_tokens + request.max_tokens);
  session.prefix = request.prefix;
  session.copies.copy_for(slot) = make_copy(now, slot, request.prompt_tokens);
  journal_.save(request.session, session);
}

void CopyRecorder::record_prefix(Time now, const Request& request, Slot slot) {
  Prefix& prefix = table_.prefixes().put(request.prefix, [this](std::uint64_t key, const Prefix& evicted) {
    static_cast<void>(journal_.erase(key, evicted));
  });
  const double tokens = std::min<double>(request.prefix_tokens, request.prompt_tokens);
  prefix.copies.copy_for(slot) = make_copy(now, slot, tokens);
  journal_.save(request.prefix, prefix);
}

void CopyRecorder::record_tokens(Time now, Slot slot, double tokens) {
  Replica& replica = replicas_.at(slot);
  const double gap = std::max(1.0, static_cast<double>(now - replica.last_sent_at));
  const double old_weight = replica.last_sent_at == 0 ? 0 : std::exp(-gap / kRateWindow);
  replica.sent_tokens_per_s =
      replica.sent_tokens_per_s * old_weight + (1 - old_weight) * tokens / gap * kMicrosecondsPerSecond;
  replica.sent_tokens += tokens;
  replica.last_sent_at = now;
}

void CopyRecorder::count_answer(Slot slot) {
  Replica& replica = replicas_.at(slot);
  ++replica.answers;
  if (replica.answers % kAnswersPerSave == 0) journal_.save_replica(slot);
}

void CopyRecorder::sweep(Time now) {
  retry_next_replica();
  sweep_entries(table_.sessions(), whole_seconds(now));
  sweep_entries(table_.prefixes(), whole_seconds(now));
}

// An invalidated epoch must reach the store: with the old epoch, invalid copies would be valid after the next
// start.
void CopyRecorder::retry_next_replica() {
  if (replicas_.slots() == 0) return;
  next_replica_ = (next_replica_ + 1) % replicas_.slots();
  const Slot slot = static_cast<Slot>(next_replica_);
  if (replicas_.at(slot).unsaved) journal_.save_replica(slot);
}

template <typename Map>
void CopyRecorder::sweep_entries(Map& entries, std::uint32_t now_s) {
  metrics_.expired += entries.sweep(kSweptEntries, [&](std::uint64_t key, auto& entry) {
    if (!lookup_.has_valid_copy(entry.copies, now_s)) return journal_.erase(key, entry);
    if (entry.unsaved) journal_.save(key, entry);
    return false;
  });
}

// A replica's odometer is saved less often than its copies, so a restored copy may have a later reading. The
// replica was sent at least that many tokens.
template <std::size_t N>
void CopyRecorder::raise_odometers(const Copies<N>& copies) {
  for (const Copy& copy : copies.all()) {
    if (copy.replica >= replicas_.slots()) continue;
    Replica& replica = replicas_.at(copy.replica);
    const auto units_ahead = static_cast<std::int32_t>(copy.odometer - odometer_reading(replica.sent_tokens));
    if (replica.in_use && replica.epoch == copy.epoch && units_ahead > 0)
      replica.sent_tokens += kTokensPerOdometerUnit * units_ahead;
  }
}

bool CopyRecorder::restore_session(std::uint64_t key, const Session& session) {
  if (table_.sessions().size() == table_.sessions().capacity()) return false;
  raise_odometers(session.copies);
  table_.sessions().put(key) = session;
  return true;
}

bool CopyRecorder::restore_prefix(std::uint64_t key, const Prefix& prefix) {
  if (table_.prefixes().size() == table_.prefixes().capacity()) return false;
  raise_odometers(prefix.copies);
  table_.prefixes().put(key) = prefix;
  return true;
}

void CopyRecorder::advance_odometers(Time now) {
  replicas_.for_each([&](Slot, Replica& replica) {
    const double stopped_s =
        std::max(0.0, static_cast<double>(now - replica.last_sent_at)) / kMicrosecondsPerSecond;
    replica.sent_tokens += replica.sent_tokens_per_s * stopped_s;
    replica.last_sent_at = now;
  });
}

}  // namespace thornwick::affinity
