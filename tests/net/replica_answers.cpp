// Answers of replicas that break off, are malformed, come too early or come twice, and load reports.
#include <catch2/catch.hpp>

#include "net/load_report.hpp"
#include "scenario_runner.hpp"

using thornwick::testing::ScenarioRunner;

TEST_CASE(
    "a stream that breaks closes the client's connection, without the last chunk and without another "
    "attempt") {
  ScenarioRunner runner({.replicas = 2});
  runner.run(R"(
    client1 send $ask(r1)
    attempt1 send $stream$delta(one)
    client1 expect $delta(one)
    attempt1 close
    client1 expect close
    router expect broken=1
    router expect attempts=1
  )");
}

TEST_CASE("a stream without its terminal event is not complete, even with its last chunk") {
  ScenarioRunner runner;
  runner.run(R"(
    client1 send $ask(r1)
    attempt1 send $stream$delta(one)0\r\n\r\n
    client1 expect $delta(one)
    client1 expect close
    router expect broken=1
  )");
}

TEST_CASE("a stream without further events is closed, so that its client can request the remaining events") {
  ScenarioRunner runner({.silence_timeout = 100'000});
  runner.run(R"(
    client1 send $ask(r1)
    attempt1 send $stream$delta(one)
    client1 expect $delta(one)
    client1 expect close
    attempt1 expect {"role":"user","content":"hi"}]}
    attempt1 expect close
    router expect silent=1
  )");
}

TEST_CASE(
    "an answer that is malformed before its first event fails the attempt, closes its connection, and leads "
    "to another attempt") {
  const std::string malformed =
      GENERATE(as<std::string>(), R"(noise\n)", R"(HTTP/1.1 101 Switching Protocols\r\n\r\n)",
               R"(HTTP/1.1 200 OK\r\nX: y)", R"($stream()zz\r\n)", R"($stream()b2d05e00\r\n\n\n\n)",
               R"($stream()3\r\ndata: {}\n\n)", R"($stream$chunk(noise\n\n))");
  ScenarioRunner runner({.replicas = 2});
  runner.run("client1 send $ask(r1)\nattempt1 expect X-Request-ID: r1\\r\\n\nattempt1 send " + malformed + R"(
    attempt2 expect X-Request-ID: r1\r\n
    attempt1 expect "content":"hi"}]}
    attempt1 expect close
    attempt2 send $stream$delta(one)$done
    client1 expect $delta(one)
    client1 expect \r\n0\r\n\r\n
    router expect spoilt=1
    router expect attempt_reset=1
    router expect served=1
  )");
}

// Guards against a second head inside a chunked body: the first one went out with the comment.
TEST_CASE("a comment before the first event does not begin the client's answer") {
  ScenarioRunner runner({.replicas = 2});
  runner.run(R"(
    client1 send $ask(r1)
    attempt1 send $stream$chunk(: lost\n\n)
    attempt1 reset
    attempt2 send $stream$chunk(: kept\n\n)$delta(one)$done
    client1 expect HTTP/1.1 200 OK\r\n
    client1 expect : kept\n\n
    client1 expect $delta(one)
    client1 expect \r\n0\r\n\r\n
    router expect served=1
  )");
  CHECK(runner.received("client1").find("lost") == std::string::npos);
}

TEST_CASE("a stream that ends after a comment alone brings one answer without a stream") {
  ScenarioRunner runner;
  runner.run(R"(
    client1 send $ask(r1,400)
    attempt1 send $stream$chunk(: lost\n\n)
    attempt1 reset
    client1 expect HTTP/1.1 50
    router expect served=0
  )");
  CHECK(runner.received("client1").find("200 OK") == std::string::npos);
}

TEST_CASE(
    "an answer that is malformed after its first event closes the client's connection without the last "
    "chunk") {
  const std::string malformed =
      GENERATE(as<std::string>(), R"(zz\r\n)", R"(b2d05e00\r\n\n\n\n)", R"(3\r\ndata: {}\n\n)",
               // A chunk size that includes the next chunk: the event would contain that chunk's size line.
               R"(22\r\ndata: {}\n\n\r\n10\r\ndata: {"a":"b"}\n\n\r\n)");
  ScenarioRunner runner({.replicas = 2});
  runner.run(
      "client1 send $ask(r1)\nattempt1 send $stream$delta(one)\nclient1 expect $delta(one)\nattempt1 send " +
      malformed + R"(
    router expect spoilt=1
    router expect broken=1
    router expect attempts=1
  )");
  CHECK(runner.received("client1").find("\r\n0\r\n\r\n") == std::string::npos);
  CHECK(runner.received("client1").find("data: {\"a\"") == std::string::npos);
  runner.run("attempt1 expect \"content\":\"hi\"}]}\nattempt1 expect close");
}

TEST_CASE("interim answers before the final one change nothing, however early they come") {
  ScenarioRunner runner;
  runner.run(R"(
    client1 send $ask(r1)
    attempt1 send HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n
    wait 400
    attempt1 send $stream$delta(one)$done
    client1 expect $delta(one)
    client1 expect \r\n0\r\n\r\n
    router expect served=1
    router expect lines=1
  )");
}

TEST_CASE("a second answer after the first never answers the next request") {
  const std::string separator =
      GENERATE(as<std::string>(), "", "\nclient1 expect \\r\\n0\\r\\n\\r\\n\nattempt1 send ");
  ScenarioRunner runner;
  runner.run("client1 send $ask(r1)\nattempt1 send $stream$delta(one)$done" + separator +
             R"($stream$delta(other)$done
    router expect lines=0
    client2 send $ask(r2)
    attempt2 expect X-Request-ID: r2\r\n
    attempt2 send $stream$delta(two)$done
    client2 expect $delta(two)
    client2 expect \r\n0\r\n\r\n
    router expect opened=2
  )");
  CHECK(runner.received("client2").find("other") == std::string::npos);
}

TEST_CASE("a malformed load report is ignored") {
  using thornwick::net::read_load_report;
  const std::vector<std::string> names = {"errors_per_s", "backlog"};
  CHECK(read_load_report("queue=3, eps=0.5, other=x", names) == std::vector<float>{0.5f, 3.0f});
  for (const auto* report : {"", "eps=1", "eps=nan,queue=1", "eps=inf,queue=1", "eps=-1,queue=1",
                             "eps=1,queue=2x", "eps=1,queue=1,queue=2", "eps=,queue=1"}) {
    INFO(report);
    CHECK(read_load_report(report, names).empty());
  }
}

TEST_CASE(
    "a stream that is cut after its last event is not complete, and a replica's drain or restart does not "
    "end a stream") {
  ScenarioRunner runner;
  runner.run(R"(
    client1 send $ask(r1)
    attempt1 send $stream$delta(one)
    client1 expect one
    list expect GET /registry/instances?after=1&wait_ms=0 
    list send $json({"rev":2,"all":false,"targets":[{"uid":"s-01","state":"SERVING","boot_ms":1800000000000}]})
    list expect GET /registry/instances?after=2&wait_ms=2500 
    attempt1 send $delta(two)
    client1 expect two
    list send $json({"rev":3,"all":false,"targets":[{"uid":"s-01","state":"DRAINING","boot_ms":1800000000000}]})
    list expect GET /registry/instances?after=3&wait_ms=2500 
    attempt1 send $chunk(data: [DONE]\n\n)
    attempt1 close
    client1 expect [DONE]\n\n
    client1 expect \r\n
    client1 expect close
    router expect broken=1
    router expect attempts=1
  )");
  CHECK(runner.received("client1").find("\r\n0\r\n\r\n") == std::string::npos);
}
