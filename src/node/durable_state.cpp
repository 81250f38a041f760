#include "node/durable_state.hpp"

#include <algorithm>
#include <chrono>
#include <utility>

#include "logging/log.hpp"
#include "node/charge_log.hpp"
#include "node/config_validation.hpp"

namespace thornwick::node {
namespace {

// Changes that are not durable yet may take the memory limit divided by this. The store holds them in at most
// three batches (kStoreBatches).
constexpr std::size_t kStoreMemoryDivisor = 16;
constexpr std::size_t kStoreBatches = 3;
constexpr Time kMinFlushInterval = milliseconds(1);
// Without the store no budget grants anything for this long, so that no other process grants the same. A
// process that is replaced has normally exited by then.
constexpr Time kMaxStoreWait = seconds(10);
constexpr Time kSlowStoreRetryInterval = seconds(1);  // afterwards
constexpr double kMinFairShareWeight = 1e-6;

}  // namespace

std::unique_ptr<persistence::StateStore> open_state_store(
    const store::FileOptions& file, const store::WriterOptions& writer,
    const persistence::StateStore::ReplicaUidLookup& uid_of) {
  return std::make_unique<persistence::StateStore>(file, writer, uid_of);
}

DurableState::DurableState(const config::Config& config, ReplicaUidLookup uid_of,
                           persistence::ReplicaIdLookup id_of, StartedBeside started_beside,
                           StateStoreOpener open_state_store)
    : config_(config),
      uid_of_(std::move(uid_of)),
      id_of_(std::move(id_of)),
      open_state_store_(std::move(open_state_store)),
      affinity_log_(uid_of_) {
  if (config.operator_file.affinity.enabled)
    affinity_table_ = std::make_unique<affinity::AffinityTable>(affinity_options(config), &affinity_log_);
  const bool alone = started_beside == StartedBeside::nobody;
  quota_journal_ = std::make_unique<persistence::DeferredQuotaJournal>(alone ? budgets::JournalState::waiting
                                                                             : budgets::JournalState::absent);
  store_wait_ends_ = net::now_us() + kMaxStoreWait;
  open_store();
  open_quota_service();
  open_fair_share();
}

bool DurableState::wants_store() const {
  const bool budgets = !config_.operator_file.budgets.budgets.empty();
  return !config_.operator_file.store.file.empty() && (affinity_table_ || budgets);
}

void DurableState::open_store() {
  if (!wants_store()) return;
  try {
    state_store_ = make_state_store();
    if (affinity_table_) load_affinity_table();
    schedule_store_flush();
  } catch (const store::StoreError& error) {
    if (error.kind != store::ErrorKind::held) return give_up_store(error.what());
    logging::warning("store") << "waiting for the store: " << error.what();
    wait_for_store(store_retry_interval_);
  }
}

void DurableState::wait_for_store(Time interval) {
  store_timer_.start(interval, [this] { retry_store(); });
}

void DurableState::retry_store() {
  try {
    state_store_ = make_state_store();
    on_store_opened();
  } catch (const store::StoreError& error) {
    if (error.kind != store::ErrorKind::held) return give_up_store(error.what());
    const bool grants = quota_journal_->state() == budgets::JournalState::absent;
    if (grants || net::now_us() < store_wait_ends_) return wait_for_store(store_retry_interval_);
    give_up_store(error.what());
    store_retry_interval_ = kSlowStoreRetryInterval;
    return wait_for_store(store_retry_interval_);
  }
}

void DurableState::give_up_store(const std::string& problem) {
  close_store();
  quota_journal_->set_until_open(budgets::JournalState::absent);
  logging::error("store") << "state is not persisted: " << problem;
}

// Closes a store that may be open in part: everything that refers to the store is detached first.
void DurableState::close_store() {
  flush_timer_.stop();
  if (affinity_table_) affinity_table_->set_journal(nullptr);
  quota_journal_->close();
  quota_state_store_.reset();
  state_store_.reset();
}

// The router has served without the store, so what it has learned and counted is newer than the file, but for
// the accounts of a predecessor that did not report them. Throws store::StoreError.
void DurableState::on_store_opened() {
  logging::info("store") << "opened " << config_.operator_file.store.file << " after another process";
  if (affinity_table_) state_store_->record(*affinity_table_);
  if (quota_service_ && !quota_proxy_ && !config_.operator_file.budgets.budgets.empty()) {
    quota_state_store_ =
        std::make_unique<persistence::QuotaStateStore>(state_store_->file(), state_store_->writer());
    load_accounts();
    quota_journal_->open(*quota_state_store_);
    quota_service_->accounts.on_journal_opened(net::now_us());
  }
  schedule_store_flush();
}

void DurableState::on_predecessor_gone() {
  if (!store_timer_.running()) return;
  quota_journal_->set_until_open(budgets::JournalState::waiting);
  store_wait_ends_ = net::now_us() + kMaxStoreWait;
  wait_for_store(0);
}

std::optional<bool> DurableState::store_is_open() const {
  if (!wants_store()) return std::nullopt;
  return state_store_ != nullptr;
}

std::unique_ptr<persistence::StateStore> DurableState::make_state_store() {
  const config::StoreFile& file = config_.operator_file.store;
  store::WriterOptions options;
  options.max_undurable_changes = file.max_undurable_changes;
  options.max_gathered_records =
      std::max<std::size_t>(options.max_gathered_records, 2 * file.max_undurable_changes);
  options.max_gathered_bytes = config_.limits.memory_mb * 1024 * 1024 / kStoreMemoryDivisor / kStoreBatches;
  auto state_store =
      open_state_store_({.path = file.file, .holder = config_.name, .megabytes = file.max_megabytes}, options,
                        [this](ReplicaId replica) { return uid_of_(replica); });
  if (!state_store->file().set_aside().empty()) {
    logging::error("store") << file.file << " is damaged: moved to " << state_store->file().set_aside()
                            << ", starting with an empty file";
  }
  return state_store;
}

void DurableState::load_affinity_table() {
  const auto loaded = state_store_->load(*affinity_table_, net::now_us(), id_of_);
  logging::info("store") << "loaded from " << config_.operator_file.store.file << ": " << loaded.sessions
                         << " sessions, " << loaded.prefixes << " prefixes, " << loaded.replicas
                         << " replicas; " << loaded.unreadable << " unreadable, " << loaded.over_capacity
                         << " dropped for lack of room";
}

// Flushes twice within the time in which changes must become durable, because one flush gathers a change and
// the next flush finds it written.
void DurableState::schedule_store_flush() {
  const auto flush_interval = static_cast<Time>(config_.operator_file.store.max_sync_delay_s * 1e6 / 2);
  flush_timer_.start(std::max(flush_interval, kMinFlushInterval), [this] { flush_store(); });
}

void DurableState::flush_store() {
  state_store_->writer().hand_over();
  const auto metrics = state_store_->writer().metrics();
  if (metrics.failing && !store_writes_fail_) {
    logging::error("store") << "writes fail, retrying: " << metrics.last_error;
  } else if (!metrics.failing && store_writes_fail_) {
    logging::info("store") << "writes succeed again";
  }
  store_writes_fail_ = metrics.failing;
  schedule_store_flush();
}

bool DurableState::save(Time timeout) {
  if (quota_state_store_) quota_service_->accounts.persist_all(net::now_us());
  return !state_store_ || state_store_->writer().drain(std::chrono::milliseconds(timeout / milliseconds(1)));
}

void DurableState::open_quota_service() {
  const config::BudgetsFile& file = config_.operator_file.budgets;
  if (file.budgets.empty() && !file.fair_admission) return;
  if (!file.budgets.empty()) open_quota_backend();
  const bool has_journal = quota_state_store_ != nullptr || store_timer_.running();
  quota_service_ = std::make_unique<budgets::QuotaService>(
      budget_options(config_), has_journal ? quota_journal_.get() : nullptr, quota_proxy_.get());
  if (quota_proxy_) quota_service_->accounts.open_all(net::now_us());
  update_prices();
  if (file.log_charges) {
    quota_service_->on_charge = [this](const budgets::Charge& charge) {
      log_charge(charge, config_, uid_of_(charge.replica));
    };
  }
  if (!quota_state_store_) return;
  try {
    load_accounts();
  } catch (const store::StoreError& error) {
    give_up_store(error.what());
  }
}

// Opens the proxy of replicated accounts, or the store of this router's accounts. Without either, accounts
// are lost when the process exits.
void DurableState::open_quota_backend() {
  if (config_.operator_file.replication.enabled) {
    quota_proxy_ = std::make_unique<LocalQuotaProxy>();
  } else if (state_store_) {
    quota_state_store_ =
        std::make_unique<persistence::QuotaStateStore>(state_store_->file(), state_store_->writer());
    quota_journal_->open(*quota_state_store_);
  }
}

// Throws store::StoreError.
void DurableState::load_accounts() {
  // What the predecessor has reported is newer than the file.
  const auto scope =
      accounts_shared_ ? persistence::LoadScope::unknown_accounts : persistence::LoadScope::all;
  const auto loaded = quota_state_store_->load(quota_service_->accounts, net::now_us(), scope);
  logging::info("budgets") << "loaded from " << config_.operator_file.store.file << ": " << loaded.accounts
                           << " accounts; " << loaded.unreadable << " unreadable";
}

void DurableState::open_fair_share() {
  if (!config_.operator_file.budgets.fair_admission) return;
  budgets::FairShareOptions options;
  for (const auto& tenant : config_.settings.tenants)
    options.weights.push_back(std::max(kMinFairShareWeight, tenant.share));
  fair_share_ = std::make_unique<budgets::FairShare>(options);
}

void DurableState::update_prices() {
  quota_service_->prices.clear();
  for (const auto& model : config_.operator_file.catalogue.models)
    quota_service_->prices.push_back(model.price);
}

void DurableState::budgets_changed(Time now) {
  quota_service_->accounts.replace_options(budget_options(config_), now);
  update_prices();
}

void DurableState::print_counters(std::ostream& out) const {
  if (!quota_service_) return;
  const auto& metrics = quota_service_->accounts.metrics();
  out << " budget_accounts=" << quota_service_->accounts.size() << " budget_granted=" << metrics.granted
      << " budget_denied=" << metrics.denied << " budget_behind=" << metrics.denied_awaiting_store
      << " budget_over_soft=" << metrics.over_soft_limit << " budget_charges=" << metrics.nonzero_charges
      << " budget_charged=" << metrics.charged_units / budgets::kUnitsPerToken
      << " budget_reserved=" << metrics.reserved_units / budgets::kUnitsPerToken
      << " budget_shared=" << metrics.on_shared_account;
}

void DurableState::log_replicas(const std::function<void(const std::string&)>& print_line) const {
  if (affinity_table_) print_replicas(*affinity_table_, uid_of_, print_line);
}

}  // namespace thornwick::node
