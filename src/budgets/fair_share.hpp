// Weighted fair admission when there is not enough for all: start-time fair queueing (Goyal, Vin and Cheng
// 1996) on admission, without a queue. Each member has a tag, the virtual time up to which its tokens are
// accounted for; virtual time passes as fast as the service can be handed out to those who ask. A request
// whose tag is further ahead than `max_ahead_s` is rejected at once, with the time when it would be admitted.
//
// Work-conserving: virtual time passes by the weights of the active members alone, so what an idle member
// leaves goes to the others; a member that comes back begins at the present and is admitted before all who
// are ahead. Where nothing is scarce, all are admitted and tags only keep count.
//
// Times are in microseconds, from the clock of the caller; costs are in tokens.
#pragma once

#include <boost/intrusive/list.hpp>
#include <cstdint>
#include <deque>
#include <vector>

#include "thornwick/routing_policy.hpp"

namespace thornwick::budgets {

struct FairShareOptions {
  std::vector<double> weights;          // of members, by number; beyond: 1. Above 0
  double max_ahead_s = 0.25;            // of the service's tokens that one member may be ahead
  Time idle_after = seconds(1);         // a member that has not asked for so long leaves its share to others
  double growth_per_s = 0.1;            // part by which the handed-out rate grows while nothing is scarce
  double decrease_factor = 0.9;         // of the rate, at a sign of scarcity; never below what is served
  Time scarcity_duration = seconds(2);  // after the last sign of scarcity
};

class FairShare {
 public:
  // Throws std::invalid_argument where a weight is not above 0.
  explicit FairShare(const FairShareOptions& options);

  struct Admission {
    bool admitted = true;
    Time retry_after = 0;  // above 0 where it is not admitted
  };
  // A member asks for `cost` tokens, above 0. Amortised O(1).
  [[nodiscard]] Admission admit(Time now, std::uint16_t member, double cost);
  // An admitted request cost so much more than expected (below 0: less).
  void adjust_cost(std::uint16_t member, double cost);
  // Tokens of an answer that came in time.
  void on_served(Time now, double tokens);
  // A replica or the decider was full, or an answer late: what is handed out is more than there is.
  void on_scarcity(Time now);

 private:
  using ListHook = boost::intrusive::list_base_hook<boost::intrusive::link_mode<boost::intrusive::safe_link>>;
  struct Member : ListHook {
    double weight = 1;
    double tag = 0;  // virtual time: tokens for each unit of weight
    Time last_asked = 0;
  };

  bool is_scarce(Time now) const { return scarce_until_ > now; }
  Member& member_of(std::uint16_t number);
  void mark_active(Member& member, Time now);
  double max_ahead() const;
  void advance_to(Time now);
  void retire_idle_members(Time now);
  void measure_served_rate(Time now);

  FairShareOptions options_;
  std::deque<Member> members_;  // by number; addresses stay
  // The active members, who asked last is at the end. Declared after members_: it is destroyed before them.
  boost::intrusive::list<Member> active_;
  double active_weight_ = 0;
  double virtual_time_ = 0;
  double rate_ = 0;  // tokens a second that are handed out while it is scarce
  Time updated_at_ = 0;
  Time scarce_until_ = 0;
  Time rate_decreased_at_ = 0;
  // What is served, measured over a window of at least kMeasureWindow.
  Time window_started_at_ = 0;
  double window_tokens_ = 0;
  double served_per_s_ = 0;  // in the window before
};

}  // namespace thornwick::budgets
