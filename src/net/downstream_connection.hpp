// One connection of a client. Only downstream_server.cpp, downstream_connection.cpp and
// downstream_reading.cpp include this file.
#pragma once

#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "core/request_manager.hpp"
#include "fronts/dialect.hpp"
#include "http/http.hpp"
#include "net/arrival_times.hpp"
#include "net/downstream_answers.hpp"
#include "net/downstream_limits.hpp"
#include "net/downstream_server.hpp"
#include "net/memory_account.hpp"
#include "net/stream.hpp"
#include "net/timer.hpp"

namespace thornwick::net {

// Reads one request at a time, admits the request to the request manager and writes its answer. A connection
// whose client has disconnected or was rejected closes itself and removes itself from its server.
class DownstreamServer::Connection : public DeferredDeletable,
                                     public core::Reply,
                                     public lifecycle::IdClaimant {
 public:
  Connection(DownstreamServer& owner, Owned<GSocket> socket);
  Connection(const Connection&) = delete;
  Connection& operator=(const Connection&) = delete;

  // Whether no request is being read or in flight, and no byte of the next request has come.
  bool nothing_to_read() const;
  // The time at which the connection entered the queue of its server in which it waits.
  Time waiting_since() const { return waiting_since_; }
  // Must be called when the connection has waited too long for its first or next request.
  void on_waiting_timed_out();
  // Rejects the request that is being read or was read, and closes its connection.
  void reject_for_overload();
  // Reads on after the connection has waited for memory.
  void resume_reading();
  // Closes the connection at once and abandons its request in flight, if there is one. `reason` is logged.
  void close(std::string_view reason);

  // lifecycle::IdClaimant
  void on_id_decided(lifecycle::IdClaim claim) override;

  // core::Reply
  void begin_answer(std::uint16_t model, const Allowance* allowance) override;
  void send_event(const core::StreamEvent& event) override;
  void finish() override;
  void abort_answer() override;
  void reject(Time retry_after) override;
  void reject_over_limit(const Allowance& allowance, Time retry_after) override;
  void fail(core::FailureReason failure, Time retry_after) override;
  bool client_connected() override;

 private:
  enum class State { idle, reading, busy };

  const fronts::Dialect& dialect() const { return *owner_.options_.dialect; }

  // Reading requests.
  void on_bytes(std::string_view bytes);
  void read_requests();
  bool read_piece();
  void read_pieces();
  bool has_unread_requests() const;
  void pause_for_memory();
  Time client_time_limit() const;
  void update_held_bytes();
  std::size_t read_ahead_limit() const;
  void read_ahead();
  void on_request_timed_out();
  void on_first_byte();
  void on_head();
  bool on_body();
  void on_complete_request();
  void answer_health();
  core::IncomingRequest read_arrival();
  bool has_room_for_request() const;
  void claim_id(core::IncomingRequest arrival, const std::string& request_id);
  void admit();

  // Writing answers.
  void add_limit_headers(const Allowance& allowance);
  bool has_further_requests();
  bool stays_open();
  AfterAnswer announce_after_answer();
  void check_congestion();
  void watch_writing();
  bool writing_stalled();
  void count_overload_rejection();
  void reject_behind_others();
  void fail_undecided();
  void reject_bad_request(const http::BadMessage& bad);
  void answer(const fronts::ErrorAnswer& text, Time retry_after);
  void on_answered();

  // Closing the connection.
  void close_after_sending();
  void on_last_byte_sent();
  void on_drained();

  // Accounting in the server and in the shared admission state.
  void end_request();
  void release_buffers();
  void move_to_queue(WaitingQueue* queue);

  DownstreamServer& owner_;
  Stream stream_;
  http::MessageReader reader_{http::MessageReader::Kind::request};
  Timer timeout_;         // the limit of the current state: reading, writing or closing
  Timer next_step_;       // defers a step that must not run within the current call
  Timer memory_timeout_;  // limits the wait for memory to the time that the client waits
  Timer next_read_;       // defers the reading of further requests

  State state_ = State::idle;
  std::string body_;
  std::string request_id_;
  // The request that waits for the decision about its id; empty once it is admitted.
  std::optional<core::IncomingRequest> claiming_request_;
  std::vector<http::Header> extra_headers_;  // further headers of the answer's head
  std::unique_ptr<fronts::EventWriter> writer_;
  RequestId core_request_id_ = 0;
  QueuePlace queue_{*this};  // among the connections without a request in flight
  QueuePlace half_read_{*this};
  QueuePlace memory_queue_{*this};  // while reading pauses because memory is short
  ArrivalTimes arrival_times_;      // of the bytes in reader_
  Time request_started_at_ = 0;
  Time waiting_since_ = 0;
  HeldBytes connection_bytes_{MemoryUse::connections, kConnectionBytes};
  HeldBytes head_bytes_{MemoryUse::heads};
  HeldBytes body_bytes_{MemoryUse::bodies};
  std::size_t discarded_bytes_ = 0;  // read and dropped while closing
  std::uint64_t sent_bytes_ = 0;     // at the latest progress in writing
  Time sent_at_ = 0;                 // of the latest progress in writing, as far as it was checked

  // The connection stays open after the current request as far as the request decides it.
  bool keep_open_ = true;
  // The current request is read completely and its client keeps the connection, so what follows is a request.
  bool can_read_on_ = false;
  bool close_announced_ = false;  // in the head of the current answer
  bool head_sent_ = false;
  bool unread_input_ = false;  // when the connection began to close
  bool head_read_ = false;     // of the request that is being read
  bool congested_ = false;     // the request manager was notified that the client reads slowly
  bool closing_ = false;       // the connection closes when all bytes are sent
  bool finished_sending_ = false;
  bool closed_ = false;
  bool reading_requests_ = false;
};

}  // namespace thornwick::net
