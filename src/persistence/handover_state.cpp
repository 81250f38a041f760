#include "persistence/handover_state.hpp"

#include <exception>
#include <utility>
#include <vector>

#include "persistence/affinity_records.hpp"
#include "persistence/message_pack.hpp"
#include "persistence/restoration.hpp"

namespace thornwick::persistence {
namespace {

constexpr int kVersion = 1;

struct SampleRecord {
  double size = 0;
  double work = 0;
  template <typename Packer>
  void msgpack_pack(Packer& packer) const {
    pack_two(packer, size, work);
  }
  void msgpack_unpack(const msgpack::object& object) { unpack_two(object, size, work); }
};

struct PrefixWorkRecord {
  std::uint64_t prefix = 0;
  double work = 0;
  template <typename Packer>
  void msgpack_pack(Packer& packer) const {
    pack_two(packer, prefix, work);
  }
  void msgpack_unpack(const msgpack::object& object) { unpack_two(object, prefix, work); }
};

struct ReplicaRecord {
  ReplicaId id = 0;
  Time started = 0;
  int failure_points = 0;
  Time ejected_until = 0;
  double pace = 0;
  MSGPACK_DEFINE_ARRAY(id, started, failure_points, ejected_until, pace)
};

struct KindPaceRecord {
  std::uint16_t kind = 0;
  double pace = 0;
  template <typename Packer>
  void msgpack_pack(Packer& packer) const {
    pack_two(packer, kind, pace);
  }
  void msgpack_unpack(const msgpack::object& object) { unpack_two(object, kind, pace); }
};

// A record of the affinity table as a store would keep it.
struct TableEntry {
  std::string key;
  std::string bytes;
  template <typename Packer>
  void msgpack_pack(Packer& packer) const {
    pack_two(packer, key, bytes);
  }
  void msgpack_unpack(const msgpack::object& object) { unpack_two(object, key, bytes); }
};

struct HandoverRecord {
  int version = 0;
  std::vector<SampleRecord> samples;
  std::vector<PrefixWorkRecord> prefix_work;
  std::vector<ReplicaRecord> learned_replicas;
  std::vector<KindPaceRecord> kind_paces;
  std::vector<double> tenant_usage;
  double zone_overflow = 0;
  double load_shedding = 0;
  std::vector<TableEntry> replicas;
  std::vector<TableEntry> sessions;
  std::vector<TableEntry> prefixes;
  MSGPACK_DEFINE_ARRAY(version, samples, prefix_work, learned_replicas, kind_paces, tenant_usage,
                       zone_overflow, load_shedding, replicas, sessions, prefixes)
};

void add_learned_state(HandoverRecord& record, const LearnedState& learned_state) {
  for (const LearnedState::RequestSample& sample : learned_state.samples) {
    record.samples.push_back({.size = sample.size, .work = sample.work});
  }
  for (const LearnedState::PrefixWork& entry : learned_state.prefixes) {
    record.prefix_work.push_back({.prefix = entry.prefix, .work = entry.work});
  }
  for (const LearnedState::Replica& replica : learned_state.replicas) {
    record.learned_replicas.push_back({.id = replica.id,
                                       .started = replica.started_at,
                                       .failure_points = replica.failure_points,
                                       .ejected_until = replica.ejected_until,
                                       .pace = replica.speed_factor});
  }
  for (const LearnedState::KindSpeed& entry : learned_state.kind_speeds) {
    record.kind_paces.push_back({.kind = entry.kind, .pace = entry.speed_factor});
  }
  record.tenant_usage = learned_state.tenant_usage;
  record.zone_overflow = learned_state.zone_overflow;
  record.load_shedding = learned_state.load_shedding;
}

LearnedState learned_state_of(const HandoverRecord& record) {
  LearnedState learned_state;
  for (const SampleRecord& sample : record.samples) {
    learned_state.samples.push_back({.size = sample.size, .work = sample.work});
  }
  for (const PrefixWorkRecord& entry : record.prefix_work) {
    learned_state.prefixes.push_back({.prefix = entry.prefix, .work = entry.work});
  }
  for (const ReplicaRecord& replica : record.learned_replicas) {
    learned_state.replicas.push_back({.id = replica.id,
                                      .started_at = replica.started,
                                      .failure_points = replica.failure_points,
                                      .ejected_until = replica.ejected_until,
                                      .speed_factor = replica.pace});
  }
  for (const KindPaceRecord& entry : record.kind_paces) {
    learned_state.kind_speeds.push_back({.kind = entry.kind, .speed_factor = entry.pace});
  }
  learned_state.tenant_usage = record.tenant_usage;
  learned_state.zone_overflow = record.zone_overflow;
  learned_state.load_shedding = record.load_shedding;
  return learned_state;
}

template <typename Entry>
void add_if_room(std::vector<TableEntry>& entries, std::uint64_t key, const Entry& entry) {
  if (entries.size() == kMaxHandedOverEntries) return;
  entries.push_back({.key = encode_key(key), .bytes = encode(entry)});
}

void add_affinity_table(HandoverRecord& record, const affinity::AffinityTable& affinity_table) {
  affinity_table.replicas().for_each([&](affinity::Slot slot, const affinity::Replica& replica) {
    record.replicas.push_back({.key = encode_key(slot), .bytes = encode(replica, "")});
  });
  affinity_table.table().sessions().for_each([&](std::uint64_t key, const affinity::Session& session) {
    add_if_room(record.sessions, key, session);
  });
  affinity_table.table().prefixes().for_each(
      [&](std::uint64_t key, const affinity::Prefix& prefix) { add_if_room(record.prefixes, key, prefix); });
}

const std::vector<TableEntry>& entries_of(const HandoverRecord& record, StateTable table) {
  switch (table) {
    case kReplicaTable: return record.replicas;
    case kSessionTable: return record.sessions;
    default: return record.prefixes;
  }
}

// Without RecordLimits: the record is as long as the affinity table is.
std::optional<HandoverRecord> unpack_handover(std::string_view bytes) {
  try {
    HandoverRecord record;
    msgpack::unpack(bytes.data(), bytes.size()).get().convert(record);
    return record;
  } catch (const std::exception&) {
    return std::nullopt;
  }
}

}  // namespace

std::string encode_handover_state(const LearnedState& learned_state,
                                  const affinity::AffinityTable* affinity_table) {
  HandoverRecord record;
  record.version = kVersion;
  add_learned_state(record, learned_state);
  if (affinity_table != nullptr) add_affinity_table(record, *affinity_table);
  return pack_record(record);
}

std::optional<LearnedState> decode_handover_state(std::string_view bytes, Time now,
                                                  affinity::AffinityTable* affinity_table) {
  const auto record = unpack_handover(bytes);
  if (!record || record->version != kVersion) return std::nullopt;
  if (affinity_table != nullptr) {
    restore_affinity_table(*affinity_table, now, [&](StateTable table, const RecordVisitor& visitor) {
      for (const TableEntry& entry : entries_of(*record, table)) visitor(entry.key, entry.bytes);
    });
  }
  return learned_state_of(*record);
}

}  // namespace thornwick::persistence
