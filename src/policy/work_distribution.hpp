// The distribution of work over request sizes and prompt prefixes, learned from recent requests.
#pragma once

#include <cstddef>
#include <cstdint>

#include "policy/policy_state.hpp"

namespace thornwick {

// Returns the size by which a request is placed: prompt tokens plus answer limit. A session with a cached
// prompt keeps the size at which it was placed; otherwise its growing size would move it away from its cache.
double size_of(const Request& request);

// Learns the distribution from arriving requests. Keeps the samples and prefixes in PolicyState, for a
// successor.
class WorkDistribution {
 public:
  explicit WorkDistribution(PolicyState& state) : state_(state) {}

  // Records the size, work and prefix of an arriving request.
  void record(const PendingRequest& pending);
  // Builds the distribution again if enough requests were recorded since the last time. The functions below
  // use the distribution that was built last.
  void update();

  // Whether enough requests are recorded to divide sizes among this number of replicas. A router of a large
  // group has many replicas in its cut and receives few requests; the edges from too few samples would be
  // inaccurate.
  bool can_divide_by_size(std::size_t replicas) const;
  // Returns the fraction (0..1) of all work that requests smaller than `size` make up.
  double work_below(double size) const { return sizes_.work_below(size); }
  // Returns the size, in tokens, below which requests make up the given fraction (0..1) of all work. The size
  // is rounded to a coarse grid, so that routers with different samples still use equal edges. Requires
  // can_divide_by_size().
  double size_at(double fraction) const;
  // Returns the mean work of a request; 0 before the distribution is first built.
  double mean_work() const { return sizes_.mean_work(); }

  // Returns the number of groups into which the sessions of a prefix are split, so that one replica of
  // `replicas` can serve a group; a power of two. A router of a large group assumes some work of other
  // prefixes that it has not received, so that it does not split a prefix only because it received that
  // prefix first.
  std::size_t split_count(std::uint64_t prefix, std::size_t replicas) const;

  // Return the largest number of requests, and of prefixes, that are recorded.
  static std::size_t max_samples();
  static std::size_t max_prefixes();

 private:
  PolicyState& state_;
  SizeDistribution sizes_;
  std::size_t sorted_sample_count_ = 0;  // PolicyState::next_sample when the distribution was built
};

}  // namespace thornwick
