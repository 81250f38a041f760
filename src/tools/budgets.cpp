#include "tools/budgets.hpp"

#include <fmt/format.h>

#include <algorithm>
#include <chrono>
#include <cmath>
#include <filesystem>
#include <iostream>
#include <memory>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <string_view>

#include "persistence/quota_records.hpp"
#include "persistence/tables.hpp"
#include "tools/running_router.hpp"
#include "tools/store_file.hpp"

namespace thornwick::tools {
namespace {

using Json = nlohmann::ordered_json;

constexpr const char* kHolder = "thornwick budgets";
constexpr double kMaxTokens = 1e15;

Time wall_now() {
  const auto since_epoch = std::chrono::system_clock::now().time_since_epoch();
  return std::chrono::duration_cast<std::chrono::microseconds>(since_epoch).count();
}

Json account_json(std::string_view key, const budgets::LimitState& state) {
  return {{"account", key},
          {"limit", budgets::in_tokens(state.amount)},
          {"left", budgets::in_tokens(state.remaining)},
          {"at_ms", state.updated_at / milliseconds(1)}};
}

void print_account(std::string_view key, std::string_view bytes) {
  const auto state = persistence::decode_limit(bytes);
  const Json json = state ? account_json(key, *state) : Json{{"account", key}, {"unreadable", true}};
  std::cout << json.dump() << '\n';
}

int show_budgets(const std::string& path) {
  return with_store_errors([&] {
    const store::File file(read_only(path, kHolder), persistence::state_tables());
    file.each(persistence::kQuotaTable, print_account);
    return 0;
  });
}

// `set` replaces the remaining tokens of the account, `grant` adds to them.
enum class ChangeKind { set, grant };

struct Change {
  ChangeKind kind = ChangeKind::set;
  std::string path;  // path of a store's file, or of the Unix socket of a running router
  std::string account;
  double tokens = 0;
  std::uint64_t id = 0;  // id of an earlier attempt at a running router; 0 for a new command
};

std::optional<budgets::LimitState> find_account(const store::File& file, const std::string& account) {
  std::optional<budgets::LimitState> found;
  file.each(persistence::kQuotaTable, [&](std::string_view key, std::string_view bytes) {
    if (key == account) found = persistence::decode_limit(bytes);
  });
  return found;
}

// Changes the account in a store's file. Throws CommandError while a router has the file open.
int change_in_file(const Change& change) {
  return with_store_errors([&] {
    store::File file(read_write(change.path, kHolder), persistence::state_tables());
    auto state = find_account(file, change.account);
    if (!state)
      throw CommandError(ExitStatus::failure, change.path + " has no account '" + change.account + "'");
    const auto units = static_cast<budgets::Units>(std::llround(change.tokens * budgets::kUnitsPerToken));
    const bool grant = change.kind == ChangeKind::grant;
    state->remaining =
        std::min(state->amount, grant ? budgets::saturating_sum(state->remaining, units) : units);
    state->updated_at = wall_now();
    file.apply({{persistence::kQuotaTable, change.account, persistence::encode(*state)}});
    std::cout << account_json(change.account, *state).dump() << '\n';
    return 0;
  });
}

int change_budget(const Change& change) {
  if (!std::filesystem::is_socket(change.path)) return change_in_file(change);
  RouterCommand command;
  command.name = change.kind == ChangeKind::grant ? "GRANT" : "SET";
  command.id = change.id;
  command.arguments = fmt::format("{} {}", change.tokens, change.account);
  return run_command(change.path, command);
}

void add_change(CLI::App& budgets, const std::string& name, const std::string& description, ChangeKind kind,
                int& status) {
  auto change = std::make_shared<Change>();
  change->kind = kind;
  auto* command = budgets.add_subcommand(name, description);
  command
      ->add_option(
          "FILE", change->path,
          "the store's file of a router that is stopped; or group.status of one that runs with [copies]")
      ->required();
  command->add_option("--id", change->id, "of an earlier try on a running router: it holds once");
  command->add_option("ACCOUNT", change->account, "as `budgets show` has it")->required();
  command->add_option("TOKENS", change->tokens, "at price 1")
      ->required()
      ->check(CLI::Range(-kMaxTokens, kMaxTokens));
  command->callback([change, &status] { status = change_budget(*change); });
}

}  // namespace

CLI::App* add_budgets(CLI::App& app, int& status) {
  auto* budgets =
      app.add_subcommand("budgets", "look at what is left of budgets, and change it")->require_subcommand(1);
  auto path = std::make_shared<std::string>();
  auto* show = budgets->add_subcommand("show", "print every account, one JSON object a line");
  show->add_option("FILE", *path, "a store's file")->required();
  show->callback([path, &status] { status = show_budgets(*path); });
  add_change(*budgets, "set", "so much is left on the account", ChangeKind::set, status);
  add_change(*budgets, "grant", "so much more is left on the account, up to its limit", ChangeKind::grant,
             status);
  return budgets;
}

}  // namespace thornwick::tools
