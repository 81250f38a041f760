#include "store/error.hpp"

#include <lmdb.h>

#include <cerrno>

namespace thornwick::store {

ErrorKind error_kind_of(int code) {
  switch (code) {
    case EACCES:
    case EPERM:
    case EROFS: return ErrorKind::permission;
    case ENOSPC:
    case EDQUOT:
    case EFBIG:
    case MDB_MAP_FULL: return ErrorKind::full;
    case MDB_CORRUPTED:
    case MDB_PAGE_NOTFOUND:
    case MDB_INVALID:
    case MDB_PANIC: return ErrorKind::damaged;
    case MDB_VERSION_MISMATCH: return ErrorKind::newer;
    default: return ErrorKind::other;
  }
}

void throw_if_failed(int code, const std::string& context) {
  if (code != 0) throw StoreError(error_kind_of(code), context + ": " + mdb_strerror(code));
}

}  // namespace thornwick::store
