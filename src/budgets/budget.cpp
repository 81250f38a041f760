#include "budgets/budget.hpp"

#include <set>
#include <stdexcept>

namespace thornwick::budgets {
namespace {

constexpr const char* kSharedName = "*";
constexpr const char* kNoModelName = "-";

bool matches(std::uint16_t selector, std::uint16_t number) {
  return selector == kSeparateAccounts || selector == kSharedAccount || selector == number;
}

std::string name_at(const std::vector<std::string>& names, std::size_t index) {
  return index < names.size() ? names[index] : std::to_string(index);
}

std::string key_component(std::uint16_t selector, std::uint16_t number,
                          const std::vector<std::string>& names) {
  return selector == kSharedAccount ? kSharedName : name_at(names, number);
}

std::string model_key_component(std::uint16_t selector, std::uint16_t number,
                                const std::vector<std::string>& names) {
  if (selector == kSharedAccount) return kSharedName;
  return number == 0 ? kNoModelName : name_at(names, number - 1u);
}

[[noreturn]] void reject(const std::string& problem) { throw std::invalid_argument("budgets: " + problem); }

}  // namespace

void validate(const Options& options) {
  if (options.router_index < 1 || options.router_index > options.router_count) {
    reject("router_index " + std::to_string(options.router_index) + " is outside 1.." +
           std::to_string(options.router_count));
  }
  if (options.max_accounts == 0) reject("max_accounts is 0; it must be at least 1");
  if (!(options.block_fraction > 0 && options.block_fraction <= 1)) {
    reject("block_fraction " + std::to_string(options.block_fraction) + " is not above 0 and at most 1");
  }
  std::set<std::string> names;
  for (const auto& budget : options.budgets) {
    if (!names.insert(budget.name).second) reject("two budgets have the name " + budget.name);
    if (budget.rule.amount < 0 || budget.rule.amount > kMaxUnits || budget.rule.per_s < 0) {
      reject(budget.name + ": amount " + std::to_string(budget.rule.amount) + " is outside 0.." +
             std::to_string(kMaxUnits) + ", or per_s " + std::to_string(budget.rule.per_s) + " is below 0");
    }
  }
}

bool applies(const Budget& budget, const QuotaSubject& subject) {
  return matches(budget.member, subject.member) && matches(budget.model, subject.model) &&
         matches(budget.priority_class, subject.priority_class);
}

std::string account_key(const Options& options, const Budget& budget, const QuotaSubject& subject) {
  return budget.name + "|" + key_component(budget.member, subject.member, options.members) + "|" +
         model_key_component(budget.model, subject.model, options.models) + "|" +
         key_component(budget.priority_class, subject.priority_class, options.classes);
}

LimitRule router_share(const Options& options, const LimitRule& rule) {
  const auto share_of = [&options](Units total) {
    const Units routers = options.router_count;
    const bool gets_remainder = static_cast<Units>(options.router_index) <= total % routers;
    return total / routers + (gets_remainder ? 1 : 0);
  };
  return {rule.kind, share_of(rule.amount), share_of(rule.per_s)};
}

}  // namespace thornwick::budgets
