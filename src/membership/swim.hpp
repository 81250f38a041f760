// The failure detector: finds out which routers of the operator's file run. It uses the SWIM protocol with
// suspicion and incarnations (Das, Gupta and Motivala 2002), with thresholds that follow the measured message
// loss.
//
// Guarantees: it does no I/O. The caller hands in the clock and the seed of all randomness, so that the same
// calls give the same results. It is a value: a copy continues independently. It is not thread-safe.
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
  // `self` is this router's index in the roster. Times are microseconds on a clock that only advances.
  Swim(std::shared_ptr<const Roster> roster, std::size_t self, Identity identity, Options options,
       std::uint64_t seed, Time now);

  // When tick() is due next; changes with each call below.
  Time next_tick() const;
  void tick(Time now);
  // Handles a datagram with any content.
  void on_message(Time now, std::span<const std::uint8_t> bytes);
  // Handles all claims of another member, received over a link.
  void on_claims(Time now, std::size_t reporter, const std::vector<Claim>& claims);
  // Announces this router's shutdown to some members at once, and with every later message.
  void leave(Time now);

  // The datagrams to send and the changes to log since the previous take. The owner takes both after each
  // call above.
  [[nodiscard]] std::vector<OutgoingDatagram> take_datagrams() { return std::exchange(state_.datagrams, {}); }
  std::vector<Change> take_changes() { return std::exchange(state_.changes, {}); }

  const Roster& roster() const { return *state_.roster; }
  std::size_t self() const { return state_.self; }
  // Throws std::out_of_range for an index that is not in the roster; so does running_count(site).
  const MemberView& view(std::size_t member) const { return state_.members.at(member).view; }
  std::uint64_t incarnation() const { return state_.own().view.incarnation; }
  // The number of routers that are believed to run, this one included, in all or at one site.
  std::size_t running_count() const { return state_.condition.running; }
  std::size_t running_count(std::size_t site) const { return state_.condition.running_by_site.at(site); }
  // Whether this router is cut off: it reaches fewer than half of the members that have not left. It calls no
  // member gone while it is cut off.
  bool is_cut_off() const { return state_.condition.cut_off; }
  // Whether the view of the members may be acted upon: half of the other members (ten in a large group) have
  // answered since this process last started, was suspended or cut off.
  bool is_view_reliable() const { return state_.condition.view_is_reliable; }
  // Whether two processes use this router's own name.
  bool name_conflict() const { return state_.own().view.name_conflict; }
  // The fraction of probe rounds that running members did not answer.
  double loss_rate() const { return state_.loss.value(); }
  const Metrics& metrics() const { return state_.metrics; }
  // All claims of this router, for on_view() of another member.
  std::vector<Claim> claims() const;
  // A text of the whole state except times and counters. Equal texts mean equal later behaviour.
  std::string digest() const;

 private:
  SwimState state_;
};

}  // namespace thornwick::membership
