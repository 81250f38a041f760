// The rule by which a request may be sent again after an attempt that may have run. It follows from the
// effect of the request's class alone, so it holds over all attempts of the request, whichever part of the
// router decided on them.
#pragma once

#include <limits>

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

}  // namespace thornwick
