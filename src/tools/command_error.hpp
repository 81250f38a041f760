// Exceptions for commands of the program that fail. Each has an exit status and a line with the reason;
// main() prints the line and exits with the status.
#pragma once

#include <stdexcept>
#include <string>

namespace thornwick::tools {

// Exit statuses of the program. Scripts rely on these values.
enum class ExitStatus : int {
  success = 0,
  failure = 1,          // the command ran without success, or a store's file cannot be used
  usage_error = 2,      // wrong arguments, or a configuration or input file with errors
  outcome_unknown = 3,  // a running router may or may not have carried out the command
};

class CommandError : public std::runtime_error {
 public:
  // `text` is one line, without a newline and without the program's name.
  CommandError(ExitStatus status, const std::string& text) : std::runtime_error(text), status_(status) {}

  ExitStatus status() const { return status_; }

 private:
  ExitStatus status_;
};

// Thrown if the command line lacks an option that the command needs.
class UsageError : public CommandError {
 public:
  explicit UsageError(const std::string& text) : CommandError(ExitStatus::usage_error, text) {}
};

// Thrown if a file cannot be read or written, or if its contents have an error.
class FileError : public CommandError {
 public:
  FileError(const std::string& path, const std::string& error)
      : CommandError(ExitStatus::usage_error, path + ": " + error) {}
  // An error in line `line` of the file; the first line is 1.
  FileError(const std::string& path, int line, const std::string& error)
      : CommandError(ExitStatus::usage_error, path + ":" + std::to_string(line) + ": " + error) {}
};

}  // namespace thornwick::tools
