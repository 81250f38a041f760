// Pooled connections to replicas: reuse, idle timeout, and connections that close or break during a request.
#include <catch2/catch.hpp>

#include "scenario_runner.hpp"

using thornwick::testing::ScenarioRunner;

namespace {

const std::string kUnsafe = "grades.0.effect=unsafe\n";

// A step after which a request was answered and its connection stays open.
const std::string kIdleConnection = "client1 served r1 by attempt1\n";

}  // namespace

// Guards against an idle timer that keeps running during the next attempt and closes its connection.
TEST_CASE("the idle timeout of a pooled connection does not end the attempt that reuses it") {
  ScenarioRunner runner({.keepalive = 300'000});
  runner.run(R"(
    client1 served r1 by attempt1
    client1 send $ask(r2)
    attempt2 expect X-Request-ID: r2\r\n
    wait 500
    attempt2 send $stream$delta(two)$done
    client1 expect two
    client1 expect \r\n0\r\n\r\n
    router expect reused=1
  )");
}

TEST_CASE("an idle connection to a replica is closed before the keep-alive time") {
  ScenarioRunner runner({.keepalive = 300'000});
  runner.run(R"(
    client1 send $ask(r1)
    attempt1 expect {"role":"user","content":"hi"}]}
    attempt1 send $stream$delta(one)$done
    attempt1 expect close
    router expect lines=0
  )");
}

TEST_CASE("a pooled connection that breaks during a request counts as a reset, not as a silent retry") {
  ScenarioRunner runner({.replicas = 2});
  runner.run(R"(
    client1 served r1 by attempt1
    client2 send $ask(r2)
    attempt2 close
    attempt3 expect X-Request-ID: r2\r\n
    router expect attempt_reset=1
    router expect attempts=3
  )");
}

TEST_CASE("a request for a pooled connection that its replica is closing is sent over a new connection") {
  const std::string order = GENERATE(
      as<std::string>(), "client2 send $ask(r2)\nattempt1 close\n", "attempt1 close\nclient2 send $ask(r2)\n",
      "client2 send $ask(r2)\nattempt1 send HTTP/1.1 4\n", "client2 send $ask(r2)\nattempt1 reset\n");
  ScenarioRunner runner({.settings = kUnsafe});
  runner.run(kIdleConnection + "client2 send\nrouter expect clients=2\n" + order + R"(
    attempt2 expect X-Request-ID: r2\r\n
    attempt2 send $stream$delta(two)$done
    client2 expect \r\n0\r\n\r\n
    router expect opened=2
    router expect attempts=2
  )");
}

TEST_CASE("a request in the loop's round in which a pooled connection's idle timeout expires is sent once") {
  ScenarioRunner runner({.keepalive = 300'000});
  runner.run(kIdleConnection + R"(
    stall 250
    client1 served r2 by attempt2
    router expect attempts=2
    router expect served=2
  )");
}

TEST_CASE("after a reset, a request that was sent completely is retried only if its class permits that") {
  const bool is_safe = GENERATE(true, false);
  ScenarioRunner runner({.replicas = 2, .settings = is_safe ? "" : kUnsafe});
  runner.run(R"(
    client1 send $ask(r1)
    attempt1 expect "content":"hi"}]}
    attempt1 reset
  )");
  if (is_safe) return runner.run("attempt2 expect X-Request-ID: r1\\r\\n\nrouter expect attempts=2");
  runner.run("client1 expect HTTP/1.1 502 \nrouter expect attempts=1\nrouter expect failed=1");
}
