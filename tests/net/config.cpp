// The configuration: flattened settings, and errors that are reported in one line each.
#include <unistd.h>

#include <catch2/catch.hpp>
#include <cstdio>
#include <cstdlib>
#include <fstream>

#include "node/config_validation.hpp"
#include "node/node.hpp"

using namespace thornwick;

namespace {

struct TempFile {
  explicit TempFile(const std::string& text) : path("thornwick-test-" + std::to_string(getpid()) + ".tmp") {
    std::ofstream(path) << text;
  }
  ~TempFile() { std::remove(path.c_str()); }
  std::string path;
};

std::string with_settings(const std::string& settings) {
  return R"({"name":"n1","listen":"127.0.0.1:0","discovery":"127.0.0.1:1","seed":"ff","settings":)" +
         settings + "}";
}

}  // namespace

TEST_CASE("nested settings are flattened to path=value lines") {
  simdjson::dom::parser parser;
  auto json = parser.parse(std::string(
      R"({"a":{"b":1,"c":true},"zones":["x y","z,w"],"none":[],"list":[{"n":1.5},{"n":2}],"null":null})"));
  CHECK(config::flatten(json.value()) ==
        "a.b=1\na.c=true\nzones=x_y,z_w\nnone=\nlist.0.n=1.5\nlist.1.n=2\nlist.count=2\n");
}

TEST_CASE("a configuration contains the settings of the routing policy and the names for the fronts") {
  const TempFile file(with_settings(
      R"({"grades":[{"name":"chat","objective":1200000,"deadline":5000000,"streamed":true}],"groupSize":4,"rank":1,)"
      R"("tenants":[{"name":"acme","share":1.0}],"policyLimits":{"keepalive":4000000},)"
      R"("report":{"how":"inline","fields":["queue"]}})"));
  const config::Config config = config::read_config(file.path, "");
  CHECK(config.settings.seed == 0xff);
  CHECK(config.settings.group_size == 4);
  CHECK(config.settings.classes.at(0).latency_objective == 1'200'000);
  CHECK(config.names.classes == std::vector<std::string>{"chat"});
  CHECK(config.names.tenants == std::vector<std::string>{"acme"});
  CHECK(config.names.report_fields == std::vector<std::string>{"queue"});
  CHECK(config.timeouts.keepalive == 4'000'000);
}

TEST_CASE("when a file is read again, discovery's address is that of the file and not of the environment") {
  const TempFile file(with_settings(R"({"grades":[{"name":"chat","objective":1,"deadline":2}]})"));
  setenv("GW_DISCOVERY", "127.0.0.1:2", 1);
  const config::Config old = config::read_config(file.path, "");
  CHECK(old.discovery.address == "127.0.0.1:2");
  config::Config fresh = config::read_config(file.path, "", config::ReadOccasion::reload);
  unsetenv("GW_DISCOVERY");
  CHECK(fresh.discovery.address == "127.0.0.1:1");
  CHECK(config::fields_needing_restart(old, fresh).empty());  // a new address of discovery needs no restart
  fresh.listeners.requests = "127.0.0.1:3";
  fresh.settings_text += "rank=2\n";
  CHECK(config::fields_needing_restart(old, fresh) == "listen, settings");
}

TEST_CASE("a configuration that can be read is still checked as a whole") {
  const TempFile file(with_settings(R"({"grades":[{"name":"chat","objective":1,"deadline":2}]})"));
  config::Config config = config::read_config(file.path, "");
  CHECK_NOTHROW(node::check_config(config));
  config.discovery.address = "nowhere";
  CHECK_THROWS_WITH(node::check_config(config), "configuration: discovery is not an address: nowhere");
  config.discovery.address = "127.0.0.1:1";
  config.settings.classes.clear();
  CHECK_THROWS(node::check_config(config));
}

