// One connection to a replica. For upstream_pool.cpp alone.
#pragma once

#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include "fronts/frames.hpp"
#include "http/http.hpp"
#include "logging/log.hpp"
#include "net/stream.hpp"
#include "net/timer.hpp"
#include "net/upstream_pool.hpp"

namespace thornwick::net {

// Carries one attempt (or probe) at a time, reads its answer and notifies the core of events and of the end.
// It closes itself when it is of no further use, and then removes itself from its pool.
class UpstreamPool::Connection : public DeferredDeletable {
 public:
  Connection(UpstreamPool& owner, const EndpointEntry& entry);
  Connection(const Connection&) = delete;
  Connection& operator=(const Connection&) = delete;

  // False: it failed at once.
  bool connect(GSocketAddress* address);

  ReplicaId replica() const { return replica_; }
  const std::string& endpoint() const { return endpoint_; }
  Time idle_since() const { return idle_since_; }
  // The whole request is with the kernel.
  bool sent() const { return sent_; }
  // Guards the next attempt against an answer that is none of its own: what a replica sends unasked, behind
  // an answer or instead of its end, makes a connection useless.
  bool clean() const { return !stream_.readable_now(); }

  // `deadline`: when the attempt's time is over. `model`: its number in the catalogue, 0: as asked.
  void carry_attempt(core::AttemptId attempt, std::shared_ptr<const core::Payload> payload, Time deadline,
                     std::uint16_t model);
  void carry_probe();

  // Closes at once: the replica must not go on with an attempt whose router starts another. `reason` is for
  // the log.
  void close(std::string_view reason);
  // Stops reading the answer until resume_reading(); meanwhile its silence is not held against the replica.
  void pause_reading();
  void resume_reading();

 private:
  enum class Job { none, attempt, probe };
  enum class Reuse { keep, close };

  void begin();
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
  void pass_event(std::string frame);
  void on_whole_answer();
  void on_ended();
  void on_broken_answer(const char* reason);

  void watch_head();
  void watch_silence();

  void finish(Outcome outcome, Reuse reuse, std::string_view reason);
  void become_idle();
  logging::Line& describe_attempt(logging::Line&& line) const;

  UpstreamPool& owner_;
  ReplicaId replica_;
  std::string endpoint_;
  const fronts::Dialect& dialect_;
  Stream stream_;
  http::MessageReader reader_{http::MessageReader::Kind::answer};
  fronts::FrameSplitter frames_;
  std::unique_ptr<fronts::EventReader> events_;
  Timer limit_;  // of whatever it waits for

  Job job_ = Job::none;
  core::AttemptId attempt_;
  std::shared_ptr<const core::Payload> payload_;
  Time deadline_ = 0;
  Time idle_since_ = 0;
  std::uint16_t model_ = 0;
  std::string body_;           // of an answer that is no stream
  std::vector<float> report_;  // the latest one of the answer; empty: none

  bool new_connection_ = false;  // it has not carried anything yet
  bool written_ = false;         // the whole request was given to the stream
  bool sent_ = false;
  bool head_received_ = false;
  bool streaming_ = false;  // the answer is an event stream
  bool held_ = false;
  bool closed_ = false;
};

}  // namespace thornwick::net
