// The errors of the store: a kind for the caller, and a message for operators.
#pragma once

#include <stdexcept>
#include <string>

namespace thornwick::store {

// The kinds of failure between which callers distinguish. The values travel as exit statuses of the verifying
// child process (verification.cpp); nothing stores them.
enum class ErrorKind {
  permission,  // the file or its folder may not be written or read
  held,        // another process has the file open
  damaged,     // the file is damaged and was not set aside, because the caller did not allow that
  newer,       // the file was written by a later version of this program
  full,        // the disk, the file's largest size or a limit on file sizes is reached
  other
};

// Thrown by everything in this module. what() names the path or the table concerned.
struct StoreError : std::runtime_error {
  StoreError(ErrorKind error_kind, const std::string& message)
      : std::runtime_error(message), kind(error_kind) {}
  ErrorKind kind;
};

// The kind of an error number, either an errno value or an MDB_* code of LMDB.
ErrorKind error_kind_of(int code);

// Throws StoreError with "CONTEXT: what the code means" unless `code` is 0. Takes errno values and LMDB's
// codes.
void throw_if_failed(int code, const std::string& context);

}  // namespace thornwick::store
