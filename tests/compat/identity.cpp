// The group's state file as it was written before.
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

constexpr std::uint32_t kDisk = 3'141'592'653, kStart = 41;

}  // namespace

TEST_CASE("identity: a committed state file is read, and this start counted on") {
  const Scratch scratch;
  const std::string path = scratch.path("group");
  write_bytes(path, read_bytes(data_path("group-start-41")));
  const node::StartupIdentity recalled = node::load_identity(path);
  CHECK(recalled.problem.empty());
  CHECK_FALSE(recalled.empty);
  CHECK(recalled.identity.disk == kDisk);
  CHECK(recalled.identity.start == kStart + 1);
}

TEST_CASE("identity: the next start is written as the committed state file of that start") {
  const Scratch scratch;
  const std::string path = scratch.path("group");
  write_bytes(path, read_bytes(data_path("group-start-41")));
  node::load_identity(path);
  CHECK(read_bytes(path) == read_bytes(data_path("group-start-42")));
}
