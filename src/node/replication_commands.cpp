#include "node/replication_commands.hpp"

#include <algorithm>
#include <charconv>
#include <cmath>

namespace thornwick::node {
namespace {

constexpr std::size_t kMaxOutcomes = 256;

// Removes the first word, and the space after it, from the front of `line`, and returns the word.
std::string_view take_word(std::string_view& line) {
  const auto end = std::min(line.find(' '), line.size());
  const auto first = line.substr(0, end);
  line.remove_prefix(std::min(line.size(), end + 1));
  return first;
}

// Returns no value unless the complete text is one number.
template <typename Number>
std::optional<Number> parse_number(std::string_view text) {
  Number value{};
  const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), value);
  if (error != std::errc() || end != text.data() + text.size()) return std::nullopt;
  return value;
}

BudgetCorrection parse_correction(BudgetCorrection::Kind kind, std::uint64_t id, std::string_view arguments) {
  BudgetCorrection correction;
  correction.kind = kind;
  correction.id = id;
  correction.tokens = parse_number<double>(take_word(arguments));
  // The comparison is negated so that NaN is rejected too.
  if (correction.tokens && !(std::abs(*correction.tokens) <= kMaxCorrectionTokens)) correction.tokens.reset();
  correction.account = arguments;
  return correction;
}

RouterReplacement parse_replacement(std::uint64_t id, std::string_view arguments) {
  RouterReplacement replacement;
  replacement.id = id;
  replacement.old_name = take_word(arguments);
  replacement.new_name = arguments;
  return replacement;
}

}  // namespace

std::optional<ReplicationCommand> parse_replication_command(std::string_view line) {
  const auto name = take_word(line);
  if (name == "COPIES") return ReplicationStatusQuery{.json = line == "JSON"};
  if (name != "GRANT" && name != "SET" && name != "REPLACE" && name != "CORRECTION") return std::nullopt;
  const std::uint64_t id = parse_number<std::uint64_t>(take_word(line)).value_or(0);
  if (id == 0) return InvalidCommandId{};
  if (name == "CORRECTION") return OutcomeQuery{id};
  if (name == "REPLACE") return parse_replacement(id, line);
  const auto kind = name == "SET" ? BudgetCorrection::Kind::set : BudgetCorrection::Kind::grant;
  return parse_correction(kind, id, line);
}

void CommandOutcomes::begin(std::uint64_t id) {
  if (!answers_.contains(id)) order_.push_back(id);
  answers_[id] = "+OK pending";
  while (order_.size() > kMaxOutcomes) {
    answers_.erase(order_.front());
    order_.pop_front();
  }
}

const std::string* CommandOutcomes::find(std::uint64_t id) const {
  const auto found = answers_.find(id);
  return found == answers_.end() ? nullptr : &found->second;
}

}  // namespace thornwick::node
