#include "net/handover_server.hpp"

#include <unistd.h>

#include <utility>

#include "logging/log.hpp"
#include "net/net_error.hpp"
#include "net/unix_socket.hpp"

namespace thornwick::net {
namespace {

constexpr Time kServingTimeout = seconds(30);  // a successor that does not serve in this time is disconnected

}  // namespace

HandoverServer::HandoverServer(std::string path, Callbacks callbacks)
    : path_(std::move(path)), callbacks_(std::move(callbacks)) {
  open();
}

// Removes the file only if the file still belongs to this process.
HandoverServer::~HandoverServer() {
  if (listener_) unlink(path_.c_str());
}

void HandoverServer::open() {
  Owned<GSocket> socket;
  try {
    socket = listen_unix(path_);
  } catch (const NetError& problem) {
    throw NetError(std::string("no successor can come: ") + problem.what());
  }
  listener_ = std::make_unique<Listener>(
      std::move(socket), [] { return true; },
      [this](Owned<GSocket> accepted) { on_accepted(std::move(accepted)); });
}

void HandoverServer::on_accepted(Owned<GSocket> socket) {
  if (successor_) return;  // one at a time; the other process starts without a hand-over
  if (same_user(socket.get())) start_offer(std::move(socket));
}

void HandoverServer::start_offer(Owned<GSocket> socket) {
  SentOffer offer = send_offer_head(socket.get(), callbacks_.offer());
  lines_ = {};
  successor_served_ = false;
  handed_over_ = false;
  successor_ = std::make_unique<Stream>(
      Stream::Callbacks{.connected = {},
                        .arrived = [this](std::string_view bytes) { on_bytes(bytes); },
                        .drained = {},
                        .ended = [this] { on_lost(); }});
  successor_->adopt(std::move(socket));
  if (!offer.head_sent) return on_lost();
  const std::size_t bytes = offer.unsent_bytes.size();
  successor_->write(std::move(offer.unsent_bytes));
  serving_timeout_.start(kServingTimeout, [this] { on_lost(); });
  logging::info("handover") << "successor connected: handing over " << offer.socket_count << " sockets and "
                            << bytes << " bytes";
  callbacks_.offer_sent();
}

void HandoverServer::on_bytes(std::string_view bytes) {
  lines_.feed(bytes);
  while (successor_) {
    const auto line = lines_.next();
    if (!line) break;
    if (!on_line(*line)) return on_lost();
  }
  if (successor_ && lines_.overflowed()) on_lost();
}

// Returns false if the line is not a message that the successor may send now.
bool HandoverServer::on_line(std::string_view line) {
  if (const auto id_message = parse_id_line(line)) {
    callbacks_.id_message(*id_message);
    return true;
  }
  if (const auto account_message = parse_account_line(line)) {
    callbacks_.account_message(*account_message);
    return true;
  }
  const auto message = parse_handover_line(line);
  if (message == HandoverMessage::share_ids) {
    callbacks_.ids_requested();
  } else if (message == HandoverMessage::serving && !successor_served_) {
    on_serving();
  } else if (message == HandoverMessage::handed_over && successor_served_) {
    handed_over_ = true;
  } else {
    return false;
  }
  return true;
}

void HandoverServer::send(std::string line) {
  if (successor_) successor_->write(std::move(line));
}

void HandoverServer::receive_pending() {
  if (successor_) successor_->receive_pending();
}

void HandoverServer::on_serving() {
  serving_timeout_.stop();
  successor_served_ = true;
  listener_.reset();  // the path belongs to the successor from the answer on
  const bool drained = callbacks_.successor_serving();
  successor_->write(
      std::string(to_line(drained ? HandoverMessage::yielded_drained : HandoverMessage::yielded)));
  callbacks_.successor_notified();
}

void HandoverServer::on_lost() {
  if (!successor_) return;
  serving_timeout_.stop();
  successor_->close();
  deferred_delete(std::exchange(successor_, nullptr));
  if (handed_over_) return;
  logging::warning("handover") << "the successor disconnected " << (successor_served_ ? "after" : "before")
                               << " it was serving";
  callbacks_.successor_lost();
  if (!listener_) reopen();
}

void HandoverServer::reopen() {
  try {
    open();
  } catch (const NetError& problem) {
    logging::warning("handover") << problem.what();
  }
}

}  // namespace thornwick::net
