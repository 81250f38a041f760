// Reads a store file whole and compares it with its checksums and with its lists of free pages.
//
// LMDB trusts its file: damage there can crash or hang the process that reads it. verify_file_in_child()
// therefore reads in a child process; the other functions are for files that passed that check, and for tools
// that may crash.
#pragma once

#include <optional>
#include <string>

#include "store/contents.hpp"
#include "store/environment.hpp"
#include "store/error.hpp"

namespace thornwick::store {

// Reads every record of an open file. Throws StoreError at the first fault.
Contents read_contents(const Environment& environment, const Progress& progress);

// Opens a file read-only and reads it, in this process. Throws StoreError at the first fault.
Contents verify_file(const std::string& path, const Progress& progress);

// The same in a child process. Returns the kind of the first fault, or nothing if the file is sound. A child
// that crashes or takes longer than `timeout_seconds` counts as `damaged`. Throws StoreError if the child
// cannot be started.
[[nodiscard]] std::optional<ErrorKind> verify_file_in_child(const std::string& path, int timeout_seconds);

}  // namespace thornwick::store
