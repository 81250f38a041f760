#include "persistence/state_store.hpp"

#include <utility>

#include "persistence/affinity_records.hpp"

namespace thornwick::persistence {

StateStore::StateStore(const store::FileOptions& file, const store::WriterOptions& writer,
                       ReplicaUidLookup uid_of)
    : file_(file, state_tables()), writer_(file_, writer), uid_of_(std::move(uid_of)) {}

RestoredCounts StateStore::load(affinity::AffinityTable& affinity_table, Time now,
                                const ReplicaIdLookup& id_of) {
  const RestoredCounts counts = restore_affinity_table(
      affinity_table, now,
      [this](StateTable table, const RecordVisitor& visitor) { file_.each(table, visitor); }, id_of);
  affinity_table.set_journal(this);
  return counts;
}

bool StateStore::save_session(std::uint64_t key, const affinity::Session& session) {
  return writer_.put(kSessionTable, encode_key(key), encode(session));
}

bool StateStore::save_prefix(std::uint64_t key, const affinity::Prefix& prefix) {
  return writer_.put(kPrefixTable, encode_key(key), encode(prefix));
}

bool StateStore::remove_session(std::uint64_t key) { return writer_.erase(kSessionTable, encode_key(key)); }

bool StateStore::remove_prefix(std::uint64_t key) { return writer_.erase(kPrefixTable, encode_key(key)); }

bool StateStore::save_replica(affinity::Slot slot, const affinity::Replica& replica) {
  return writer_.put(kReplicaTable, encode_key(slot), encode(replica, uid_of_(replica.id)));
}

}  // namespace thornwick::persistence
