// Weighted fair admission for times when the capacity does not suffice for all: start-time fair queueing
// (Goyal, Vin and Cheng 1996) applied to admission, without a queue. Each member has a finish tag, the
// virtual time up to which its tokens are accounted for. Virtual time advances at the rate at which tokens
// can be handed out, divided by the weights of the active members. A request whose tag is more than
// `max_ahead_s` ahead is rejected at once, with the time until it would be admitted.
//
// Work-conserving: only the weights of active members count, so the share of an idle member goes to the
// others. A member that becomes active again starts at the present virtual time and is admitted before all
// members that are ahead. While nothing is scarce, all requests are admitted and the tags only keep count.
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
  std::vector<double> weights;   // by member number, each above 0; members beyond the list have 1
  double max_ahead_s = 0.25;     // seconds' worth of tokens that one member may be ahead
  Time idle_after = seconds(1);  // without a request for so long, a member cedes its share to the others
  double growth_per_s = 0.1;     // fraction by which the handed-out rate grows each second
  double decrease_factor = 0.9;  // of the rate at a sign of scarcity, down to the served rate
  Time scarcity_duration = seconds(2);  // time that scarcity lasts after its last sign
};

class FairShare {
 public:
  // Throws std::invalid_argument if a weight is not above 0 or is infinite.
  explicit FairShare(const FairShareOptions& options);

  struct Admission {
    bool admitted = true;
    Time retry_after = 0;  // above 0 if the request is not admitted
  };
  // Decides on a request of a member that costs `cost` tokens, above 0. Amortised O(1).
  [[nodiscard]] Admission admit(Time now, std::uint16_t member, double cost);
  // Corrects the cost of an admitted request by `cost` tokens (below 0: it cost less than expected).
  void adjust_cost(std::uint16_t member, double cost);
  // Records the tokens of an answer that was complete in time.
  void on_served(Time now, double tokens);
  // Called when a replica or the decider was full, or an answer was late: more is handed out than the
  // replicas can serve.
  void on_scarcity(Time now);

 private:
  using ListHook = boost::intrusive::list_base_hook<boost::intrusive::link_mode<boost::intrusive::safe_link>>;
  struct Member : ListHook {
    double weight = 1;
    double finish_tag = 0;  // virtual time: tokens per unit of weight
    Time last_request_at = 0;
  };

  bool is_scarce(Time now) const { return scarce_until_ > now; }
  Member& member_of(std::uint16_t number);
  void mark_active(Member& member, Time now);
  double max_ahead() const;
  void advance_to(Time now);
  void retire_idle_members(Time now);
  void measure_served_rate(Time now);

  FairShareOptions options_;
  std::deque<Member> members_;  // by number; a deque, so that addresses do not change
  // The active members; the one with the latest request is last. Declared after members_, so that the list is
  // destroyed before its elements.
  boost::intrusive::list<Member> active_;
  double active_weight_ = 0;
  double virtual_time_ = 0;
  double handed_out_per_s_ = 0;  // tokens per second that are handed out while there is scarcity
  Time updated_at_ = 0;
  Time scarce_until_ = 0;
  Time rate_decreased_at_ = 0;
  // The served rate, measured over a window of at least kMeasureWindow.
  Time window_started_at_ = 0;
  double window_tokens_ = 0;
  double served_per_s_ = 0;  // in the previous window
};

}  // namespace thornwick::budgets
