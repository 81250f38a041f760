// The clients of a replication simulation: requests at all routers, and what they were granted, counted
// outside of the routers; corrections of an account.
#pragma once

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <utility>

#include "emulator/replication_cluster.hpp"

namespace thornwick::emulator {

class ReplicationClients {
 public:
  // The cluster must outlive this.
  explicit ReplicationClients(ReplicationCluster& cluster);

  // Clients of every router send requests from now on.
  void start();

  // One request, to a router that may not run.
  void send_request(std::size_t router);

  // Takes kCorrectionUnits from kCorrectedAccount through a router that may not run.
  void send_correction(std::size_t router);

  // What requests used of an account in a window, whatever became of their routers.
  budgets::Units used(const std::string& account, std::int64_t window) const;

  // Ids of the corrections that a router confirmed.
  const std::set<std::uint64_t>& confirmed_corrections() const { return confirmed_; }

  // Units of each correction. The number of corrections can be read from the sum.
  static constexpr budgets::Units kCorrectionUnits = 1000;
  static constexpr Time kWindow = seconds(60);

 private:
  struct Grant {
    std::size_t router = 0;
    std::uint64_t epoch = 0;  // of the router's process
    std::size_t account = 0;
    budgets::Units reserved = 0;
    budgets::Units used = 0;
    Time reserved_at = 0;  // on the router's clock
  };

  void schedule_request(std::size_t router);
  void settle(const Grant& grant);
  void count(const Account& account, std::int64_t window, budgets::Units used);
  void count_in_bucket(const Account& account, budgets::Units used);

  ReplicationCluster& cluster_;
  RandomStream random_;
  std::map<std::pair<std::string, std::int64_t>, budgets::Units> used_;  // by account and window
  // The bucket as a single one would be, filled at the rate of the fastest clock.
  double bucket_ = kBucketBurst;
  Time bucket_at_ = 0;
  std::set<std::uint64_t> confirmed_;
};

}  // namespace thornwick::emulator
