// Two events in one round of the main loop before, between or during attempts. Each scenario produces the
// problematic order every time, because the loop processes in one round all bytes that were sent between two
// of its runs and all timers that became due while it was stopped. docs/standing.md has the table of these
// races.
#include <catch2/catch.hpp>

#include "scenario_runner.hpp"

using thornwick::testing::ScenarioRunner;

namespace {

const std::string kUnsafe = "grades.0.effect=unsafe\n";

}  // namespace

// Guards against a router that misses the end of a connection because unread bytes precede that end.
TEST_CASE("a client that closed its connection after unread bytes gets no attempt") {
  ScenarioRunner runner({.known_state = "DRAINING"});
  runner.run(R"(
    list expect GET /registry/instances?after=1&wait_ms=0 
    list send $json({"rev":1,"all":false,"targets":[]})
    list expect GET /registry/instances?after=1&wait_ms=2500 
    client2 send $ask(r1)$fill(90000)
    wait 50
    client2 close
    client3 send $ask(r2)
    wait 50
    list send $json({"rev":2,"all":false,"targets":[{"uid":"s-01","state":"SERVING"}]})
    attempt1 expect X-Request-ID: r2\r\n
    attempt1 send $stream$delta(one)$done
    client3 expect \r\n0\r\n\r\n
    router expect gone=1
    router expect attempts=1
  )");
}

TEST_CASE("a client that closes in the loop's round in which its request could be sent gets no attempt") {
  const std::string disconnect = GENERATE(as<std::string>(), "client2 close", "client2 end", "client2 reset");
  const bool list_first = GENERATE(true, false);
  const std::string list =
      "list send $json({\"rev\":2,\"all\":false,\"targets\":[{\"uid\":\"s-01\",\"state\":\"SERVING\"}]})";
  ScenarioRunner runner({.known_state = "DRAINING"});
  runner.run(R"(
    list expect GET /registry/instances?after=1&wait_ms=0 
    list send $json({"rev":1,"all":false,"targets":[]})
    list expect GET /registry/instances?after=1&wait_ms=2500 
    client2 send $ask(r1)
    client3 send $ask(r2)
    router expect taken=2
  )" + (list_first ? list + "\n" + disconnect : disconnect + "\n" + list) +
             R"(
    attempt1 expect X-Request-ID: r2\r\n
    router expect gone=1
    router expect attempts=1
  )");
}

TEST_CASE("a client that closes in the loop's round in which its attempt fails gets no other attempt") {
  const std::string disconnect = GENERATE(as<std::string>(), "client1 close", "client1 end", "client1 reset");
  const std::string failure =
      GENERATE(as<std::string>(), "attempt1 send $full", "attempt1 send $error", "attempt1 reset");
  const bool failure_first = GENERATE(true, false);
  ScenarioRunner runner({.replicas = 2});
  runner.run("client1 send $ask(r1)\nattempt1 expect X-Request-ID: r1\n" +
             (failure_first ? failure + "\n" + disconnect : disconnect + "\n" + failure) + R"(
    router expect gone=1
    router expect open=0
    router expect attempts=1
  )");
}

TEST_CASE("a replica whose drain comes in the loop's round of a request is not chosen") {
  ScenarioRunner runner;
  runner.run(R"(
    client1 send
    list expect GET /registry/instances?after=1&wait_ms=0 
    list send $json({"rev":2,"all":false,"targets":[{"uid":"s-01","state":"DRAINING"}]})
    client1 send $ask(r1,300)
    client1 expect HTTP/1.1 503 
    router expect attempts=0
  )");
}

TEST_CASE(
    "an attempt that fails in the loop's round of the deadline is the last, and the client gets one answer") {
  ScenarioRunner runner({.replicas = 2});
  runner.run(R"(
    client1 send $ask(r1,600)
    attempt1 expect "content":"hi"}]}
    stall 700
    attempt1 send $error
    client1 expect HTTP/1.1 503 
    client1 expect "}}
    router expect attempts=1
    router expect open=0
    client1 send $ask(r2)
    attempt2 expect X-Request-ID: r2\r\n
  )");
}

