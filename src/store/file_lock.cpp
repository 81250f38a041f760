#include "store/file_lock.hpp"

#include <fcntl.h>
#include <sys/file.h>

#include <array>
#include <cerrno>

#include "store/error.hpp"

namespace thornwick::store {
namespace {

constexpr mode_t kLockFileMode = 0640;
constexpr std::size_t kMaxHolderBytes = 127;

FileDescriptor open_lock_file(const std::string& path) {
  FileDescriptor descriptor(open(path.c_str(), O_RDWR | O_CREAT | O_CLOEXEC, kLockFileMode));
  if (!descriptor.is_open()) throw_if_failed(errno, path);
  return descriptor;
}

std::string read_holder(const FileDescriptor& lock_file) {
  std::array<char, kMaxHolderBytes> text{};
  const ssize_t length = pread(lock_file.get(), text.data(), text.size(), 0);
  return length > 0 ? std::string(text.data(), static_cast<std::size_t>(length)) : "another";
}

// Best effort: the lock holds without the name, which cannot be written when the disk is full.
void write_holder(const FileDescriptor& lock_file, const std::string& holder) {
  const std::string text = holder + " (process " + std::to_string(getpid()) + ")";
  if (ftruncate(lock_file.get(), 0) != 0) return;
  [[maybe_unused]] const ssize_t written = pwrite(lock_file.get(), text.data(), text.size(), 0);
}

}  // namespace

FileLock::FileLock(const std::string& path, const std::string& holder)
    : descriptor_(open_lock_file(path + ".lock")) {
  if (flock(descriptor_.get(), LOCK_EX | LOCK_NB) != 0) {
    throw StoreError(ErrorKind::held, path + ": held by " + read_holder(descriptor_));
  }
  write_holder(descriptor_, holder);
}

}  // namespace thornwick::store
