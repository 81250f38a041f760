// Graceful shutdown: requests, connections and answers around the time of SIGTERM.
#include <catch2/catch.hpp>

#include "scenario_runner.hpp"

using thornwick::testing::ScenarioRunner;

namespace {

// A step after which a request was answered and its connection stays open.
const std::string kIdleConnection = "client1 served r1 by attempt1\n";

}  // namespace

TEST_CASE("a graceful shutdown completes the requests in flight and closes their connections") {
  ScenarioRunner runner;
  runner.run(R"(
    client1 send $ask(r1)
    attempt1 send $stream$delta(one)
    client1 expect $delta(one)
    router close
    client2 send $ask(r2)
    attempt2 send $stream$delta(two)$done
    client2 expect Connection: close\r\n
    client2 expect \r\n0\r\n\r\n
    client2 expect close
    attempt1 send $done
    client1 expect \r\n0\r\n\r\n
    client1 expect close
    router expect served=2
  )");
}

TEST_CASE(
    "a request on an idle connection, in the loop's round that would close it, is served or never read") {
  ScenarioRunner runner;
  runner.run(kIdleConnection + "router close\nstall 550\nclient1 send $ask(r2)");
  // The actual duration of the stall decides which of the two happens.
  if (runner.wait_for_counters("attempts=2", "crowded=1")) {
    runner.run(
        "attempt2 send $stream$delta(two)$done\nclient1 expect Connection: close\\r\\n\nclient1 expect "
        "\\r\\n0\\r\\n\\r\\n");
  } else {
    runner.run("client1 expect HTTP/1.1 503 \nclient1 expect Connection: close\\r\\n\nclient1 expect \"}}");
  }
  runner.run("client1 expect close\nrouter expect open=0\nrouter expect clients=0");
}

// Guards against requests that are accepted 0.7 s after SIGTERM or later, on a connection without an earlier
// request, and are then lost because SIGKILL ends the process.
TEST_CASE("a request that comes too late after SIGTERM is rejected at once, on any connection") {
  ScenarioRunner runner;
  runner.run(kIdleConnection + R"(
    client2 send
    client3 send
    router expect clients=3
    router close
    stall 700
    client1 send $ask(r2)
    client2 send $ask(r3)
    client1 expect HTTP/1.1 503 
    client1 expect "}}
    client1 expect close
    client2 expect HTTP/1.1 503 
    client2 expect "}}
    client2 expect close
    client3 expect close
    router expect attempts=1
    router expect clients=0
  )");
}

TEST_CASE("half a request at SIGTERM is completed, and all of several pipelined requests are answered") {
  ScenarioRunner runner({.replicas = 2});
  runner.run(kIdleConnection + R"(
    client2 send POST /v1/chat/completions HTTP/1.1\r\nX-Request-ID: r2\r\nX-Prio
    router expect accepted=2
    router close
    client2 send rity-Class: quick\r\nX-Tenant-Id: acme\r\nX-Timeout-Ms: 4000\r\nX-Attrs: prompt_len=4,max_out=4\r\nContent-Length: 2\r\n\r\n{}
    client1 send $ask(r3)$ask(r4)$ask(r5)
    attempt2 expect X-Request-ID: r
    attempt2 send $stream$delta(two)$done
    attempt3 send $stream$delta(three)$done
    client2 expect \r\n0\r\n\r\n
    client2 expect close
    client1 expect Connection: keep-alive\r\n
    client1 expect \r\n0\r\n\r\n
    attempt4 send $stream$delta(four)$done
    client1 expect Connection: keep-alive\r\n
    client1 expect \r\n0\r\n\r\n
    attempt5 send $stream$delta(five)$done
    client1 expect Connection: close\r\n
    client1 expect \r\n0\r\n\r\n
    client1 expect close
    router expect attempts=5
    router expect served=5
  )");
}

TEST_CASE("an idle client is disconnected, also after a second SIGTERM and a SIGHUP") {
  ScenarioRunner runner;
  runner.run(kIdleConnection + R"(
    router close
    router close
    router turn
    newlist expect GET /registry/instances HTTP/1.1\r\n
    client1 expect close
    router expect clients=0
  )");
}

TEST_CASE("the last bytes of an answer that come with SIGTERM are forwarded completely") {
  ScenarioRunner runner;
  runner.run(R"(
    client1 send $ask(r1)
    attempt1 send $stream$delta(one)
    client1 expect $delta(one)
    attempt1 send $delta(two)$done
    router close
    client1 expect $delta(two)
    client1 expect \r\n0\r\n\r\n
    client1 expect close
    router expect served=1
  )");
}
