#include "store/metadata.hpp"

#include <charconv>

#include "store/checksum.hpp"
#include "store/error.hpp"

namespace thornwick::store {
namespace {

std::uint64_t parse_number(std::string_view text) {
  std::uint64_t number = 0;
  const char* const text_end = text.data() + text.size();
  const auto [end, error] = std::from_chars(text.data(), text_end, number);
  if (error != std::errc{} || end != text_end) {
    throw StoreError(ErrorKind::damaged, "what should be a number is none");
  }
  return number;
}

}  // namespace

std::string version_key(const std::string& table) { return "version:" + table; }

std::optional<std::uint64_t> read_metadata(const Transaction& transaction, MDB_dbi metadata,
                                           const std::string& key) {
  const auto record = transaction.get(metadata, key);
  if (!record) return std::nullopt;
  return parse_number(verify_checksum(kMetadataTable, key, *record));
}

void write_metadata(const Transaction& transaction, MDB_dbi metadata, const std::string& key,
                    std::uint64_t number) {
  transaction.put(metadata, key, add_checksum(kMetadataTable, key, std::to_string(number)));
}

std::vector<std::string> table_names(const Transaction& transaction) {
  std::vector<std::string> names;
  transaction.for_each(transaction.existing_table(nullptr),
                       [&](std::string_view name, std::string_view) { names.emplace_back(name); });
  return names;
}

std::uint64_t count_records(const Transaction& transaction, const std::vector<std::string>& tables) {
  std::uint64_t total = 0;
  for (const auto& name : tables) {
    total += transaction.statistics(transaction.existing_table(name.c_str())).ms_entries;
  }
  return total;
}

}  // namespace thornwick::store
