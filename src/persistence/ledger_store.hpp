// The records of this router's copies of ledgers, in a file of their own. Each write is on its way to the
// disk by the end of the loop's turn; what became durable is told in the loop.
#pragma once

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "replication/consensus.hpp"
#include "store/writer.hpp"

namespace thornwick::persistence {

class LedgerStore {
 public:
  // `wake` is called in the writing thread after each batch. Throws store::StoreError.
  LedgerStore(const store::FileOptions& file, std::size_t most_bytes, std::function<void()> wake);

  ~LedgerStore();

  replication::Records& records(std::size_t ledger);
  // What the file had at the start, in the order of the keys.
  void stored(std::size_t ledger, const replication::RecordVisitor& visit) const;
  void loaded() { stored_.clear(); }  // nobody asks for that any more

  void hand_over() { writer_.hand_over(); }
  std::uint64_t durable() const { return writer_.durable(); }
  // A write found no room: what is on disk is not what was written any more, and nothing becomes durable
  // until a new start.
  bool failed() const { return failed_; }
  store::WriterMetrics metrics() const { return writer_.metrics(); }
  const std::string& set_aside() const { return file_.set_aside(); }

 private:
  struct Ledger;
  std::map<std::size_t, std::vector<std::pair<std::string, std::string>>> stored_;
  store::File file_;
  store::Writer writer_;
  std::map<std::size_t, std::unique_ptr<Ledger>> ledgers_;
  std::uint64_t mark_ = 0;
  bool failed_ = false;
};

// The file's only table, for whoever reads it by itself. A key is the ledger's number (two bytes, the higher
// first) and the record's own.
std::vector<store::TableSpec> copies_tables();

}  // namespace thornwick::persistence
