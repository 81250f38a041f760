// The interfaces through which the core reaches its surroundings: the clients' replies, the transport to the
// replicas, discovery, the other routers and the clock. src/net implements them on sockets, src/emulator and
// the tests in virtual time.
//
// All calls are made on the thread that calls the RequestManager. Replica, model and peer numbers are those
// of thornwick/routing_policy.hpp; times are microseconds on the Clock.
#pragma once

#include <cstdint>
#include <memory>
#include <string>

#include "core/events.hpp"
#include "thornwick/routing_policy.hpp"

namespace thornwick::core {

// The client's end of one request. Exactly one final call is made (finish, abort_answer, reject,
// reject_over_limit or fail), and none after it; a request whose client has gone gets no final call.
// Implementations may call back into the RequestManager from a final call, for instance with the client's
// next request.
class Reply {
 public:
  virtual ~Reply() = default;
  // Called once, before the first event. `model` is the catalogue's number of the model that serves the
  // request (0: there is no catalogue). `allowance` is the remaining quota of the client, valid during the
  // call (null: no limit applies).
  virtual void begin_answer(std::uint16_t /*model*/, const Allowance* /*allowance*/) {}
  // Passes on one event of the answer, in the order in which the replica sent them.
  virtual void send_event(const StreamEvent& event) = 0;
  // Final: the answer is complete.
  virtual void finish() = 0;
  // Final: a part of the answer was passed on, and the rest will not follow.
  virtual void abort_answer() = 0;
  // Final: no attempt has run, so that the client may repeat the request. `retry_after` is the advised wait
  // before a repeat (0: none is advised).
  virtual void reject(Time retry_after) = 0;
  // Final: there is no answer, and an attempt may have run. `retry_after` as in reject.
  virtual void fail(FailureReason why, Time retry_after) = 0;
  // Whether the client is still connected, as far as its connection shows at this moment. If not, the request
  // is given up, and nothing more is called.
  virtual bool client_connected() { return true; }
  // Final: the request exceeds the limit that the allowance names, and no attempt has run. `retry_after` is
  // the time until the request fits within the limit (0: never).
  virtual void reject_over_limit(const Allowance& /*allowance*/, Time retry_after) { reject(retry_after); }
};

// Carries attempts and probes to the replicas. An attempt reports through RequestManager::attempt_event and
// attempt_ended, possibly during launch; a probe through RequestManager::probe_ended.
class UpstreamTransport {
 public:
  virtual ~UpstreamTransport() = default;
  // Starts an attempt that may run until the time `until`. `model` is the number in the catalogue of the
  // model that the replica is to serve (0: the one that the payload asks for).
  virtual void launch(AttemptId attempt, ReplicaId replica, std::shared_ptr<const Payload> payload,
                      Time until, std::uint16_t model) = 0;
  // Gives up an attempt, which reports nothing from then on. Its connection is closed or half-closed on
  // return. Returns whether the request was written completely; if not, it cannot have run.
  virtual bool abandon(AttemptId attempt) = 0;
  // Stops reading the answer of an attempt, for flow control towards a slow client. No effect on an attempt
  // that has ended, or whose reading is paused already.
  virtual void pause_reading(AttemptId attempt) = 0;
  // Resumes what pause_reading stopped.
  virtual void resume_reading(AttemptId attempt) = 0;
  // Asks a replica whether it is alive.
  virtual void probe(ReplicaId replica) = 0;
};

// The calls of the discovery service that the routing policy decides on. Their answers arrive at
// RequestManager::on_endpoints.
class Discovery {
 public:
  virtual ~Discovery() = default;
  // Subscribes to changes of the list of replicas.
  virtual void subscribe() = 0;
  // Asks for the whole list once.
  virtual void fetch() = 0;
};

// Messages to the other routers of the group. Delivery is not guaranteed.
class PeerTransport {
 public:
  virtual ~PeerTransport() = default;
  // Sends `message` to the router with that rank, or to all others where `rank` is Gossip::kAllPeers.
  virtual void send(std::uint32_t rank, const std::string& message) = 0;
};

// A monotonic clock with one alarm.
class Clock {
 public:
  virtual ~Clock() = default;
  virtual Time now() const = 0;
  // Schedules one call of RequestManager::wake at `when` or soon after. A later schedule replaces an earlier
  // one.
  virtual void wake_at(Time when) = 0;
};

}  // namespace thornwick::core
