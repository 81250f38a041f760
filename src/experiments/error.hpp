// The errors of experiments. Each has a kind, and a line of text for the user of the command line.
#pragma once

#include <stdexcept>
#include <string>

namespace thornwick::experiments {

enum class ErrorKind {
  bad_axis,         // a --set option is not of the form KEY=VALUE,VALUE
  bad_arguments,    // options contradict each other or are invalid
  bad_sizes,        // no size distribution has the requested mean
  unequal_samples,  // the samples of a paired test differ in length
  results_file,     // the results file is of another kind or version, or cannot be opened
  output_file       // a page cannot be written
};

// Thrown by all functions of this module but those that read scenarios. what() is one line.
struct ExperimentError : std::runtime_error {
  ExperimentError(ErrorKind error_kind, const std::string& message)
      : std::runtime_error(message), kind(error_kind) {}
  ErrorKind kind;
};

}  // namespace thornwick::experiments
