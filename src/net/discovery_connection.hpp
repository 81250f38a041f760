// One connection to discovery, which carries one call at a time: a request and its complete answer. Endpoint
// lists are interpreted, and calls scheduled, by net/discovery_client.hpp.
#pragma once

#include <cstdint>
#include <functional>
#include <string>
#include <string_view>
#include <utility>

#include "core/discovery_schedule.hpp"
#include "http/http.hpp"
#include "net/gobject_handle.hpp"
#include "net/stream.hpp"
#include "net/timer.hpp"

namespace thornwick::net {

// Why a call has no usable answer.
enum class CallFailureKind {
  no_connection,
  connection_broken,
  timed_out,
  malformed_answer,
  error_status,
  list_too_long,
  not_json,
  older_revision,  // the list is older than the one in use
};

// The text of the kind in log lines.
std::string_view to_string(CallFailureKind kind);

struct CallFailure {
  CallFailureKind kind = CallFailureKind::no_connection;
  std::string detail = {};  // may be empty
};

// A call of discovery: its number in the log, and its plan.
struct DiscoveryCall {
  std::uint64_t number = 0;  // counted from the router's start
  core::DiscoverySchedule::Call plan;
};

// A connection, which its owner may destroy in any callback with deferred_delete().
class DiscoveryConnection : public DeferredDeletable {
 public:
  struct Callbacks {
    // An answer with status 200 has come. The connection can carry another call if it is still open.
    std::function<void(const std::string& body)> on_answer;
    // The call has failed, and the connection is closed.
    std::function<void(const CallFailure& failure)> on_failure;
  };

  DiscoveryConnection();

  // Must be called before the first call is sent.
  void set_callbacks(Callbacks callbacks) { callbacks_ = std::move(callbacks); }

  // Returns false if connecting failed at once, or the process may hold no more descriptors.
  [[nodiscard]] bool connect(GSocketAddress* address) { return stream_.connect(address); }
  // Sends a request, at once or when the connection is up. Must not be called while a call is in progress.
  void send_call(const DiscoveryCall& call, std::string request);
  // Closes the connection. A call in progress ends without a callback.
  void close();

  const DiscoveryCall& call() const { return call_; }
  // Whether the connection can carry another call.
  bool open() const { return stream_.open(); }

 private:
  void on_connected();
  void on_bytes(std::string_view bytes);
  bool read_piece();
  void on_ended();
  void on_complete_answer();
  void fail(const CallFailure& failure);

  Callbacks callbacks_;
  Stream stream_;
  http::MessageReader reader_;
  DiscoveryCall call_;
  std::string request_;  // to be sent when the connection is up
  std::string body_;
  Timer timeout_;
  bool connected_ = false;
  bool call_in_progress_ = false;
};

}  // namespace thornwick::net
