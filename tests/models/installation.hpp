// The settings, models, budgets and requests that tests of pools and admission control share, and a journal
// whose disk lags behind.
#pragma once

#include <deque>
#include <map>
#include <string>
#include <utility>
#include <vector>

#include "world.hpp"

namespace thornwick::testing {

using namespace models;

inline Settings settings() {
  Settings s;
  s.seed = 11;
  s.classes = {{.priority_weight = 5,
                .late_weight_fraction = 0.3,
                .latency_objective = 1'000'000,
                .deadline = 5'000'000},
               {.priority_weight = 1,
                .late_weight_fraction = 0.3,
                .latency_objective = 1'000'000,
                .deadline = 5'000'000}};
  s.tenants = {{.share = 0.37}, {.share = 0.36}, {.share = 0.27}};
  s.may_cancel = true, s.retry_after = true, s.max_retry_after = 2'000'000, s.max_attempts = 5;
  s.drain_grace = 500'000, s.initial_capacity = 0.3, s.warm_up = 6'000'000, s.overload_multiple = 3,
  s.overload_after = 2'000'000;
  return s;
}

inline Model model(const std::string& name, std::vector<std::string> replica_models) {
  Model m;
  m.name = name;
  m.replica_selector.models = std::move(replica_models);
  m.context_tokens = 32'000;
  m.price = {1000, 250, 3000};
  return m;
}

inline constexpr auto kAnyReason = static_cast<std::uint8_t>(FallbackReason::no_ready_replica) |
                                   static_cast<std::uint8_t>(FallbackReason::overloaded) |
                                   static_cast<std::uint8_t>(FallbackReason::over_budget) |
                                   static_cast<std::uint8_t>(FallbackReason::too_long);

inline Catalogue two_models() {
  Catalogue c;
  c.models = {model("large", {"L"}), model("small", {"S"})};
  c.models[0].fallbacks = {{"small", kAnyReason, 0, 1}};
  c.aliases = {{"latest", "large", 2}};
  return c;
}

inline budgets::Options budgets_of(std::vector<budgets::Budget> list) {
  budgets::Options options;
  options.budgets = std::move(list);
  options.members = {"koroi", "reef", "tanoa"};
  options.models = {"large", "small"};
  options.classes = {"chat", "docs"};
  return options;
}

inline budgets::Budget daily_budget(const std::string& name, budgets::Units tokens) {
  budgets::Budget b;
  b.name = name;
  b.rule = {budgets::LimitKind::day, tokens * budgets::kUnitsPerToken, 0};
  return b;
}

inline Request request(ModelId model_id, double prompt = 100, double max_tokens = 100) {
  Request r;
  r.model = model_id, r.prompt_tokens = prompt, r.max_tokens = max_tokens;
  return r;
}

// A journal whose disk lags some records behind.
class LaggingJournal final : public budgets::Journal {
 public:
  std::uint64_t append(const std::string& key, const budgets::LimitState& state) override {
    pending.emplace_back(key, state);
    return ++taken;
  }
  std::uint64_t last_durable_record() const override { return written; }
  void write() {
    for (; !pending.empty(); pending.pop_front(), ++written)
      disk[pending.front().first] = pending.front().second;
  }
  void lose() {
    pending.clear();
    taken = written;
  }
  std::deque<std::pair<std::string, budgets::LimitState>> pending;
  std::map<std::string, budgets::LimitState> disk;
  std::uint64_t taken = 0, written = 0;
};

}  // namespace thornwick::testing
