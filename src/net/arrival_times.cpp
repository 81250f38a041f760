#include "net/arrival_times.hpp"

namespace thornwick::net {

void ArrivalTimes::record(std::size_t size, std::size_t unread, Time now) {
  const std::uint64_t consumed = total_ - unread;
  while (!arrivals_.empty() && arrivals_.front().end <= consumed) arrivals_.pop_front();
  total_ += size;
  const bool counts_as_latest =
      !arrivals_.empty() && (now - arrivals_.back().at < kResolution || arrivals_.size() >= kMaxArrivals);
  if (counts_as_latest) {
    arrivals_.back().end = total_;
  } else {
    arrivals_.push_back({total_, now});
  }
}

Time ArrivalTimes::first_of(std::size_t unread, Time now) const {
  const std::uint64_t consumed = total_ - unread;
  for (const Arrival& arrival : arrivals_) {
    if (arrival.end > consumed) return arrival.at;
  }
  return now;
}

}  // namespace thornwick::net
