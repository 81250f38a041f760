// Errors of a TOML file, as values; their text is made here alone.
#pragma once

#include <cstdint>
#include <stdexcept>
#include <string>
#include <vector>

namespace thornwick::settings {

enum class ErrorCode : std::uint8_t {
  syntax,  // the file is not TOML
  unknown_table,
  unknown_key,
  unknown_entry,  // an override names an entry that the file does not have
  not_a_table,
  not_a_list_of_tables,
  not_a_text,
  not_a_list_of_texts,
  not_a_flag,
  not_a_number,
  not_a_whole_number,
  not_a_list_of_whole_numbers,
  not_a_number_or_range,
  not_toml_value,  // the value of an override cannot be parsed
  reversed_range,
  out_of_range,
  not_allowed,  // a text that is none of those allowed
  rejected,     // the reader of the table finds the value wrong
};

// One error. Lines begin with 1; an error of an override has line 0 and no file.
struct Error {
  ErrorCode code = ErrorCode::syntax;
  std::string file = {};
  std::uint32_t line = 0;
  std::string key = {};  // "table.key"; empty if `detail` names what is wrong
  std::string detail =
      {};  // syntax, rejected: the reason; out_of_range, not_allowed: the values that are allowed
  std::string value = {};  // not_allowed, not_toml_value: the value at fault
};
using Errors = std::vector<Error>;

// Returns the line for operators: "FILE:LINE: KEY: what is wrong", or "--set KEY: what is wrong" for an
// override.
[[nodiscard]] std::string to_string(const Error& error);

// A file with errors. Its what() has a line for each of them.
class InvalidFile : public std::runtime_error {
 public:
  // `errors` must not be empty.
  explicit InvalidFile(Errors errors);

  const Errors& errors() const { return errors_; }

 private:
  Errors errors_;
};

}  // namespace thornwick::settings
