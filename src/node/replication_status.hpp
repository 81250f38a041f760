// Prints the status of a router's replicated budgets, as one JSON object or as text.
#pragma once

#include <nlohmann/json.hpp>
#include <string>

#include "config/operator_file.hpp"
#include "membership/roster.hpp"
#include "net/message_fragmenter.hpp"
#include "persistence/ledger_store.hpp"
#include "replication/replication_node.hpp"

namespace thornwick::node {

// The data that a status is made from. Holds references, so it must not be kept beyond the call it is made
// for.
struct ReplicationStatus {
  const config::ReplicationFile& file;
  const membership::Roster& roster;
  const replication::ReplicationNode& replication;
  const persistence::LedgerStore& store;
  const net::MessageFragmenter& fragmenter;
};

// Each status lists at most 64 accounts of the ledgers and 64 of this router's leases.
nlohmann::ordered_json status_json(const ReplicationStatus& status);
std::string status_text(const ReplicationStatus& status);

}  // namespace thornwick::node
