#include "budgets/account_directory.hpp"

#include <algorithm>
#include <utility>

namespace thornwick::budgets {
namespace {

constexpr std::size_t kMaxCombinationsOpenedAhead = 4096;  // of members, models and classes
constexpr std::size_t kMaxCachedSubjectsPerAccount = 4;    // for each account that max_accounts allows
constexpr const char* kSharedAccountKeySuffix =
    "|others";  // of the account that subjects beyond max_accounts share
constexpr const char* kRemovedBudgetKeyPrefix = "gone|";  // of accounts whose budget was removed

void apply_to(Limit& limit, const UsageChange& change, Time wall_time) {
  if (change.units >= 0) return limit.take(change.units, wall_time);
  limit.refund(-change.units, wall_time, change.taken_at);
}

std::uint64_t cache_key(const QuotaSubject& subject) {
  return std::uint64_t{subject.member} << 32 | std::uint64_t{subject.model} << 16 | subject.priority_class;
}

}  // namespace

std::shared_ptr<const AccountSet> AccountDirectory::accounts_of(const QuotaSubject& subject, Time wall_time) {
  // Bounds the memory of the cache. The accounts themselves stay.
  if (by_subject_.size() > kMaxCachedSubjectsPerAccount * options_.max_accounts) by_subject_.clear();
  auto& cached = by_subject_[cache_key(subject)];
  if (cached) return cached;
  auto accounts = std::make_shared<AccountSet>();
  for (const Budget& budget : options_.budgets) {
    if (applies(budget, subject)) accounts->push_back(&account_of(budget, subject, wall_time));
  }
  cached = std::move(accounts);
  return cached;
}

Account& AccountDirectory::account_of(const Budget& budget, const QuotaSubject& subject, Time wall_time) {
  std::string key = account_key(options_, budget, subject);
  // Bounds the memory: once max_accounts are open, the remaining subjects of a budget share one account.
  if (!by_key_.contains(key) && accounts_.size() >= options_.max_accounts) {
    ++overflows_;
    key = budget.name + kSharedAccountKeySuffix;
  }
  const auto found = by_key_.find(key);
  return found != by_key_.end() ? *found->second : open(key, budget, wall_time);
}

Account& AccountDirectory::open(const std::string& key, const Budget& budget, Time wall_time) {
  const LimitRule rule = router_share(options_, budget.rule);
  const auto restored = restored_.find(key);
  const bool is_new = restored == restored_.end();
  const Limit limit = is_new ? Limit(rule, wall_time) : Limit(rule, restored->second, wall_time);
  if (!is_new) restored_.erase(restored);
  Account& account = accounts_.emplace_back(Account{key, budget.hard, limit, DurabilityMark(limit)});
  by_key_[key] = &account;
  backend_.on_opened(account);
  return account;
}

void AccountDirectory::open_all(Time wall_time) {
  const std::size_t members = std::max<std::size_t>(1, options_.members.size());
  const std::size_t models = options_.models.size();
  const std::size_t classes = std::max<std::size_t>(1, options_.classes.size());
  if (members * (models + 1) * classes > kMaxCombinationsOpenedAhead) return;
  const std::size_t first_model = models == 0 ? 0 : 1;
  for (std::size_t member = 0; member < members; ++member) {
    for (std::size_t model = first_model; model <= models; ++model) {
      for (std::size_t priority_class = 0; priority_class < classes; ++priority_class) {
        const QuotaSubject subject{static_cast<std::uint16_t>(member), static_cast<std::uint16_t>(model),
                                   static_cast<std::uint16_t>(priority_class)};
        accounts_of(subject, wall_time);
      }
    }
  }
}

const Budget* AccountDirectory::budget_of(std::string_view key) const {
  const std::string_view name = key.substr(0, key.find('|'));
  const auto found = std::find_if(options_.budgets.begin(), options_.budgets.end(),
                                  [&](const Budget& budget) { return budget.name == name; });
  return found == options_.budgets.end() ? nullptr : &*found;
}

void AccountDirectory::on_options_changed(Time wall_time) {
  by_subject_.clear();
  by_key_.clear();
  for (Account& account : accounts_) {
    const Budget* budget = budget_of(account.key);
    if (budget == nullptr || budget->rule.kind != account.limit.rule().kind) {
      account.key = kRemovedBudgetKeyPrefix + account.key;
      continue;
    }
    account.hard = budget->hard;
    account.limit = Limit(router_share(options_, budget->rule), account.limit.state(wall_time), wall_time);
    backend_.on_rule_changed(account, wall_time);
    by_key_[account.key] = &account;
  }
}

void AccountDirectory::restore(const std::string& key, const LimitState& state) {
  if (restored_.size() < options_.max_accounts || restored_.contains(key)) restored_[key] = state;
}

void AccountDirectory::merge(const std::string& key, const LimitState& state, Time wall_time) {
  const auto found = by_key_.find(key);
  if (found == by_key_.end()) return restore(key, state);
  Limit& limit = found->second->limit;
  const Units used_here = limit.rule().amount - limit.remaining(wall_time);
  limit = Limit(limit.rule(), state, wall_time);
  limit.take(used_here, wall_time);
}

void AccountDirectory::apply(const UsageChange& change, Time wall_time) {
  if (const auto found = by_key_.find(change.key); found != by_key_.end()) {
    apply_to(found->second->limit, change, wall_time);
    backend_.on_usage_changed(*found->second, wall_time);
    return;
  }
  const Budget* budget = budget_of(change.key);
  if (budget == nullptr) return;
  const LimitRule rule = router_share(options_, budget->rule);
  const auto restored = restored_.find(change.key);
  Limit limit =
      restored == restored_.end() ? Limit(rule, wall_time) : Limit(rule, restored->second, wall_time);
  apply_to(limit, change, wall_time);
  restore(change.key, limit.state(wall_time));
}

std::vector<AccountState> AccountDirectory::states(Time wall_time) {
  std::vector<AccountState> states;
  for (const auto& [key, account] : by_key_) states.push_back({key, account->limit.state(wall_time)});
  for (const auto& [key, state] : restored_) states.push_back({key, state});
  return states;
}

}  // namespace thornwick::budgets
