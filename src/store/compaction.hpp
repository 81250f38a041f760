// Compaction: a store file written anew without its free pages.
#pragma once

#include <string>

#include "store/environment.hpp"

namespace thornwick::store {

// The folder that a path lies in; "." for a bare name.
std::string folder_of(const std::string& path);

// Writes a compact copy of the open file at `path` beside it ("PATH.compact") and renames it over `path` once
// it is whole, so that a crash leaves either the old file or the new one. Throws StoreError.
void replace_with_compact_copy(const Environment& environment, const std::string& path);

}  // namespace thornwick::store
