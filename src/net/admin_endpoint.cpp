#include "net/admin_endpoint.hpp"

#include <algorithm>
#include <utility>

namespace thornwick::net {
namespace {

constexpr Time kLineTimeout = seconds(2);    // from the start of the connection to the end of the line
constexpr Time kAnswerTimeout = seconds(2);  // for the caller to read its answer and close
constexpr std::size_t kMaxLineBytes = 256;
constexpr std::size_t kMaxDiscardedBytes = 64UL * 1024;  // bytes that are read and dropped after the line

bool always_room() { return true; }

}  // namespace

// One connection: reads a line, writes the answer, and waits for the caller to close.
class AdminEndpoint::Caller : public DeferredDeletable {
 public:
  Caller(AdminEndpoint& owner, Owned<GSocket> socket)
      : owner_(owner),
        stream_({.connected = {},
                 .arrived = [this](std::string_view bytes) { on_bytes(bytes); },
                 .drained = [this] { on_drained(); },
                 .ended = [this] { on_ended(); }}) {
    stream_.adopt(std::move(socket));
    timeout_.start(kLineTimeout, [this] { on_line_timeout(); });
  }
  Caller(const Caller&) = delete;
  Caller& operator=(const Caller&) = delete;

  // Whether no complete line has come yet.
  bool awaits_line() const { return !answered_; }

  void close() {
    if (std::exchange(closed_, true)) return;
    stream_.close();
    timeout_.stop();
    owner_.remove(*this);
  }

 private:
  void on_line_timeout() {
    ++owner_.counters_.timed_out;
    write_answer("-ERR no whole line in time\n");
  }

  void on_bytes(std::string_view bytes) {
    if (answered_) return discard(bytes.size());
    received_line_ += bytes;
    const auto end = received_line_.find('\n');
    if (end != std::string::npos) return on_complete_line(end);
    if (received_line_.size() > kMaxLineBytes) reject("the line is too long");
  }

  void discard(std::size_t size) {
    discarded_bytes_ += size;
    if (discarded_bytes_ > kMaxDiscardedBytes) close();
  }

  // `end` is the length of the line, without its newline.
  void on_complete_line(std::size_t end) {
    const bool more = end + 1 < received_line_.size();
    received_line_.resize(end);
    if (!received_line_.empty() && received_line_.back() == '\r') received_line_.pop_back();
    if (received_line_.size() > kMaxLineBytes) return reject("the line is too long");
    if (more) return reject("one line to a connection");
    answer_call();
  }

  void answer_call() {
    std::string answer = owner_.answer_(received_line_);
    if (answer.empty()) return reject("the calls are " + owner_.call_names_);
    ++owner_.counters_.calls;
    write_answer(std::move(answer));
  }

  void reject(const std::string& reason) {
    ++owner_.counters_.invalid_lines;
    write_answer("-ERR " + reason + "\n");
  }

  void write_answer(std::string answer) {
    answered_ = true;
    timeout_.start(kAnswerTimeout, [this] { close(); });
    stream_.write(std::move(answer));
  }

  // The caller closes the connection after it has read the end of the answer. If this side closed first and
  // the caller had sent more bytes, a reset could destroy the answer before the caller reads it.
  void on_drained() {
    if (answered_) stream_.finish_sending();
  }

  // A line without a newline is complete if the caller closes its sending side after the line.
  void on_ended() {
    if (answered_ || received_line_.empty()) return close();
    on_complete_line(received_line_.size());
    timeout_.start(0, [this] { close(); });
  }

  AdminEndpoint& owner_;
  Stream stream_;
  Timer timeout_;
  std::string received_line_;
  std::size_t discarded_bytes_ = 0;
  bool answered_ = false;
  bool closed_ = false;
};

AdminEndpoint::AdminEndpoint(const std::string& address, Answer answer) : answer_(std::move(answer)) {
  listener_ = std::make_unique<Listener>(address, always_room,
                                         [this](Owned<GSocket> socket) { on_accepted(std::move(socket)); });
}

AdminEndpoint::AdminEndpoint(Owned<GSocket> listening, std::string call_names, Answer answer)
    : answer_(std::move(answer)), call_names_(std::move(call_names)) {
  listener_ = std::make_unique<Listener>(std::move(listening), always_room,
                                         [this](Owned<GSocket> socket) { on_accepted(std::move(socket)); });
}

AdminEndpoint::~AdminEndpoint() = default;

void AdminEndpoint::on_accepted(Owned<GSocket> socket) {
  make_room_for_caller();
  callers_.push_back(std::make_unique<Caller>(*this, std::move(socket)));
}

// Closes a caller that has not sent its line if the limit is reached, so that callers without a line cannot
// keep out callers that send one.
void AdminEndpoint::make_room_for_caller() {
  if (callers_.size() < kMaxCallers) return;
  const auto without_line = std::find_if(callers_.begin(), callers_.end(),
                                         [](const auto& caller) { return caller->awaits_line(); });
  if (without_line == callers_.end()) return callers_.front()->close();
  ++counters_.timed_out;
  (*without_line)->close();
}

void AdminEndpoint::remove(Caller& caller) {
  const auto found = std::find_if(callers_.begin(), callers_.end(),
                                  [&](const auto& candidate) { return candidate.get() == &caller; });
  if (found == callers_.end()) return;
  deferred_delete(std::move(*found));
  callers_.erase(found);
}

}  // namespace thornwick::net
