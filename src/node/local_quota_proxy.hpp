// Provides the quota store of this router's accounts if budgets are replicated in the group.
#pragma once

#include <functional>
#include <string>
#include <utility>
#include <vector>

#include "budgets/quota_store.hpp"

namespace thornwick::node {

// Forwards each call to the quota lease client, which exists only while this process represents the router in
// its group: a handover creates or destroys the client. While there is no client, nothing is granted or
// charged, and the accounts stay open.
class LocalQuotaProxy final : public budgets::QuotaStore {
 public:
  // Sets the client and opens all accounts at the client. `quota_client` is not owned; null detaches the
  // client. `on_use` is called after each call that may make the client send a request to the ledger
  // replicas.
  void attach(
      budgets::QuotaStore* quota_client, std::function<void()> on_use = [] {}) {
    quota_client_ = quota_client;
    on_use_ = std::move(on_use);
    if (quota_client_ == nullptr) return;
    for (const Account& account : accounts_) quota_client_->open(account.key, account.rule);
  }

  AccountIndex open(const std::string& key, const budgets::LimitRule& rule) override {
    accounts_.push_back({key, rule});
    if (quota_client_ != nullptr) {
      quota_client_->open(key, rule);
      on_use_();
    }
    return static_cast<AccountIndex>(accounts_.size() - 1);
  }

  void change(AccountIndex account, const budgets::LimitRule& rule) override {
    accounts_.at(account).rule = rule;
    if (quota_client_ == nullptr) return;
    quota_client_->change(account, rule);
    on_use_();
  }

  bool reserve(AccountIndex account, budgets::Units units, Time wall_time) override {
    if (quota_client_ == nullptr) return false;
    const bool granted = quota_client_->reserve(account, units, wall_time);
    on_use_();
    return granted;
  }

  void settle(AccountIndex account, budgets::Units reserved, budgets::Units used, Time reserved_at,
              Time wall_time) override {
    if (quota_client_ == nullptr) return;
    quota_client_->settle(account, reserved, used, reserved_at, wall_time);
    on_use_();
  }

  QuotaStatus quota_status(AccountIndex account, budgets::Units requested, Time wall_time) override {
    if (quota_client_ != nullptr) return quota_client_->quota_status(account, requested, wall_time);
    return {.remaining = accounts_.at(account).rule.amount,
            .reset_after = 0,
            .retry_after = kRetryAfter,
            .awaiting_lease = true};
  }

 private:
  static constexpr Time kRetryAfter = seconds(1);  // retry_after while there is no client

  struct Account {
    std::string key;
    budgets::LimitRule rule;
  };

  budgets::QuotaStore* quota_client_ = nullptr;
  std::function<void()> on_use_ = [] {};
  std::vector<Account> accounts_;  // by AccountIndex
};

}  // namespace thornwick::node