TEST_CASE("an invalid configuration is rejected with one line that states the error") {
  const auto& [text, expected_text] = GENERATE(table<std::string, std::string>({
      {"{", ""},
      {"[]", "not an object"},
      {R"({"listen":"x"})", "no discovery"},
      {R"({"listen":"x","discovery":"y"})", "no settings"},
      {with_settings(R"({"groupSize":"many"})"), "groupSize"},
      {R"({"listen":"x","discovery":"y","seed":"zz","settings":{}})", "seed"},
  }));
  const TempFile file(text);
  try {
    static_cast<void>(config::read_config(file.path, ""));
    FAIL("accepted: " << text);
  } catch (const config::BadConfig& problem) {
    const std::string message = problem.what();
    CHECK(message.find(expected_text) != std::string::npos);
    CHECK(message.find('\n') == std::string::npos);
  }
}

TEST_CASE("the operator's file opens the second front and names dialects") {
  const TempFile file(
      "[messages]\nlisten = '127.0.0.1:9100'\n[targets.named]\n's-01' = 'messages'\n[flows]\ncollector = "
      "'c'\n");
  const config::OperatorFile operator_file = config::read_operator_file(file.path);
  CHECK(operator_file.messages_listen == "127.0.0.1:9100");
  CHECK(operator_file.target_dialect == "platform");
  CHECK(operator_file.targets.at("s-01") == "messages");
  CHECK(operator_file.flow_collector == "c");
  CHECK(config::read_operator_file("").messages_listen.empty());
}

TEST_CASE(
    "the operator's file is checked completely, with one line for each error that has file, line and key") {
  const TempFile file(
      "[affinity]\n"
      "enabled = 'yes'\n"
      "entries = 3\n"
      "eviction = 'clock'\n"
      "lifetime_s = 60\n"
      "colour = 'blue'\n"
      "[store]\n"
      "sync_s = 0\n"
      "changes = 1.5\n"
      "[targets.named]\n"
      "'s-01' = 7\n"
      "[purse]\n"
      "x = 1\n");
  try {
    config::read_operator_file(file.path);
    FAIL("accepted");
  } catch (const config::BadConfig& problem) {
    const std::string prefix = file.path + ":";
    CHECK(problem.what() == prefix + "2: affinity.enabled: neither true nor false\n" + prefix +
                                "3: affinity.entries: outside 16..100000000\n" + prefix +
                                "4: affinity.eviction: 'clock' is none of: lru, segmented, tinylfu\n" +
                                prefix + "6: affinity.colour: no such key\n" + prefix +
                                "8: store.sync_s: outside 0.01..3600\n" + prefix +
                                "9: store.changes: not a whole number\n" + prefix +
                                "11: targets.named.s-01: not a text\n" + prefix + "12: purse: no such table");
  }
}

TEST_CASE("an operator's file that is not TOML is rejected with the line of the error") {
  const TempFile file("[affinity]\nenabled = \n");
  CHECK_THROWS_WITH(config::read_operator_file(file.path), Catch::StartsWith(file.path + ":2: "));
}

TEST_CASE("the affinity table's bound follows the memory limit unless the operator's file sets the bound") {
  const TempFile file("[affinity]\nenabled = true\n");
  config::Config config;
  config.operator_file = config::read_operator_file(file.path);
  config.limits.memory_mb = 32;
  CHECK(node::affinity_options(config).table.bytes == (2u << 20));
  config.limits.memory_mb = 192;
  CHECK(node::affinity_options(config).table.bytes == (12u << 20));
  config.operator_file.affinity.max_memory_bytes = 100'000;
  CHECK(node::affinity_options(config).table.bytes == 100'000);
}

TEST_CASE("each operator's file under deploy/ is read without an error") {
  for (const char* name : {"affinity.toml", "group.toml", "messages.toml", "models.toml", "platform.toml"}) {
    CHECK_NOTHROW(config::read_operator_file(std::string(THORNWICK_DEPLOY) + "/" + name));
  }
  CHECK(config::read_operator_file(std::string(THORNWICK_DEPLOY) + "/platform.toml").store.file.empty());
}
