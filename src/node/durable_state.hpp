// Owns the state of a router that may outlive its process: the affinity table, the accounts of budgets, and
// the store on disk for both.
#pragma once

#include <functional>
#include <memory>
#include <optional>
#include <ostream>
#include <string>

#include "affinity/affinity_table.hpp"
#include "budgets/admission_controller.hpp"
#include "budgets/fair_share.hpp"
#include "config/config.hpp"
#include "net/loop.hpp"
#include "node/affinity_report.hpp"
#include "node/local_quota_proxy.hpp"
#include "persistence/deferred_quota_journal.hpp"
#include "persistence/quota_state_store.hpp"
#include "persistence/state_store.hpp"

namespace thornwick::node {

// Whether another process of this router serves when this one starts.
enum class StartedBeside { nobody, predecessor };

// Opens the store's file. Throws store::StoreError.
using StateStoreOpener = std::function<std::unique_ptr<persistence::StateStore>(
    const store::FileOptions&, const store::WriterOptions&,
    const persistence::StateStore::ReplicaUidLookup&)>;
// The opener of a router: opens the file that the options name, or creates it.
std::unique_ptr<persistence::StateStore> open_state_store(
    const store::FileOptions& file, const store::WriterOptions& writer,
    const persistence::StateStore::ReplicaUidLookup& uid_of);

class DurableState {
 public:
  // Opens the store and loads its contents. If another process holds the store's file, opens it later; if it
  // cannot be opened or read for another reason, now or later, an error is logged and the router serves
  // without a store. `config` is not owned, must outlive this object, and may change. Throws BadConfig.
  DurableState(const config::Config& config, ReplicaUidLookup uid_of, persistence::ReplicaIdLookup id_of,
               StartedBeside started_beside = StartedBeside::nobody,
               StateStoreOpener open_state_store = node::open_state_store);

  // The predecessor reports its accounts, so that they need not be read from the store.
  void on_accounts_shared() { accounts_shared_ = true; }
  // The predecessor records nothing for this process, or not any more. Until the store is open, but for a
  // limited time, no budget grants anything.
  void on_predecessor_gone();
  // Whether the store of the configuration is open; none if the configuration has no store.
  std::optional<bool> store_is_open() const;

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
  bool wants_store() const;
  void open_store();
  void wait_for_store(Time interval);
  void retry_store();
  void give_up_store(const std::string& problem);
  void close_store();
  void on_store_opened();
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
  StateStoreOpener open_state_store_;
  AffinityLog affinity_log_;
  // Members are destroyed in reverse order, so that members that refer to the store are destroyed before the
  // store.
  std::unique_ptr<persistence::StateStore> state_store_;
  std::unique_ptr<affinity::AffinityTable> affinity_table_;
  std::unique_ptr<persistence::QuotaStateStore> quota_state_store_;   // for accounts in the state store
  std::unique_ptr<persistence::DeferredQuotaJournal> quota_journal_;  // passes on to quota_state_store_
  std::unique_ptr<LocalQuotaProxy> quota_proxy_;  // for accounts that the group replicates
  std::unique_ptr<budgets::QuotaService> quota_service_;
  std::unique_ptr<budgets::FairShare> fair_share_;
  net::Timer flush_timer_;
  net::Timer store_timer_;  // until the next attempt to open the store
  Time store_retry_interval_ = milliseconds(50);
  Time store_wait_ends_ = 0;  // on the loop's clock: until then no budget grants anything without the store
  bool accounts_shared_ = false;
  bool store_writes_fail_ = false;
};

}  // namespace thornwick::node
