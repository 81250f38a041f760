#include "replication/operator_requests.hpp"

#include <algorithm>
#include <utility>

namespace thornwick::replication {
namespace {

constexpr std::size_t kMaxRequests = 64;
constexpr Time kRequestTimeout = seconds(15);
constexpr Time kRepeatInterval = seconds(1);

}  // namespace

OperatorOutcome outcome_of(const OperatorResponse& response) {
  if (response.accepted) return {OperatorOutcome::Status::accepted, {}};
  // A rejection without a reason counts as no response.
  if (response.reason.empty()) return {};
  return {OperatorOutcome::Status::rejected, response.reason};
}

bool OperatorRequests::has_room_for(std::size_t requests) const {
  return requests_.size() + requests <= kMaxRequests;
}

void OperatorRequests::add(Time now, std::uint64_t id, std::size_t ledger, std::string envelope, Done done) {
  requests_.push_back({id, ledger, std::move(envelope), now + kRequestTimeout, now, std::move(done)});
}

// Iterates by index, because `done` may add requests.
void OperatorRequests::tick(Time now, const SendToReplicas& send) {
  std::size_t i = 0;
  while (i < requests_.size()) {
    Request& request = requests_[i];
    if (now >= request.deadline) {
      const Done done = std::move(request.done);
      requests_.erase(requests_.begin() + static_cast<std::ptrdiff_t>(i));
      done({OperatorOutcome::Status::unknown, {}});
      continue;
    }
    if (now >= request.next_send_at) {
      request.next_send_at = now + kRepeatInterval;
      send(request.ledger, request.envelope);
    }
    ++i;
  }
}

bool OperatorRequests::on_response(std::size_t ledger, const OperatorResponse& response) {
  const auto found = std::find_if(requests_.begin(), requests_.end(), [&](const Request& request) {
    return request.id == response.id && request.ledger == ledger;
  });
  if (found == requests_.end()) return false;
  const Done done = std::move(found->done);
  requests_.erase(found);
  done(outcome_of(response));
  return true;
}

Time OperatorRequests::next_tick(Time latest) const {
  Time next = latest;
  for (const Request& request : requests_) next = std::min({next, request.next_send_at, request.deadline});
  return next;
}

}  // namespace thornwick::replication
