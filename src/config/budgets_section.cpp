// [budgets] and [[budget]]: how many tokens tenants may use.
#include <set>

#include "config/operator_sections.hpp"

namespace thornwick::config {
namespace {

using settings::Errors;
using settings::Section;

// Whether the catalogue has a model of that name, not just one that takes any name.
bool has_model(const models::Catalogue& catalogue, const std::string& name) {
  const auto number = catalogue.find(name);
  return number != 0 && !catalogue.at(number).accepts_any_name;
}

// `names` has those of the budgets before this one, and gets this one's.
void check_budget(const BudgetEntry& budget, const models::Catalogue& catalogue, std::set<std::string>& names,
                  Section& section) {
  if (budget.name.empty() || budget.name.find('|') != std::string::npos) {
    section.reject("name", "'" + budget.name + "' is not a name: it must not be empty or contain '|'");
  }
  const bool is_new = names.insert(budget.name).second;
  if (!is_new) section.reject("name", "'" + budget.name + "' is already the name of another budget");
  if (!section.has("tokens")) section.reject("tokens", "there is none");
  if (budget.burst > 0 && budget.period != "second") {
    section.reject("burst", "only a budget with per = \"second\" has a burst");
  }
  const bool names_model = budget.model != "each" && budget.model != "all";
  if (names_model && !has_model(catalogue, budget.model)) {
    section.reject("model", "no model is called '" + budget.model + "'");
  }
}

void read_limits(const toml::table* table, BudgetsFile& into, Errors& errors) {
  Section section(table, "budgets", errors);
  section.flag("fair", into.fair_admission);
  section.flag("charges", into.log_charges);
  section.number("block", into.block_fraction, 0.0001, 1);
  section.number("soft_worth", into.soft_limit_weight, 0, 1);
  section.count("accounts", into.max_accounts, 1, 10'000'000);
}

}  // namespace

void read_budgets(settings::Root& file, BudgetsFile& into, const models::Catalogue& catalogue,
                  Errors& errors) {
  read_limits(file.table("budgets"), into, errors);
  std::set<std::string> names;
  for (const auto* table : file.tables("budget")) {
    Section section(table, "budget", errors);
    BudgetEntry& budget = into.budgets.emplace_back();
    budget.line = section.line();
    section.text("name", budget.name);
    section.text("member", budget.tenant);
    section.text("model", budget.model);
    section.text("class", budget.priority_class);
    section.one_of("per", budget.period, {"second", "minute", "hour", "day"});
    section.number("tokens", budget.tokens, 0, 1e15);
    section.number("burst", budget.burst, 0, 1e15);
    section.flag("hard", budget.hard);
    check_budget(budget, catalogue, names, section);
  }
}

}  // namespace thornwick::config
