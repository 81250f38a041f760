// Dialects: the APIs that clients and replicas speak. A dialect maps requests, stream events and errors to
// the neutral ones of the core and back, on both sides. Depends on core and http; knows no sockets.
#pragma once

#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include "core/events.hpp"
#include "http/http.hpp"

namespace thornwick::fronts {

class Dialect;

// A request as its client sent it.
struct ClientRequest : core::Payload {
  const Dialect* dialect = nullptr;
  http::Head head;
  std::shared_ptr<const std::string> body;
};

// The parts of a chat request that both dialects have. Translation drops everything else in a body.
struct ChatRequest {
  struct Turn {
    std::string role;
    std::string text;
  };
  std::string model;
  std::uint64_t max_tokens = 0;
  bool stream = false;
  std::vector<Turn> turns;  // a system prompt, if any, is the first turn
  std::string temperature;  // a number as text; empty: not given
  std::string top_p;        // likewise
  std::vector<std::string> stops;
};

// The names of priority classes, tenants and models, which the settings number.
struct RequestNames {
  std::vector<std::string> classes;
  std::vector<std::string> tenants;  // empty: requests have none
  // Returns the number of the model with this name in the catalogue; 0 if the catalogue has no such model.
  // Empty if there is no catalogue; any model then goes to any replica.
  std::function<std::uint16_t(std::string_view)> model = {};
};

// Why the router itself answers with an error. Each dialect has its own status and error type for each.
enum class Rejection { bad_request, too_large, not_found, overloaded, over_limit, failed, timed_out };

// An error as a client of a dialect gets it: the HTTP status and the JSON body.
struct ErrorAnswer {
  int status = 500;
  std::string body;
};

// Reads the events of one answer, in order. It keeps state between events, because token counts are
// cumulative. A frame that is no known event is returned as EventKind::unknown. Does not throw.
class EventReader {
 public:
  virtual ~EventReader() = default;
  virtual core::StreamEvent read(std::string raw) = 0;
};

// Writes the events of one answer, in order, for a client of another dialect. write() returns an empty string
// where that dialect has no such event.
class EventWriter {
 public:
  virtual ~EventWriter() = default;
  virtual std::string write(const core::StreamEvent& event) = 0;
};

// One dialect. There is a single, stateless object of each, which lives as long as the program.
class Dialect {
 public:
  virtual ~Dialect() = default;
  // The dialect's name in the operator's file.
  virtual std::string_view name() const = 0;
  // The path of chat requests, on both sides.
  virtual std::string_view path() const = 0;
  // Reads the body of a chat request. Throws http::BadMessage (400) if it cannot be translated.
  virtual ChatRequest read_chat(std::string_view body) const = 0;
  virtual std::string write_chat(const ChatRequest& chat) const = 0;
  virtual std::unique_ptr<EventReader> event_reader() const = 0;
  virtual std::unique_ptr<EventWriter> event_writer(std::string_view request_id) const = 0;
  // Whether this answer of a replica proves that it never began the request, so that a repeat is harmless.
  virtual bool proves_not_started(const http::Head& answer) const = 0;
  virtual ErrorAnswer error(Rejection rejection, std::string_view message) const = 0;
  // The headers that report the client's remaining quota in this dialect. `now`: microseconds since 1970.
  virtual std::vector<http::Header> limit_headers(const Allowance& allowance, Time now) const = 0;
};

// Chat completions, the platform's own API.
const Dialect& platform_dialect();
// The messages API.
const Dialect& messages_dialect();
// The dialect of this name; null if there is none.
const Dialect* find_dialect(std::string_view name);

// Reads the request that a client's head and body describe. Its deadline counts from `now`, the time on the
// router's clock. Throws http::BadMessage with the status for the client.
[[nodiscard]] Request read_request(const ClientRequest& call, const RequestNames& names, Time now);

// One attempt as it is written to a replica.
struct AttemptBytes {
  std::string head;                         // first line and headers, with the blank line
  std::shared_ptr<const std::string> body;  // shared with the client's request where nothing had to change
};
// Writes one attempt for a replica that speaks the dialect `target`. If the client speaks it too, the body is
// the client's, byte for byte; otherwise it is translated. In both cases `wait` (microseconds) replaces the
// client's time limit, and `model`, unless empty, replaces the model in the body. Throws http::BadMessage if
// the body cannot be translated.
[[nodiscard]] AttemptBytes write_attempt(const ClientRequest& call, const Dialect& target, Time wait,
                                         std::string_view model = {});

// Returns the JSON object with another value for its top-level "model"; every other byte stays. Throws
// http::BadMessage (400) if `body` is no JSON object.
[[nodiscard]] std::string with_model(const std::string& body, std::string_view model);

}  // namespace thornwick::fronts
