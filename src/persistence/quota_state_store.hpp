// Keeps quota accounts in a store's file: a mark for each block of a limit that is used, and the exact state
// of every account at a planned stop (budgets/durability_mark.hpp).
#pragma once

#include <cstddef>
#include <cstdint>
#include <string>

#include "budgets/accounts.hpp"
#include "store/writer.hpp"

namespace thornwick::persistence {

// Which accounts are loaded: all, or those that have neither been used nor reported by another process.
enum class LoadScope { all, unknown_accounts };

class QuotaStateStore final : public budgets::Journal {
 public:
  // A file that has state_tables(), and its writer. Neither is owned; both must outlive this.
  QuotaStateStore(const store::File& file, store::Writer& writer) : file_(file), writer_(writer) {}

  // Numbers of records.
  struct LoadedCounts {
    std::size_t accounts = 0;
    std::size_t unreadable = 0;  // records skipped because they cannot be decoded
  };

  // Restores the stored accounts, and adds to them what was used here before. Throws store::StoreError.
  LoadedCounts load(budgets::Accounts& accounts, Time wall_time, LoadScope scope = LoadScope::all);

  // Records an account's state. Returns the number that durable() reaches once it is on disk; 0 if it was not
  // accepted, because the writer has no room or the key is empty or too long.
  std::uint64_t append(const std::string& key, const budgets::LimitState& state) override;
  std::uint64_t last_durable_record() const override { return writer_.durable(); }

 private:
  const store::File& file_;
  store::Writer& writer_;
};

}  // namespace thornwick::persistence
