// One connection to a replica. Only upstream_pool.cpp and upstream_connection.cpp include this file.
#pragma once

#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include "fronts/frames.hpp"
#include "http/http.hpp"
#include "logging/log.hpp"
#include "net/memory_account.hpp"
#include "net/stream.hpp"
#include "net/timer.hpp"
#include "net/upstream_pool.hpp"

namespace thornwick::net {

// Sends one attempt or probe at a time, reads the answer, and notifies the request manager of the answer's
// events and end. A connection that cannot be reused closes itself and removes itself from its pool.
class UpstreamPool::Connection : public DeferredDeletable {
 public:
  Connection(UpstreamPool& owner, const EndpointEntry& entry);
  Connection(const Connection&) = delete;
  Connection& operator=(const Connection&) = delete;

  // Returns false if connecting failed at once.
  [[nodiscard]] bool connect(GSocketAddress* address);

  ReplicaId replica() const { return replica_; }
  // Whether the connection leads to the process that this entry lists. A new process may have the address, or
  // the number, of one that has gone.
  bool leads_to(const EndpointEntry& entry) const;
  Time idle_since() const { return idle_since_; }
  // Whether the kernel has accepted the complete request.
  bool sent() const { return sent_; }
  // Whether no unexpected bytes have come. If a replica sends bytes after an answer, the next attempt must
  // not take those bytes for its own answer.
  bool has_no_unread_bytes() const { return !stream_.readable_now(); }

  // `deadline`: the time at which the attempt times out. `model`: the model's number in the catalogue; 0: the
  // model that the client named.
  void carry_attempt(core::AttemptId attempt, std::shared_ptr<const core::Payload> payload, Time deadline,
                     std::uint16_t model);
  void carry_probe();

  // Closes the connection at once, so that the replica stops working on an attempt that the router has
  // abandoned. `reason` is logged.
  void close(std::string_view reason);
  // Stops reading the answer until resume_reading(). The silence timeout does not run meanwhile.
  void pause_reading();
  void resume_reading();

 private:
  // The objects of a connection without its buffers.
  static constexpr std::size_t kUpstreamConnectionBytes = 4096;

  enum class Job { none, attempt, probe };
  enum class Reuse { keep, close };

  void start_job();
  void on_connected();
  void write_request();
  void write_probe();
  void write_attempt();
  void on_drained();

  void on_bytes(std::string_view bytes);
  bool read_piece();
  void on_head();
  void on_body(const std::string& bytes);
  void on_stream_bytes(const std::string& bytes);
  void watch_partial_event();
  void forward_event(std::string frame);
  void on_complete_answer();
  void on_ended();
  void on_broken_answer(std::string_view reason);

  void update_held_bytes();
  void watch_head();
  void watch_silence();

  void finish(Outcome outcome, Reuse reuse, std::string_view reason);
  void become_idle();
  logging::Line& describe_attempt(logging::Line&& line) const;

  UpstreamPool& owner_;
  ReplicaId replica_;
  std::string uid_;
  std::string endpoint_;
  Time opened_at_ = 0;
  Time process_started_at_ = 0;  // of the replica, as it was listed when the connection was started
  const fronts::Dialect& dialect_;
  Stream stream_;
  http::MessageReader reader_{http::MessageReader::Kind::answer};
  fronts::FrameSplitter frames_;
  std::unique_ptr<fronts::EventReader> events_;
  Timer timeout_;  // the limit of the current state: connecting, head, silence or idle time

  Job job_ = Job::none;
  core::AttemptId attempt_;
  std::shared_ptr<const core::Payload> payload_;
  Time deadline_ = 0;
  Time idle_since_ = 0;
  Time event_began_at_ = 0;  // of an event that has come in part; 0: there is none
  std::uint16_t model_ = 0;
  HeldBytes connection_bytes_{MemoryUse::connections, kUpstreamConnectionBytes};
  HeldBytes answer_bytes_{MemoryUse::answers};
  std::string body_;                // of an answer that is not an event stream
  std::vector<float> load_report_;  // the answer's latest load report; empty: none

  bool new_connection_ = false;  // no job has ended on the connection yet
  bool written_ = false;         // the complete request was passed to the stream
  bool sent_ = false;
  bool head_received_ = false;
  bool streaming_ = false;       // the answer is an event stream
  bool reading_paused_ = false;  // because the client reads slowly
  bool closed_ = false;
};

}  // namespace thornwick::net
