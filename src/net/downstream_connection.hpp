// One connection of a client. Only downstream_server.cpp and downstream_connection.cpp include this file.
#pragma once

#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include "core/request_manager.hpp"
#include "fronts/dialect.hpp"
#include "http/http.hpp"
#include "net/downstream_answers.hpp"
#include "net/downstream_server.hpp"
#include "net/stream.hpp"
#include "net/timer.hpp"

namespace thornwick::net {

// Reads one request at a time, admits it to the request manager and writes its answer. A connection whose
// client has gone or was rejected closes itself and removes itself from its server.
class DownstreamServer::Connection : public DeferredDeletable, public core::Reply {
 public:
  Connection(DownstreamServer& owner, Owned<GSocket> socket);
  Connection(const Connection&) = delete;
  Connection& operator=(const Connection&) = delete;

  // Whether it is between two requests, or before the first one, and no byte of the next one has come.
  bool nothing_to_read() const;
  // When it entered the queue of its server in which it waits.
  Time waiting_since() const { return waiting_since_; }
  // To be called when it has waited too long for its first request, or for the next one.
  void on_waiting_timed_out();
  // Closes the connection at once and abandons its request in flight, if there is one. `reason` is for the
  // log.
  void close(std::string_view reason);

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

  // Reading.
  void on_bytes(std::string_view bytes);
  void read_requests();
  bool read_piece();
  void on_first_byte();
  void on_head();
  bool on_body();
  void on_whole_request();
  void answer_health();
  core::IncomingRequest read_arrival();
  bool has_room_for_request() const;
  void admit(core::IncomingRequest arrival, const std::string& request_id);

  // Answering.
  void add_limit_headers(const Allowance& allowance);
  void drop_keep_while_draining();
  AfterAnswer after_answer() const;
  void watch_congestion();
  void reject_for_overload();
  void reject_bad_request(const http::BadMessage& bad);
  void answer(const fronts::ErrorAnswer& text, Time retry_after);
  void on_answered();

  // Closing.
  void close_after_sending();
  void on_last_byte_sent();
  void on_drained();

  // Accounting.
  void account_body_bytes(std::size_t size);
  void end_request();
  void wait_in(Waiting* queue);

  DownstreamServer& owner_;
  Stream stream_;
  http::MessageReader reader_{http::MessageReader::Kind::request};
  Timer timeout_;    // of the current state: reading, writing or closing
  Timer next_step_;  // defers a step that must not run within the current call

  State state_ = State::idle;
  std::string body_;
  std::string request_id_;
  std::vector<http::Header> extra_headers_;  // of the answer's head
  std::unique_ptr<fronts::EventWriter> writer_;
  RequestId core_request_id_ = 0;
  Waiting* queue_ = nullptr;  // of the server, in which it waits; null: in none
  Waiting::iterator queue_position_;
  Time request_begun_ = 0;
  Time waiting_since_ = 0;
  std::size_t body_bytes_ = 0;  // as accounted in the shared admission state
  std::size_t discarded_ = 0;   // bytes read and dropped while closing

  bool keep_ = true;  // the connection stays open after the current request
  bool head_sent_ = false;
  bool congested_ = false;  // the request manager was notified that the client reads slowly
  bool closing_ = false;    // it closes once all bytes are sent
  bool finished_sending_ = false;
  bool closed_ = false;
  bool in_read_requests_ = false;
};

}  // namespace thornwick::net
