#include "persistence/quota_state_store.hpp"

#include "persistence/quota_records.hpp"
#include "persistence/tables.hpp"

namespace thornwick::persistence {
namespace {

constexpr std::size_t kMaxKeyBytes = 400;  // what a store's file accepts

}  // namespace

QuotaStateStore::LoadedCounts QuotaStateStore::load(budgets::Accounts& accounts, Time wall_time,
                                                    LoadScope scope) {
  LoadedCounts counts;
  file_.each(kQuotaTable, [&](std::string_view key, std::string_view bytes) {
    const auto state = decode_limit(bytes);
    if (!state) {
      ++counts.unreadable;
      return;
    }
    if (scope == LoadScope::unknown_accounts && accounts.knows(std::string(key))) return;
    accounts.merge({std::string(key), *state}, wall_time);
    ++counts.accounts;
  });
  return counts;
}

std::uint64_t QuotaStateStore::append(const std::string& key, const budgets::LimitState& state) {
  if (key.empty() || key.size() > kMaxKeyBytes) return 0;
  // The batch's number is read before the record is put: a put may hand the batch over at once.
  const std::uint64_t batch = writer_.gathering();
  const bool accepted = writer_.put(kQuotaTable, key, encode(state));
  return accepted ? batch : 0;
}

}  // namespace thornwick::persistence
