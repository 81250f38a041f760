// The adapter binary end to end: frames in on its standard input, replies out, and plain words on bad input.
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

struct Run {
  int exit_code = -1;
  Bytes output;
  std::string words;
};

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
  run.words.assign(std::istreambuf_iterator<char>(err), {});
  std::filesystem::remove_all(folder);
  return run;
}

Bytes joined(std::initializer_list<Bytes> parts) {
  Bytes whole;
  for (const auto& part : parts) {
    for (const auto byte : part) whole.push_back(byte);
  }
  return whole;
}

const Bytes kEmptyBatch = FrameBuilder{}.frame(1'000);

TEST(Adapter, EndsCleanlyAtTheEndOfInput) {
  const auto run = run_adapter({});
  EXPECT_EQ(run.exit_code, 0);
  EXPECT_TRUE(run.output.empty());
}

TEST(Adapter, AnswersEachBatchOnce) {
  const auto run = run_adapter(joined({kEmptyBatch, kEmptyBatch}));
  EXPECT_EQ(run.exit_code, 0);
  EXPECT_EQ(run.output, from_hex("00000000 00000000"));
}

TEST(Adapter, RoutesARequestOfEachInstanceToAListedReplica) {
  FrameBuilder b;
  b.start(1, kParams).start(2, kParams).roster(3, {7}).directory(1, 2, 3).directory(2, 2, 3);
  b.query(1, 50, 9'000'000).query(2, 60, 9'000'000);
  const auto run = run_adapter(b.frame(1'000));
  EXPECT_EQ(run.exit_code, 0) << run.words;
  const auto first = from_hex("0001 0100 3200000000000000 00000000 07000000");
  const auto second = from_hex("0001 0200 3c00000000000000 00000000 07000000");
  EXPECT_NE(std::search(run.output.begin(), run.output.end(), first.begin(), first.end()), run.output.end());
  EXPECT_NE(std::search(run.output.begin(), run.output.end(), second.begin(), second.end()),
            run.output.end());
}

TEST(Adapter, ForgetsAnInstanceThatStops) {
  FrameBuilder b;
  b.start(1, kParams).event(265, 1);
  const auto run = run_adapter(joined({b.frame(1'000), FrameBuilder{}.query(1, 5, 99).frame(2'000)}));
  EXPECT_NE(run.exit_code, 0);
  EXPECT_EQ(run.output, from_hex("00000000"));
  EXPECT_NE(run.words.find("never enlisted"), std::string::npos);
}

// Bad input: one plain line, a non-zero exit, and nothing but whole replies before it.
void expect_refused(const Bytes& bad, const std::string& words) {
  const auto run = run_adapter(joined({kEmptyBatch, bad}));
  EXPECT_EQ(run.exit_code, 1) << words;
  EXPECT_EQ(run.output, from_hex("00000000")) << words;
  EXPECT_NE(run.words.find(words), std::string::npos) << run.words;
  EXPECT_EQ(std::count(run.words.begin(), run.words.end(), '\n'), 1) << run.words;
}

TEST(Adapter, RefusesBadInputInOnePlainLine) {
  expect_refused(Bytes(kEmptyBatch.begin(), kEmptyBatch.end() - 3), "input ends within a batch");
  expect_refused(from_hex("0000"), "input ends within the length");
  expect_refused(from_hex("00000000"), "input ends after the length");
  expect_refused(from_hex("ffffffff 00"), "length beyond any batch");
  expect_refused(from_hex("ffffff3f 00"), "input ends within a batch");
  expect_refused(FrameBuilder{}.event(999, 1).frame(5), "record 0, byte");
  expect_refused(FrameBuilder{}.query(9, 5, 99).frame(5), "record 0: event for instance 9");
  expect_refused(FrameBuilder{}.start(1, kParams).directory(1, 1, 4).frame(5),
                 "list number 4 was never sent");
  expect_refused(FrameBuilder{}.start(1, "rules.cold=x\n").frame(5), "rules.cold is not a number");
  expect_refused(FrameBuilder{}.start(1, "").frame(5), "no class of request");
}

}  // namespace
}  // namespace thornwick::testing
