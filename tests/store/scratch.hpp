// A temporary folder for a test, and files read and written whole.
#pragma once

#include <unistd.h>

#include <catch2/catch.hpp>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <string>

namespace thornwick::testing {

// Creates an empty folder, and removes it with all that is in it when it is destroyed.
class Scratch {
 public:
  Scratch() {
    std::string name = (std::filesystem::temp_directory_path() / "thornwick-XXXXXX").string();
    REQUIRE(mkdtemp(name.data()) != nullptr);
    folder_ = name;
  }
  Scratch(const Scratch&) = delete;
  Scratch& operator=(const Scratch&) = delete;
  ~Scratch() {
    std::error_code ignored;
    std::filesystem::permissions(folder_, std::filesystem::perms::owner_all, ignored);
    std::filesystem::remove_all(folder_, ignored);
  }
  std::string path(const std::string& name) const { return (folder_ / name).string(); }
  std::string folder() const { return folder_.string(); }
  // The number of files in the folder whose names begin with `prefix`.
  int count(const std::string& prefix) const {
    int files = 0;
    for (const auto& entry : std::filesystem::directory_iterator(folder_)) {
      files += entry.path().filename().string().starts_with(prefix) ? 1 : 0;
    }
    return files;
  }

 private:
  std::filesystem::path folder_;
};

inline std::string read_bytes(const std::string& path) {
  std::ifstream in(path, std::ios::binary);
  return {std::istreambuf_iterator<char>(in), {}};
}

inline void write_bytes(const std::string& path, const std::string& bytes) {
  std::ofstream(path, std::ios::binary | std::ios::trunc) << bytes;
}

}  // namespace thornwick::testing
