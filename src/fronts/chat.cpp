#include "fronts/chat.hpp"

#include <algorithm>
#include <cstdio>
#include <ctime>

namespace thornwick::fronts {
namespace {

constexpr int kBadRequest = 400;

// Returns the number under this key as text; empty if there is no number.
std::string number_at(Json json, std::string_view key) {
  Json value;
  if (json.at_key(key).get(value) != simdjson::SUCCESS || !value.is_number()) return {};
  return simdjson::to_string(value);
}

}  // namespace

ChatBody::ChatBody(std::string_view text) {
  if (parser_.parse(text.data(), text.size()).get(root_) != simdjson::SUCCESS || !root_.is_object()) {
    throw http::BadMessage(kBadRequest, "the body is not JSON");
  }
}

ErrorKind ErrorKinds::of(Rejection rejection) const {
  switch (rejection) {
    case Rejection::bad_request: return bad_request;
    case Rejection::too_large: return too_large;
    case Rejection::not_found: return not_found;
    case Rejection::overloaded: return overloaded;
    case Rejection::over_limit: return over_limit;
    case Rejection::timed_out: return timed_out;
    case Rejection::failed: break;
  }
  return failed;
}

std::string error_member(std::string_view type, std::string_view message) {
  return R"("error":{"type":")" + std::string(type) + R"(","message":)" + json_text(message) + "}";
}

bool rejected_by_replica(const http::Head& answer) {
  return (answer.status == 503 || answer.status == 504) && answer.find("X-Not-Processed") != nullptr;
}

std::string token_text(double amount) {
  return std::to_string(static_cast<std::uint64_t>(std::max(0.0, amount)));
}

std::string seconds_text(Time duration) {
  char text[32];
  std::snprintf(text, sizeof text, "%.3f", static_cast<double>(duration) / static_cast<double>(seconds(1)));
  return text;
}

// Rounds up, so that the limit has been reset when a client has waited until this time.
std::string rfc3339_text(Time time) {
  const auto whole_seconds = static_cast<std::time_t>((time + seconds(1) - 1) / seconds(1));
  std::tm calendar_time{};
  gmtime_r(&whole_seconds, &calendar_time);
  char text[32];
  std::strftime(text, sizeof text, "%Y-%m-%dT%H:%M:%SZ", &calendar_time);
  return text;
}

std::string content_text(Json content) {
  std::string_view text;
  if (content.get(text) == simdjson::SUCCESS) return std::string(text);
  std::string all_parts;
  simdjson::dom::array parts;
  if (content.get(parts) != simdjson::SUCCESS) return all_parts;
  for (const Json part : parts) {
    if (!part.is_object() || text_at(part, "/type") != "text") {
      throw http::BadMessage(kBadRequest, "only text can be passed on to the other dialect");
    }
    all_parts += text_at(part, "/text");
  }
  return all_parts;
}

void read_common(Json json, ChatRequest& chat) {
  chat.model = text_at(json, "/model");
  chat.max_tokens = count_at(json, "/max_tokens");
  bool stream = false;
  chat.stream = json.at_key("stream").get(stream) == simdjson::SUCCESS && stream;
  chat.temperature = number_at(json, "temperature");
  chat.top_p = number_at(json, "top_p");
}

void read_turns(Json json, ChatRequest& chat) {
  simdjson::dom::array turns;
  if (json.at_key("messages").get(turns) != simdjson::SUCCESS)
    throw http::BadMessage(kBadRequest, "no messages");
  for (const Json turn : turns) {
    Json content;
    if (!turn.is_object() || turn.at_key("content").get(content) != simdjson::SUCCESS) {
      throw http::BadMessage(kBadRequest, "a message without content");
    }
    chat.turns.push_back({text_at(turn, "/role"), content_text(content)});
  }
}

void read_stop_sequences(Json json, std::string_view key, ChatRequest& chat) {
  Json stops;
  std::string_view one;
  simdjson::dom::array many;
  if (json.at_key(key).get(stops) != simdjson::SUCCESS) return;
  if (stops.get(one) == simdjson::SUCCESS) chat.stop_sequences.emplace_back(one);
  if (stops.get(many) != simdjson::SUCCESS) return;
  for (const Json stop : many) {
    if (stop.get(one) == simdjson::SUCCESS) chat.stop_sequences.emplace_back(one);
  }
}

std::string write_common(const ChatRequest& chat) {
  std::string text = "\"model\":" + json_text(chat.model) + ",\"stream\":" + (chat.stream ? "true" : "false");
  if (chat.max_tokens > 0) text += ",\"max_tokens\":" + std::to_string(chat.max_tokens);
  if (!chat.temperature.empty()) text += ",\"temperature\":" + chat.temperature;
  if (!chat.top_p.empty()) text += ",\"top_p\":" + chat.top_p;
  return text;
}

std::string write_stop_sequences(std::string_view key, const ChatRequest& chat) {
  if (chat.stop_sequences.empty()) return {};
  std::string text;
  for (const auto& stop : chat.stop_sequences) text += (text.empty() ? "" : ",") + json_text(stop);
  return ",\"" + std::string(key) + "\":[" + text + "]";
}

std::string write_turn(const ChatRequest::Turn& turn) {
  return "{\"role\":" + json_text(turn.role) + ",\"content\":" + json_text(turn.text) + "}";
}

}  // namespace thornwick::fronts
