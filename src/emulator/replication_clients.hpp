// The clients of a replication simulation. The clients send requests to all routers, count the granted units
// outside of the routers, and send corrections of one account.
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
  // The cluster must outlive the clients.
  explicit ReplicationClients(ReplicationCluster& cluster);

  // Makes the clients of every router send requests from now on.
  void start();

  // Sends one request to a router. Does nothing if the router does not run.
  void send_request(std::size_t router);

  // Takes kCorrectionUnits from kCorrectedAccount through a router. Does nothing if the router does not run.
  void send_correction(std::size_t router);

  // Returns the units that requests used of an account in a window, also at routers that have failed since.
  budgets::Units used(const std::string& account, std::int64_t window) const;

  // Returns the ids of the corrections that a router confirmed.
  const std::set<std::uint64_t>& confirmed_corrections() const { return confirmed_; }

  // Units of each correction. All corrections have the same units, so that their sum shows how many there
  // were.
  static constexpr budgets::Units kCorrectionUnits = 1000;
  static constexpr Time kWindow = seconds(60);

 private:
  struct Grant {
    std::size_t router = 0;
    std::uint64_t epoch = 0;  // epoch of the router's process that granted the units
    std::size_t account = 0;
    budgets::Units reserved = 0;
    budgets::Units used = 0;
    Time reserved_at = 0;  // time on the router's clock
  };

  void schedule_request(std::size_t router);
  void settle(const Grant& grant);
  void count(const Account& account, std::int64_t window, budgets::Units used);
  void count_in_bucket(const Account& account, budgets::Units used);

  ReplicationCluster& cluster_;
  RandomStream random_;
  std::map<std::pair<std::string, std::int64_t>, budgets::Units> used_;  // by account and window
  // Units in a reference bucket that all routers share, refilled at the rate of the fastest clock.
  double bucket_ = kBucketBurst;
  Time bucket_at_ = 0;
  std::set<std::uint64_t> confirmed_;
};

}  // namespace thornwick::emulator
