// Keeps the affinity table in a store's file: loads it at the start, and records each of its changes from
// then on. A change survives a kill once its batch is written (store/writer.hpp); a planned stop drains the
// writer.
#pragma once

#include <functional>
#include <string>

#include "affinity/affinity_table.hpp"
#include "persistence/restoration.hpp"
#include "store/writer.hpp"

namespace thornwick::persistence {

// Owns the file and the thread that writes it. For the loop's thread only.
class StateStore : public affinity::Journal {
 public:
  // Discovery's name of a replica, for the record; empty if it has none.
  using ReplicaUidLookup = std::function<std::string(ReplicaId)>;

  // Opens the file, or creates it; loads nothing. Throws store::StoreError.
  StateStore(const store::FileOptions& file, const store::WriterOptions& writer, ReplicaUidLookup uid_of);

  // Fills a table that is still empty with the file's records, as of `now`, and becomes its journal. Neither
  // owns the other: the table must not change any more once this is destroyed. `id_of`: as for
  // restore_affinity_table(). Throws store::StoreError.
  RestoredCounts load(affinity::AffinityTable& affinity_table, Time now, const ReplicaIdLookup& id_of = {});

  // Becomes the journal of a table that is in use, without loading anything into it.
  void record(affinity::AffinityTable& affinity_table) { affinity_table.set_journal(this); }

  // Each returns false if the writer has no room; the table offers the change again later.
  bool save_session(std::uint64_t key, const affinity::Session& session) override;
  bool save_prefix(std::uint64_t key, const affinity::Prefix& prefix) override;
  bool remove_session(std::uint64_t key) override;
  bool remove_prefix(std::uint64_t key) override;
  bool save_replica(affinity::Slot slot, const affinity::Replica& replica) override;

  // The file has a table for quota accounts too, which QuotaStateStore fills through these.
  store::Writer& writer() { return writer_; }
  const store::Writer& writer() const { return writer_; }
  const store::File& file() const { return file_; }

 private:
  store::File file_;
  store::Writer writer_;  // declared after the file, which it uses until it is destroyed
  ReplicaUidLookup uid_of_;
};

}  // namespace thornwick::persistence
