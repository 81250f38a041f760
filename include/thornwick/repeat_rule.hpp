// The rule by which a request may be sent again, or rejected, after attempts that may have run. It follows
// from the effect of the request's class and from the attempts alone, so it holds over all attempts of the
// request, whichever part of the router decided on them.
//
// The core asks it for every attempt and every final answer (core/request_manager.hpp). Deciders ask it too,
// so that they do not decide on what the core would not carry out.
#pragma once

#include <algorithm>
#include <cstddef>
#include <limits>
#include <vector>

#include "thornwick/events.hpp"
#include "thornwick/settings.hpp"
#include "thornwick/types.hpp"

namespace thornwick {

// The limit of a request that may always be sent again.
inline constexpr Time kNoRepeatLimit = std::numeric_limits<Time>::max();

// Returns the time point from which a request must not be sent again, in microseconds on the clock of
// `sent_at`: the moment at which the earliest attempt that may have run was sent. Replicas discard the
// repeats of a keyed request only within ClassSettings::dedup_window of that attempt, and nobody discards
// those of an unsafe request.
constexpr Time repeat_limit(const ClassSettings& request_class, Time sent_at) {
  switch (request_class.effect) {
    case Effect::safe: return kNoRepeatLimit;
    case Effect::keyed: return sent_at + request_class.dedup_window;
    case Effect::unsafe: break;
  }
  return sent_at;
}

// Returns whether all replicas discard the repeats of such a request or need not, so that a repeat may go to
// a replica in any zone or cell.
constexpr bool may_repeat_at_any_replica(const ClassSettings& request_class) {
  if (request_class.effect == Effect::safe) return true;
  return request_class.effect == Effect::keyed && request_class.dedup_scope == DedupScope::all;
}

// A replica and the groups in which replicas discard each other's repeats.
struct ReplicaLocation {
  ReplicaId id = 0;
  bool listed = true;  // false: the endpoint list does not have the replica, so its groups are unknown
  std::uint16_t zone = 0;
  std::uint16_t cell = 0;
};

inline ReplicaLocation location_of(const Endpoint& endpoint) {
  return {.id = endpoint.id, .listed = true, .zone = endpoint.zone, .cell = endpoint.cell};
}

// Returns whether replica `next` discards the repeat of a keyed request that was sent to replica `earlier`.
constexpr bool share_deduplication(DedupScope scope, const ReplicaLocation& earlier,
                                   const ReplicaLocation& next) {
  if (scope == DedupScope::all || earlier.id == next.id) return true;
  if (!earlier.listed || !next.listed || earlier.zone != next.zone) return false;
  return scope == DedupScope::zone || earlier.cell == next.cell;
}

// One sending of a request to one replica.
struct SentAttempt {
  ReplicaLocation replica;  // as listed when the attempt was sent
  Time sent_at = 0;         // microseconds
  bool outstanding = true;
  bool may_have_run = true;  // false once an outcome proves that no replica began to work
};

// The attempts of one request, numbered from 0 in the order in which they were sent.
class AttemptHistory {
 public:
  void add(const ReplicaLocation& replica, Time sent_at) { attempts_.push_back({replica, sent_at}); }
  // Records the outcome of an attempt. A number of no attempt is ignored.
  void record_outcome(std::size_t number, Outcome outcome) {
    if (number >= attempts_.size()) return;
    attempts_[number].outstanding = false;
    attempts_[number].may_have_run = !never_ran(outcome);
  }

  bool empty() const { return attempts_.empty(); }
  std::size_t size() const { return attempts_.size(); }
  const SentAttempt& operator[](std::size_t number) const { return attempts_[number]; }
  const SentAttempt& back() const { return attempts_.back(); }
  auto begin() const { return attempts_.begin(); }
  auto end() const { return attempts_.end(); }

  // Returns whether an attempt is still without an outcome.
  bool has_outstanding() const {
    return std::any_of(begin(), end(), [](const SentAttempt& attempt) { return attempt.outstanding; });
  }
  // Returns whether a replica may have begun to work on the request.
  bool may_have_run() const {
    return std::any_of(begin(), end(), [](const SentAttempt& attempt) { return attempt.may_have_run; });
  }
  bool was_sent_to(ReplicaId replica) const {
    return std::any_of(begin(), end(),
                       [replica](const SentAttempt& attempt) { return attempt.replica.id == replica; });
  }

  // Returns the time point from which the request must not be sent again, in microseconds.
  Time repeat_limit(const ClassSettings& request_class) const {
    Time limit = kNoRepeatLimit;
    for (const SentAttempt& attempt : attempts_) {
      if (attempt.may_have_run)
        limit = std::min(limit, thornwick::repeat_limit(request_class, attempt.sent_at));
    }
    return limit;
  }
  // Returns whether the request may be sent to any replica at all at the time `now`, as far as the attempts
  // so far decide it.
  bool may_send_anywhere(const ClassSettings& request_class, Time now) const {
    if (!may_have_run()) return true;
    return may_repeat_at_any_replica(request_class) && now < repeat_limit(request_class);
  }
  // Returns whether the request may be sent to replica `next` at the time `now`: every replica that may have
  // run it discards the repeat together with `next`, or none may have run it.
  bool may_send(const ClassSettings& request_class, const ReplicaLocation& next, Time now) const {
    if (request_class.effect == Effect::safe) return true;
    return std::all_of(begin(), end(), [&](const SentAttempt& earlier) {
      if (!earlier.may_have_run) return true;
      return now < thornwick::repeat_limit(request_class, earlier.sent_at) &&
             share_deduplication(request_class.dedup_scope, earlier.replica, next);
    });
  }
  // Returns whether the request may be rejected, which assures its client that a repeat does no harm. The
  // client's repeat may reach any replica.
  bool may_reject(const ClassSettings& request_class) const {
    return may_repeat_at_any_replica(request_class) || !may_have_run();
  }

 private:
  std::vector<SentAttempt> attempts_;
};

}  // namespace thornwick
