#include "net/stream.hpp"

#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>

#include <array>

#include "logging/log.hpp"

namespace thornwick::net {
namespace {

constexpr int kMaxReadsPerRound = 4;  // bounds the time that one busy stream takes from other streams
constexpr std::size_t kReadBytes = 32768;
// While memory is short, one round reads little, because what it reads has to be held until it is passed on.
constexpr std::size_t kReadBytesUnderPressure = 4096;
// Of one entry of the queue of unsent bytes, beside its bytes.
constexpr std::size_t kQueueEntryBytes = 128;

// Disables Nagle's algorithm (TCP_NODELAY): events are small, and clients wait for each of them.
void set_stream_options(GSocket* socket) {
  g_socket_set_blocking(socket, FALSE);
  g_socket_set_option(socket, IPPROTO_TCP, TCP_NODELAY, 1, nullptr);
}

}  // namespace

void Stream::adopt(Owned<GSocket> socket) {
  socket_ = std::move(socket);
  held_descriptor_.emplace();
  set_stream_options(socket_.get());
  connected_ = true;
  watch_reading();
}

bool Stream::connect(GSocketAddress* address) {
  if (descriptors().held >= descriptors().limit) return false;
  GLibError socket_error;
  socket_.reset(g_socket_new(g_socket_address_get_family(address), G_SOCKET_TYPE_STREAM,
                             G_SOCKET_PROTOCOL_TCP, socket_error.out()));
  if (!socket_) {
    logging::warning("socket") << "cannot create a socket: " << socket_error.message();
    return false;
  }
  held_descriptor_.emplace();
  set_stream_options(socket_.get());
  GLibError connect_error;
  if (!g_socket_connect(socket_.get(), address, nullptr, connect_error.out()) &&
      !connect_error.would_block()) {
    close();
    return false;
  }
  writing_.start(socket_.get(), G_IO_OUT, [this] { on_connected(); });
  return true;
}

void Stream::on_connected() {
  if (!g_socket_check_connect_result(socket_.get(), nullptr)) return on_broken();
  connected_ = true;
  writing_.stop();
  watch_reading();
  callbacks_.connected();
  if (open() && unsent_ > 0) flush();
}

void Stream::watch_reading() {
  if (!reading_paused_ && open() && connected_ && !reading_.running()) {
    reading_.start(socket_.get(), G_IO_IN, [this] { on_readable(); });
  }
}

bool Stream::readable_now() const {
  return open() && (g_socket_condition_check(socket_.get(), G_IO_IN) & G_IO_IN) != 0;
}

bool Stream::ended_now() const {
  if (!open() || ended_) return true;
  pollfd query{g_socket_get_fd(socket_.get()), POLLRDHUP, 0};
  return poll(&query, 1, 0) > 0 && (query.revents & (POLLRDHUP | POLLHUP | POLLERR)) != 0;
}

void Stream::pause_reading() {
  reading_paused_ = true;
  reading_.stop();
}

void Stream::resume_reading() {
  reading_paused_ = false;
  watch_reading();
}

void Stream::on_readable() {
  std::array<char, kReadBytes> bytes;  // NOLINT(cppcoreguidelines-pro-type-member-init): filled by the read
  for (int i = 0; i < kMaxReadsPerRound && open() && !reading_paused_; ++i) {
    const bool scarce = memory_account().pressure() != MemoryPressure::none;
    if (scarce && i > 0) return;
    const std::size_t wanted = scarce ? kReadBytesUnderPressure : bytes.size();
    GLibError error;
    const gssize received = g_socket_receive(socket_.get(), bytes.data(), wanted, nullptr, error.out());
    if (received < 0 && error.would_block()) return;
    if (received <= 0) return on_broken();
    const auto size = static_cast<std::size_t>(received);
    callbacks_.arrived({bytes.data(), size});
    if (size < wanted) return;
  }
}

void Stream::receive_pending() {
  if (connected_ && !reading_paused_ && !ended_ && readable_now()) on_readable();
}

void Stream::write(std::shared_ptr<const std::string> bytes) {
  if (!open() || bytes->empty()) return;
  unsent_ += bytes->size();
  queued_memory_ += bytes->capacity() + kQueueEntryBytes;
  queue_.push_back(std::move(bytes));
  if (connected_ && !writing_.running()) flush();
  update_held_bytes();
}

void Stream::flush() {
  while (!queue_.empty()) {
    const std::string& front = *queue_.front();
    GLibError error;
    const gssize sent = g_socket_send(socket_.get(), front.data() + front_sent_, front.size() - front_sent_,
                                      nullptr, error.out());
    if (sent < 0) {
      if (!error.would_block()) return on_broken();
      if (!writing_.running()) writing_.start(socket_.get(), G_IO_OUT, [this] { flush(); });
      return update_held_bytes();
    }
    front_sent_ += static_cast<std::size_t>(sent);
    unsent_ -= static_cast<std::size_t>(sent);
    sent_ += static_cast<std::uint64_t>(sent);
    if (front_sent_ == front.size()) {
      queued_memory_ -= front.capacity() + kQueueEntryBytes;
      queue_.pop_front();
      front_sent_ = 0;
    }
  }
  writing_.stop();
  update_held_bytes();
  if (callbacks_.drained) callbacks_.drained();
}

void Stream::update_held_bytes() {
  if (held_bytes_) held_bytes_->set(queued_memory_);
}

void Stream::drop_unsent() {
  queue_.clear();
  unsent_ = 0;
  queued_memory_ = 0;
  front_sent_ = 0;
  update_held_bytes();
}

// Notifies the owner from the loop, never within the owner's call of write().
void Stream::on_broken() {
  reading_.stop();
  writing_.stop();
  drop_unsent();
  if (ended_) return;
  ended_ = true;
  end_notification_.start(0, [this] { callbacks_.ended(); });
}

void Stream::finish_sending() {
  if (open()) g_socket_shutdown(socket_.get(), FALSE, TRUE, nullptr);
}

void Stream::close() {
  reading_.stop();
  writing_.stop();
  end_notification_.stop();
  drop_unsent();
  if (!socket_) return;
  g_socket_close(socket_.get(), nullptr);
  socket_.reset();
  held_descriptor_.reset();
}

}  // namespace thornwick::net
