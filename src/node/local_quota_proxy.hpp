// The quota store of this router's accounts if budgets are replicated in the group.
#pragma once

#include <functional>
#include <string>
#include <utility>
#include <vector>

#include "budgets/quota_store.hpp"

namespace thornwick::node {

// Forwards each call to the quota lease client, which exists only while this process takes part in the group
// for the router (handovers change that). While there is no client, nothing is granted and nothing is
// charged, and the accounts stay open.
class LocalQuotaProxy final : public budgets::QuotaStore {
 public:
  // Sets the client and opens all accounts at it. It is not owned; null means that there is none from now on.
  // `on_use` is called after each call that may make the client send a request to the ledger replicas.
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

  void change(AccountIndex place, const budgets::LimitRule& rule) override {
    accounts_.at(place).rule = rule;
    if (quota_client_ == nullptr) return;
    quota_client_->change(place, rule);
    on_use_();
  }

  bool reserve(AccountIndex place, budgets::Units units, Time wall) override {
    if (quota_client_ == nullptr) return false;
    const bool granted = quota_client_->reserve(place, units, wall);
    on_use_();
    return granted;
  }

  void settle(AccountIndex place, budgets::Units reserved, budgets::Units used, Time at, Time wall) override {
    if (quota_client_ == nullptr) return;
    quota_client_->settle(place, reserved, used, at, wall);
    on_use_();
  }

  QuotaStatus quota_status(AccountIndex place, budgets::Units wanted, Time wall) override {
    if (quota_client_ != nullptr) return quota_client_->quota_status(place, wanted, wall);
    return {.remaining = accounts_.at(place).rule.amount,
            .reset_after = 0,
            .retry_after = kRetryAfter,
            .awaiting_lease = true};
  }

 private:
  static constexpr Time kRetryAfter = seconds(1);  // advised while there is no client

  struct Account {
    std::string key;
    budgets::LimitRule rule;
  };

  budgets::QuotaStore* quota_client_ = nullptr;
  std::function<void()> on_use_ = [] {};
  std::vector<Account> accounts_;  // by place
};

}  // namespace thornwick::node
