// The platform's own dialect: chat completions, which are streamed as events without names and end with
// [DONE].
#include <utility>

#include "fronts/chat.hpp"
#include "fronts/frames.hpp"

namespace thornwick::fronts {
namespace {

using core::EventKind;
using core::StreamEvent;

// The status and the error type that clients of this dialect expect.
constexpr ErrorKinds kErrorKinds{.bad_request = {400, "invalid_request_error"},
                                 .too_large = {413, "invalid_request_error"},
                                 .not_found = {404, "not_found_error"},
                                 .overloaded = {503, "overloaded"},
                                 .over_limit = {429, "rate_limit_exceeded"},
                                 .failed = {502, "server_error"},
                                 .timed_out = {504, "timeout"}};

// Reads the events of a replica that uses this dialect.
class PlatformEventReader : public EventReader {
 public:
  StreamEvent read(std::string raw) override {
    StreamEvent event;
    const EventFrame frame = read_frame(raw);
    event.raw_frame = std::move(raw);
    if (!frame.has_data) {
      event.kind = frame.name.empty() ? EventKind::comment : EventKind::unknown;
      event.text = frame.name.empty() ? frame.comment : frame.name;
    } else if (frame.data == "[DONE]") {
      event.kind = EventKind::end;
    } else if (!frame.name.empty() && frame.name != "message") {
      event.text = frame.name;
    } else {
      read_data(frame.data, event);
    }
    return event;
  }

 private:
  void read_data(const std::string& data, StreamEvent& event) {
    Json json;
    if (parser_.parse(data).get(json) != simdjson::SUCCESS) return;
    event.model = text_at(json, "/model");
    Json member;
    if (json.at_key("error").get(member) == simdjson::SUCCESS) {
      event.kind = EventKind::error;
      event.text = text_at(json, "/error/message");
    } else if (json.at_key("usage").get(member) == simdjson::SUCCESS && member.is_object()) {
      event.kind = EventKind::usage;
      event.usage = {count_at(member, "/prompt_tokens"), count_at(member, "/completion_tokens"),
                     count_at(member, "/prompt_tokens_details/cached_tokens")};
    } else if (json.at_pointer("/choices/0/delta").get(member) == simdjson::SUCCESS) {
      event.text = text_at(member, "/content");
      event.kind =
          event.text.empty() && !text_at(member, "/role").empty() ? EventKind::start : EventKind::delta;
      // The event with the last piece of text may also contain the reason why the answer ended.
      if (const auto reason = text_at(json, "/choices/0/finish_reason"); !reason.empty()) {
        event.kind = EventKind::stop;
        event.final_text = std::exchange(event.text, reason);
      }
    }
  }

  simdjson::dom::parser parser_;
};

// Writes the events of an answer that comes in the other dialect.
class PlatformEventWriter : public EventWriter {
 public:
  std::string write(const StreamEvent& event) override {
    if (model_.empty()) model_ = event.model;
    switch (event.kind) {
      case EventKind::start: return choice_event(R"({"role":"assistant","content":""})", "null");
      case EventKind::delta: return choice_event("{\"content\":" + json_text(event.text) + "}", "null");
      case EventKind::stop:
        return choice_event(
                   event.final_text.empty() ? "{}" : "{\"content\":" + json_text(event.final_text) + "}",
                   json_text(event.text)) +
               (event.has_usage ? usage_event(event.usage) : std::string());
      case EventKind::usage: return usage_event(event.usage);
      case EventKind::end: return "data: [DONE]\n\n";
      case EventKind::error: return "data: {" + error_member(kErrorKinds.failed.type, event.text) + "}\n\n";
      case EventKind::ping: return ": ping\n\n";
      case EventKind::comment:
      case EventKind::unknown: break;
    }
    return {};
  }

 private:
  static std::string usage_event(const core::Usage& usage) {
    return R"(data: {"choices":[],"usage":{"prompt_tokens":)" + std::to_string(usage.prompt_tokens) +
           ",\"completion_tokens\":" + std::to_string(usage.generated_tokens) +
           R"(,"prompt_tokens_details":{"cached_tokens":)" + std::to_string(usage.cached_tokens) + "}}}\n\n";
  }

  std::string choice_event(const std::string& delta, const std::string& reason) const {
    return "data: {" + (model_.empty() ? std::string() : "\"model\":" + json_text(model_) + ",") +
           R"("choices":[{"index":0,"delta":)" + delta + ",\"finish_reason\":" + reason + "}]}\n\n";
  }

  std::string model_;  // the model's name in the replica's events
};

class PlatformDialect : public Dialect {
 public:
  std::string_view name() const override { return "platform"; }
  std::string_view path() const override { return "/v1/chat/completions"; }

  ChatRequest read_chat(std::string_view body) const override {
    const ChatBody parsed(body);
    const Json json = parsed.root();
    ChatRequest chat;
    read_common(json, chat);
    read_turns(json, chat);
    read_stop_sequences(json, "stop", chat);
    return chat;
  }

  std::string write_chat(const ChatRequest& chat) const override {
    std::string turns;
    for (const auto& turn : chat.turns) turns += (turns.empty() ? "" : ",") + write_turn(turn);
    return "{" + write_common(chat) + write_stop_sequences("stop", chat) + ",\"messages\":[" + turns + "]}";
  }

  std::unique_ptr<EventReader> event_reader() const override {
    return std::make_unique<PlatformEventReader>();
  }
  std::unique_ptr<EventWriter> event_writer(std::string_view) const override {
    return std::make_unique<PlatformEventWriter>();
  }

  bool proves_not_started(const http::Head& answer) const override { return rejected_by_replica(answer); }

  ErrorAnswer error(Rejection rejection, std::string_view message) const override {
    const ErrorKind kind = kErrorKinds.of(rejection);
    return {.status = kind.status, .body = "{" + error_member(kind.type, message) + "}"};
  }

  // The time of the reset is given as a duration from now.
  std::vector<http::Header> limit_headers(const Allowance& allowance, Time) const override {
    return {{"x-ratelimit-limit-tokens", token_text(allowance.limit)},
            {"x-ratelimit-remaining-tokens", token_text(allowance.remaining)},
            {"x-ratelimit-reset-tokens", seconds_text(allowance.reset_in) + "s"}};
  }
};

}  // namespace

const Dialect& platform_dialect() {
  static const PlatformDialect dialect;
  return dialect;
}

}  // namespace thornwick::fronts
