// One connection to discovery and the call that is out on it: a request goes out, a whole answer comes back.
// Knows nothing of lists and plans; net/discovery_client.hpp does.
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

// Why a call had no answer that can be used.
struct CallFailure {
  std::string_view kind;    // a string literal
  std::string detail = {};  // what else there is to say; may be empty
};

// A call of discovery, for its plan and for the log.
struct DiscoveryCall {
  std::uint64_t number = 0;  // counted from the router's start
  core::DiscoverySchedule::Call plan;
};

// Its owner may drop it in any callback, with deferred_delete().
class DiscoveryConnection : public DeferredDeletable {
 public:
  struct Callbacks {
    std::function<void(const std::string& body)>
        answered;  // with status 200; the connection may be used again
    std::function<void(const CallFailure& failure)> failed;  // the connection is closed
  };

  DiscoveryConnection();

  // Before the first call.
  void on(Callbacks callbacks) { callbacks_ = std::move(callbacks); }

  // False: it failed at once, or the process may hold no more descriptors.
  bool connect(GSocketAddress* address) { return stream_.connect(address); }
  // Sends a request, at the latest once the connection is up. Only one at a time.
  void begin(const DiscoveryCall& call, std::string request);
  // Ends the call, if one is out, without a callback.
  void close();

  const DiscoveryCall& call() const { return call_; }
  // The connection can carry another call.
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
  std::string request_;  // until the connection is up
  std::string body_;
  Timer limit_;
  bool connected_ = false;
  bool calling_ = false;
};

}  // namespace thornwick::net
