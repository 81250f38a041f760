// One connection of a client. For downstream_server.cpp alone.
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

// Reads requests one at a time, hands each to the core and writes the answer that comes back. It closes
// itself when the client has gone or is sent away, and then removes itself from its server.
class DownstreamServer::Connection : public DeferredDeletable, public core::Reply {
 public:
  Connection(DownstreamServer& owner, Owned<GSocket> socket);
  Connection(const Connection&) = delete;
  Connection& operator=(const Connection&) = delete;

  // Between two requests (or before the first), with nothing of the next one here or in the kernel.
  bool nothing_to_read() const;
  // Since when it has been in one of its server's queues.
  Time waiting_since() const { return waiting_since_; }
  // It has waited too long: for its first request, or for the next one.
  void on_waited_out();
  // Closes at once; a request in work is over.
  // Ends the connection, and the request in work. `reason` is for the log.
  void leave(std::string_view reason);

  // core::Reply
  void served_by(std::uint16_t model, const Allowance* allowance) override;
  void event(const core::StreamEvent& event) override;
  void finish() override;
  void break_off() override;
  void reject(Time retry_after) override;
  void reject_for(const Allowance& allowance, Time retry_after) override;
  void fail(core::Failure failure, Time retry_after) override;
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
  core::Arrival read_arrival();
  bool has_room_for_request() const;
  void admit(core::Arrival arrival, const std::string& request_id);

  // Answering.
  void add_limit_headers(const Allowance& allowance);
  void drop_keep_while_draining();
  AfterAnswer after_answer() const;
  void watch_congestion();
  void turn_away();
  void reject_bad_request(const http::BadMessage& bad);
  void answer(const fronts::ErrorAnswer& text, Time retry_after);
  void on_answered();

  // Closing.
  void close_soon();
  void on_last_byte_sent();
  void on_drained();

  // Accounting.
  void account_body_bytes(std::size_t size);
  void end_request();
  void wait_in(Waiting* queue);

  DownstreamServer& owner_;
  Stream stream_;
  http::MessageReader reader_{http::MessageReader::Kind::request};
  Timer limit_;      // of whatever it waits for
  Timer next_step_;  // what must not happen within the call at hand

  State state_ = State::idle;
  std::string body_;
  std::string request_id_;
  std::vector<http::Header> extra_headers_;  // of the answer's head
  std::unique_ptr<fronts::EventWriter> writer_;
  RequestId core_request_id_ = 0;
  Waiting* queue_ = nullptr;  // of the server, in which it waits
  Waiting::iterator queue_position_;
  Time request_begun_ = 0;
  Time waiting_since_ = 0;
  std::size_t body_bytes_ = 0;  // as accounted in the shared admission state
  std::size_t discarded_ = 0;   // bytes read and dropped while closing

  bool keep_ = true;  // the connection outlives the request at hand
  bool head_sent_ = false;
  bool congested_ = false;  // the core was notified that the client reads slowly
  bool closing_ = false;    // once all is sent
  bool finished_sending_ = false;
  bool left_ = false;
  bool in_read_requests_ = false;
};

}  // namespace thornwick::net
