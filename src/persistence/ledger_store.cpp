#include "persistence/ledger_store.hpp"

#include <limits>
#include <optional>
#include <string_view>
#include <utility>

namespace thornwick::persistence {
namespace {

constexpr std::uint8_t kLedgerTable = 0;
constexpr std::uint32_t kRecordVersion = 1;
constexpr std::uint64_t kNeverDurable = std::numeric_limits<std::uint64_t>::max();
constexpr std::size_t kMaxGatheredRecords = 200'000;
constexpr std::size_t kLedgerPrefixBytes = 2;
constexpr unsigned kBitsPerByte = 8;

store::WriterOptions writer_options(std::size_t max_gathered_bytes, std::function<void()> on_written) {
  store::WriterOptions options;
  // Never reached before the gathered records' own bound: hand_over() is called often enough.
  options.max_undurable_changes = 3 * kMaxGatheredRecords;
  options.max_gathered_records = kMaxGatheredRecords;
  options.max_gathered_bytes = max_gathered_bytes;
  options.on_written = std::move(on_written);
  return options;
}

std::string encode_ledger(std::size_t ledger) {
  return {static_cast<char>(ledger >> kBitsPerByte), static_cast<char>(ledger)};
}

// Requires a key of at least kLedgerPrefixBytes.
std::size_t decode_ledger(std::string_view key) {
  const std::size_t high_byte = static_cast<unsigned char>(key[0]);
  const std::size_t low_byte = static_cast<unsigned char>(key[1]);
  return high_byte << kBitsPerByte | low_byte;
}

}  // namespace

// The records of one ledger within the table.
class LedgerStore::LedgerRecords final : public replication::Records {
 public:
  LedgerRecords(LedgerStore& store, std::size_t ledger) : store_(store), prefix_(encode_ledger(ledger)) {}

  void write(std::string key, std::optional<std::string> value) override {
    // The batch's number is read before the record is put: a put may hand the batch over at once.
    store_.mark_ = store_.writer_.gathering();
    const bool accepted = value ? store_.writer_.put(kLedgerTable, prefix_ + key, std::move(*value))
                                : store_.writer_.erase(kLedgerTable, prefix_ + key);
    if (!accepted) store_.failed_ = true;
  }

  // After a rejected write nothing may count as durable: the replica would promise what it cannot keep.
  std::uint64_t last_write_number() override { return store_.failed_ ? kNeverDurable : store_.mark_; }

 private:
  LedgerStore& store_;
  std::string prefix_;
};

std::vector<store::TableSpec> ledger_tables() { return {{"copies.records", kRecordVersion}}; }

LedgerStore::LedgerStore(const store::FileOptions& file, std::size_t max_gathered_bytes,
                         std::function<void()> on_written)
    : file_(file, ledger_tables()),
      writer_(file_, writer_options(max_gathered_bytes, std::move(on_written))) {
  file_.each(kLedgerTable, [this](std::string_view key, std::string_view value) {
    if (key.size() <= kLedgerPrefixBytes) return;
    stored_[decode_ledger(key)].push_back(
        {.key = std::string(key.substr(kLedgerPrefixBytes)), .value = std::string(value)});
  });
}

LedgerStore::~LedgerStore() = default;

replication::Records& LedgerStore::records(std::size_t ledger) {
  auto& records = ledgers_[ledger];
  if (!records) records = std::make_unique<LedgerRecords>(*this, ledger);
  return *records;
}

void LedgerStore::for_each_stored(std::size_t ledger, const replication::RecordVisitor& visitor) const {
  const auto found = stored_.find(ledger);
  if (found == stored_.end()) return;
  for (const StoredRecord& record : found->second) visitor(record.key, record.value);
}

}  // namespace thornwick::persistence
