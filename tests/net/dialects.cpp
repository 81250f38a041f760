// Clients of both dialects with replicas of both dialects: recorded streams, rejections, errors and broken
// streams.
#include <simdjson.h>

#include <catch2/catch.hpp>
#include <fstream>
#include <sstream>

#include "scenario_runner.hpp"

using thornwick::testing::ScenarioRunner;
using thornwick::testing::Setup;

namespace {

std::string recorded_stream(const std::string& dialect) {
  std::ifstream file(std::string(THORNWICK_STREAMS) + "/" + dialect + ".sse");
  std::ostringstream text;
  text << file.rdbuf();
  REQUIRE(!text.str().empty());
  return text.str();
}

// The contents of a stream for a client, read without the router's code.
struct StreamSummary {
  std::string text;
  std::string reason;
  std::uint64_t prompt = 0;
  std::uint64_t generated = 0;
  std::uint64_t cached = 0;
  int terminal_events = 0;
  bool operator==(const StreamSummary&) const = default;
};

std::string decode_chunks(const std::string& raw) {
  std::string out;
  for (std::size_t at = raw.find("\r\n\r\n") + 4; at < raw.size();) {
    const auto end = raw.find("\r\n", at);
    const auto size = std::stoul(raw.substr(at, end - at), nullptr, 16);
    out += raw.substr(end + 2, size);
    at = end + 4 + size;
  }
  return out;
}

StreamSummary read_stream(const std::string& stream) {
  StreamSummary summary;
  simdjson::dom::parser parser;
  std::istringstream lines(stream);
  const auto append_text = [](std::string& to, auto value) {
    if (std::string_view text; value.get(text) == simdjson::SUCCESS) to += text;
  };
  const auto read_count = [](std::uint64_t& to, auto value) {
    if (std::uint64_t number = 0; value.get(number) == simdjson::SUCCESS) to = number;
  };
  std::uint64_t uncached = 0;
  for (std::string line; std::getline(lines, line);) {
    if (!line.starts_with("data: ")) continue;
    if (line == "data: [DONE]") {
      ++summary.terminal_events;
      continue;
    }
    const auto json = parser.parse(line.substr(6)).value();
    if (json["type"].error() != simdjson::SUCCESS) {
      append_text(summary.text, json.at_pointer("/choices/0/delta/content"));
      append_text(summary.reason, json.at_pointer("/choices/0/finish_reason"));
      read_count(summary.prompt, json.at_pointer("/usage/prompt_tokens"));
      read_count(summary.generated, json.at_pointer("/usage/completion_tokens"));
      read_count(summary.cached, json.at_pointer("/usage/prompt_tokens_details/cached_tokens"));
      continue;
    }
    if (std::string_view(json["type"]) == "message_stop") ++summary.terminal_events;
    append_text(summary.text, json.at_pointer("/delta/text"));
    append_text(summary.reason, json.at_pointer("/delta/stop_reason"));
    for (const std::string at : {"/message/usage", "/usage"}) {
      read_count(uncached, json.at_pointer(at + "/input_tokens"));
      read_count(summary.cached, json.at_pointer(at + "/cache_read_input_tokens"));
      read_count(summary.generated, json.at_pointer(at + "/output_tokens"));
    }
    summary.prompt = uncached + summary.cached;
  }
  if (summary.reason == "max_tokens") summary.reason = "length";
  return summary;
}

}  // namespace

