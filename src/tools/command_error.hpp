// How a command of the program fails: one exception with the exit status and the line that states why. main()
// prints the line and ends the program with the status.
#pragma once

#include <stdexcept>
#include <string>

namespace thornwick::tools {

// Exit statuses of the program, which scripts rely on.
enum class ExitStatus : int {
  success = 0,
  failure = 1,          // the command ran and did not succeed, or a store's file cannot be used
  usage_error = 2,      // wrong arguments, or a configuration or input file with errors
  outcome_unknown = 3,  // a running router may or may not have carried out the command
};

class CommandError : public std::runtime_error {
 public:
  // `text`: one line without its end and without the program's name.
  CommandError(ExitStatus status, const std::string& text) : std::runtime_error(text), status_(status) {}

  ExitStatus status() const { return status_; }

 private:
  ExitStatus status_;
};

// The command line lacks an option that the command needs.
class UsageError : public CommandError {
 public:
  explicit UsageError(const std::string& text) : CommandError(ExitStatus::usage_error, text) {}
};

// A file that cannot be read or written, or that has an error in it.
class FileError : public CommandError {
 public:
  FileError(const std::string& path, const std::string& error)
      : CommandError(ExitStatus::usage_error, path + ": " + error) {}
  // An error in the line of this number, from 1 on.
  FileError(const std::string& path, int line, const std::string& error)
      : CommandError(ExitStatus::usage_error, path + ":" + std::to_string(line) + ": " + error) {}
};

}  // namespace thornwick::tools
