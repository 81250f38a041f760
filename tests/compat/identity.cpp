// The file with a router's start counter, as an earlier version wrote it.
#include "node/identity.hpp"

#include <catch2/catch.hpp>

#include "../store/scratch.hpp"
#include "committed.hpp"

using namespace thornwick;
using thornwick::testing::data_path;
using thornwick::testing::read_bytes;
using thornwick::testing::Scratch;
using thornwick::testing::write_bytes;

namespace {

constexpr std::uint32_t kDisk = 3'141'592'653;
constexpr std::uint32_t kStart = 41;

}  // namespace

TEST_CASE("identity: each field of a committed file is decoded, and the start is one higher") {
  const Scratch scratch;
  const std::string path = scratch.path("group");
  write_bytes(path, read_bytes(data_path("group-start-41")));
  const node::StartupIdentity loaded = node::load_identity(path);
  CHECK(loaded.error.empty());
  CHECK_FALSE(loaded.new_disk);
  CHECK(loaded.identity.disk_id == kDisk);
  CHECK(loaded.identity.start_number == kStart + 1);
}

TEST_CASE("identity: the next start is written as the committed file of that start") {
  const Scratch scratch;
  const std::string path = scratch.path("group");
  write_bytes(path, read_bytes(data_path("group-start-41")));
  node::load_identity(path);
  CHECK(read_bytes(path) == read_bytes(data_path("group-start-42")));
}
