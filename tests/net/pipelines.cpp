// Several requests that a client sends at once on one connection: each of them has its answer, whatever
// happens to the router or to the requests before it.
#include <catch2/catch.hpp>

#include "scenario_runner.hpp"

using thornwick::testing::ScenarioRunner;

// Guards against requests that were read before SIGTERM or a drain and got no answer, because the connection
// was closed with the answer to the first of them (review/8).
TEST_CASE("pipelines: requests that were sent before a shutdown or a drain are all answered") {
  const std::string event = GENERATE("router close", "call1 send LEAVE\\n\ncall1 expect +OK");
  ScenarioRunner runner({.ops = "127.0.0.1:0"});
  runner.run("client1 send $ask(r1)$ask(r2)$ask(r3)\nattempt1 expect X-Request-ID: r1\n" + event + R"(
    attempt1 send $stream$delta(one)$done
    client1 expect Connection: keep-alive\r\n
    client1 expect $delta(one)
    client1 expect \r\n0\r\n\r\n
    attempt2 expect X-Request-ID: r2
    attempt2 send $stream$delta(two)$done
    client1 expect Connection: keep-alive\r\n
    client1 expect $delta(two)
    client1 expect \r\n0\r\n\r\n
    attempt3 expect X-Request-ID: r3
    attempt3 send $stream$delta(three)$done
    client1 expect Connection: close\r\n
    client1 expect $delta(three)
    client1 expect \r\n0\r\n\r\n
    client1 expect close
    router expect served=3
    router expect clients=0
  )");
}

// Guards against the same where the head of the answer had announced that the connection stays open.
TEST_CASE("pipelines: requests behind a stream that began before a shutdown are answered") {
  ScenarioRunner runner;
  runner.run(R"(
    client1 send $ask(r1)
    attempt1 send $stream$delta(one)
    client1 expect Connection: keep-alive\r\n
    client1 expect $delta(one)
    router close
    client1 send $ask(r2)
    attempt1 send $done
    client1 expect \r\n0\r\n\r\n
    attempt2 expect X-Request-ID: r2
    attempt2 send $stream$delta(two)$done
    client1 expect Connection: close\r\n
    client1 expect \r\n0\r\n\r\n
    client1 expect close
    router expect served=2
  )");
}

TEST_CASE("pipelines: requests whose turn comes too late after SIGTERM are each rejected at once") {
  ScenarioRunner runner;
  runner.run(R"(
    client1 send $ask(r1)$ask(r2)$ask(r3)
    attempt1 expect X-Request-ID: r1
    router close
    stall 700
    attempt1 send $stream$delta(one)$done
    client1 expect \r\n0\r\n\r\n
    client1 expect HTTP/1.1 503 
    client1 expect Connection: keep-alive\r\n
    client1 expect HTTP/1.1 503 
    client1 expect Connection: close\r\n
    client1 expect "}}
    client1 expect close
    router expect attempts=1
    router expect clients=0
  )");
}

// Guards against requests that are lost behind one that is refused.
TEST_CASE("pipelines: a request that is refused does not take those behind it with it") {
  struct Refusal {
    std::string request;
    std::string status;
  };
  const Refusal refusal = GENERATE(
      Refusal{"$ask(r1)", "HTTP/1.1 409 "}, Refusal{"GET /nothing HTTP/1.1\\r\\n\\r\\n", "HTTP/1.1 404 "},
      Refusal{"POST /v1/chat/completions HTTP/1.1\\r\\nContent-Length: 2\\r\\n\\r\\n{}", "HTTP/1.1 400 "});
  ScenarioRunner runner({.replicas = 2});
  runner.run("client1 send $ask(r1)\nattempt1 expect X-Request-ID: r1\nclient2 send " + refusal.request +
             "$ask(r2)\nclient2 expect " + refusal.status + R"(
    client2 expect Connection: keep-alive\r\n
    attempt2 expect X-Request-ID: r2
    attempt2 send $stream$delta(two)$done
    client2 expect \r\n0\r\n\r\n
    router expect served=1
  )");
}

TEST_CASE(
    "pipelines: in a crowd each request is rejected, also those behind others and after a shutdown began") {
  ScenarioRunner runner({.max_clients = 1});
  runner.run(R"(
    client1 send $ask(r1)
    attempt1 expect X-Request-ID: r1
    client2 send $ask(r2)$ask(r3)
    client3 send $ask(r4)
    client4 send $ask(r5)
    router close
    client2 expect HTTP/1.1 503 
    client2 expect HTTP/1.1 503 
    client3 expect HTTP/1.1 503 
    client4 expect HTTP/1.1 503 
    attempt1 send $stream$delta(one)$done
    client1 expect \r\n0\r\n\r\n
    router expect attempts=1
    router expect crowded=4
  )");
}

// Guards against a request that is sent on after its client's time, which had passed while it waited behind
// others.
TEST_CASE("pipelines: the time limit of a request counts from its arrival, also behind others") {
  ScenarioRunner runner;
  runner.run(R"(
    client1 send $ask(r1)
    client1 send POST /v1/chat/completions HTTP/1.1\r\nX-Request-ID: r2\r\nX-Priority-Class: quick\r\nX-Tenant-Id: acme\r\nX-Timeout-Ms: 300\r\nX-Attrs: prompt_len=4,max_out=4\r\nContent-Length: 2\r\n\r\n{}
    attempt1 expect X-Request-ID: r1
    wait 400
    attempt1 send $stream$delta(one)$done
    client1 expect \r\n0\r\n\r\n
    client1 expect HTTP/1.1 503 
    router expect attempts=1
    client1 send $ask(r3)
    attempt2 expect X-Request-ID: r3
  )");
}
