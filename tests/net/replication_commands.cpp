// The commands about replicated budgets at a router's Unix socket: parsing of a line, and the time for which
// outcomes are stored.
#include "node/replication_commands.hpp"

#include <catch2/catch.hpp>

using namespace thornwick;

namespace {

template <typename Command>
Command parse_as(std::string_view line) {
  const auto command = node::parse_replication_command(line);
  REQUIRE(command.has_value());
  REQUIRE(std::holds_alternative<Command>(*command));
  return std::get<Command>(*command);
}

}  // namespace

TEST_CASE("each command about replicated budgets is parsed with its arguments") {
  CHECK_FALSE(parse_as<node::ReplicationStatusQuery>("COPIES").json);
  CHECK(parse_as<node::ReplicationStatusQuery>("COPIES JSON").json);
  CHECK(parse_as<node::OutcomeQuery>("CORRECTION 7").id == 7);

  const auto grant = parse_as<node::BudgetCorrection>("GRANT 8 -2.5 tenant|a b|day");
  CHECK(grant.kind == node::BudgetCorrection::Kind::grant);
  CHECK(grant.id == 8);
  CHECK(grant.tokens == -2.5);
  CHECK(grant.account == "tenant|a b|day");
  CHECK(parse_as<node::BudgetCorrection>("SET 8 0 day").kind == node::BudgetCorrection::Kind::set);

  const auto replacement = parse_as<node::RouterReplacement>("REPLACE 18446744073709551615 old new");
  CHECK(replacement.id == 18446744073709551615u);
  CHECK(replacement.old_name == "old");
  CHECK(replacement.new_name == "new");
}

TEST_CASE("an unknown command, an invalid id and an invalid amount are distinguished") {
  CHECK_FALSE(node::parse_replication_command("").has_value());
  CHECK_FALSE(node::parse_replication_command("STATUS").has_value());
  CHECK_FALSE(node::parse_replication_command("grant 1 2 day").has_value());
  for (const char* line : {"GRANT", "SET 0 1 day", "REPLACE x old new", "CORRECTION -1", "CORRECTION 1x"}) {
    INFO(line);
    parse_as<node::InvalidCommandId>(line);
  }
  for (const char* line : {"GRANT 1", "GRANT 1 x day", "SET 1 1e16 day", "SET 1 nan day", "SET 1 -inf day"}) {
    INFO(line);
    CHECK_FALSE(parse_as<node::BudgetCorrection>(line).tokens.has_value());
  }
  CHECK(parse_as<node::BudgetCorrection>("SET 1 1e15 day").tokens == node::kMaxCorrectionTokens);
}

TEST_CASE("the latest 256 outcomes are stored, and a command that is sent again is pending again") {
  node::CommandOutcomes outcomes;
  CHECK(outcomes.find(1) == nullptr);
  outcomes.begin(1);
  outcomes.set(1, "+OK yes");
  REQUIRE(outcomes.find(1) != nullptr);
  CHECK(*outcomes.find(1) == "+OK yes");
  outcomes.begin(1);
  CHECK(*outcomes.find(1) == "+OK pending");
  for (std::uint64_t id = 2; id <= 256; ++id) outcomes.begin(id);
  CHECK(outcomes.find(1) != nullptr);
  outcomes.begin(257);
  CHECK(outcomes.find(1) == nullptr);
  CHECK(outcomes.find(2) != nullptr);
  outcomes.forget(2);
  CHECK(outcomes.find(2) == nullptr);
}
