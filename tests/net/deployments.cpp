// Behaviour that differs between deployments because of their settings.
#include <catch2/catch.hpp>

#include "scenario_runner.hpp"

using thornwick::testing::ScenarioRunner;

TEST_CASE(
    "an endpoint list that discovery pushes is watched from the start on, and again soon after any answer or "
    "failure") {
  // With a grace this long, all waits are at their upper bounds (core/discovery_waits.cpp).
  ScenarioRunner runner({.replicas = 2, .settings = "registryMode=push\nrules.stopSendingWithin=5000000\n"});
  runner.run(R"(
    list expect GET /registry/instances?after=1&wait_ms=0 HTTP/1.1\r\n
    list send $json({"rev":2,"all":false,"targets":[{"uid":"s-01","state":"DRAINING"}]})
    list expect GET /registry/instances?after=2&wait_ms=1000 HTTP/1.1\r\n
    client1 send $ask(r1)
    attempt1 expect r1
    # An answer in pieces with an older revision, an error, and no answer: the last list stays in use. After the
    # older one, the whole list is requested.
    list send HTTP/1.1 200 OK\r\nContent-Le
    list send ngth: 37\r\n\r\n{"rev":1,"all":true,
    list send "targets":[    ]}
    list2 expect GET /registry/instances HTTP/1.1\r\n
    router expect list_old=1
    list2 send HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n
    list3 expect GET /registry/instances HTTP/1.1\r\n
    list4 expect GET /registry/instances HTTP/1.1\r\n
    list4 send $json({"rev":3,"all":false,"targets":[{"uid":"s-02","state":"DELETED"}]})
    list4 expect after=3
    router expect list_failures=3
    attempt1 send $stream$delta(one)$done
    client1 expect \r\n0\r\n\r\n
  )");
}

TEST_CASE("as many attempts are made as the settings allow") {
  ScenarioRunner runner({.replicas = 8, .settings = "policyLimits.maxAttempts=6\n"});
  runner.run(R"(
    client1 send $ask(r1)
    attempt1 send $error
    attempt2 send $error
    attempt3 send $error
    attempt4 send $error
    attempt5 send $error
    attempt6 send $stream$delta(one)$done
    client1 expect \r\n0\r\n\r\n
    router expect attempts=6
  )");
}
