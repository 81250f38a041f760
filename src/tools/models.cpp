#include "tools/models.hpp"

#include <iostream>
#include <memory>
#include <nlohmann/json.hpp>
#include <string>
#include <string_view>

#include "config/operator_file.hpp"

namespace thornwick::tools {
namespace {

using Json = nlohmann::ordered_json;

struct ReasonName {
  models::FallbackReason reason;
  std::string_view name;
};

// Returns the names of the fallback reasons whose bits are set in `reasons`.
Json reasons_json(std::uint8_t reasons) {
  static constexpr ReasonName names[] = {{models::FallbackReason::no_ready_replica, "missing"},
                                         {models::FallbackReason::overloaded, "overloaded"},
                                         {models::FallbackReason::over_budget, "over-budget"},
                                         {models::FallbackReason::too_long, "too-long"}};
  Json json = Json::array();
  for (const auto& [reason, name] : names) {
    if ((reasons & static_cast<std::uint8_t>(reason)) != 0) json.push_back(name);
  }
  return json;
}

Json fallbacks_json(const models::Model& model) {
  Json json = Json::array();
  for (const auto& fallback : model.fallbacks) {
    json.push_back({{"to", fallback.target},
                    {"when", reasons_json(fallback.reasons)},
                    {"time_left_ms", fallback.min_remaining_time / milliseconds(1)}});
  }
  return json;
}

Json model_json(const models::Model& model) {
  const auto& price = model.price;
  const auto& serving = model.replica_selector;
  return {{"model", model.name},
          {"base", model.base_model},
          {"context", model.context_tokens},
          {"most_answer", model.max_answer_tokens},
          {"price", {{"prompt", price.prompt}, {"kept", price.cached}, {"made", price.generated}}},
          {"boxes", {{"models", serving.models}, {"groups", serving.pod_groups}, {"uids", serving.uids}}},
          {"fallbacks", fallbacks_json(model)}};
}

Json budget_json(const config::BudgetEntry& budget) {
  return {{"budget", budget.name}, {"member", budget.tenant},
          {"model", budget.model}, {"class", budget.priority_class},
          {"per", budget.period},  {"tokens", budget.tokens},
          {"hard", budget.hard}};
}

void print_line(const Json& json) { std::cout << json.dump() << '\n'; }

int check_models(const std::string& path) {
  const config::OperatorFile file = config::read_operator_file(path);
  for (const auto& model : file.catalogue.models) print_line(model_json(model));
  for (const auto& alias : file.catalogue.aliases) print_line({{"alias", alias.name}, {"to", alias.target}});
  for (const auto& budget : file.budgets.budgets) print_line(budget_json(budget));
  return 0;
}

}  // namespace

CLI::App* add_models(CLI::App& app, int& status) {
  auto* models =
      app.add_subcommand("models", "look at the catalogue of an operator's file")->require_subcommand(1);
  auto path = std::make_shared<std::string>();
  auto* check =
      models->add_subcommand("check", "check all of the file, and print its models, aliases and budgets");
  check->add_option("FILE", *path, "an operator's file")->required();
  check->callback([path, &status] { status = check_models(*path); });
  return models;
}

}  // namespace thornwick::tools
