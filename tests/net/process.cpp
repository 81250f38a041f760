// The program as a process: its signals, and its log lines on standard error.
#include <fstream>
#include <nlohmann/json.hpp>

#include "program.hpp"

using thornwick::testing::Program;

namespace {

void write_config(const std::string& path, const std::string& discovery) {
  const std::string new_path = path + ".new";
  std::ofstream(new_path)
      << R"({"name":"n1","listen":"127.0.0.1:0","discovery":")" << discovery
      << R"(","seed":"ff","settings":{"grades":[{"name":"chat","objective":1,"deadline":2}]}})";
  REQUIRE(std::rename(new_path.c_str(), path.c_str()) == 0);
}

}  // namespace

TEST_CASE(
    "SIGHUP reloads the configuration, a configuration with errors changes nothing, and SIGTERM ends the "
    "program with "
    "status 0") {
  const std::string path = "thornwick-process-" + std::to_string(getpid()) + ".json";
  write_config(path, "127.0.0.1:1");
  {
    Program program(path);
    CHECK(program.wait_for_line("n1 serves on 127.0.0.1:") != "");
    write_config(path, "no address at all");
    program.signal(SIGHUP);
    CHECK(program.wait_for_line("configuration rejected: ").find("no address at all") != std::string::npos);
    write_config(path, "127.0.0.1:2");
    program.signal(SIGHUP);
    CHECK(program.wait_for_line("discovery address changed from 127.0.0.1:1 to 127.0.0.1:2") != "");
    CHECK(program.wait_for_line("configuration reloaded") != "");
    program.signal(SIGTERM);
    CHECK(program.wait_for_line("shutting down") != "");
    program.signal(SIGHUP);
    CHECK(program.wait_for_line("configuration reloaded") != "");
    CHECK(program.wait_for_exit() == 0);
  }
  std::remove(path.c_str());
}

TEST_CASE(
    "with --log-format json each line is one JSON object with named fields, whatever bytes the fields "
    "contain") {
  const std::string path = "thornwick-json-" + std::to_string(getpid()) + ".json";
  write_config(path, "127.0.0.1:1");
  {
    Program program(path, "json");
    const auto start = nlohmann::json::parse(program.wait_for_line("serves on"));
    CHECK(start.at("level") == "info");
    CHECK(start.at("part") == "process");
    CHECK(start.at("message").get<std::string>().starts_with("n1 serves on 127.0.0.1:"));
    CHECK(start.at("time").get<std::string>().size() == std::string("2026-12-01T00:00:00.000Z").size());
    write_config(path, "no \\\"address\\\" at all");
    program.signal(SIGHUP);
    const auto rejected = nlohmann::json::parse(program.wait_for_line("configuration rejected"));
    CHECK(rejected.at("level") == "error");
    CHECK(rejected.at("message").get<std::string>().find("no \"address\" at all") != std::string::npos);
    program.signal(SIGTERM);
    CHECK(nlohmann::json::parse(program.wait_for_line("shutting down")).at("part") == "process");
    CHECK(program.wait_for_exit() == 0);
  }
  std::remove(path.c_str());
}
