// The commands about replicated budgets that operators send to the local socket of a running router, and what
// became of those that take time (docs/replication.md). Knows no sockets.
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
// CORRECTION ID: what became of an earlier command.
struct OutcomeQuery {
  std::uint64_t id = 0;
};
// GRANT ID TOKENS ACCOUNT and SET ID TOKENS ACCOUNT
struct BudgetCorrection {
  enum class Kind { grant, set };  // so much more is left; so much is left in all

  Kind kind = Kind::grant;
  std::uint64_t id = 0;
  std::optional<double> tokens;  // none: not a number, or beyond kMaxCorrectionTokens
  std::string account;
};
// REPLACE ID OLD NEW: a router that is gone for good gives its places to another one.
struct RouterReplacement {
  std::uint64_t id = 0;
  std::string old_name, new_name;
};
// One of the above whose id is none. Ids are numbers from 1 on.
struct BadCommandId {};

inline constexpr double kMaxCorrectionTokens = 1e15;

using ReplicationCommand =
    std::variant<ReplicationStatusQuery, OutcomeQuery, BudgetCorrection, RouterReplacement, BadCommandId>;

// Nothing if the line begins with none of these commands.
std::optional<ReplicationCommand> parse_replication_command(std::string_view line);

// The answers to commands by id, for those who ask again. Keeps the latest 256 ids.
class CommandOutcomes {
 public:
  // The command with this id is under way, perhaps again.
  void begin(std::uint64_t id);
  // Without its end of line. The id may have been forgotten meanwhile; then it is remembered again.
  void set(std::uint64_t id, std::string answer) { answers_[id] = std::move(answer); }
  void forget(std::uint64_t id) { answers_.erase(id); }
  // Null: no such id here.
  const std::string* find(std::uint64_t id) const;

 private:
  std::map<std::uint64_t, std::string> answers_;
  std::deque<std::uint64_t> order_;  // ids as they came, the oldest first
};

}  // namespace thornwick::node
