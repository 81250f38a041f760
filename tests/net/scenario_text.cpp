#include "scenario_text.hpp"

#include <catch2/catch.hpp>
#include <cctype>
#include <sstream>

namespace thornwick::testing {
namespace {

std::string chunk(const std::string& text) {
  std::ostringstream out;
  out << std::hex << text.size() << "\r\n" << text << "\r\n";
  return out.str();
}

std::string post(const std::string& path, const std::string& id, const std::string& timeout_ms,
                 const std::string& body) {
  return "POST " + path + " HTTP/1.1\r\nHost: backend.local\r\nX-Request-ID: " + id +
         "\r\nX-Priority-Class: chat\r\nX-Tenant-Id: acme\r\nX-Timeout-Ms: " +
         (timeout_ms.empty() ? "8000" : timeout_ms) +
         "\r\nX-Attrs: prompt_len=40,max_out=50\r\nContent-Length: " + std::to_string(body.size()) +
         "\r\n\r\n" + body;
}

// Returns the text of a macro, $name or $name(argument). An argument may contain escapes, and a comma between
// two values.
std::string expand(const std::string& name, const std::string& argument) {
  const auto comma = argument.find(',');
  const std::string first = argument.substr(0, comma);
  const std::string second = comma == std::string::npos ? "" : argument.substr(comma + 1);
  if (name == "ask") {
    return post("/v1/chat/completions", first, second,
                R"({"model":"m","stream":true,"max_tokens":50,"messages":[{"role":"user","content":"hi"}]})");
  }
  if (name == "raw") return post("/v1/chat/completions", first, "", second);
  if (name == "say") {
    return post("/v1/messages", first, second,
                R"({"model":"m","stream":true,"max_tokens":50,"system":"be brief",)"
                R"("messages":[{"role":"user","content":[{"type":"text","text":"hi"}]}]})");
  }
  if (name == "stream") {
    return "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n";
  }
  if (name == "chunk") return chunk(argument);
  if (name == "delta") {
    return chunk("data: {\"choices\":[{\"index\":0,\"delta\":{\"content\":\"" + argument +
                 "\"},\"finish_reason\":null}]}\n\n");
  }
  if (name == "done") {
    return chunk(
               "data: {\"choices\":[],\"usage\":{\"prompt_tokens\":40,\"completion_tokens\":2,"
               "\"prompt_tokens_details\":{\"cached_tokens\":16}}}\n\ndata: [DONE]\n\n") +
           chunk(": X-Server-Load: eps=0,queue=1\n") + "0\r\n\r\n";
  }
  if (name == "full") return "HTTP/1.1 503 Busy\r\nX-Not-Processed: 1\r\nContent-Length: 0\r\n\r\n";
  if (name == "error") return "HTTP/1.1 500 Broken\r\nContent-Length: 0\r\n\r\n";
  if (name == "event")
    return chunk("event: " + first + "\ndata: {\"type\":\"" + first + "\"" + second + "}\n\n");
  if (name == "json") {
    return "HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(argument.size()) + "\r\n\r\n" + argument;
  }
  if (name == "fill") return std::string(static_cast<std::size_t>(std::stoul(argument)), 'x');
  FAIL("unknown macro in a scenario: $" << name);
  return {};
}

// Returns the character for which a backslash and `escaped` stand.
char unescape(char escaped) {
  if (escaped == 'r') return '\r';
  if (escaped == 'n') return '\n';
  return escaped;
}

// Expands the macro whose dollar sign is at `position`, and moves `position` to the macro's last character.
std::string expand_macro(const std::string& text, std::size_t& position) {
  std::string name;
  std::string argument;
  while (position + 1 < text.size() && std::islower(text[position + 1])) name += text[++position];
  if (position + 1 < text.size() && text[position + 1] == '(') {
    const auto end = text.find(')', position);
    argument = expand_text(text.substr(position + 2, end - position - 2));
    position = end;
  }
  return expand(name, argument);
}

}  // namespace

std::string expand_text(const std::string& text) {
  std::string out;
  for (std::size_t i = 0; i < text.size(); ++i) {
    if (text[i] == '\\' && i + 1 < text.size()) {
      out += unescape(text[++i]);
    } else if (text[i] == '$') {
      out += expand_macro(text, i);
    } else {
      out += text[i];
    }
  }
  return out;
}

}  // namespace thornwick::testing
