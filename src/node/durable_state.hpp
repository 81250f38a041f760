// What a router remembers and may keep on disk: the affinity table, the accounts of budgets, and the store in
// which both outlive the process.
#pragma once

#include <functional>
#include <memory>
#include <ostream>
#include <string>

#include "affinity/affinity_table.hpp"
#include "budgets/admission_controller.hpp"
#include "budgets/fair_share.hpp"
#include "config/config.hpp"
#include "net/loop.hpp"
#include "node/affinity_report.hpp"
#include "node/local_quota_proxy.hpp"
#include "persistence/quota_state_store.hpp"
#include "persistence/state_store.hpp"

namespace thornwick::node {

class DurableState {
 public:
  // With all that the store has; a store that cannot be opened is logged, and the router serves without it.
  // `config` is the router's own, has to outlive this and may change. Throws BadConfig.
  DurableState(const config::Config& config, ReplicaUid uid_of);

  // Makes all durable, for a planned stop. Blocks for `timeout` microseconds at the most; false: the time was
  // too short.
  [[nodiscard]] bool save(Time timeout);
  // The configuration's budgets and prices were read again. What was used stays used. Only where there is a
  // quota service.
  void budgets_changed(Time now);

  // The counters of budgets, in the form " name=value".
  void print_counters(std::ostream& out) const;
  // Calls `line` with a line about each replica in the affinity table: those that lost trust first, 64 at the
  // most.
  void log_replicas(const std::function<void(const std::string&)>& line) const;

  // Each is null where the configuration asks for none; the store also where it could not be opened, and the
  // proxy where budgets are this router's alone.
  const persistence::StateStore* state_store() const { return state_store_.get(); }
  affinity::AffinityTable* affinity_table() const { return affinity_table_.get(); }
  budgets::QuotaService* quota_service() const { return quota_service_.get(); }
  LocalQuotaProxy* quota_proxy() const { return quota_proxy_.get(); }
  budgets::FairShare* fair() const { return fair_share_.get(); }

 private:
  void open_store();
  std::unique_ptr<persistence::StateStore> make_state_store();
  void load_affinity_table();
  void schedule_store_flush();
  void flush_store();

  void open_quota_service();
  void open_quota_backend();
  void load_accounts();
  void open_fair_share();
  void update_prices();

  const config::Config& config_;
  ReplicaUid uid_of_;
  AffinityLog affinity_log_;
  // Destroyed in the reverse order: what refers to the store goes before it.
  std::unique_ptr<persistence::StateStore> state_store_;
  std::unique_ptr<affinity::AffinityTable> affinity_table_;
  std::unique_ptr<persistence::QuotaStateStore> quota_state_store_;  // of accounts in the state store
  std::unique_ptr<LocalQuotaProxy> quota_proxy_;                     // of accounts that the group replicates
  std::unique_ptr<budgets::QuotaService> quota_service_;
  std::unique_ptr<budgets::FairShare> fair_share_;
  net::Timer flush_timer_;
  bool store_failing_ = false;
};

}  // namespace thornwick::node
