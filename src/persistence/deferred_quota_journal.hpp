// The journal of quota accounts while their store is not open yet, because another process of this router
// still holds its file.
#pragma once

#include <cstdint>
#include <string>

#include "budgets/journal.hpp"

namespace thornwick::persistence {

class DeferredQuotaJournal final : public budgets::Journal {
 public:
  // `until_open`: what holds until open() is called, `absent` or `waiting`.
  explicit DeferredQuotaJournal(budgets::JournalState until_open) : until_open_(until_open) {}
  void set_until_open(budgets::JournalState state) { until_open_ = state; }
  // Passes everything on to `journal` from now on. It is not owned.
  void open(budgets::Journal& journal) { journal_ = &journal; }
  // Records nothing any more; the state is as before open().
  void close() { journal_ = nullptr; }

  std::uint64_t append(const std::string& key, const budgets::LimitState& state) override {
    return journal_ == nullptr ? 0 : journal_->append(key, state);
  }
  std::uint64_t last_durable_record() const override {
    return journal_ == nullptr ? 0 : journal_->last_durable_record();
  }
  budgets::JournalState state() const override {
    return journal_ == nullptr ? until_open_ : budgets::JournalState::open;
  }

 private:
  budgets::Journal* journal_ = nullptr;
  budgets::JournalState until_open_;
};

}  // namespace thornwick::persistence
