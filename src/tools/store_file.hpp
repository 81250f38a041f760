// Options and error handling that all commands on a store's file share.
#pragma once

#include <string>

#include "store/file.hpp"
#include "tools/command_error.hpp"

namespace thornwick::tools {

// Returns options to read a file without changing it. `holder` is the name of the process that has the file
// open, as other processes see it.
inline store::FileOptions read_only(const std::string& path, const std::string& holder) {
  return {.path = path, .holder = holder, .set_aside_damaged = false, .read_only = true};
}

// Returns options to change a file. A damaged file is not renamed.
inline store::FileOptions read_write(const std::string& path, const std::string& holder) {
  return {.path = path, .holder = holder, .set_aside_damaged = false};
}

// Runs `work` and returns its exit status. Throws CommandError (status `failure`) if the file is damaged,
// held by another process or cannot be used for another reason.
template <typename Work>
int with_store_errors(Work work) {
  try {
    return work();
  } catch (const store::StoreError& error) {
    throw CommandError(ExitStatus::failure, error.what());
  }
}

}  // namespace thornwick::tools
