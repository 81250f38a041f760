// Scenarios of the admin endpoint: calls, metrics, callers that break the protocol, and a drain.
#include <catch2/catch.hpp>

#include "scenario_runner.hpp"

using thornwick::testing::ScenarioRunner;
using thornwick::testing::Setup;

namespace {
const Setup kWithAdminEndpoint = {.ops = "127.0.0.1:0"};
}

TEST_CASE(
    "the admin endpoint answers its calls, also a line in pieces and a line with CRLF, and rejects unknown "
    "calls") {
  ScenarioRunner runner(kWithAdminEndpoint);
  runner.run(R"(
    call1 send HEALTH\n
    call1 expect +OK serving\n
    call1 expect close
    call2 send HEA
    call3 send LEAVE now\n
    call3 expect -ERR the calls are HEALTH, DUMP, LEAVE and JOIN\n
    call3 expect close
    call2 send LTH\r\n
    call2 expect +OK serving\n
    call2 expect close
    call4 send JOIN\nLEAVE\n
    call4 expect -ERR one line to a connection\n
    call5 send $fill(300)
    call5 expect -ERR the line is too long\n
    call6 send \n
    call6 expect -ERR
    call7 send JOIN\n
    call7 expect +OK serving\n
    call8 send DUMP\n
    call8 expect +OK\n
    call8 expect svc_transactions_total{group="chat",state="answered"} 0\n
    call8 expect svc_cluster_size 1\n
    call8 expect \n.\n
    call8 expect close
    router expect bad_calls=4
  )");
}

TEST_CASE("callers that send no complete line never block a caller that sends a call") {
  ScenarioRunner runner(kWithAdminEndpoint);
  for (int i = 100; i < 130; ++i) runner.send("call" + std::to_string(i), i % 2 == 0 ? "HEAL" : "");
  runner.run(R"(
    call1 send HEALTH\n
    call1 expect +OK serving\n
    call1 expect close
    call129 expect -ERR no whole line in time\n
    call129 expect close
  )");
}

TEST_CASE("the metrics count the answers to clients and the attempts at replicas") {
  ScenarioRunner runner({.replicas = 2, .ops = "127.0.0.1:0"});
  runner.run(R"(
    client1 send $ask(r1)
    attempt1 expect r1
    call1 send DUMP\n
    call1 expect svc_sends_total 1\n
    call1 expect svc_current 1\n
    attempt1 send $error
    attempt2 send $stream$delta(one)$done
    client1 expect \r\n0\r\n\r\n
    client1 send $ask(r2)
    attempt3 send $stream$delta(one)
    client1 expect $delta(one)
    attempt3 close
    client1 expect close
    # Gone before its answer: not counted under any state.
    client2 send $ask(r3)
    attempt4 expect r3
    client2 close
    router expect gone=1
    # Cannot be read, or of no known class: no request of any class.
    client3 send POST /v1/chat/completions HTTP/1.1\r\nContent-Length: 0\r\nX-Priority-Class: nobody\r\nX-Request-ID: r4\r\n\r\n
    client3 expect HTTP/1.1 400
    call2 send DUMP\n
    call2 expect svc_transactions_total{group="chat",state="answered"} 1\n
    call2 expect svc_transactions_total{group="chat",state="deferred"} 0\n
    call2 expect svc_transactions_total{group="chat",state="errored"} 1\n
    call2 expect svc_sends_total 4\n
    call2 expect svc_current 0\n
  )");
}

TEST_CASE(
    "a drained router fails its health check at once, completes its requests, keeps no connection and "
    "returns by JOIN") {
  ScenarioRunner runner(kWithAdminEndpoint);
  runner.run(R"(
    client1 send $ask(r1)
    attempt1 send $stream$delta(one)
    client1 expect one
    client2 send GET /health/ready HTTP/1.1\r\n\r\n
    client2 expect HTTP/1.1 200 OK\r\n
    call1 send LEAVE\n
    call1 expect +OK drained\n
    call2 send LEAVE\n
    call2 expect +OK drained\n
    client2 send GET /health/ready HTTP/1.1\r\n\r\n
    client2 expect HTTP/1.1 503
    client2 expect Connection: close\r\n
    # New clients still come for a moment; their answers close.
    client3 send $ask(r2)
    attempt2 send $stream$delta(two)$done
    client3 expect Connection: close\r\n
    client3 expect \r\n0\r\n\r\n
    client3 expect close
    # One that says nothing is closed, and what comes late is refused at once.
    client4 send GET
    client5 expect close
    wait 1500
    client6 send $ask(r3)
    client6 expect HTTP/1.1 503
    client6 expect refused: try again later"}}
    client6 expect close
    call3 send HEALTH\n
    call3 expect +OK drained\n
    # The long stream that was open goes on to its end, and its connection closes with it.
    attempt1 send $delta(more)$done
    client1 expect more
    client1 expect \r\n0\r\n\r\n
    call4 send JOIN\n
    call4 expect +OK serving\n
    client7 send GET /health/ready HTTP/1.1\r\n\r\n
    client7 expect HTTP/1.1 200 OK\r\n
    client7 send $ask(r4)
    attempt3 send $stream$delta(three)$done
    client7 expect Connection: keep-alive\r\n
    client7 expect \r\n0\r\n\r\n
    call5 send DUMP\n
    call5 expect svc_transactions_total{group="chat",state="answered"} 3\n
    call5 expect svc_transactions_total{group="chat",state="deferred"} 1\n
  )");
}

TEST_CASE("SIGTERM ends a drained router too, and JOIN does not bring it back") {
  ScenarioRunner runner(kWithAdminEndpoint);
  runner.run(R"(
    call1 send LEAVE\n
    call1 expect +OK drained\n
    router close
    call2 send JOIN\n
    call2 expect -ERR winding-down\n
    call3 send HEALTH\n
    call3 expect -ERR winding-down\n
    router expect phase=winding-down
  )");
}

TEST_CASE("messages of all connections may arrive in fragments of any size") {
  for (const std::size_t piece : {1, 2, 3, 5, 7, 16, 61, 200}) {
    INFO("pieces of " << piece);
    ScenarioRunner runner(
        {.replicas = 3, .ops = "127.0.0.1:0", .settings = "registryMode=push\n", .fragment_bytes = piece});
    runner.run(R"(
      list expect after=1
      list send $json({"rev":2,"all":false,"targets":[{"uid":"s-03","state":"DRAINING"}]})
      list expect after=2
      client1 send $ask(r1)
      attempt1 expect POST /v1/chat/completions HTTP/1.1\r\n
      attempt1 send $full
      attempt2 expect {"model":"m","stream":true,"max_tokens":50,"messages":[{"role":"user","content":"hi"}]}
      attempt2 send $stream$delta(one)
      client1 expect HTTP/1.1 200 OK\r\n
      client1 expect $delta(one)
      attempt2 send $delta(two)$done
      client1 expect $delta(two)
      client1 expect data: [DONE]\n\n
      client1 expect \r\n0\r\n\r\n
      writer1 send $say(r2)
      attempt3 expect X-Request-ID: r2\r\n
      attempt3 send $error
      attempt4 send $stream$delta(three)$done
      writer1 expect message_start
      writer1 expect three
      writer1 expect message_stop
      call1 send LEAVE\r\n
      call1 expect +OK drained\n
      call1 expect close
      call2 send DUMP\n
      call2 expect state="answered"} 2\n
      call2 expect svc_sends_total 4\n
      call2 expect svc_cluster_size 3\n
      call2 expect \n.\n
      router expect list_failures=0
      router expect spoilt=0
    )");
  }
}
