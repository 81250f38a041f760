// Learning: records which replica has read which prompt and how many tokens it was sent, and drops expired
// entries.
#pragma once

#include <cstdint>

#include "affinity/copy_lookup.hpp"
#include "affinity/entry_table.hpp"
#include "affinity/journal.hpp"
#include "affinity/metrics.hpp"
#include "affinity/replica_registry.hpp"

namespace thornwick::affinity {

// Updates the entry table and offers each change to the journal. Owns none of its arguments; all must outlive
// the recorder.
class CopyRecorder {
 public:
  CopyRecorder(EntryTable& table, ReplicaRegistry& replicas, const CopyLookup& lookup, JournalWriter& journal,
               Metrics& metrics)
      : table_(table), replicas_(replicas), lookup_(lookup), journal_(journal), metrics_(metrics) {}

  // Records that the replica in `slot` holds the request's prompt from now on, and with it the shared prefix.
  void record_prompt(Time now, const Request& request, Slot slot);

  // Records that the replica in `slot` read or generated `tokens` that were not cached: its odometer advances
  // by as many.
  void record_tokens(Time now, Slot slot, double tokens);

  // Counts an answer of the replica in `slot`, and saves its odometer with every 64th answer.
  void count_answer(Slot slot);

  // Visits a few entries of each table and the next replica: drops entries without a valid copy, and offers
  // the journal again what it did not accept before. Called with each answer, so that all are visited in turn
  // without a pause.
  void sweep(Time now);

  // Inserts an entry that was read from a store. Returns false if the table is full.
  [[nodiscard]] bool restore_session(std::uint64_t key, const Session& session);
  [[nodiscard]] bool restore_prefix(std::uint64_t key, const Prefix& prefix);

  // Must be called after the last restored entry: advances each replica's odometer by what the other routers
  // have probably sent while this one was down. If the clock was set back, no time is assumed to have passed.
  void advance_odometers(Time now);

 private:
  void record_session(Time now, const Request& request, Slot slot);
  void record_prefix(Time now, const Request& request, Slot slot);
  Copy make_copy(Time now, Slot slot, double tokens) const;
  template <typename Map>
  void sweep_entries(Map& entries, std::uint32_t now_s);
  void retry_next_replica();
  template <std::size_t N>
  void raise_odometers(const Copies<N>& copies);

  EntryTable& table_;
  ReplicaRegistry& replicas_;
  const CopyLookup& lookup_;
  JournalWriter& journal_;
  Metrics& metrics_;
  std::size_t next_replica_ = 0;  // slot that the latest sweep visited
};

}  // namespace thornwick::affinity
