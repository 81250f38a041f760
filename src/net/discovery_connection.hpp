// One connection to discovery, which carries one call at a time: a request and its whole answer. It does not
// interpret endpoint lists and does not schedule calls; net/discovery_client.hpp does.
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
  no_json,
  older_revision,  // the list is older than the one in use
};

// The kind as log lines state it.
std::string_view to_string(CallFailureKind kind);

struct CallFailure {
  CallFailureKind kind = CallFailureKind::no_connection;
  std::string detail = {};  // may be empty
};

// A call of discovery, for its plan and for the log.
struct DiscoveryCall {
  std::uint64_t number = 0;  // counted from the router's start
  core::DiscoverySchedule::Call plan;
};

// Its owner may destroy it in any callback, with deferred_delete().
class DiscoveryConnection : public DeferredDeletable {
 public:
  struct Callbacks {
    // An answer with status 200 has come. The connection can carry another call if it is still open.
    std::function<void(const std::string& body)> answered;
    // The call has failed, and the connection is closed.
    std::function<void(const CallFailure& failure)> failed;
  };

  DiscoveryConnection();

  // To be called before the first call.
  void set_callbacks(Callbacks callbacks) { callbacks_ = std::move(callbacks); }

  // Returns false if it failed at once, or the process may hold no more descriptors.
  [[nodiscard]] bool connect(GSocketAddress* address) { return stream_.connect(address); }
  // Sends a request, now or once the connection is up. Only one call at a time.
  void begin(const DiscoveryCall& call, std::string request);
  // Closes the connection. A call that is out ends without a callback.
  void close();

  const DiscoveryCall& call() const { return call_; }
  // Whether the connection can carry another call.
  bool open() const { return stream_.open(); }

 private:
  void on_connected();
  void on_bytes(std::string_view bytes);
  bool read_piece();
  void on_ended();
  void on_whole_answer();
  void fail(const CallFailure& failure);

  Callbacks callbacks_;
  Stream stream_;
  http::MessageReader reader_;
  DiscoveryCall call_;
  std::string request_;  // waits until the connection is up
  std::string body_;
  Timer timeout_;
  bool connected_ = false;
  bool calling_ = false;
};

}  // namespace thornwick::net
