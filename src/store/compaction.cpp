#include "store/compaction.hpp"

#include <fcntl.h>
#include <unistd.h>

#include <cerrno>
#include <cstdio>

#include "store/error.hpp"
#include "store/file_descriptor.hpp"

namespace thornwick::store {

std::string folder_of(const std::string& path) {
  const auto slash = path.rfind('/');
  return slash == std::string::npos ? "." : path.substr(0, slash + 1);
}

void replace_with_compact_copy(const Environment& environment, const std::string& path) {
  const std::string copy = path + ".compact";
  unlink(copy.c_str());
  throw_if_failed(mdb_env_copy2(environment.get(), copy.c_str(), MDB_CP_COMPACT), copy);
  if (rename(copy.c_str(), path.c_str()) != 0) throw_if_failed(errno, path);
  // The rename is durable once the folder is; LMDB has already synced the copy.
  const FileDescriptor folder(open(folder_of(path).c_str(), O_RDONLY | O_DIRECTORY | O_CLOEXEC));
  if (folder.is_open()) fsync(folder.get());
}

}  // namespace thornwick::store
