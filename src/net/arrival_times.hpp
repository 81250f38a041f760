// When the unread bytes of a connection arrived, so that a request that waits behind others on its connection
// has its time limit from its arrival on.
#pragma once

#include <cstddef>
#include <cstdint>
#include <deque>

#include "net/clock.hpp"

namespace thornwick::net {

// Times are microseconds on the caller's clock. Arrivals within kResolution of each other count as one, as do
// those beyond the first kMaxArrivals; the time of a byte is then that of an earlier one.
class ArrivalTimes {
 public:
  static constexpr Time kResolution = milliseconds(20);
  static constexpr std::size_t kMaxArrivals = 64;

  // Records the arrival of `size` bytes, behind `unread` bytes that came earlier and are not consumed yet.
  void record(std::size_t size, std::size_t unread, Time now);
  // Returns the time at which the first of the last `unread` bytes arrived; `now` if that is not known.
  Time first_of(std::size_t unread, Time now) const;

 private:
  struct Arrival {
    std::uint64_t end = 0;  // bytes of the connection up to the last one of this arrival
    Time at = 0;
  };

  std::uint64_t total_ = 0;       // bytes of the connection
  std::deque<Arrival> arrivals_;  // oldest first; those that are consumed are removed with the next arrival
};

}  // namespace thornwick::net
