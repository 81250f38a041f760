// Persistence of the affinity table's changes: the interface of a store, and the writer that the table's
// classes share.
#pragma once

#include <cstdint>

#include "affinity/entry_table.hpp"
#include "affinity/replica_registry.hpp"

namespace thornwick::affinity {

// A store of the table's changes. Each function returns false if the store cannot accept the change now; the
// table then offers the entry again later.
class Journal {
 public:
  virtual ~Journal() = default;
  virtual bool save_session(std::uint64_t key, const Session& session) = 0;
  virtual bool save_prefix(std::uint64_t key, const Prefix& prefix) = 0;
  virtual bool remove_session(std::uint64_t key) = 0;
  virtual bool remove_prefix(std::uint64_t key) = 0;
  virtual bool save_replica(Slot slot, const Replica& replica) = 0;
};

// Passes changes to the journal, if there is one, and marks as `unsaved` what the journal did not accept.
class JournalWriter {
 public:
  // The registry must outlive the writer.
  explicit JournalWriter(ReplicaRegistry& replicas) : replicas_(replicas) {}

  // The journal is not owned; null: changes are not stored.
  void set_journal(Journal* journal) { journal_ = journal; }

  void save(std::uint64_t key, Session& session) {
    session.unsaved = journal_ != nullptr && !journal_->save_session(key, session);
  }
  void save(std::uint64_t key, Prefix& prefix) {
    prefix.unsaved = journal_ != nullptr && !journal_->save_prefix(key, prefix);
  }
  void save_replica(Slot slot) {
    Replica& replica = replicas_.at(slot);
    replica.unsaved = journal_ != nullptr && !journal_->save_replica(slot, replica);
  }

  // Returns false if the journal did not accept the removal. The entry's type selects the journal's table.
  bool erase(std::uint64_t key, const Session&) {
    return journal_ == nullptr || journal_->remove_session(key);
  }
  bool erase(std::uint64_t key, const Prefix&) { return journal_ == nullptr || journal_->remove_prefix(key); }

 private:
  ReplicaRegistry& replicas_;
  Journal* journal_ = nullptr;
};

}  // namespace thornwick::affinity
