// Requests that are forwarded to replicas: attempts, retries, deadlines, and clients that disconnect.
#include <catch2/catch.hpp>

#include "scenario_runner.hpp"

using thornwick::testing::ScenarioRunner;

TEST_CASE("a request is forwarded unchanged, and its events come back unchanged") {
  ScenarioRunner runner;
  runner.run(R"(
    client1 send $ask(r1)
    attempt1 expect POST /v1/chat/completions HTTP/1.1\r\n
    attempt1 expect X-Request-ID: r1\r\n
    attempt1 expect X-Timeout-Ms: 79
    attempt1 expect {"model":"m","stream":true,"max_tokens":50,"messages":[{"role":"user","content":"hi"}]}
    attempt1 send $stream$delta(one)
    client1 expect HTTP/1.1 200 OK\r\n
    client1 expect $delta(one)
    attempt1 send $delta(two)$done
    client1 expect $delta(two)
    client1 expect data: [DONE]\n\n
    client1 expect \r\n0\r\n\r\n
    router expect served=1
    # The connections to the client and to the replica stay open.
    client1 send $ask(r2)
    attempt2 expect X-Request-ID: r2\r\n
    attempt2 send $stream$delta(three)$done
    client1 expect three
    client1 expect \r\n0\r\n\r\n
    router expect opened=1
  )");
}

TEST_CASE(
    "a full replica leads to an attempt at another replica, and the connection to the full replica is kept") {
  ScenarioRunner runner({.replicas = 2});
  runner.run(R"(
    client1 send $ask(r1)
    attempt1 send $full
    attempt2 expect X-Request-ID: r1\r\n
    attempt2 send $stream$delta(one)$done
    client1 expect \r\n0\r\n\r\n
    router expect attempt_full=1
    router expect lines=2
  )");
}

TEST_CASE("an error before the first event leads to another attempt") {
  ScenarioRunner runner({.replicas = 2});
  runner.run(R"(
    client1 send $ask(r1)
    attempt1 send $error
    attempt2 send $stream$delta(one)$done
    client1 expect \r\n0\r\n\r\n
    router expect attempt_error=1
    router expect served=1
  )");
}

TEST_CASE("an attempt ends at the client's deadline, and the answer has a Retry-After") {
  ScenarioRunner runner;
  runner.run(R"(
    client1 send $ask(r1,150)
    attempt1 expect {"role":"user","content":"hi"}]}
    attempt1 expect close
    client1 expect HTTP/1.1 503 Service Unavailable\r\n
    client1 expect Retry-After: 
    router expect attempt_timed_out=1
  )");
}

TEST_CASE("a request that no replica accepts is rejected at once, with a Retry-After") {
  ScenarioRunner runner;
  runner.run(R"(
    client1 send $ask(r1)
    attempt1 send $full
    client1 expect HTTP/1.1 503 Service Unavailable\r\n
    client1 expect Retry-After: 
    router expect shed=1
  )");
}

TEST_CASE("an attempt is abandoned when its client closes the connection") {
  ScenarioRunner runner;
  runner.run(R"(
    client1 send $ask(r1)
    attempt1 expect {"role":"user","content":"hi"}]}
    client1 close
    attempt1 expect close
    router expect gone=1
    router expect open=0
  )");
}

TEST_CASE("a request for the remaining events of a broken stream is served like any other request") {
  ScenarioRunner runner;
  runner.run(R"(
    client1 send POST /v1/chat/completions?rest=1 HTTP/1.1\r\nX-Request-ID: r1\r\nX-Retried: again\r\nX-Priority-Class: chat\r\nX-Tenant-Id: acme\r\nX-Timeout-Ms: 4000\r\nX-Attrs: prompt_len=4,max_out=4\r\nContent-Length: 2\r\n\r\n{}
    attempt1 expect POST /v1/chat/completions?rest=1 HTTP/1.1\r\n
    attempt1 expect X-Retried: again\r\n
    attempt1 send $stream$delta(one)$done
    client1 expect \r\n0\r\n\r\n
  )");
}
