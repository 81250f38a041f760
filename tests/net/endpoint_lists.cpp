// Endpoint lists of discovery: watches, failed calls, bad entries, new addresses and replicas that are
// replaced.
#include <catch2/catch.hpp>

#include "scenario_runner.hpp"

using thornwick::testing::ScenarioRunner;

namespace {

// One entry of an endpoint list.
std::string entry(const std::string& uid, const std::string& endpoint, const std::string& state) {
  return R"({"uid":")" + uid + R"(","endpoint":")" + endpoint +
         R"(","az":"a","model":"m","pod_group":1,"state":")" + state +
         R"(","capacity_hint":1.0,"boot_ms":0})";
}

// Discovery answers the open call with changes, and gets the next call.
void answer_list(ScenarioRunner& runner, const std::string& revision, const std::string& entries) {
  const std::string body = R"({"rev":)" + revision + R"(,"all":false,"targets":[)" + entries + "]}";
  runner.send("list",
              "HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body);
  runner.expect("list", "GET /registry/instances?after=" + revision + "&");
}

}  // namespace

TEST_CASE("the endpoint list is watched again at once, and a drain takes effect") {
  ScenarioRunner runner;
  runner.run(R"(
    list expect GET /registry/instances?after=1&wait_ms=0 
    list send $json({"rev":2,"all":false,"targets":[]})
    list expect GET /registry/instances?after=2&wait_ms=2500 
    list send $json({"rev":3,"all":false,"targets":[{"uid":"s-01","state":"DRAINING"}]})
    list expect GET /registry/instances?after=3&wait_ms=2500 
    client1 send $ask(r1,300)
    client1 expect HTTP/1.1 503 
    router expect attempts=0
  )");
}

TEST_CASE(
    "entries with a duplicate uid, without a uid or without a usable address are counted and change nothing "
    "else") {
  ScenarioRunner runner;
  runner.run(R"(
    list expect GET /registry/instances?after=1&wait_ms=0 
    list send $json({"rev":2,"all":false,"targets":[{"uid":""},{"uid":"s-07","endpoint":"nowhere","state":"SERVING"},{"uid":"s-07","endpoint":"nowhere","state":"SERVING"},{}]})
    list expect GET /registry/instances?after=2&wait_ms=2500 
    router expect list_bad=4
    client1 served r1 by attempt1
    client1 served r2 by attempt1
    router expect attempts=2
  )");
}

// One deadline for all calls: none of these keeps the next one from coming, and each has its limit.
TEST_CASE(
    "whatever discovery does with a call, the next one is made, and the first good answer opens a watch") {
  ScenarioRunner runner({.replicas = 2});
  runner.run(R"(
    list expect GET /registry/instances?after=1&wait_ms=0 
    list send HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n
    list2 expect GET /registry/instances?after=1&wait_ms=0 
    list2 close
    list3 expect GET /registry/instances?after=1&wait_ms=0 
    # It says nothing.
    list4 expect GET /registry/instances?after=1&wait_ms=0 
    list4 send HTTP/1.1 200 OK\r\nContent-Length: 90\r\n\r\n{"rev":2,"all":false,
    # It stalls in the middle of the body.
    list5 expect GET /registry/instances?after=1&wait_ms=0 
    list5 send $json({"rev":2,"all":false,"targets":[{"uid":"s-01","state":"DRAINING"}]})
    list5 expect GET /registry/instances?after=2&wait_ms=2500 
    # A watch that falls silent is followed by a call that does not wait.
    list6 expect GET /registry/instances?after=2&wait_ms=0 
    list6 send $json({"rev":2,"all":false,"targets":[]})
    list6 expect GET /registry/instances?after=2&wait_ms=2500 
    client1 send $ask(r1)
    attempt1 expect X-Request-ID: r1
  )");
}

TEST_CASE("a failed call of discovery is retried, and the known list stays in use") {
  ScenarioRunner runner;
  runner.run(R"(
    list expect GET /registry/instances
    list send HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n
    router expect list_failures=1
    router expect list_calls=2
    client1 send $ask(r1)
    attempt1 expect X-Request-ID: r1
  )");
}

// Two targets at one address, one after the other: the second once would have got the first one's
// connections.
TEST_CASE(
    "a replica at a reused address gets connections of its own, and those of its predecessor are closed") {
  ScenarioRunner runner;
  runner.run(R"(
    client1 send $ask(r1)
    attempt1 expect "content":"hi"}]}
    attempt1 send $stream$delta(one)$done
    client1 expect \r\n0\r\n\r\n
    router expect lines=1
    list expect GET /registry/instances
  )");
  answer_list(
      runner, "2",
      entry("s-01", runner.replica(0), "DELETED") + "," + entry("s-02", runner.replica(0), "SERVING"));
  runner.run(R"(
    attempt1 expect close
    router expect lines=0
    client1 send $ask(r2)
    attempt2 expect X-Request-ID: r2\r\n
    attempt2 send $stream$delta(two)
    client1 expect $delta(two)
  )");
  // One that goes with a request in work may finish it, and then its connection is closed too.
  answer_list(runner, "3", entry("s-02", runner.replica(0), "DRAINING"));
  runner.run(R"(
    attempt2 send $done
    client1 expect \r\n0\r\n\r\n
    router expect served=2
    router expect lines=0
  )");
}

