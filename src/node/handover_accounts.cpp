// The part of HandoverCoordinator by which two processes of a router count the accounts of its budgets
// together: each reports every change of usage to the other one, from the offer to the end of either.
// Reservations of a process that was killed stay used.
#include "net/clock.hpp"
#include "node/handover_coordinator.hpp"

namespace thornwick::node {
namespace {

net::AccountMessage to_message(const budgets::AccountState& account) {
  return {.kind = net::AccountMessage::Kind::state,
          .key = account.key,
          .units = account.state.remaining,
          .limit = account.state.amount,
          .time = account.state.updated_at};
}

net::AccountMessage to_message(const budgets::UsageChange& change) {
  return {.kind = net::AccountMessage::Kind::used,
          .key = change.key,
          .units = change.units,
          .time = change.taken_at};
}

budgets::UsageChange to_change(const net::AccountMessage& message) {
  return {.key = message.key, .units = message.units, .taken_at = message.time};
}

}  // namespace

void HandoverCoordinator::set_up_account_messages(net::HandoverClient::Callbacks& callbacks) {
  callbacks.accounts_shared = [this] { on_accounts_shared(); };
  callbacks.account_message = [this](const net::AccountMessage& message) { on_predecessor_account(message); };
}

void HandoverCoordinator::set_up_account_messages(net::HandoverServer::Callbacks& callbacks) {
  callbacks.offer_sent = [this] { report_accounts_to_successor(); };
  callbacks.account_message = [this](const net::AccountMessage& message) { on_successor_account(message); };
}

// Returns null if there are none, or a quota store counts them for all processes.
budgets::Accounts* HandoverCoordinator::shared_accounts() const {
  const DurableState& state = dependencies_.durable_state;
  if (state.quota_service() == nullptr || state.quota_proxy() != nullptr) return nullptr;
  return &state.quota_service()->accounts;
}

void HandoverCoordinator::report_accounts_to_successor() {
  server_->send_shares_accounts();
  budgets::Accounts* accounts = shared_accounts();
  if (accounts == nullptr) return;
  for (const budgets::AccountState& account : accounts->states(net::now_us()))
    server_->send(to_message(account));
  successor_counts_accounts_ = true;
  accounts->observe([this](const budgets::UsageChange& change) { report_usage(change); });
}

// What this process has used before the predecessor could report anything is reported to it at once.
void HandoverCoordinator::on_accounts_shared() {
  predecessor_counts_accounts_ = true;
  dependencies_.durable_state.on_accounts_shared();
  budgets::Accounts* accounts = shared_accounts();
  if (accounts == nullptr) return;
  const Time now = net::now_us();
  for (const auto& [key, state] : accounts->states(now)) {
    const budgets::Units used = state.amount - state.remaining;
    if (used > 0) client_->send(to_message(budgets::UsageChange{key, used, now}));
  }
  accounts->observe([this](const budgets::UsageChange& change) { report_usage(change); });
}

void HandoverCoordinator::report_usage(const budgets::UsageChange& change) {
  if (successor_counts_accounts_) server_->send(to_message(change));
  if (predecessor_counts_accounts_ && client_) client_->send(to_message(change));
}

// A successor of this process, which may be there already, gets what the predecessor reports.
void HandoverCoordinator::on_predecessor_account(const net::AccountMessage& message) {
  budgets::Accounts* accounts = shared_accounts();
  if (accounts == nullptr) return;
  if (message.kind == net::AccountMessage::Kind::state)
    return accounts->merge({message.key, {message.limit, message.units, message.time}}, net::now_us());
  accounts->apply(to_change(message), net::now_us());
  if (successor_counts_accounts_) server_->send(message);
}

void HandoverCoordinator::on_successor_account(const net::AccountMessage& message) {
  budgets::Accounts* accounts = shared_accounts();
  if (accounts == nullptr || message.kind != net::AccountMessage::Kind::used) return;
  accounts->apply(to_change(message), net::now_us());
  if (predecessor_counts_accounts_ && client_) client_->send(message);
}

}  // namespace thornwick::node
