// Fills an affinity table from its records, whether they come from a store's file or from a predecessor.
#pragma once

#include <cstddef>
#include <functional>
#include <string_view>

#include "affinity/affinity_table.hpp"
#include "persistence/tables.hpp"
#include "store/file.hpp"

namespace thornwick::persistence {

// Numbers of records.
struct RestoredCounts {
  std::size_t replicas = 0;
  std::size_t sessions = 0;
  std::size_t prefixes = 0;
  std::size_t unreadable = 0;  // skipped: the bytes are not such a record, or its values are not plausible
  std::size_t over_capacity =
      0;  // skipped: the table has no room for the record, or no replica that the record refers to
};

// Called with the key and the bytes of one record; both are views that hold during the call.
using RecordVisitor = store::File::Visit;

// Calls the visitor with each record of a table.
using RecordSource = std::function<void(StateTable, const RecordVisitor&)>;

// Returns the id that the router gives a replica now, by its uid.
using ReplicaIdLookup = std::function<ReplicaId(const std::string& uid)>;

// Fills a table that is still empty with the records of the source: the replicas first, to which the sessions
// and prefixes refer. Cached prompts age by what other routers are likely to have sent between the records'
// last use and `now`. A record that cannot be taken is passed over and counted. A record of a replica that
// has a uid gets the id of `id_of` rather than the stored one, which the replica may have had under another
// list; if `id_of` is empty, all records keep their ids.
RestoredCounts restore_affinity_table(affinity::AffinityTable& affinity_table, Time now,
                                      const RecordSource& source, const ReplicaIdLookup& id_of = {});

}  // namespace thornwick::persistence
