// The distribution of work over request sizes and prompt prefixes, learned from recent requests.
#pragma once

#include <cstddef>
#include <cstdint>

#include "policy/policy_state.hpp"

namespace thornwick {

// The size by which a request is placed: prompt tokens and answer limit. A session with a cached prompt has
// the size at which it was placed: by its growing size it would move away from its cache.
double size_of(const Request& request);

// Learns sizes and prefixes from arrivals. Keeps what a successor can use in PolicyState.
class WorkDistribution {
 public:
  explicit WorkDistribution(PolicyState& state) : state_(state) {}

  // Counts an arrival.
  void record(const PendingRequest& pending);
  // Builds the distribution again if enough requests were recorded since the last time. The functions below
  // refer to the distribution as it was built last.
  void update();

  // Whether enough requests are recorded to cut over this number of replicas by size. A router of a large
  // group cuts over many replicas and sees few requests; cutoffs from too few would stray.
  bool tells_sizes_apart(std::size_t replicas) const;
  // The part of all work that is of a smaller size, 0..1.
  double work_below(double size) const { return sizes_.work_below(size); }
  // The size in tokens below which that part (0..1) of all work is, rounded to a coarse grid, so that routers
  // with different samples still cut alike. Requires tells_sizes_apart().
  double size_at(double part) const;
  // The mean work of a request; 0 before the distribution is first built.
  double mean_work() const { return sizes_.mean_work(); }

  // The number of parts into which the sessions of a prefix are split, so that a single one of the replicas
  // can serve a part; a power of two. A router of a large group assumes work of other prefixes that it has
  // not seen, so that it does not split a prefix only because it saw it first.
  std::size_t parts_of_prefix(std::uint64_t prefix, std::size_t replicas) const;

  // The largest numbers of requests and of prefixes that are recorded.
  static std::size_t max_samples();
  static std::size_t max_prefixes();

 private:
  PolicyState& state_;
  SizeDistribution sizes_;
  std::size_t sorted_until_ = 0;  // PolicyState::next_sample when the sizes were sorted
};

}  // namespace thornwick