TEST_CASE("a request whose last permitted attempt was rejected is rejected at once") {
  ScenarioRunner runner({.replicas = 3, .settings = "policyLimits.maxAttempts=2\n"});
  runner.run(R"(
    client1 send $ask(r1)
    attempt1 send $error
    attempt2 send $full
    client1 expect HTTP/1.1 503 
    client1 expect Retry-After: 
    router expect attempts=2
  )");
}

// Guards against two faults. A connection that came up in the round of the deadline carried its request, with
// a millisecond left for the answer. A request of an unsafe class that was never sent was answered as failed.
TEST_CASE(
    "a connection that comes up after the deadline, or after its client has closed, carries no attempt") {
  const bool disconnected = GENERATE(true, false);
  ScenarioRunner runner({.settings = kUnsafe});
  runner.run("client1 send $ask(r1,600)\nrouter expect attempts=1\n" +
             std::string(disconnected ? "client1 close" : "stall 700"));
  if (disconnected) {
    return runner.run(
        "router expect gone=1\nrouter expect attempt_not_sent=1\nclient2 send $ask(r2)\nattempt1 expect "
        "X-Request-ID: r2\\r\\n");
  }
  runner.run(R"(
    client1 expect HTTP/1.1 503 
    client1 expect Retry-After: 
    router expect attempt_not_sent=1
    router expect shed=1
    client1 send $ask(r2)
    # On the connection that came up late: the first that a replica reads.
    attempt1 expect X-Request-ID: r2\r\n
    router expect reused=1
  )");
}

TEST_CASE(
    "a first event in the loop's round of the deadline is forwarded, or its attempt has timed out: never "
    "both") {
  ScenarioRunner runner;
  runner.run(R"(
    client1 send $ask(r1,600)
    attempt1 expect "content":"hi"}]}
    stall 700
    attempt1 send $stream$delta(one)$done
    client1 expect HTTP/1.1 200 OK\r\n
    client1 expect \r\n0\r\n\r\n
    router expect served=1
    router expect timed_out=0
  )");
}

TEST_CASE("an event in the loop's round in which its client closes is dropped") {
  const std::string disconnect = GENERATE(as<std::string>(), "client1 close", "client1 end", "client1 reset");
  const bool event_first = GENERATE(true, false);
  const std::string event = "attempt1 send $delta(two)$done";
  ScenarioRunner runner;
  runner.run("client1 send $ask(r1)\nattempt1 send $stream$delta(one)\nclient1 expect one\n" +
             (event_first ? event + "\n" + disconnect : disconnect + "\n" + event) +
             "\nrouter expect open=0\nrouter expect clients=0");
  runner.run(
      "client2 send $ask(r2)\nattempt2 send $stream$delta(three)$done\nclient2 expect three\nclient2 expect "
      "\\r\\n0\\r\\n\\r\\n");
}

// Guards against a request that runs twice: its repeat was decided within the window of its class, and sent
// after it, because its connection came up late.
TEST_CASE(
    "a repeat whose connection comes up after its class's window is not sent, and its request is rejected") {
  ScenarioRunner runner({.replicas = 2,
                         .keepalive = thornwick::milliseconds(200),
                         .settings = "grades.0.effect=keyed\ngrades.0.dedupScope=all\n"
                                     "grades.0.window=2000000\n"});
  for (int i = 1; i <= 12; ++i) {  // requests that save up for a retry
    const std::string number = std::to_string(i);
    runner.run("client1 served r" + number + " by attempt" + number);
  }
  runner.run(R"(
    router expect lines=0
    client1 send $ask(r13)
    attempt13 expect X-Request-ID: r13\r\n
    attempt13 send $error
    router expect attempts=14
    stall 2200
    client1 expect HTTP/1.1 503 
    router expect attempt_not_sent=1
  )");
}
