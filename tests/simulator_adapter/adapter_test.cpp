// The adapter's executable from end to end: frames on standard input, replies on standard output, and an
// error message for malformed input.
#include <gtest/gtest.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <cstdio>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <iterator>
#include <string>

#include "frames.hpp"

namespace thornwick::testing {
namespace {

// The result of a run of the adapter.
struct Run {
  int exit_code = -1;
  Bytes output;
  std::string error_output;
};

// Runs the adapter with this standard input until it exits.
Run run_adapter(const Bytes& input) {
  const auto folder = std::filesystem::temp_directory_path() / ("wirehost_test_" + std::to_string(getpid()));
  std::filesystem::create_directories(folder);
  const auto path = [&](const char* name) { return (folder / name).string(); };
  std::ofstream(path("in"), std::ios::binary)
      .write(reinterpret_cast<const char*>(input.data()), static_cast<std::streamsize>(input.size()));
  const std::string command = std::string(THORNWICK_SIMULATOR_ADAPTER) + " < " + path("in") + " > " +
                              path("out") + " 2> " + path("err");
  const int status = std::system(command.c_str());
  Run run;
  run.exit_code = WIFEXITED(status) ? WEXITSTATUS(status) : -1;
  std::ifstream out(path("out"), std::ios::binary), err(path("err"));
  run.output.assign(std::istreambuf_iterator<char>(out), {});
  run.error_output.assign(std::istreambuf_iterator<char>(err), {});
  std::filesystem::remove_all(folder);
  return run;
}

// Concatenates the parts.
Bytes joined(std::initializer_list<Bytes> parts) {
  Bytes bytes;
  for (const auto& part : parts) {
    for (const auto byte : part) bytes.push_back(byte);
  }
  return bytes;
}

const Bytes kEmptyBatch = FrameBuilder{}.frame(1'000);

TEST(Adapter, ExitsWithoutErrorAtTheEndOfInput) {
  const auto run = run_adapter({});
  EXPECT_EQ(run.exit_code, 0);
  EXPECT_TRUE(run.output.empty());
}

TEST(Adapter, RepliesToEachBatchOnce) {
  const auto run = run_adapter(joined({kEmptyBatch, kEmptyBatch}));
  EXPECT_EQ(run.exit_code, 0);
  EXPECT_EQ(run.output, from_hex("00000000 00000000"));
}

TEST(Adapter, RoutesRequestsOfEachInstanceToAListedReplica) {
  FrameBuilder b;
  b.start(1, kSettingsText)
      .start(2, kSettingsText)
      .endpoint_list(3, {7})
      .list_update(1, 2, 3)
      .list_update(2, 2, 3);
  b.request(1, 50, 9'000'000).request(2, 60, 9'000'000);
  const auto run = run_adapter(b.frame(1'000));
  EXPECT_EQ(run.exit_code, 0) << run.error_output;
  const auto first = from_hex("0001 0100 3200000000000000 00000000 07000000");
  const auto second = from_hex("0001 0200 3c00000000000000 00000000 07000000");
  EXPECT_NE(std::search(run.output.begin(), run.output.end(), first.begin(), first.end()), run.output.end());
  EXPECT_NE(std::search(run.output.begin(), run.output.end(), second.begin(), second.end()),
            run.output.end());
}

TEST(Adapter, RejectsEventsForAStoppedInstance) {
  FrameBuilder b;
  b.start(1, kSettingsText).event(265, 1);
  const auto run = run_adapter(joined({b.frame(1'000), FrameBuilder{}.request(1, 5, 99).frame(2'000)}));
  EXPECT_NE(run.exit_code, 0);
  EXPECT_EQ(run.output, from_hex("00000000"));
  EXPECT_NE(run.error_output.find("which is not running"), std::string::npos);
}

// Expects that malformed input after an empty batch ends the adapter with exit code 1, one error line that
// contains `message`, and only the complete reply to the empty batch.
void expect_rejected(const Bytes& malformed, const std::string& message) {
  const auto run = run_adapter(joined({kEmptyBatch, malformed}));
  EXPECT_EQ(run.exit_code, 1) << message;
  EXPECT_EQ(run.output, from_hex("00000000")) << message;
  EXPECT_NE(run.error_output.find(message), std::string::npos) << run.error_output;
  EXPECT_EQ(std::count(run.error_output.begin(), run.error_output.end(), '\n'), 1) << run.error_output;
}

TEST(Adapter, RejectsMalformedInputWithOneErrorLine) {
  expect_rejected(Bytes(kEmptyBatch.begin(), kEmptyBatch.end() - 3), "input ends within a batch");
  expect_rejected(from_hex("0000"), "input ends within the length");
  expect_rejected(from_hex("00000000"), "input ends after the length");
  expect_rejected(from_hex("ffffffff 00"), "length 4294967295 exceeds the limit of 1073741824 bytes");
  expect_rejected(from_hex("ffffff3f 00"), "input ends within a batch");
  expect_rejected(FrameBuilder{}.event(999, 1).frame(5), "record 0, byte");
  expect_rejected(FrameBuilder{}.request(9, 5, 99).frame(5), "record 0: event for instance 9");
  expect_rejected(FrameBuilder{}.start(1, kSettingsText).list_update(1, 1, 4).frame(5),
                  "list number 4 was never sent");
  expect_rejected(FrameBuilder{}.start(1, "rules.cold=x\n").frame(5), "rules.cold is not a number");
  expect_rejected(FrameBuilder{}.start(1, "").frame(5), "no class of request");
}

}  // namespace
}  // namespace thornwick::testing
