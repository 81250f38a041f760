// Where copies are: from names alone.
#include "replication/replica_placement.hpp"

#include <catch2/catch.hpp>
#include <set>

using namespace thornwick;
using namespace thornwick::replication;

namespace {

membership::Roster roster(std::size_t routers, std::size_t sites, std::size_t a_machine = 1) {
  std::vector<std::string> names;
  std::vector<membership::RouterEntry> entries;
  for (std::size_t s = 0; s < sites; ++s) names.push_back("s" + std::to_string(s));
  for (std::size_t r = 0; r < routers; ++r) {
    entries.push_back({"r" + std::to_string(r), names[r % sites],
                       "10.0." + std::to_string(r / sites / a_machine) + "." + std::to_string(r % sites) +
                           ":" + std::to_string(1000 + r),
                       "router", 0});
  }
  return {"g", names, entries};
}

}  // namespace

TEST_CASE("placing: never two copies on a machine, and a whole site can be lost where there are three") {
  for (const std::size_t copies : {3, 5}) {
    for (const std::size_t sites : {1, 2, 3, 4}) {
      const auto r = roster(60, sites, 2);
      CHECK(survives_site_loss(r, 16, copies) == (sites >= 3));
      for (std::size_t ledger = 0; ledger < 16; ++ledger) {
        std::set<std::string> machines;
        const auto holders = place_replicas(r, ledger, copies);
        for (const std::size_t m : holders)
          machines.insert(r.at(m).address.substr(0, r.at(m).address.find(':')));
        CHECK(machines.size() == copies);
      }
    }
  }
}

TEST_CASE(
    "placing: a router holds few ledgers in a group of any size, and one that is replaced gives its places "
    "to the other") {
  for (const std::size_t routers : {3, 9, 50, 300}) {
    const auto r = roster(routers, 3);
    CHECK(ledgers_for(routers) <= 16);
    std::size_t all = 0, most = 0;
    std::vector<std::size_t> held(routers, 0);
    for (std::size_t ledger = 0; ledger < ledgers_for(routers); ++ledger) {
      for (const std::size_t m : place_replicas(r, ledger, 3)) most = std::max(most, ++held[m]), ++all;
    }
    CHECK(all == 3 * ledgers_for(routers));
    CHECK(most <= 6);
  }
  const auto r = roster(9, 3);
  for (std::size_t ledger = 0; ledger < 3; ++ledger) {
    const auto before = place_replicas(r, ledger, 3), after = place_replicas(r, ledger, 3, {{"r0", "r3"}});
    std::set<std::size_t> kept(before.begin(), before.end()), now(after.begin(), after.end());
    CHECK(now.count(0) == 0);
    if (kept.contains(0)) CHECK(now.contains(3));
    kept.erase(0), now.erase(3);
    for (const std::size_t m : kept) CHECK((now.contains(m) || m == 3));
  }
}
