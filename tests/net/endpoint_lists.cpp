// Endpoint lists of discovery: watches, failed calls, invalid entries, new addresses of discovery, and
// replaced replicas.
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

// Makes discovery answer the open call with changes, and waits for the next call.
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

// Each call has a time limit of its own, so that no call can keep the next call from being made.
TEST_CASE(
    "whatever discovery does with a call, the next call is made, and the first valid answer opens a watch") {
  ScenarioRunner runner({.replicas = 2});
  runner.run(R"(
    list expect GET /registry/instances?after=1&wait_ms=0 
    list send HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n
    list2 expect GET /registry/instances?after=1&wait_ms=0 
    list2 close
    list3 expect GET /registry/instances?after=1&wait_ms=0 
    # list3 gets no answer.
    list4 expect GET /registry/instances?after=1&wait_ms=0 
    list4 send HTTP/1.1 200 OK\r\nContent-Length: 90\r\n\r\n{"rev":2,"all":false,
    # The answer on list4 stalls in the middle of the body.
    list5 expect GET /registry/instances?after=1&wait_ms=0 
    list5 send $json({"rev":2,"all":false,"targets":[{"uid":"s-01","state":"DRAINING"}]})
    list5 expect GET /registry/instances?after=2&wait_ms=2500 
    # A watch without an answer in time is followed by a call that does not wait.
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

// Guards against a router that uses connections to a removed replica for another replica at the same address.
TEST_CASE("a replica at a reused address gets new connections, and those to the earlier replica are closed") {
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
  // A replica that drains with a request in flight may complete it; then its connection is closed as well.
  answer_list(runner, "3", entry("s-02", runner.replica(0), "DRAINING"));
  runner.run(R"(
    attempt2 send $done
    client1 expect \r\n0\r\n\r\n
    router expect served=2
    router expect lines=0
  )");
}

TEST_CASE("removed replicas are forgotten, and their ids can be assigned again") {
  ScenarioRunner runner;
  runner.run("list expect GET /registry/instances");
  for (int i = 2; i < 300; ++i) {
    const std::string added = "s-" + std::to_string(1000 + i);
    const std::string removed = i == 2 ? "s-01" : "s-" + std::to_string(999 + i);
    answer_list(
        runner, std::to_string(i),
        entry(removed, runner.replica(0), "DELETED") + "," + entry(added, runner.replica(0), "SERVING"));
  }
  CHECK(runner.replica_count() <= 80);
  // A new uid whose preferred id belonged to a replica that was removed just now gets that id, as it does at
  // a router that never knew the removed replica.
  answer_list(
      runner, "300",
      entry("s-1299", runner.replica(0), "DELETED") + "," + entry("t-1299", runner.replica(0), "SERVING"));
  CHECK(runner.replica_count() <= 80);
  runner.run("client1 send $ask(r1)\nattempt1 expect X-Request-ID: r1\\r\\n");
}

// Guards against requests to a draining replica: a change was noted under the id of a removed replica whose
// uid ends alike.
TEST_CASE("a change of a replica takes effect after the removal of one whose uid ends alike") {
  struct Uids {
    std::string removed, remaining;
  };
  const auto uids = GENERATE(
      values<Uids>({{"k7-2a", "q3-2a"}, {"fast-1", "standard-1"}, {"a-5be2a07c", "b-5be2a07c"}, {"x", "y"}}));
  const bool removed_first = GENERATE(true, false);
  const std::string state = GENERATE(as<std::string>(), "DRAINING", "DELETED");
  ScenarioRunner runner({.replicas = 2});
  runner.run("list expect GET /registry/instances");
  const std::string removed = entry(uids.removed, runner.replica(0), "SERVING");
  const std::string remaining = entry(uids.remaining, runner.replica(1), "SERVING");
  answer_list(runner, "2",
              entry("s-01", runner.replica(0), "DELETED") + "," +
                  entry("s-02", runner.replica(1), "DELETED") + "," +
                  (removed_first ? removed + "," + remaining : remaining + "," + removed));
  answer_list(runner, "3", entry(uids.removed, runner.replica(0), "DELETED"));
  runner.run("client1 served r1 by attempt1");
  answer_list(runner, "4", entry(uids.remaining, runner.replica(1), state));
  runner.run(R"(
    client1 send $ask(r2,300)
    client1 expect HTTP/1.1 503 
    router expect attempts=1
  )");
}

// HTTP/1.1 allows an answer without a length or chunks; each such list was taken for a broken call.
TEST_CASE("a list that ends with its connection takes effect, unless it is cut") {
  ScenarioRunner runner;
  runner.run(R"(
    list expect GET /registry/instances?after=1&wait_ms=0 
    list send HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n{"rev":2,"all":false,"targets":[]}
    list close
    list2 expect GET /registry/instances?after=2&wait_ms=2500 
    list2 send HTTP/1.1 200 OK\r\n\r\n{"rev":3,"all":true,"targ
    list2 close
    router expect list_failures=1
    list3 expect GET /registry/instances?after=2&wait_ms=0 
    list3 send HTTP/1.1 200 OK\r\n\r\n{"rev":3,"all":false,"targets":[{"uid":"s-01","state":"DRAINING"}]}
    list3 close
    list4 expect GET /registry/instances?after=3&wait_ms=2500 
    client1 send $ask(r1,300)
    client1 expect HTTP/1.1 503 
    router expect attempts=0
  )");
}

TEST_CASE(
    "a new address of discovery is called for its full list at once, and answers of the old address are "
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
    # The replicas stay until the new list comes, also while the router shuts down.
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

TEST_CASE("a new address of discovery during an answer of the old address starts a new call") {
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
  const std::string targets =
      GENERATE(as<std::string>(), R"([])", R"([ { "uid" : "s-01" ,\n    "state" : "DRAINING" } ])");
  const std::string body = "{\\n  \"rev\" : 2,\\n  \"all\" : true,\\n  \"targets\" : " + targets + "\\n";
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
  const std::string failure = GENERATE(as<std::string>(), "list reset", "list close",
                                       "list send $json({\"rev\":9,\"all\":true,\"targets\":[]})");
  ScenarioRunner runner;
  runner.run(R"(
    list expect GET /registry/instances?after=1&wait_ms=0 
    list send $json({"rev":2,"all":false,"targets":[]})
    list expect GET /registry/instances?after=2&wait_ms=2500 
    list send $json({"rev":3,"all":false,"targets":[]})
  )" + failure +
             R"(
    router expect list_calls=4
    client1 send $ask(r1)
    attempt1 expect X-Request-ID: r1\r\n
  )");
}
