#include "emulator/emulated_router.hpp"

#include "emulator/day_simulation.hpp"

namespace thornwick::emulator {

Time EmulatedRouter::now() const { return day_.now(); }

void EmulatedRouter::wake_at(Time when) { day_.set_router_timer(*this, when); }

void EmulatedRouter::launch(core::AttemptId attempt, ReplicaId replica_id,
                            std::shared_ptr<const core::Payload> payload, Time, std::uint16_t) {
  day_.start_attempt(*this, attempt, replica_id, static_cast<const ClientRequest&>(*payload));
}

bool EmulatedRouter::abandon(core::AttemptId attempt) { return day_.cancel_attempt(*this, attempt); }

void EmulatedRouter::probe(ReplicaId replica_id) { day_.probe(*this, replica_id); }

void EmulatedRouter::subscribe() { day_.request_endpoint_list(*this); }

void EmulatedRouter::send(std::uint32_t rank, const std::string& message) {
  day_.send_peer_message(*this, rank, message);
}

}  // namespace thornwick::emulator
