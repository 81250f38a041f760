#include "persistence/affinity_records.hpp"

#include <limits>
#include <utility>
#include <vector>

#include "persistence/message_pack.hpp"
#include "persistence/tables.hpp"

namespace thornwick::persistence {
namespace {

// Fields of a record that has fewer elements than it should keep the zeros given here.
struct CopyRecord {
  std::uint32_t tokens = 0;
  std::uint32_t odometer = 0;
  std::uint32_t seen = 0;
  affinity::Slot replica = 0;
  affinity::Epoch epoch = 0;
  MSGPACK_DEFINE_ARRAY(tokens, odometer, seen, replica, epoch)
};

struct SessionRecord {
  std::uint64_t prefix = 0;
  std::uint32_t cached_size = 0;
  std::vector<CopyRecord> copies;
  MSGPACK_DEFINE_ARRAY(prefix, cached_size, copies)
};

using PrefixRecord = std::vector<CopyRecord>;

struct ReplicaRecord {
  std::string uid;
  ReplicaId id = 0;
  bool used = false;
  Time started = 0;
  affinity::Epoch epoch = 0;
  double sent = 0;
  Time sent_at = 0;
  double pace = 0;
  MSGPACK_DEFINE_ARRAY(uid, id, used, started, epoch, sent, sent_at, pace)
};

template <std::size_t N>
std::vector<CopyRecord> to_records(const affinity::Copies<N>& copies) {
  std::vector<CopyRecord> records;
  for (const affinity::Copy& copy : copies.all()) {
    records.push_back({.tokens = copy.tokens,
                       .odometer = copy.odometer,
                       .seen = copy.last_used_s,
                       .replica = copy.replica,
                       .epoch = copy.epoch});
  }
  return records;
}

// Returns nothing if there are more records than an entry may have copies.
template <std::size_t N>
std::optional<affinity::Copies<N>> to_copies(const std::vector<CopyRecord>& records) {
  if (records.size() > N) return std::nullopt;
  affinity::Copies<N> copies;
  for (const CopyRecord& record : records) {
    copies.items[copies.count] = {.tokens = record.tokens,
                                  .odometer = record.odometer,
                                  .last_used_s = record.seen,
                                  .replica = record.replica,
                                  .epoch = record.epoch};
    ++copies.count;
  }
  return copies;
}

// Rejects negative values and NaN, which would break the arithmetic on odometers: an odometer never
// decreases.
bool is_plausible(const ReplicaRecord& record) {
  return record.sent >= 0 && record.pace >= 0 && record.sent_at >= 0;
}

}  // namespace

std::string encode(const affinity::Session& session) {
  return pack_record(SessionRecord{
      .prefix = session.prefix, .cached_size = session.cached_size, .copies = to_records(session.copies)});
}

std::string encode(const affinity::Prefix& prefix) { return pack_record(to_records(prefix.copies)); }

std::string encode(const affinity::Replica& replica, const std::string& uid) {
  return pack_record(ReplicaRecord{.uid = uid,
                                   .id = replica.id,
                                   .used = replica.in_use,
                                   .started = replica.started_at,
                                   .epoch = replica.epoch,
                                   .sent = replica.sent_tokens,
                                   .sent_at = replica.last_sent_at,
                                   .pace = replica.sent_tokens_per_s});
}

std::optional<affinity::Session> decode_session(std::string_view bytes) {
  const auto record = unpack_record<SessionRecord>(bytes);
  if (!record) return std::nullopt;
  const auto copies = to_copies<affinity::kSessionCopies>(record->copies);
  if (!copies) return std::nullopt;
  affinity::Session session;
  session.prefix = record->prefix;
  session.cached_size = record->cached_size;
  session.copies = *copies;
  return session;
}

std::optional<affinity::Prefix> decode_prefix(std::string_view bytes) {
  const auto record = unpack_record<PrefixRecord>(bytes);
  if (!record) return std::nullopt;
  const auto copies = to_copies<affinity::kPrefixCopies>(*record);
  if (!copies) return std::nullopt;
  affinity::Prefix prefix;
  prefix.copies = *copies;
  return prefix;
}

std::optional<StoredReplica> decode_replica(std::string_view key, std::string_view bytes) {
  auto record = unpack_record<ReplicaRecord>(bytes);
  const auto slot = decode_key(key);
  if (!record || !slot || *slot > std::numeric_limits<affinity::Slot>::max()) return std::nullopt;
  if (!is_plausible(*record)) return std::nullopt;
  StoredReplica stored;
  stored.slot = static_cast<affinity::Slot>(*slot);
  stored.uid = std::move(record->uid);
  stored.replica.id = record->id;
  stored.replica.in_use = record->used;
  stored.replica.started_at = record->started;
  stored.replica.epoch = record->epoch;
  stored.replica.sent_tokens = record->sent;
  stored.replica.last_sent_at = record->sent_at;
  stored.replica.sent_tokens_per_s = record->pace;
  return stored;
}

}  // namespace thornwick::persistence
