// The failure detector, which finds out which routers of the operator's file run. It implements the SWIM
// protocol with suspicion and incarnations (Das, Gupta and Motivala 2002), with thresholds that depend on the
// measured message loss.
//
// Guarantees: Swim does no I/O. The caller passes the time and the seed of all random numbers, so that the
// same calls give the same results. A copy of a Swim continues independently. Swim is not thread-safe.
//
// Each call first checks whether this process was suspended since the last call, because its view of the
// members is out of date then.
#pragma once

#include <cstddef>
#include <cstdint>
#include <memory>
#include <span>
#include <string>
#include <utility>
#include <vector>

#include "membership/member_view.hpp"
#include "membership/message.hpp"
#include "membership/options.hpp"
#include "membership/output.hpp"
#include "membership/roster.hpp"
#include "membership/swim_state.hpp"

namespace thornwick::membership {

class Swim {
 public:
  // `self` is this router's index in the roster. Times are microseconds of a monotonic clock.
  Swim(std::shared_ptr<const Roster> roster, std::size_t self, Identity identity, Options options,
       std::uint64_t seed, Time now);

  // The time at which tick() is due next. Changes with each of the calls below.
  Time next_tick() const;
  void tick(Time now);
  // Handles a datagram with any content.
  void on_message(Time now, std::span<const std::uint8_t> bytes);
  // Handles the list of all claims of another member, which was received over a link.
  void on_claims(Time now, std::size_t reporter, const std::vector<Claim>& claims);
  // Announces this router's shutdown to some members at once, and with every later message.
  void leave(Time now);

  // Return and remove the datagrams to send and the changes to log. The owner takes both after each of the
  // calls above.
  [[nodiscard]] std::vector<OutgoingDatagram> take_datagrams() { return std::exchange(state_.datagrams, {}); }
  std::vector<Change> take_changes() { return std::exchange(state_.changes, {}); }

  const Roster& roster() const { return *state_.roster; }
  std::size_t self() const { return state_.self; }
  // Throws std::out_of_range for an index that is not in the roster; so does running_count(site).
  const MemberView& view(std::size_t member) const { return state_.members.at(member).view; }
  std::uint64_t incarnation() const { return state_.local().view.incarnation; }
  // The number of routers that run in this router's view, this router included, in all or at one site.
  std::size_t running_count() const { return state_.condition.running; }
  std::size_t running_count(std::size_t site) const { return state_.condition.running_by_site.at(site); }
  // Whether this router is cut off, which means that it reaches fewer than half of the members that have not
  // left. No member is set to failed while this router is cut off.
  bool is_cut_off() const { return state_.condition.cut_off; }
  // Whether decisions may be based on the view of the members: half of the other members (ten in a large
  // group) have answered since this process last started, was suspended or was cut off.
  bool is_view_reliable() const { return state_.condition.view_is_reliable; }
  // Whether two processes use this router's name.
  bool name_conflict() const { return state_.local().view.name_conflict; }
  // The fraction of probe rounds that running members did not answer.
  double loss_rate() const { return state_.loss.value(); }
  const Metrics& metrics() const { return state_.metrics; }
  // All claims of this router, for on_claims() of another member.
  std::vector<Claim> claims() const;
  // A text of the state without absolute times and counters. Equal texts mean equal later behaviour.
  std::string digest() const;

 private:
  SwimState state_;
};

}  // namespace thornwick::membership
