// The errors of experiments: what kind of failure it was, and the line for the person at the command line.
#pragma once

#include <stdexcept>
#include <string>

namespace thornwick::experiments {

enum class ErrorKind {
  bad_axis,         // a --set option that is not KEY=VALUE,VALUE
  bad_arguments,    // options that do not go together
  bad_sizes,        // no size distribution has the wanted mean
  unequal_samples,  // a paired test of samples that differ in length
  results_file,     // the results file is of another kind or version, or cannot be opened
  output_file       // a page cannot be written
};

// Thrown by everything in this module but the reading of scenarios. what() is one line.
struct ExperimentError : std::runtime_error {
  ExperimentError(ErrorKind error_kind, const std::string& message)
      : std::runtime_error(message), kind(error_kind) {}
  ErrorKind kind;
};

}  // namespace thornwick::experiments
