// The program itself, as a child process.
#pragma once

#include <fcntl.h>
#include <sys/wait.h>
#include <unistd.h>

#include <array>
#include <catch2/catch.hpp>
#include <csignal>
#include <cstdio>
#include <string>
#include <utility>
#include <vector>

namespace thornwick::testing {

// The program under test, with its standard error read line by line. Every wait is for something it says.
class Program {
 public:
  // Variables of its environment, beside those of this process.
  using Environment = std::vector<std::pair<std::string, std::string>>;

  explicit Program(const std::string& config, const char* format = "text", const std::string& folder = {},
                   const Environment& environment = {}, const std::string& operator_file = {}) {
    int ends[2];
    REQUIRE(pipe2(ends, O_CLOEXEC) == 0);
    pid_ = fork();
    REQUIRE(pid_ >= 0);
    if (pid_ == 0) {
      dup2(ends[1], STDERR_FILENO);
      if (!folder.empty()) setenv("TMPDIR", folder.c_str(), 1);
      for (const auto& [name, value] : environment) setenv(name.c_str(), value.c_str(), 1);
      alarm(60);  // stays across exec: guards the test against a line that never comes
      std::vector<const char*> arguments = {THORNWICK, "--config", config.c_str(), "--log-format", format};
      if (!operator_file.empty()) arguments.insert(arguments.end(), {"--operator", operator_file.c_str()});
      arguments.push_back(nullptr);
      execv(THORNWICK, const_cast<char* const*>(arguments.data()));
      _exit(127);
    }
    close(ends[1]);
    said_ = fdopen(ends[0], "r");
  }
  ~Program() {
    if (pid_ > 0) kill(pid_, SIGKILL), waitpid(pid_, nullptr, 0);
    fclose(said_);
  }

  // The first line from here on with this text in it; empty if the program ends without it.
  std::string wait_for_line(const std::string& text) {
    std::array<char, 4096> line;
    while (fgets(line.data(), line.size(), said_) != nullptr) {
      if (std::string(line.data()).find(text) != std::string::npos) return line.data();
    }
    return {};
  }
  // The address at which it serves clients, once it says so.
  std::string serving_address() {
    const std::string line = wait_for_line(" serves on ");
    const auto begin = line.find("127.0.0.1:");
    REQUIRE(begin != std::string::npos);
    return line.substr(begin, line.find(',') - begin);
  }
  void signal(int number) { kill(pid_, number); }
  pid_t pid() const { return pid_; }
  int wait_for_exit() {
    int status = -1;
    waitpid(std::exchange(pid_, 0), &status, 0);
    return status;
  }

 private:
  pid_t pid_ = 0;
  FILE* said_ = nullptr;
};

}  // namespace thornwick::testing
