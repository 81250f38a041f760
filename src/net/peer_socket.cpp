#include "net/peer_socket.hpp"

#include <algorithm>
#include <utility>

#include "logging/log.hpp"

namespace thornwick::net {

PeerSocket::PeerSocket(Options options, OnMessage on_message)
    : on_message_(std::move(on_message)), names_(std::move(options.peers)) {
  if (options.listen.empty()) return;
  for (const auto& name : names_) addresses_.push_back(parse_address(name));
  broadcast_ = parse_address(options.broadcast);
  try {
    socket_ = std::make_unique<DatagramSocket>(
        options.listen, std::move(options.bound_socket),
        [this](GSocketAddress* from, auto bytes) { on_datagram(from, bytes); }, AddressUse::shared);
  } catch (const NetError& problem) {
    throw NetError(std::string("peers: ") + problem.what());
  }
}

void PeerSocket::resume_reading() {
  if (socket_) socket_->resume_reading();
}

void PeerSocket::pause_reading() {
  if (socket_) socket_->pause_reading();
}

void PeerSocket::send(std::uint32_t rank, const std::string& message) {
  GSocketAddress* to = rank < addresses_.size() ? addresses_[rank].get() : broadcast_.get();
  if (!socket_ || to == nullptr || message.size() > kMaxDatagram) {
    logging::warning("gossip") << "message of " << message.size() << " bytes not sent";
    return;
  }
  socket_->send(to, message);  // a lost message is not sent again
}

// Drops a message from an address that does not belong to a peer.
void PeerSocket::on_datagram(GSocketAddress* from, std::span<const std::uint8_t> bytes) {
  const auto sender = std::find(names_.begin(), names_.end(), address_text(from));
  if (sender == names_.end()) return;
  on_message_(static_cast<std::uint32_t>(sender - names_.begin()), bytes);
}

}  // namespace thornwick::net
