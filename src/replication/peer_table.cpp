#include "replication/peer_table.hpp"

namespace thornwick::replication {
namespace {

constexpr char kPeerPrefix = 'n';
constexpr Time kHelloValidity = seconds(5);

std::string peer_key(const std::string& router) { return kPeerPrefix + router; }

}  // namespace

bool PeerTable::owns(std::string_view key) { return !key.empty() && key.front() == kPeerPrefix; }

void PeerTable::load(std::string_view key, std::string_view value) {
  if (const auto process = read<Process>(value)) peers_[std::string(key.substr(1))].process = *process;
}

const PeerRecord* PeerTable::find(const std::string& router) const {
  const auto found = peers_.find(router);
  return found == peers_.end() ? nullptr : &found->second;
}

const PeerRecord* PeerTable::find_recent(const std::string& router, Time now) const {
  const PeerRecord* peer = find(router);
  if (peer == nullptr || peer->received_at == 0 || now - peer->received_at > kHelloValidity) return nullptr;
  return peer;
}

void PeerTable::set_process(const std::string& router, const Process& process) {
  PeerRecord& peer = peers_[router];
  const LogPosition known = peer.process.id == process.id ? peer.process.position() : LogPosition();
  peer.process = process;
  peer.process.set_position(known);
  records_.write(peer_key(router), packed(process));
  peer.process_write_number = records_.last_write_number();
}

void PeerTable::raise_position(const std::string& router, ReplicaUid id, const LogPosition& position) {
  const auto found = peers_.find(router);
  if (found == peers_.end() || found->second.process.id != id) return;
  Process& process = found->second.process;
  LogPosition known = process.position();
  known.raise_to(position);
  process.set_position(known);
}

void PeerTable::write_positions() {
  for (auto& [router, peer] : peers_) {
    if (peer.stored_position == peer.process.position()) continue;
    peer.stored_position = peer.process.position();
    records_.write(peer_key(router), packed(peer.process));
  }
}

void PeerTable::forget_acknowledgements() {
  for (auto& [router, peer] : peers_) peer.knows_this_process = false;
}

}  // namespace thornwick::replication
