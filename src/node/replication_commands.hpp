// The operators' commands about replicated budgets, as lines at a router's local socket, and the outcomes of
// commands that take time (docs/replication.md).
#pragma once

#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <variant>

namespace thornwick::node {

// COPIES [JSON]
struct ReplicationStatusQuery {
  bool json = false;
};
// CORRECTION ID: the outcome of an earlier command.
struct OutcomeQuery {
  std::uint64_t id = 0;
};
// GRANT ID TOKENS ACCOUNT and SET ID TOKENS ACCOUNT
struct BudgetCorrection {
  enum class Kind {
    grant,  // adds to what is left on the account
    set,    // replaces it
  };

  Kind kind = Kind::grant;
  std::uint64_t id = 0;
  std::optional<double> tokens;  // none: not a number, or its amount is above kMaxCorrectionTokens
  std::string account;
};
// REPLACE ID OLD NEW: another router takes over the ledger replicas of one that is gone for good.
struct RouterReplacement {
  std::uint64_t id = 0;
  std::string old_name;
  std::string new_name;
};
// One of the above commands with an invalid id. Ids are numbers from 1 on.
struct BadCommandId {};

inline constexpr double kMaxCorrectionTokens = 1e15;

using ReplicationCommand =
    std::variant<ReplicationStatusQuery, OutcomeQuery, BudgetCorrection, RouterReplacement, BadCommandId>;

// Returns none if the line begins with none of these commands.
std::optional<ReplicationCommand> parse_replication_command(std::string_view line);

// The outcomes of commands by id, for later CORRECTION calls. Keeps the latest 256 ids.
class CommandOutcomes {
 public:
  // The command with this id has begun, perhaps not for the first time.
  void begin(std::uint64_t id);
  // Sets the answer, without its newline. An id that was forgotten meanwhile is added again.
  void set(std::uint64_t id, std::string answer) { answers_[id] = std::move(answer); }
  void forget(std::uint64_t id) { answers_.erase(id); }
  // Returns null if the id is not known.
  const std::string* find(std::uint64_t id) const;

 private:
  std::map<std::uint64_t, std::string> answers_;
  std::deque<std::uint64_t> order_;  // ids in the order of begin()
};

}  // namespace thornwick::node
