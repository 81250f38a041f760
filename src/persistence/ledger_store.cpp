#include "persistence/ledger_store.hpp"

#include <limits>

namespace thornwick::persistence {
namespace {

constexpr std::uint8_t kTable = 0;
constexpr std::uint64_t kNever = std::numeric_limits<std::uint64_t>::max();
constexpr std::size_t kMostRecords = 200'000;  // on their way to the disk

store::WriterOptions options_for(std::size_t most_bytes, std::function<void()> wake) {
  store::WriterOptions options;
  options.max_undurable_changes = 3 * kMostRecords;  // handed over at each turn's end anyway
  options.max_gathered_records = kMostRecords;
  options.max_gathered_bytes = most_bytes;
  options.on_written = std::move(wake);
  return options;
}

}  // namespace

struct LedgerStore::Ledger final : replication::Records {
  Ledger(LedgerStore& owner, std::size_t number)
      : store(owner), prefix{static_cast<char>(number >> 8), static_cast<char>(number)} {}
  void write(std::string key, std::optional<std::string> value) override {
    store.mark_ = store.writer_.gathering();
    key = prefix + key;
    const bool taken = value ? store.writer_.put(kTable, std::move(key), std::move(*value))
                             : store.writer_.erase(kTable, std::move(key));
    if (!taken) store.failed_ = true;
  }
  // What was rejected is on no disk: nothing written since is ever durable, so this copy promises nothing
  // more.
  std::uint64_t mark() override { return store.failed_ ? kNever : store.mark_; }
  LedgerStore& store;
  std::string prefix;
};

std::vector<store::TableSpec> copies_tables() { return {{"copies.records", 1}}; }

LedgerStore::LedgerStore(const store::FileOptions& file, std::size_t most_bytes, std::function<void()> wake)
    : file_(file, copies_tables()), writer_(file_, options_for(most_bytes, std::move(wake))) {
  file_.each(kTable, [this](std::string_view key, std::string_view value) {
    if (key.size() < 3) return;
    const std::size_t ledger =
        static_cast<std::size_t>(static_cast<std::uint8_t>(key[0])) << 8 | static_cast<std::uint8_t>(key[1]);
    stored_[ledger].emplace_back(key.substr(2), value);
  });
}

LedgerStore::~LedgerStore() = default;

replication::Records& LedgerStore::records(std::size_t ledger) {
  auto& records = ledgers_[ledger];
  if (!records) records = std::make_unique<Ledger>(*this, ledger);
  return *records;
}

void LedgerStore::stored(std::size_t ledger, const replication::RecordVisitor& visit) const {
  const auto found = stored_.find(ledger);
  if (found == stored_.end()) return;
  for (const auto& [key, value] : found->second) visit(key, value);
}

}  // namespace thornwick::persistence
