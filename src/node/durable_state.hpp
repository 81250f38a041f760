// Owns the state of a router that may outlive its process: the affinity table, the accounts of budgets, and
// the store on disk for both.
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
  // Opens the store and loads its contents. If the store cannot be opened, an error is logged and the router
  // serves without a store. `config` is not owned, must outlive this object, and may change. Throws
  // BadConfig.
  DurableState(const config::Config& config, ReplicaUidLookup uid_of, persistence::ReplicaIdLookup id_of);

  // Makes all state durable at the end of a graceful shutdown. Blocks for at most `timeout` (microseconds).
  // Returns false if the time was too short.
  [[nodiscard]] bool save(Time timeout);
  // Applies the configuration's budgets and prices. Call it after they have changed, and only if there is a
  // quota service. Charges that were made earlier stay.
  void budgets_changed(Time now);

  // Writes the counters of budgets, each as " name=value".
  void print_counters(std::ostream& out) const;
  // Calls `print_line` with one line for each replica in the affinity table, for at most 64 replicas.
  // Replicas that have lost trust come first.
  void log_replicas(const std::function<void(const std::string&)>& print_line) const;

  // Each object is null if the configuration does not enable it. The store is also null if it could not be
  // opened, and the proxy if budgets are not replicated.
  const persistence::StateStore* state_store() const { return state_store_.get(); }
  affinity::AffinityTable* affinity_table() const { return affinity_table_.get(); }
  budgets::QuotaService* quota_service() const { return quota_service_.get(); }
  LocalQuotaProxy* quota_proxy() const { return quota_proxy_.get(); }
  budgets::FairShare* fair_share() const { return fair_share_.get(); }

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
  ReplicaUidLookup uid_of_;
  persistence::ReplicaIdLookup id_of_;
  AffinityLog affinity_log_;
  // Members are destroyed in reverse order, so that members that refer to the store are destroyed before the
  // store.
  std::unique_ptr<persistence::StateStore> state_store_;
  std::unique_ptr<affinity::AffinityTable> affinity_table_;
  std::unique_ptr<persistence::QuotaStateStore> quota_state_store_;  // for accounts in the state store
  std::unique_ptr<LocalQuotaProxy> quota_proxy_;                     // for accounts that the group replicates
  std::unique_ptr<budgets::QuotaService> quota_service_;
  std::unique_ptr<budgets::FairShare> fair_share_;
  net::Timer flush_timer_;
  bool store_writes_fail_ = false;
};

}  // namespace thornwick::node
