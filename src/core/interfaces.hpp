// The interfaces between the core and the modules around it: the clients' replies, the transport to the
// replicas, discovery, the other routers and the clock. src/net implements them on sockets; src/emulator and
// the tests implement them in virtual time.
//
// All calls are made on the thread that calls the RequestManager. Numbers of replicas, models and peers are
// those of thornwick/routing_policy.hpp. Times are microseconds on the Clock.
#pragma once

#include <cstdint>
#include <memory>
#include <string>

#include "core/events.hpp"
#include "thornwick/routing_policy.hpp"

namespace thornwick::core {

// The client's side of one request. The core makes exactly one final call (finish, abort_answer, reject,
// reject_over_limit or fail) and no call after it. A request whose client has disconnected gets no final
// call. Implementations may call back into the RequestManager from a final call, for instance with the
// client's next request.
class Reply {
 public:
  virtual ~Reply() = default;
  // Called once, before the first event of the answer. `model` is the catalogue's number of the model that
  // serves the request (0: there is no catalogue). `allowance` is the remaining quota of the client, valid
  // during the call (null: no limit applies).
  virtual void begin_answer(std::uint16_t /*model*/, const Allowance* /*allowance*/) {}
  // Passes on one event of the answer, in the order in which the replica sent them.
  virtual void send_event(const StreamEvent& event) = 0;
  // Final: the answer is complete.
  virtual void finish() = 0;
  // Final: some of the answer was passed on, and the remaining events will not follow.
  virtual void abort_answer() = 0;
  // Final: no attempt has run, so that the client may repeat the request. `retry_after` is the advised wait
  // before a repeat (0: none is advised).
  virtual void reject(Time retry_after) = 0;
  // Final: there is no answer, and an attempt may have run. `retry_after` has the same meaning as in
  // reject().
  virtual void fail(FailureReason why, Time retry_after) = 0;
  // Returns whether the client is still connected, as far as its connection shows at this moment. If not, the
  // request is given up, and the reply is not called again.
  virtual bool client_connected() { return true; }
  // Final: the request exceeds the limit that the allowance names, and no attempt has run. `retry_after` is
  // the time until the request fits within the limit (0: never).
  virtual void reject_over_limit(const Allowance& /*allowance*/, Time retry_after) { reject(retry_after); }
};

// Sends attempts and probes to the replicas. The result of an attempt is reported to
// RequestManager::attempt_event and attempt_ended, possibly before launch() returns; that of a probe to
// RequestManager::probe_ended.
class UpstreamTransport {
 public:
  virtual ~UpstreamTransport() = default;
  // Starts an attempt that may run until `deadline`. `model` is the catalogue's number of the model that the
  // replica is to serve (0: the one that the payload names).
  virtual void launch(AttemptId attempt, ReplicaId replica, std::shared_ptr<const Payload> payload,
                      Time deadline, std::uint16_t model) = 0;
  // Gives up an attempt, which reports nothing from then on. Its connection is closed or half-closed when the
  // function returns. Returns whether the request was written completely; if not, it cannot have run.
  virtual bool abandon(AttemptId attempt) = 0;
  // Stops reading the answer of an attempt, for flow control towards a slow client. Has no effect on an
  // attempt that has ended, or whose reading is paused already.
  virtual void pause_reading(AttemptId attempt) = 0;
  // Resumes reading after pause_reading().
  virtual void resume_reading(AttemptId attempt) = 0;
  // Checks whether a replica is alive.
  virtual void probe(ReplicaId replica) = 0;
};

// The calls to the discovery service that the routing policy decides on. Their answers arrive at
// RequestManager::on_endpoints.
class Discovery {
 public:
  virtual ~Discovery() = default;
  // Subscribes to changes of the list of replicas.
  virtual void subscribe() = 0;
  // Requests the full list once.
  virtual void fetch() = 0;
};

// Messages to the other routers of the group. Delivery is not guaranteed.
class PeerTransport {
 public:
  virtual ~PeerTransport() = default;
  // Sends `message` to the router with this rank, or to all other routers if `rank` is Gossip::kAllPeers.
  virtual void send(std::uint32_t rank, const std::string& message) = 0;
};

// A monotonic clock with one alarm.
class Clock {
 public:
  virtual ~Clock() = default;
  virtual Time now() const = 0;
  // Schedules one call of RequestManager::wake at `when` or soon after, in place of an earlier schedule.
  virtual void wake_at(Time when) = 0;
};

}  // namespace thornwick::core
