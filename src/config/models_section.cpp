// [models], [[model]] and [[alias]]: the catalogue of models.
#include <cmath>
#include <map>

#include "config/operator_sections.hpp"

namespace thornwick::config {
namespace {

using settings::Errors;
using settings::Section;

// The price of a cached token is that of a prompt token unless the file has one.
void read_price(const toml::table* table, budgets::Price& price, Errors& errors) {
  constexpr double kMaxPrice = 1e6;
  constexpr double kNoPrice = -1;
  Section section(table, "model.price", errors);
  double prompt = 1;
  double generated = 1;
  double cached = kNoPrice;
  section.number("prompt", prompt, 0, kMaxPrice);
  section.number("made", generated, 0, kMaxPrice);
  section.number("kept", cached, 0, kMaxPrice);
  if (cached < 0) cached = prompt;
  const auto thousandths = [](double value) {
    return static_cast<budgets::Units>(std::llround(value * 1000));
  };
  price = {thousandths(prompt), thousandths(cached), thousandths(generated)};
}

void read_fallback(const toml::table* table, models::Fallback& fallback, Errors& errors) {
  static const std::map<std::string, models::FallbackReason> reasons = {
      {"missing", models::FallbackReason::no_ready_replica},
      {"overloaded", models::FallbackReason::overloaded},
      {"over-budget", models::FallbackReason::over_budget},
      {"too-long", models::FallbackReason::too_long}};
  Section section(table, "model.fallback", errors);
  std::vector<std::string> when = {"missing", "overloaded"};
  double time_left_ms = 0;
  section.text("to", fallback.target);
  section.list("when", when);
  section.number("time_left_ms", time_left_ms, 0, 3.6e6);
  fallback.min_remaining_time = static_cast<Time>(1000 * time_left_ms);
  fallback.line = section.line();
  for (const auto& name : when) {
    const auto found = reasons.find(name);
    if (found == reasons.end()) {
      section.reject("when", "'" + name + "' is none of: missing, overloaded, over-budget, too-long");
    } else {
      fallback.reasons |= static_cast<std::uint8_t>(found->second);
    }
  }
}

void read_serving_replicas(const toml::table* table, models::Model& model, Errors& errors) {
  Section section(table, "model.boxes", errors);
  section.list("models", model.replica_selector.models);
  section.list("uids", model.replica_selector.uids);
  section.numbers("groups", model.replica_selector.pod_groups);
}

void read_model(const toml::table* table, models::Model& model, Errors& errors) {
  Section section(table, "model", errors);
  model.line = section.line();
  section.text("name", model.name);
  section.text("base", model.base_model);
  section.flag("any_name", model.accepts_any_name);
  section.number("context", model.context_tokens, 0, 1e9);
  section.number("most_answer", model.max_answer_tokens, 0, 1e9);
  double loading_s = 0;
  section.number("loading_s", loading_s, 0, 3600);
  model.load_time = static_cast<Time>(1e6 * loading_s);
  section.count("least_boxes", model.min_replicas, 1, 100'000);
  section.count("most_boxes", model.max_replicas, 1, 1'000'000);
  read_serving_replicas(section.table("boxes"), model, errors);
  read_price(section.table("price"), model.price, errors);
  for (const auto* fallback : section.tables("fallback")) {
    read_fallback(fallback, model.fallbacks.emplace_back(), errors);
  }
}

void read_limits(const toml::table* table, models::Catalogue& catalogue, Errors& errors) {
  Section section(table, "models", errors);
  section.count("adapters_on_box", catalogue.limits.max_adapters_per_replica, 1, 10'000);
  section.number("fallback_part", catalogue.limits.fallback_fraction, 0, 1);
  section.number("fallback_burst", catalogue.limits.fallback_burst, 0, 1e6);
  section.number("first_part", catalogue.limits.initial_fallback_fraction, 0.001, 1);
  section.number("growth_per_s", catalogue.limits.fallback_growth_per_s, 0, 100);
}

void read_alias(const toml::table* table, models::Catalogue& catalogue, Errors& errors) {
  Section section(table, "alias", errors);
  auto& alias = catalogue.aliases.emplace_back();
  section.text("name", alias.name);
  section.text("to", alias.target);
  alias.line = section.line();
}

}  // namespace

void read_catalogue(settings::Root& file, models::Catalogue& into, Errors& errors) {
  read_limits(file.table("models"), into, errors);
  for (const auto* table : file.tables("model")) read_model(table, into.models.emplace_back(), errors);
  for (const auto* table : file.tables("alias")) read_alias(table, into, errors);
  add_faults(models::validate(into), errors);
}

}  // namespace thornwick::config
