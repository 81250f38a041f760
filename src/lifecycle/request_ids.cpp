#include "lifecycle/request_ids.hpp"

#include <algorithm>

namespace thornwick::lifecycle {

bool RequestIdRegistry::is_in_use(const std::string& id) const {
  return own_.contains(id) || predecessor_.contains(id) || retained_.contains(id) || claims_.contains(id);
}

IdClaim RequestIdRegistry::claim(const std::string& id, Time now, IdClaimant& claimant) {
  receive_pending_();
  forget_retained(now);
  if (is_in_use(id)) return IdClaim::in_use;
  if (successor_decides_) {
    claims_[id] = {.owner = Owner::this_process, .claimant = &claimant, .since = now};
    notify_successor(IdNotice::claimed, id);
    return IdClaim::pending;
  }
  own_.insert(id);
  notify_successor(IdNotice::held, id);
  return IdClaim::granted;
}

void RequestIdRegistry::release(const std::string& id) {
  if (own_.erase(id) > 0) return notify_successor(IdNotice::released, id);
  if (const auto claim = claims_.find(id);
      claim != claims_.end() && claim->second.owner == Owner::this_process)
    give_up(id, claim->second);
}

// The successor may have granted the claim already, so it is notified of the release at once. Its answer has
// no effect.
void RequestIdRegistry::give_up(const std::string& id, PendingClaim& claim) {
  claim = {.owner = Owner::nobody, .since = claim.since};
  notify_successor(IdNotice::released, id);
}

void RequestIdRegistry::retain(const std::string& id, Time now) {
  forget_retained(now);
  own_.erase(id);
  predecessor_.erase(id);
  if (!retained_.insert(id).second) return;
  retained_since_.emplace_back(now, id);
  notify_successor(IdNotice::retained, id);
}

void RequestIdRegistry::forget_retained(Time now) {
  while (!retained_since_.empty() && (retained_since_.size() > retention_.max_ids ||
                                      now - retained_since_.front().first >= retention_.duration)) {
    retained_.erase(retained_since_.front().second);
    retained_since_.pop_front();
  }
}

void RequestIdRegistry::give_up_claims(Time claimed_until) {
  std::vector<std::pair<std::string, PendingClaim>> late;
  for (auto& [id, claim] : claims_) {
    if (claim.owner == Owner::nobody || claim.since > claimed_until) continue;
    late.emplace_back(id, claim);
    give_up(id, claim);
  }
  for (const auto& [id, claim] : late) decide(id, claim, IdClaim::unknown);
}

bool RequestIdRegistry::has_pending_claims() const {
  return std::any_of(claims_.begin(), claims_.end(),
                     [](const auto& entry) { return entry.second.owner != Owner::nobody; });
}

std::vector<std::string> RequestIdRegistry::ids() const {
  std::vector<std::string> result;
  for (const auto* set : {&own_, &predecessor_, &retained_})
    result.insert(result.end(), set->begin(), set->end());
  return result;
}

void RequestIdRegistry::notify_successor(IdNotice notice, const std::string& id) {
  if (send_to_successor_) send_to_successor_({notice, id});
}

void RequestIdRegistry::decide(const std::string& id, const PendingClaim& claim, IdClaim decision) {
  const bool granted = decision == IdClaim::granted;
  switch (claim.owner) {
    case Owner::nobody: return;
    case Owner::this_process:
      if (granted) own_.insert(id);
      return claim.claimant->on_id_decided(decision);
    case Owner::predecessor:
      if (granted) predecessor_.insert(id);
      if (answer_predecessor_) answer_predecessor_({granted ? IdNotice::granted : IdNotice::denied, id});
      return;
  }
}

void RequestIdRegistry::inform_successor(Send send) {
  send_to_successor_ = std::move(send);
  for (const std::string& id : own_) notify_successor(IdNotice::held, id);
  for (const std::string& id : predecessor_) notify_successor(IdNotice::held, id);
  for (const std::string& id : retained_) notify_successor(IdNotice::retained, id);
}

void RequestIdRegistry::on_successor_message(const IdMessage& message) {
  const auto found = claims_.find(message.id);
  if (found == claims_.end()) return;
  const PendingClaim claim = found->second;
  claims_.erase(found);
  decide(message.id, claim, message.notice == IdNotice::granted ? IdClaim::granted : IdClaim::in_use);
}

void RequestIdRegistry::on_successor_lost() {
  send_to_successor_ = nullptr;
  successor_decides_ = false;
  const auto claims = std::exchange(claims_, {});
  for (const auto& [id, claim] : claims) decide(id, claim, IdClaim::granted);
}

void RequestIdRegistry::begin_succession(const std::vector<std::string>& ids, Send answer) {
  predecessor_.insert(ids.begin(), ids.end());
  answer_predecessor_ = std::move(answer);
}

void RequestIdRegistry::on_predecessor_message(const IdMessage& message, Time now) {
  switch (message.notice) {
    case IdNotice::held:
      if (predecessor_.insert(message.id).second) notify_successor(IdNotice::held, message.id);
      return;
    case IdNotice::released:
      if (predecessor_.erase(message.id) > 0) return notify_successor(IdNotice::released, message.id);
      if (const auto claim = claims_.find(message.id);
          claim != claims_.end() && claim->second.owner == Owner::predecessor)
        give_up(message.id, claim->second);
      return;
    case IdNotice::retained: return retain(message.id, now);
    case IdNotice::claimed: return claim_for_predecessor(message.id, now);
    case IdNotice::granted:
    case IdNotice::denied: return;  // only a successor sends these
  }
}

void RequestIdRegistry::claim_for_predecessor(const std::string& id, Time now) {
  receive_pending_();
  forget_retained(now);
  if (is_in_use(id)) return answer_predecessor_({IdNotice::denied, id});
  if (!successor_decides_) {
    notify_successor(IdNotice::held, id);
    return decide(id, {.owner = Owner::predecessor}, IdClaim::granted);
  }
  claims_[id] = {.owner = Owner::predecessor, .since = now};
  notify_successor(IdNotice::claimed, id);
}

void RequestIdRegistry::on_predecessor_exited(Time now) {
  answer_predecessor_ = nullptr;
  for (const std::string& id : std::vector<std::string>(predecessor_.begin(), predecessor_.end()))
    retain(id, now);
}

}  // namespace thornwick::lifecycle
