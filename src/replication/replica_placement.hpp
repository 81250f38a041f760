// The placement of a ledger's replicas on routers. The placement depends only on the configured routers and
// on replacements, so that all routers agree without a message. No state and no I/O.
#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <vector>

#include "membership/roster.hpp"

namespace thornwick::replication {

// Router that was removed for good -> router that takes over its replicas, by an operator's decision.
using ReplacementMap = std::map<std::string, std::string>;

// The number of ledgers of a group, 1 to 16. The number grows with the group, so that a router's share of the
// work stays the same.
std::size_t ledger_count_for(std::size_t routers);

// The index of the ledger that has this account.
std::size_t ledger_of(std::string_view account, std::size_t ledgers);

// Chooses `count` members of the roster for a ledger's replicas by rendezvous hashing (Thaler and
// Ravishankar, 1998), the highest score first. Never chooses two members on one machine, and spreads the
// members as evenly over the sites as the machines allow. Returns fewer than `count` members if there are
// fewer machines.
std::vector<std::size_t> place_replicas(const membership::Roster& roster, std::size_t ledger,
                                        std::size_t count, const ReplacementMap& replaced = {});

// Whether each ledger keeps a majority of its replicas when any one site is lost.
bool survives_site_loss(const membership::Roster& roster, std::size_t ledgers, std::size_t count);

}  // namespace thornwick::replication