TEST_CASE("recorded streams of both dialects give clients of both dialects the same text and token counts") {
  const std::string client = GENERATE("client", "writer");
  const std::string replica = GENERATE("platform", "messages");
  const std::size_t piece_bytes = GENERATE(7, 100'000);  // split frames, and the complete stream at once
  CAPTURE(client, replica, piece_bytes);
  ScenarioRunner runner({.replica_dialect = replica});
  const bool platform_client = client == "client";
  runner.run(client + " send " + (platform_client ? "$ask(r1)" : "$say(r1)"));
  runner.run(replica == "platform" ? "attempt1 expect POST /v1/chat/completions "
                                   : "attempt1 expect POST /v1/messages ");
  runner.run(
      "attempt1 expect X-Request-ID: r1\\r\\n\nattempt1 expect \"max_tokens\":50\nattempt1 send $stream");
  const std::string stream = recorded_stream(replica);
  for (std::size_t position = 0; position < stream.size(); position += piece_bytes) {
    std::ostringstream chunk;
    const std::string data = stream.substr(position, piece_bytes);
    chunk << std::hex << data.size() << "\r\n" << data << "\r\n";
    runner.send("attempt1", chunk.str());
  }
  runner.run("attempt1 send 0\\r\\n\\r\\n\n" + client +
             " expect \\r\\n0\\r\\n\\r\\n\nrouter expect served=1");
  const std::string received = decode_chunks(runner.received(client));
  const bool same_dialect = platform_client == (replica == "platform");
  if (same_dialect) CHECK(received == stream);  // byte for byte
  CHECK(received.find("event: ") == (platform_client ? std::string::npos : 0));
  const StreamSummary expected{"Bula, \"lab\"\nthe suite \u00e9 passed. Done", "length", 5120, 12, 4096, 1};
  CHECK(read_stream(received) == expected);
}

TEST_CASE("a translated request keeps the system prompt and the turns") {
  ScenarioRunner runner({.replica_dialect = "platform"});
  runner.run(R"(
    writer1 send $say(r1)
    attempt1 expect "messages":[{"role":"system","content":"be brief"},{"role":"user","content":"hi"}]
    attempt1 send $stream$delta(one)$done
    writer1 expect event: message_start
    writer1 expect event: content_block_start
    writer1 expect "text":"one"
    writer1 expect event: content_block_stop
    writer1 expect event: message_delta
    writer1 expect event: message_stop
    writer1 expect \r\n0\r\n\r\n
  )");
}

TEST_CASE("rejections, errors and deadlines are answered in the client's dialect") {
  ScenarioRunner runner({.replica_dialect = "messages"});
  runner.run(R"(
    writer1 send $say(r1)
    attempt1 send $full
    writer1 expect HTTP/1.1 529 Overloaded\r\n
    writer1 expect Retry-After: 
    writer1 expect {"type":"error","error":{"type":"overloaded_error"
    writer1 send $say(r2,150)
    attempt2 expect X-Request-ID: r2\r\n
    writer1 expect HTTP/1.1 529 
    writer1 expect Retry-After: 
    writer1 send POST /v1/messages HTTP/1.1\r\nX-Request-ID: r3\r\n\r\n
    writer1 expect HTTP/1.1 400 
    writer1 expect {"type":"error","error":{"type":"invalid_request_error"
    client1 send $ask(r4)
    attempt3 send HTTP/1.1 529 Overloaded\r\nContent-Length: 0\r\n\r\n
    client1 expect {"error":{"type":"overloaded"
    router expect attempt_full=2
  )");
}

TEST_CASE(
    "an error event after partial output is forwarded, and the stream is broken off without another "
    "attempt") {
  const std::string client = GENERATE("client", "writer");
  ScenarioRunner runner({.replicas = 2, .replica_dialect = "messages"});
  runner.run(client + " send " + (client == "client" ? "$ask(r1)" : "$say(r1)") + R"(
    attempt1 send $stream$event(message_start,,"message":{"usage":{"input_tokens":1}})
    attempt1 send $event(content_block_delta,,"index":0,"delta":{"type":"text_delta","text":"one"})
    attempt1 send $event(error,,"error":{"type":"api_error","message":"it fell over"})0\r\n\r\n
  )");
  runner.run(
      client + " expect one\n" + client + " expect it fell over\n" + client + " expect \"}}\\n\\n\\r\\n\n" +
      client +
      " expect close\nrouter expect broken=1\nrouter expect attempts=1\nrouter expect attempt_error=1");
}

TEST_CASE("an error event before any output leads to a retry") {
  ScenarioRunner runner({.replicas = 2, .replica_dialect = "messages"});
  runner.run(R"(
    writer1 send $say(r1)
    attempt1 send $stream$event(error,,"error":{"type":"overloaded_error","message":"busy"})0\r\n\r\n
    attempt2 send $stream$event(message_start,,"message":{"usage":{}})$event(message_stop)0\r\n\r\n
    writer1 expect event: message_stop
    writer1 expect \r\n0\r\n\r\n
    router expect attempt_error=1
  )");
}

TEST_CASE("a stream that ends with an unknown event is complete only after its terminal event") {
  const std::string terminal = GENERATE("", "$event(message_stop)");
  ScenarioRunner runner({.replica_dialect = "messages"});
  runner.run(R"(
    writer1 send $say(r1)
    attempt1 send $stream$event(message_start,,"message":{"usage":{}}))" +
             terminal + R"($event(farewell)0\r\n\r\n
    writer1 expect event: farewell\ndata: {"type":"farewell"}\n\n\r\n
  )");
  runner.run(terminal.empty() ? "writer1 expect close\nrouter expect broken=1"
                              : "writer1 expect 0\\r\\n\\r\\n\nrouter expect served=1");
}

TEST_CASE("translation drops unknown events and turns pings into comments") {
  ScenarioRunner runner({.replica_dialect = "messages"});
  runner.run(R"(
    client1 send $ask(r1)
    attempt1 send $stream$event(message_start,,"message":{"usage":{}})$event(novelty)$event(ping)
    client1 expect "role":"assistant"
    client1 expect \r\n8\r\n: ping\n\n\r\n
    attempt1 send $event(novelty)0\r\n\r\n
    client1 expect close
    router expect broken=1
  )");
}
