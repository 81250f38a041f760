// Runs the program under test as a child process.
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

// The program under test. Its standard error is read line by line, and every wait is for a line or for its
// end.
class Program {
 public:
  // Environment variables of the program in addition to those of this process.
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
      alarm(60);  // stays set across exec, and ends the program if an awaited line never comes
      std::vector<const char*> arguments = {THORNWICK, "--config", config.c_str(), "--log-format", format};
      if (!operator_file.empty()) arguments.insert(arguments.end(), {"--operator", operator_file.c_str()});
      arguments.push_back(nullptr);
      execv(THORNWICK, const_cast<char* const*>(arguments.data()));
      _exit(127);
    }
    close(ends[1]);
    standard_error_ = fdopen(ends[0], "r");
  }
  ~Program() {
    if (pid_ > 0) kill(pid_, SIGKILL), waitpid(pid_, nullptr, 0);
    fclose(standard_error_);
  }

  // Returns the next line that contains this text; empty if the program ends without such a line.
  std::string wait_for_line(const std::string& text) {
    std::array<char, 4096> line;
    while (fgets(line.data(), line.size(), standard_error_) != nullptr) {
      if (std::string(line.data()).find(text) != std::string::npos) return line.data();
    }
    return {};
  }
  // Waits until the program logs the address at which it serves clients, and returns the address.
  std::string serving_address() {
    const std::string line = wait_for_line(" serves on ");
    const auto begin = line.find("127.0.0.1:");
    REQUIRE(begin != std::string::npos);
    return line.substr(begin, line.find(',') - begin);
  }
  void signal(int number) { kill(pid_, number); }
  pid_t pid() const { return pid_; }
  // Returns the status as waitpid() gives it.
  int wait_for_exit() {
    int status = -1;
    waitpid(std::exchange(pid_, 0), &status, 0);
    return status;
  }

 private:
  pid_t pid_ = 0;
  FILE* standard_error_ = nullptr;
};

}  // namespace thornwick::testing
