// Rule 2 of the wire protocol ("No duplicate effect") for one request, written from the text of the page and
// not from thornwick/repeat_rule.hpp. Tests report what they see of a request, and learn what the rule
// forbids.
#pragma once

#include <algorithm>
#include <vector>

#include "thornwick/routing_policy.hpp"

namespace thornwick::testing {

// Whether a request may have two attempts outstanding (`policyLimits.secondCopies`).
enum class SecondCopies { forbidden, allowed };

class EffectOracle {
 public:
  explicit EffectOracle(const ClassSettings& request_class,
                        SecondCopies second_copies = SecondCopies::forbidden)
      : request_class_(request_class), second_copies_(second_copies) {}

  // An attempt is sent. Returns whether the rule permits it.
  [[nodiscard]] bool on_send(int number, const Endpoint& replica, Time now) {
    const bool outstanding = std::any_of(attempts_.begin(), attempts_.end(), [](const Attempt& earlier) {
      return earlier.state == State::outstanding;
    });
    const bool permitted = std::all_of(attempts_.begin(), attempts_.end(), [&](const Attempt& earlier) {
      return permits_send(earlier, replica, now);
    });
    attempts_.push_back({number, replica, now, State::outstanding});
    return permitted && (!outstanding || second_copies_ == SecondCopies::allowed);
  }
  // An attempt has an outcome.
  void on_outcome(int number, Outcome outcome) {
    for (Attempt& attempt : attempts_) {
      if (attempt.number == number)
        attempt.state = proves_not_executed(outcome) ? State::never_executed : State::may_have_executed;
    }
  }
  // Returns whether the rule permits the answer that a resubmission is harmless.
  bool permits_rejection() const {
    if (request_class_.effect == Effect::safe) return true;
    if (request_class_.effect == Effect::keyed && request_class_.dedup_scope == DedupScope::all) return true;
    return !may_have_executed();
  }
  // Whether an attempt may have executed or remains outstanding.
  bool may_have_executed() const {
    return std::any_of(attempts_.begin(), attempts_.end(),
                       [](const Attempt& attempt) { return attempt.state != State::never_executed; });
  }

 private:
  enum class State { outstanding, may_have_executed, never_executed };
  struct Attempt {
    int number;
    Endpoint replica;
    Time sent_at;
    State state;
  };

  // OUTCOMES: 11, 111 and 114 prove that the attempt never ran.
  static bool proves_not_executed(Outcome outcome) {
    return outcome == Outcome::full || outcome == Outcome::connect_failed || outcome == Outcome::not_sent;
  }
  bool permits_send(const Attempt& earlier, const Endpoint& next, Time now) const {
    if (earlier.state == State::never_executed || request_class_.effect == Effect::safe) return true;
    if (request_class_.effect == Effect::unsafe) return false;
    return is_same_group(earlier.replica, next) && now - earlier.sent_at <= request_class_.dedup_window;
  }
  bool is_same_group(const Endpoint& earlier, const Endpoint& next) const {
    switch (request_class_.dedup_scope) {
      case DedupScope::all: return true;
      case DedupScope::zone: return earlier.zone == next.zone;
      case DedupScope::cell: return earlier.cell == next.cell;
    }
    return false;
  }

  ClassSettings request_class_;
  SecondCopies second_copies_;
  std::vector<Attempt> attempts_;
};

}  // namespace thornwick::testing