TEST_CASE("replicas that are gone are forgotten, and their numbers with them") {
  ScenarioRunner runner;
  runner.run("list expect GET /registry/instances");
  for (int i = 2; i < 300; ++i) {
    const std::string uid = "s-" + std::to_string(1000 + i);
    const std::string last = i == 2 ? "s-01" : "s-" + std::to_string(999 + i);
    answer_list(runner, std::to_string(i),
                entry(last, runner.replica(0), "DELETED") + "," + entry(uid, runner.replica(0), "SERVING"));
  }
  CHECK(runner.replica_count() <= 80);
  // Another uid with the number of one that has gone just now: it gets that number, as at a router that never
  // knew the first.
  answer_list(
      runner, "300",
      entry("s-1299", runner.replica(0), "DELETED") + "," + entry("t-1299", runner.replica(0), "SERVING"));
  CHECK(runner.replica_count() <= 80);
  runner.run("client1 send $ask(r1)\nattempt1 expect X-Request-ID: r1\\r\\n");
}

TEST_CASE(
    "a new address of discovery is called for its whole list at once, and answers of the old one are "
    "ignored") {
  ScenarioRunner runner;
  runner.run(R"(
    list expect GET /registry/instances?after=1&wait_ms=0 
    list send $json({"rev":7,"all":false,"targets":[]})
    list expect GET /registry/instances?after=7&wait_ms=2500 
    router turn
    newlist expect GET /registry/instances HTTP/1.1\r\n
    list expect Host: 
    list expect \r\n\r\n
    list expect close
    # The targets stay until the new list tells, also while the router winds down.
    client1 served r1 by attempt1
    router close
    newlist send $json({"rev":2,"all":true,"targets":[]})
    newlist expect GET /registry/instances?after=2&wait_ms=2500 
    client1 send $ask(r2,300)
    client1 expect HTTP/1.1 503 
    router expect attempts=1
    router expect reloads=1
    router expect list_failures=0
  )");
}

TEST_CASE("a new address of discovery during an answer of the old one starts a new call") {
  ScenarioRunner runner;
  runner.run(R"(
    list expect GET /registry/instances
    list send HTTP/1.1 200 OK\r\nContent-Length: 40\r\n\r\n{"rev":9,
    router turn
    newlist expect GET /registry/instances HTTP/1.1\r\n
    newlist send HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n
    newlist2 expect GET /registry/instances HTTP/1.1\r\n
    newlist2 send $json({"rev":1,"all":true,"targets":[]})
    newlist2 expect GET /registry/instances?after=1&wait_ms=2500 
  )");
}

TEST_CASE("the router is ready once it has an endpoint list") {
  ScenarioRunner runner;
  runner.run(R"(
    client1 send GET /health/ready HTTP/1.1\r\n\r\n
    client1 expect HTTP/1.1 200 OK\r\n
  )");
}

TEST_CASE("an indented endpoint list that arrives in pieces takes effect with its last byte and not before") {
  const std::string uid =
      GENERATE(as<std::string>(), R"([])", R"([ { "uid" : "s-01" ,\n    "state" : "DRAINING" } ])");
  const std::string body = "{\\n  \"rev\" : 2,\\n  \"all\" : true,\\n  \"targets\" : " + uid + "\\n";
  ScenarioRunner runner;
  runner.run(R"(
    list expect GET /registry/instances?after=1&wait_ms=0 
    list send HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n
  )");
  runner.run("list send $chunk(" + body + ")");
  runner.run(R"(
    client1 served r1 by attempt1
    list send 1\r\n}\r\n0\r\n\r\n
    client1 send $ask(r2,300)
    client1 expect HTTP/1.1 503 
    list expect GET /registry/instances?after=2&wait_ms=2500 
    router expect attempts=1
  )");
}

TEST_CASE(
    "a failure just after an answer of discovery, or bytes after it, cost one call and lose no change") {
  const std::string then = GENERATE(as<std::string>(), "list reset", "list close",
                                    "list send $json({\"rev\":9,\"all\":true,\"targets\":[]})");
  ScenarioRunner runner;
  runner.run(R"(
    list expect GET /registry/instances?after=1&wait_ms=0 
    list send $json({"rev":2,"all":false,"targets":[]})
    list expect GET /registry/instances?after=2&wait_ms=2500 
    list send $json({"rev":3,"all":false,"targets":[]})
  )" + then +
             R"(
    router expect list_calls=4
    client1 send $ask(r1)
    attempt1 expect X-Request-ID: r1\r\n
  )");
}
