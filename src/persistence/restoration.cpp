#include "persistence/restoration.hpp"

#include <string>

#include "persistence/affinity_records.hpp"

namespace thornwick::persistence {
namespace {

// Reads records of an affinity table into it, and counts them.
class Restorer {
 public:
  Restorer(affinity::AffinityTable& affinity_table, const ReplicaIdLookup& id_of)
      : affinity_table_(affinity_table), id_of_(id_of) {}

  void add_replica(std::string_view key, std::string_view bytes) {
    auto stored = decode_replica(key, bytes);
    if (!stored) {
      ++counts_.unreadable;
      return;
    }
    if (id_of_ && has_uid(*stored)) stored->replica.id = id_of_(stored->uid);
    count(affinity_table_.restore_replica(stored->slot, stored->replica), counts_.replicas);
  }

  void add_session(std::string_view key, std::string_view bytes) {
    const auto number = decode_key(key);
    const auto session = decode_session(bytes);
    if (!number || !session) {
      ++counts_.unreadable;
      return;
    }
    count(affinity_table_.restore_session(*number, *session), counts_.sessions);
  }

  void add_prefix(std::string_view key, std::string_view bytes) {
    const auto number = decode_key(key);
    const auto prefix = decode_prefix(bytes);
    if (!number || !prefix) {
      ++counts_.unreadable;
      return;
    }
    count(affinity_table_.restore_prefix(*number, *prefix), counts_.prefixes);
  }

  const RestoredCounts& counts() const { return counts_; }

 private:
  void count(bool restored, std::size_t& restored_count) {
    std::size_t& counter = restored ? restored_count : counts_.over_capacity;
    ++counter;
  }

  // A replica whose uid was not known when it was recorded has its id in digits instead.
  static bool has_uid(const StoredReplica& stored) {
    return !stored.uid.empty() && stored.uid != std::to_string(stored.replica.id);
  }

  affinity::AffinityTable& affinity_table_;
  const ReplicaIdLookup& id_of_;
  RestoredCounts counts_;
};

}  // namespace

RestoredCounts restore_affinity_table(affinity::AffinityTable& affinity_table, Time now,
                                      const RecordSource& source, const ReplicaIdLookup& id_of) {
  Restorer restorer(affinity_table, id_of);
  source(kReplicaTable,
         [&](std::string_view key, std::string_view bytes) { restorer.add_replica(key, bytes); });
  source(kSessionTable,
         [&](std::string_view key, std::string_view bytes) { restorer.add_session(key, bytes); });
  source(kPrefixTable,
         [&](std::string_view key, std::string_view bytes) { restorer.add_prefix(key, bytes); });
  affinity_table.finish_restore(now);
  return restorer.counts();
}

}  // namespace thornwick::persistence
