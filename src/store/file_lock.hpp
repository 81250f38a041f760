// An advisory lock (flock) that keeps two processes from opening the same store file.
#pragma once

#include <string>

#include "store/file_descriptor.hpp"

namespace thornwick::store {

// Holds the lock until it is destroyed; the kernel releases it when the process ends, also after a crash. The
// lock is on the file "PATH.lock", whose content names the holder for operators. That file is never removed.
class FileLock {
 public:
  // Does not wait. Throws StoreError; its kind is `held`, and its text names the holder, if another process
  // has the lock.
  FileLock(const std::string& path, const std::string& holder);

 private:
  FileDescriptor descriptor_;
};

}  // namespace thornwick::store
