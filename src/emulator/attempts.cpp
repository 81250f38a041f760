// The attempts of an emulated day: connections to replicas, and the answers of the replicas.
#include <utility>

#include "emulator/day_simulation.hpp"

namespace thornwick::emulator {

void DaySimulation::start_attempt(EmulatedRouter& router, core::AttemptId id, ReplicaId replica_id,
                                  const ClientRequest& request) {
  const Handle handle = attempts_.create();
  Attempt& attempt = *attempts_.find(handle);
  attempt.id = id;
  attempt.router = router.index;
  attempt.replica = replica_index_.at(replica_id);
  attempt.request = request.handle;
  attempt.sent_at = now_;
  check_repeat(request, attempt.replica);
  if (!router.attempts.insert({id.request_id, handle}).second) ++result_.violations.concurrent_attempts;
  ++result_.attempts;
  if (replicas_[attempt.replica].zone != router.zone) ++result_.cross_zone_attempts;
  const Time unavailable_since = router.unavailable_since[attempt.replica];
  const auto grace = static_cast<Time>(1000 * scenario_.drain_grace_ms);
  if (unavailable_since > 0 && now_ > unavailable_since + grace) ++result_.violations.attempts_to_draining;
  connect(router, handle);
}

// Uses the connection that has been idle for the shortest time, or opens a new one.
void DaySimulation::connect(EmulatedRouter& router, Handle handle) {
  const Attempt& attempt = *attempts_.find(handle);
  Replica& replica = replicas_[attempt.replica];
  const Time one_way = network_.one_way(router.zone, replica.zone);
  if (!replica.up && replica.unreachable)
    return schedule(now_ + static_cast<Time>(1000 * scenario_.connect_timeout_ms),
                    EventType::attempt_connect_failed, handle);
  if (!replica.up) return schedule(now_ + 2 * one_way, EventType::attempt_connect_failed, handle);
  auto& idle = router.idle_connections[attempt.replica];
  const Time oldest = now_ - static_cast<Time>(1e6 * scenario_.idle_timeout_s);
  // If the most recently used connection has been idle for too long, all have, and all are closed.
  if (!idle.empty() && idle.back() < oldest) replica.connections -= std::exchange(idle, {}).size();
  if (!idle.empty()) {
    idle.pop_back();
    return schedule(now_ + one_way, EventType::attempt_arrived, handle);
  }
  if (replica.connections >= scenario_.max_connections)
    return schedule(now_ + 2 * one_way, EventType::attempt_connect_failed, handle);
  ++replica.connections;
  const Time handshake = 2 * one_way + static_cast<Time>(1000 * scenario_.handshake_ms);
  schedule(now_ + handshake + one_way, EventType::attempt_arrived, handle);
}

void DaySimulation::on_attempt_arrived(Handle handle) {
  Attempt* attempt = attempts_.find(handle);
  if (attempt == nullptr) return;
  const std::uint32_t index = attempt->replica;
  Replica& replica = replicas_[index];
  const std::uint16_t router_zone = routers_[attempt->router]->zone;
  if (!replica.up && replica.unreachable) return;
  if (!replica.up)
    return schedule(now_ + network_.one_way(replica.zone, router_zone), EventType::attempt_reset, handle);
  ClientRequest* request = requests_.find(attempt->request);
  if (request == nullptr) return;
  const PlannedRequest& plan = request->plan;
  ++replica.result.sent;
  replica.result.work += plan.work;
  const Time back = network_.one_way(replica.zone, router_zone);
  const double error_rate = scenario_.kinds[replica.kind].error_rate;
  if (error_rate > 0 && replica_random_.happens(error_rate)) {
    request->executions.push_back({index, attempt->sent_at});
    return schedule(now_ + back, EventType::attempt_reset, handle);
  }
  attempt->generated = plan.generated;
  if (!replica.engine->offer(now_, {.job = handle,
                                    .session = plan.session,
                                    .prefix = plan.prefix,
                                    .prompt = plan.prompt,
                                    .prefix_tokens = plan.prefix_tokens,
                                    .generated = plan.generated,
                                    .size = plan.work,
                                    .deadline = plan.deadline})) {
    ++replica.result.full;
    return schedule(now_ + back, EventType::attempt_rejected, handle);
  }
  attempt->in_engine = true;
  request->executions.push_back({index, attempt->sent_at});
  result_.wasted_work += plan.work;  // on_answered() subtracts the work of the answered request
  check_overload(index, plan.work);
  schedule_replica(index);
}

void DaySimulation::on_first_token(Handle handle) {
  const Attempt* attempt = attempts_.find(handle);
  if (attempt == nullptr) return;
  const double prompt = requests_.find(attempt->request)->plan.prompt;
  result_.cached_tokens += attempt->cached;
  result_.prompt_tokens += prompt;
  auto& read = replicas_[attempt->replica].result.tokens_read;
  const auto sample = static_cast<std::size_t>(static_cast<double>(now_) / 1e6 / result_.sample_s);
  if (read.size() <= sample) read.resize(sample + 1);
  read[sample] += prompt - attempt->cached;
  routers_[attempt->router]->core->attempt_event(attempt->id, first_frame_);
}

void DaySimulation::on_completed(Handle handle) {
  Attempt* attempt = attempts_.find(handle);
  if (attempt == nullptr) return;
  core::RequestManager& core = *routers_[attempt->router]->core;
  const core::AttemptId id = attempt->id;
  const ClientRequest& request = *requests_.find(attempt->request);
  result_.totals.delivered_tokens += std::exchange(attempt->undelivered, 0);
  usage_frame_.usage = {static_cast<std::uint64_t>(request.plan.prompt),
                        static_cast<std::uint64_t>(attempt->generated),
                        static_cast<std::uint64_t>(attempt->cached)};
  core.attempt_event(id, usage_frame_);
  core.attempt_event(id, end_frame_);
  end_attempt(handle, Outcome::served);
}

// Ends an attempt that the router's core still waits for.
void DaySimulation::end_attempt(Handle handle, Outcome outcome) {
  const Attempt* attempt = attempts_.find(handle);
  if (attempt == nullptr) return;
  EmulatedRouter& router = *routers_[attempt->router];
  const core::AttemptId id = attempt->id;
  if (outcome == Outcome::served || outcome == Outcome::full) {
    keep_connection(router, *attempt);
  } else {
    close_connection(*attempt);
  }
  router.attempts.erase(id.request_id);
  forget_attempt(handle);
  router.core->attempt_ended(id, outcome);
}

// Closes the attempt's connection. The replica still completes the answer, whose tokens are discarded.
bool DaySimulation::cancel_attempt(EmulatedRouter& router, core::AttemptId id) {
  const auto found = router.attempts.find(id.request_id);
  if (found == router.attempts.end()) return false;
  const Handle handle = found->second;
  router.attempts.erase(found);
  if (const Attempt* attempt = attempts_.find(handle)) close_connection(*attempt);
  forget_attempt(handle);
  return true;
}

void DaySimulation::forget_attempt(Handle handle) {
  if (const Attempt* attempt = attempts_.find(handle))
    result_.totals.discarded_tokens += attempt->undelivered;
  attempts_.erase(handle);
}

void DaySimulation::keep_connection(EmulatedRouter& router, const Attempt& attempt) {
  if (replicas_[attempt.replica].up) router.idle_connections[attempt.replica].push_back(now_);
}

void DaySimulation::close_connection(const Attempt& attempt) {
  Replica& replica = replicas_[attempt.replica];
  if (replica.up && replica.connections > 0) --replica.connections;
}

}  // namespace thornwick::emulator
