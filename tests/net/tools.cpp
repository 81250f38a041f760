// Commands of the program on a store's file, on scenarios and on traces, run as an operator runs them.
#include <sys/wait.h>

#include <algorithm>
#include <array>
#include <catch2/catch.hpp>
#include <cstdio>

#include "../store/scratch.hpp"
#include "persistence/state_store.hpp"

using namespace thornwick;
using thornwick::testing::read_bytes;
using thornwick::testing::Scratch;
using thornwick::testing::write_bytes;

namespace {

struct CommandResult {
  int status = -1;
  std::string text;  // standard output and standard error
  bool contains(const std::string& expected) const { return text.find(expected) != std::string::npos; }
};

CommandResult run(const std::string& arguments) {
  CommandResult result;
  FILE* pipe = popen((std::string(THORNWICK) + " " + arguments + " 2>&1").c_str(), "r");
  REQUIRE(pipe != nullptr);
  std::array<char, 4096> buffer;
  while (const auto size = fread(buffer.data(), 1, buffer.size(), pipe))
    result.text.append(buffer.data(), size);
  const int status = pclose(pipe);
  result.status = WIFEXITED(status) ? WEXITSTATUS(status) : -1;
  return result;
}

// Writes an affinity table with two sessions. Two replicas have answered the first session.
void write_affinity_table(const std::string& path) {
  persistence::StateStore state_store({.path = path, .holder = "n1"}, {},
                                      [](ReplicaId id) { return "s-0" + std::to_string(id); });
  affinity::AffinityTable affinity_table({.table = {.entries = 1000}});
  const Time now = seconds(1'000'000);
  state_store.load(affinity_table, now);
  const std::array<Endpoint, 2> entries{{{.id = 1}, {.id = 2}}};
  affinity_table.on_endpoints(EndpointUpdate::full, entries);
  const auto answer = [&](std::uint64_t session, ReplicaId replica) {
    Request request;
    request.session = session;
    request.prompt_tokens = 900;
    request.max_tokens = 100;
    const auto was = affinity_table.on_answer_started(now, request, replica);
    affinity_table.on_answer_complete(now, request, replica, was, 0, 10);
  };
  answer(0xabc, 1), answer(0xabc, 2), answer(0xdef, 2);
  REQUIRE(state_store.writer().drain(std::chrono::seconds(20)));
}

}  // namespace

TEST_CASE("a store's file is checked, dumped, shown and compacted from the command line") {
  const Scratch scratch;
  const std::string path = scratch.path("s");
  write_affinity_table(path);
  const CommandResult check = run("store check " + path);
  CHECK(check.status == 0);
  CHECK(check.contains(R"({"table":"affinity.sessions","version":1,"records":2,)"));
  CHECK(check.contains(R"("sound":true)"));
  const CommandResult show = run("affinity show " + path);
  CHECK(show.status == 0);
  CHECK(show.contains(R"({"box":"s-01","slot":)"));
  CHECK(show.contains(
      R"({"session":"0000000000000abc","prefix":"0000000000000000","placed_size":1000,"copies":[{)"));
  const CommandResult dump = run("store dump " + path);
  CHECK(dump.status == 0);
  CHECK(dump.contains(R"({"table":"affinity.sessions","key":"0000000000000def","value":")"));
  const CommandResult compact = run("store compact " + path);
  CHECK(compact.status == 0);
  CHECK(compact.contains("file_bytes_before"));
  CHECK(run("affinity show " + path).text == show.text);
}

TEST_CASE("commands report an error of a file in one line, and do not change the file") {
  const Scratch scratch;
  const std::string path = scratch.path("s");
  CHECK(run("store check " + path).status == 1);
  write_bytes(path, std::string(9000, 'x'));
  for (const char* command : {"store check ", "store dump ", "store compact ", "affinity show "}) {
    const CommandResult result = run(command + path);
    CHECK(result.status == 1);
    CHECK(result.text == "thornwick: " + path + ": damaged\n");
  }
  CHECK(read_bytes(path) == std::string(9000, 'x'));
  CHECK(scratch.count("s.damaged") == 0);
  write_affinity_table(scratch.path("held"));
  const persistence::StateStore holder({.path = scratch.path("held"), .holder = "router n7"}, {},
                                       [](ReplicaId) { return std::string(); });
  const CommandResult result = run("store check " + scratch.path("held"));
  CHECK(result.status == 1);
  CHECK(result.contains("held by router n7"));
}

TEST_CASE("an unknown word on the command line ends the program with status 2") {
  CHECK(run("store mend x").status == 2);
  CHECK(run("--log-level loud version").status == 2);
  CHECK(run("version").status == 0);
  CHECK(run("help").contains("check-config"));
}

TEST_CASE(
    "the lab runs a scenario, stores its days, reports them, and rejects a malformed scenario with status "
    "2") {
  const Scratch scratch;
  const std::string examples = std::string(THORNWICK_DEPLOY) + "/../examples/lab/";
  const CommandResult day = run("lab run " + examples + "demo.toml --policy module --policy random");
  CHECK(day.status == 0);
  CHECK(day.contains("module"));
  CHECK(day.contains("rules kept"));
  const std::string results = scratch.path("r.sqlite");
  const CommandResult compared =
      run("lab compare " + examples +
          "demo.toml --policy random --policy module --days 2 --quiet --results " + results);
  CHECK(compared.status == 0);
  CHECK(compared.contains("p = "));
  CHECK(run("lab report " + results + " -o " + scratch.path("r.html")).status == 0);
  CHECK(read_bytes(scratch.path("r.html")).find("</html>") != std::string::npos);

  const std::string malformed = scratch.path("bad.toml");
  write_bytes(malformed, "[day]\nseconds = -1\n[flet]\n");
  for (const std::string command : {"lab run ", "lab sweep ", "boxes ", "load "}) {
    const CommandResult result = run(command + malformed);
    CHECK(result.status == 2);
    CHECK(result.contains(malformed + ":2: day.seconds: outside 0.1..10000000\n" + malformed +
                          ":3: flet: no such table"));
  }
  CHECK(run("lab sweep " + examples + "demo.toml --set fleet.boxes").status == 2);
}

TEST_CASE(
    "a recorded trace contains the scenario's day, and an error in a trace is reported with its line "
    "number") {
  const Scratch scratch;
  const std::string demo = std::string(THORNWICK_DEPLOY) + "/../examples/lab/demo.toml";
  const std::string trace = scratch.path("t");
  REQUIRE(run("load " + demo + " --write-trace " + trace).status == 0);
  const std::string text = read_bytes(trace);
  CHECK(std::count(text.begin(), text.end(), '\n') > 5);
  write_bytes(trace, text + "{\"at_us\":1}\n");
  const CommandResult result = run("load " + demo + " --trace " + trace + " --router 127.0.0.1:1");
  CHECK(result.status == 2);
  CHECK(result.contains(trace + ":" + std::to_string(std::count(text.begin(), text.end(), '\n') + 1) + ": "));
}
