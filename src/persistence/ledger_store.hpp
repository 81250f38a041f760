// The durable records of this router's ledger replicas, in a store's file of their own. A record survives a
// kill once durable() has reached its mark; what was written later may be lost.
#pragma once

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "replication/consensus.hpp"
#include "store/writer.hpp"

namespace thornwick::persistence {

// Owns the file and the thread that writes it. Except for `on_written`, for the loop's thread only.
class LedgerStore {
 public:
  // Opens the file, or creates it, and reads its records. `max_gathered_bytes` bounds the changes that wait
  // for the writer. `on_written` is called in the writer's thread after each durable batch. Throws
  // store::StoreError.
  LedgerStore(const store::FileOptions& file, std::size_t max_gathered_bytes,
              std::function<void()> on_written);
  ~LedgerStore();

  // Where the replica of that ledger (0 to 65,535) writes its records. Owned by this store.
  replication::Records& records(std::size_t ledger);

  // Calls the visitor with each record of that ledger that the file had when it was opened, in the order of
  // the keys. After release_stored() there is none.
  void for_each_stored(std::size_t ledger, const replication::RecordVisitor& visitor) const;
  // Frees the memory of the records that the file had when it was opened.
  void release_stored() { stored_.clear(); }

  // Hands what was written over to the thread, if that can take it. Call it at the end of each turn of the
  // loop.
  void hand_over() { writer_.hand_over(); }
  // The highest write number (replication::Records::last_write_number) that is durable; 0: none.
  std::uint64_t durable() const { return writer_.durable(); }
  // Whether a write was rejected for lack of room. Then the file lacks a record, so no later mark counts as
  // durable until the next start.
  bool failed() const { return failed_; }

  store::WriterMetrics metrics() const { return writer_.metrics(); }
  // The path that a damaged file was renamed to on opening; empty if it was sound.
  const std::string& set_aside() const { return file_.set_aside(); }

 private:
  class LedgerRecords;
  struct StoredRecord {
    std::string key;
    std::string value;
  };

  std::map<std::size_t, std::vector<StoredRecord>> stored_;  // by ledger
  store::File file_;
  store::Writer writer_;  // declared after the file, which it uses until it is destroyed
  std::map<std::size_t, std::unique_ptr<LedgerRecords>> ledgers_;
  std::uint64_t mark_ = 0;  // write number of the latest write
  bool failed_ = false;
};

// The only table of a ledger store's file, for tools that read it. A key is the ledger's number in two bytes,
// the higher first, and then the key of the record within that ledger.
std::vector<store::TableSpec> ledger_tables();

}  // namespace thornwick::persistence
