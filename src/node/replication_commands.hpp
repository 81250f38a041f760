// Parses the operators' commands about replicated budgets, which arrive as lines at a router's Unix socket,
// and stores the outcomes of commands that take time (docs/replication.md).
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

// COPIES [JSON]: prints the status of the replicated budgets.
struct ReplicationStatusQuery {
  bool json = false;
};
// CORRECTION ID: prints the outcome of an earlier command.
struct OutcomeQuery {
  std::uint64_t id = 0;
};
// GRANT ID TOKENS ACCOUNT and SET ID TOKENS ACCOUNT: change the remaining tokens of an account.
struct BudgetCorrection {
  enum class Kind {
    grant,  // adds to the remaining tokens of the account
    set,    // replaces the remaining tokens of the account
  };

  Kind kind = Kind::grant;
  std::uint64_t id = 0;
  std::optional<double>
      tokens;  // no value if not a number, or if its magnitude is above kMaxCorrectionTokens
  std::string account;
};
// REPLACE ID OLD NEW: router NEW takes over the ledger replicas of router OLD, which was removed permanently.
struct RouterReplacement {
  std::uint64_t id = 0;
  std::string old_name;
  std::string new_name;
};
// A command with an id, from the commands above, whose id is invalid. Valid ids are numbers of at least 1.
struct InvalidCommandId {};

inline constexpr double kMaxCorrectionTokens = 1e15;

using ReplicationCommand =
    std::variant<ReplicationStatusQuery, OutcomeQuery, BudgetCorrection, RouterReplacement, InvalidCommandId>;

// Returns no value if the line does not begin with one of these commands.
std::optional<ReplicationCommand> parse_replication_command(std::string_view line);

// Stores the outcomes of the latest 256 commands by id, for later CORRECTION commands.
class CommandOutcomes {
 public:
  // Marks the command with this id as pending. The command may have been sent before.
  void begin(std::uint64_t id);
  // Sets the answer, without its newline. An id that was removed meanwhile is added again.
  void set(std::uint64_t id, std::string answer) { answers_[id] = std::move(answer); }
  void forget(std::uint64_t id) { answers_.erase(id); }
  // Returns null if the id is not known.
  const std::string* find(std::uint64_t id) const;

 private:
  std::map<std::uint64_t, std::string> answers_;
  std::deque<std::uint64_t> order_;  // ids in the order of the calls of begin()
};

}  // namespace thornwick::node
