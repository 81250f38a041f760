// Dialects are the APIs that clients and replicas use. A dialect translates requests, stream events and
// errors between the API and the API-independent types of src/core, for clients and for replicas. Depends on
// core and http; uses no sockets.
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

// A request as the client sent it.
struct ClientRequest : core::Payload {
  const Dialect* dialect = nullptr;
  http::Head head;
  std::shared_ptr<const std::string> body;
};

// The members of a chat request that both dialects have. Translation drops all other members of a body.
struct ChatRequest {
  struct Turn {
    std::string role;
    std::string text;
  };
  std::string model;
  std::uint64_t max_tokens = 0;
  bool stream = false;
  std::vector<Turn> turns;  // a system prompt, if present, is the first turn
  std::string temperature;  // a number as text; empty: not given
  std::string top_p;        // a number as text; empty: not given
  std::vector<std::string> stop_sequences;
};

// The names of priority classes, tenants and models. The index of a name is the number that requests carry.
struct RequestNames {
  std::vector<std::string> classes;
  std::vector<std::string> tenants;  // empty: requests have no tenant
  // Returns the number of the model with this name in the catalogue; 0 if the catalogue has no such model.
  // The function is empty if there is no catalogue; then a request for any model may go to any replica.
  std::function<std::uint16_t(std::string_view)> model = {};
};

// Why the router itself answers with an error. Each dialect has its own status and error type for each
// reason.
enum class Rejection { bad_request, too_large, not_found, overloaded, over_limit, failed, timed_out };

// An error answer in a client's dialect: the HTTP status and the JSON body.
struct ErrorAnswer {
  int status = 500;
  std::string body;
};

// Reads the events of one answer, in order. A reader keeps state between events, because token counts are
// cumulative. A frame that is not a known event gives an event of the kind EventKind::unknown. Does not
// throw.
class EventReader {
 public:
  virtual ~EventReader() = default;
  virtual core::StreamEvent read(std::string raw) = 0;
};

// Writes the events of one answer, in order, for a client of another dialect. write() returns an empty string
// if the client's dialect has no such event.
class EventWriter {
 public:
  virtual ~EventWriter() = default;
  virtual std::string write(const core::StreamEvent& event) = 0;
};

// One dialect. Each dialect has a single, stateless object, which exists as long as the program runs.
class Dialect {
 public:
  virtual ~Dialect() = default;
  // The dialect's name in the operator's file.
  virtual std::string_view name() const = 0;
  // The path of chat requests, from clients and to replicas.
  virtual std::string_view path() const = 0;
  // Reads the body of a chat request. Throws http::BadMessage (400) if it cannot be translated.
  virtual ChatRequest read_chat(std::string_view body) const = 0;
  virtual std::string write_chat(const ChatRequest& chat) const = 0;
  virtual std::unique_ptr<EventReader> event_reader() const = 0;
  virtual std::unique_ptr<EventWriter> event_writer(std::string_view request_id) const = 0;
  // Whether this answer proves that the replica never began the request, so that a repeat is harmless.
  virtual bool proves_not_started(const http::Head& answer) const = 0;
  virtual ErrorAnswer error(Rejection rejection, std::string_view message) const = 0;
  // The headers that state the client's remaining quota in this dialect. `now`: microseconds since 1970.
  virtual std::vector<http::Header> limit_headers(const Allowance& allowance, Time now) const = 0;
};

// The dialect of chat completions, the platform's own API.
const Dialect& platform_dialect();
// The dialect of the messages API.
const Dialect& messages_dialect();
// Returns the dialect with this name; null if there is none.
const Dialect* find_dialect(std::string_view name);

// Reads the request that a client's head and body describe. The request's deadline counts from `now`, a time
// of the router's clock. Throws http::BadMessage with the status for the client.
[[nodiscard]] Request read_request(const ClientRequest& client_request, const RequestNames& names, Time now);

// One attempt as it is sent to a replica.
struct AttemptBytes {
  std::string head;                         // first line and headers, including the blank line
  std::shared_ptr<const std::string> body;  // the client's body itself if it needed no change
};
// Writes one attempt for a replica of the dialect `target`. If the client uses the same dialect, the body is
// the client's, byte for byte; otherwise the body is translated. In both cases `timeout` (microseconds)
// replaces the client's time limit, and `model`, unless it is empty, replaces the model in the body. Throws
// http::BadMessage if the body cannot be translated.
[[nodiscard]] AttemptBytes write_attempt(const ClientRequest& client_request, const Dialect& target,
                                         Time timeout, std::string_view model = {});

// Returns the JSON object `body` with the value `model` for its top-level "model"; all other bytes stay.
// Throws http::BadMessage (400) if `body` is not a JSON object.
[[nodiscard]] std::string with_model(const std::string& body, std::string_view model);

}  // namespace thornwick::fronts
