// Tests of the placement of ledger replicas, which depends on the configured routers alone.
#include "replication/replica_placement.hpp"

#include <catch2/catch.hpp>
#include <set>

using namespace thornwick;
using namespace thornwick::replication;

namespace {

using Members = std::set<std::size_t>;

membership::Roster make_roster(std::size_t routers, std::size_t sites, std::size_t routers_per_machine = 1) {
  std::vector<std::string> site_names;
  for (std::size_t site = 0; site < sites; ++site) site_names.push_back("s" + std::to_string(site));
  std::vector<membership::RouterEntry> entries;
  for (std::size_t router = 0; router < routers; ++router) {
    const std::size_t site = router % sites;
    const std::size_t machine = router / sites / routers_per_machine;
    const std::string host = "10.0." + std::to_string(machine) + "." + std::to_string(site);
    entries.push_back({"r" + std::to_string(router), site_names[site],
                       host + ":" + std::to_string(1000 + router), "router", 0});
  }
  return {"g", site_names, entries};
}

std::string host_of(const std::string& address) { return address.substr(0, address.find(':')); }

Members placed_members(const membership::Roster& roster, std::size_t ledger,
                       const ReplacementMap& replaced = {}) {
  const auto members = place_replicas(roster, ledger, 3, replaced);
  return {members.begin(), members.end()};
}

}  // namespace

TEST_CASE(
    "placement: a machine has one replica of a ledger at most, and three sites survive the loss of one") {
  for (const std::size_t replicas : {3, 5}) {
    for (const std::size_t sites : {1, 2, 3, 4}) {
      const auto roster = make_roster(60, sites, 2);
      CHECK(survives_site_loss(roster, 16, replicas) == (sites >= 3));
      for (std::size_t ledger = 0; ledger < 16; ++ledger) {
        std::set<std::string> machines;
        for (const std::size_t member : place_replicas(roster, ledger, replicas)) {
          machines.insert(host_of(roster.at(member).address));
        }
        CHECK(machines.size() == replicas);
      }
    }
  }
}

TEST_CASE(
    "placement: a router has few ledger replicas in a group of any size, and a replaced router's replicas "
    "move to its replacement") {
  for (const std::size_t routers : {3, 9, 50, 300}) {
    const auto roster = make_roster(routers, 3);
    CHECK(ledger_count_for(routers) <= 16);
    std::size_t placed = 0;
    std::size_t max_per_router = 0;
    std::vector<std::size_t> placed_by_router(routers, 0);
    for (std::size_t ledger = 0; ledger < ledger_count_for(routers); ++ledger) {
      for (const std::size_t member : place_replicas(roster, ledger, 3)) {
        ++placed;
        ++placed_by_router[member];
        max_per_router = std::max(max_per_router, placed_by_router[member]);
      }
    }
    CHECK(placed == 3 * ledger_count_for(routers));
    CHECK(max_per_router <= 6);
  }
  const auto roster = make_roster(9, 3);
  for (std::size_t ledger = 0; ledger < 3; ++ledger) {
    Members before = placed_members(roster, ledger);
    Members after = placed_members(roster, ledger, {{"r0", "r3"}});
    CHECK(after.count(0) == 0);
    if (before.contains(0)) CHECK(after.contains(3));
    before.erase(0);
    after.erase(3);
    for (const std::size_t member : before) CHECK((after.contains(member) || member == 3));
  }
}
