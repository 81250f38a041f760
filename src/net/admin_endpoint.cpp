#include "net/admin_endpoint.hpp"

#include <algorithm>
#include <utility>

namespace thornwick::net {
namespace {

constexpr Time kLineLimit = seconds(2);    // for the whole line, from the connection on
constexpr Time kAnswerLimit = seconds(2);  // for the caller to take its answer and go
constexpr std::size_t kMaxLineBytes = 256;
constexpr std::size_t kMaxDiscarded =
    64UL * 1024;  // read and dropped behind the line, so that the answer survives

bool always_room() { return true; }

}  // namespace

// One connection: reads a line, writes the answer, and waits for the caller to go.
class AdminEndpoint::Caller : public DeferredDeletable {
 public:
  Caller(AdminEndpoint& owner, Owned<GSocket> socket)
      : owner_(owner),
        stream_({.connected = {},
                 .arrived = [this](std::string_view bytes) { on_bytes(bytes); },
                 .drained = [this] { on_drained(); },
                 .ended = [this] { on_ended(); }}) {
    stream_.adopt(std::move(socket));
    limit_.start(kLineLimit, [this] { on_line_limit(); });
  }
  Caller(const Caller&) = delete;
  Caller& operator=(const Caller&) = delete;

  // No whole line has come yet.
  bool silent() const { return !answered_; }

  void leave() {
    if (std::exchange(left_, true)) return;
    stream_.close();
    limit_.stop();
    owner_.remove(*this);
  }

 private:
  void on_line_limit() {
    ++owner_.counters_.silent;
    write_answer("-ERR no whole line in time\n");
  }

  void on_bytes(std::string_view bytes) {
    if (answered_) return discard(bytes.size());
    line_ += bytes;
    const auto end = line_.find('\n');
    if (end != std::string::npos) return on_whole_line(end);
    if (line_.size() > kMaxLineBytes) reject("the line is too long");
  }

  void discard(std::size_t size) {
    discarded_ += size;
    if (discarded_ > kMaxDiscarded) leave();
  }

  // `end`: how long the line is.
  void on_whole_line(std::size_t end) {
    const bool more = end + 1 < line_.size();
    line_.resize(end);
    if (!line_.empty() && line_.back() == '\r') line_.pop_back();
    if (line_.size() > kMaxLineBytes) return reject("the line is too long");
    if (more) return reject("one line to a connection");
    call();
  }

  void call() {
    std::string answer = owner_.answer_(line_);
    if (answer.empty()) return reject("the calls are " + owner_.calls_);
    ++owner_.counters_.calls;
    write_answer(std::move(answer));
  }

  void reject(const std::string& reason) {
    ++owner_.counters_.bad;
    write_answer("-ERR " + reason + "\n");
  }

  void write_answer(std::string answer) {
    answered_ = true;
    limit_.start(kAnswerLimit, [this] { leave(); });
    stream_.write(std::move(answer));
  }

  // The caller reads the end and closes. Closing first would reset the connection under its answer if it sent
  // more.
  void on_drained() {
    if (answered_) stream_.finish_sending();
  }

  // A last line need not have an end where the caller ends its sending behind it.
  void on_ended() {
    if (answered_ || line_.empty()) return leave();
    on_whole_line(line_.size());
    limit_.start(0, [this] { leave(); });
  }

  AdminEndpoint& owner_;
  Stream stream_;
  Timer limit_;
  std::string line_;
  std::size_t discarded_ = 0;
  bool answered_ = false;
  bool left_ = false;
};

AdminEndpoint::AdminEndpoint(const std::string& address, Answer answer) : answer_(std::move(answer)) {
  listener_ = std::make_unique<Listener>(address, always_room,
                                         [this](Owned<GSocket> socket) { on_accepted(std::move(socket)); });
}

AdminEndpoint::AdminEndpoint(Owned<GSocket> listening, std::string calls, Answer answer)
    : answer_(std::move(answer)), calls_(std::move(calls)) {
  listener_ = std::make_unique<Listener>(std::move(listening), always_room,
                                         [this](Owned<GSocket> socket) { on_accepted(std::move(socket)); });
}

AdminEndpoint::~AdminEndpoint() = default;

void AdminEndpoint::on_accepted(Owned<GSocket> socket) {
  make_room();
  callers_.push_back(std::make_unique<Caller>(*this, std::move(socket)));
}

// Guards a caller with a call against others that hold their connections and send nothing.
void AdminEndpoint::make_room() {
  if (callers_.size() < kMostCallers) return;
  const auto silent =
      std::find_if(callers_.begin(), callers_.end(), [](const auto& caller) { return caller->silent(); });
  if (silent == callers_.end()) return callers_.front()->leave();
  ++counters_.silent;
  (*silent)->leave();
}

void AdminEndpoint::remove(Caller& caller) {
  const auto found = std::find_if(callers_.begin(), callers_.end(),
                                  [&](const auto& candidate) { return candidate.get() == &caller; });
  if (found == callers_.end()) return;
  deferred_delete(std::move(*found));
  callers_.erase(found);
}

}  // namespace thornwick::net
