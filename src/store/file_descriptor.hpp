// Owns a file descriptor and closes it.
#pragma once

#include <unistd.h>

#include <utility>

namespace thornwick::store {

class FileDescriptor {
 public:
  // Takes ownership. A negative number, as open() returns on failure, owns nothing.
  explicit FileDescriptor(int descriptor) : descriptor_(descriptor) {}
  FileDescriptor(FileDescriptor&& other) noexcept : descriptor_(std::exchange(other.descriptor_, kNone)) {}
  FileDescriptor& operator=(FileDescriptor&& other) noexcept {
    std::swap(descriptor_, other.descriptor_);
    return *this;
  }
  FileDescriptor(const FileDescriptor&) = delete;
  FileDescriptor& operator=(const FileDescriptor&) = delete;
  ~FileDescriptor() {
    if (is_open()) close(descriptor_);
  }

  [[nodiscard]] bool is_open() const { return descriptor_ >= 0; }
  int get() const { return descriptor_; }

 private:
  static constexpr int kNone = -1;

  int descriptor_;
};

}  // namespace thornwick::store
