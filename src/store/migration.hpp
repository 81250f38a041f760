// Opens the tables of a store file, creates those that are missing and migrates records of older versions.
#pragma once

#include <cstdint>
#include <vector>

#include "store/environment.hpp"
#include "store/options.hpp"

namespace thornwick::store {

// The handles of an open file's tables.
struct OpenTables {
  MDB_dbi metadata = 0;
  std::vector<MDB_dbi> tables;  // in the order of the specs
  std::uint64_t serial = 0;     // batches written so far
  std::uint64_t migrated = 0;   // records that were migrated, dropped ones included
};

// Opens, creates and migrates in one transaction, so that a crash leaves the file as it was. A read-only file
// is neither changed nor migrated. Throws StoreError: `newer` for a table of a later version, `other` for a
// table that is missing or of a version that cannot be migrated any more.
OpenTables open_tables(const Environment& environment, const FileOptions& options,
                       const std::vector<TableSpec>& specs);

}  // namespace thornwick::store
