// Events are forwarded as they arrive, also to clients that read slowly.
#include <catch2/catch.hpp>

#include "scenario_runner.hpp"

using thornwick::testing::ScenarioRunner;

TEST_CASE("each event reaches the client before the next one is written") {
  ScenarioRunner runner;
  runner.run("client1 send $ask(r1)\nattempt1 send $stream");
  for (int i = 0; i < 40; ++i) {
    const std::string word = "event-" + std::to_string(i);
    runner.run("attempt1 send $delta(" + word + ")\nclient1 expect " + word + "\"}");
  }
  runner.run("attempt1 send $done\nclient1 expect \\r\\n0\\r\\n\\r\\n\nrouter expect served=1");
}

TEST_CASE("the timeout that is sent to each replica is the remaining time of the client") {
  ScenarioRunner runner({.replicas = 2});
  runner.run(R"(
    client1 send $ask(r1,8000)
    attempt1 expect "content":"hi"}]}
    stall 400
    attempt1 send $full
    attempt2 expect "content":"hi"}]}
  )");
  const auto sent_timeout = [&](const std::string& attempt) {
    const std::string request = runner.received(attempt);
    const std::string name = "X-Timeout-Ms: ";
    return std::stol(request.substr(request.find(name) + name.size()));
  };
  CHECK(sent_timeout("attempt1") <= 8000);
  CHECK(sent_timeout("attempt2") <= sent_timeout("attempt1") - 400);
  CHECK(sent_timeout("attempt2") > 0);
}

// Of the 36 MB of events, the router buffers as much as its bound allows, and the kernel up to 20 MB. The
// remaining bytes stay at the replica, and no byte is lost.
TEST_CASE("a client that reads slowly makes its replica wait, and gets every event") {
  constexpr int kEvents = 3000;
  const std::string text(12'000, 'y');
  ScenarioRunner runner({.silence_timeout = 1'000'000});
  runner.run("client1 send $ask(r1)\nattempt1 send $stream$delta(one)\nclient1 expect one\nclient1 hold");
  for (int i = 0; i < kEvents; ++i) runner.run("attempt1 send $delta(" + text + std::to_string(i) + "end)");
  runner.run("attempt1 send $done\nwait 1300");
  CHECK(runner.unsent("attempt1") > 4'000'000);
  // The silence timeout has not ended the stream, because the client caused the silence.
  runner.run("client1 read");
  for (int i = 0; i < kEvents; ++i) runner.run("client1 expect y" + std::to_string(i) + "end\"");
  runner.run("client1 expect \\r\\n0\\r\\n\\r\\n\nrouter expect served=1\nrouter expect silent=0");
}
