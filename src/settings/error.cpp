#include "settings/error.hpp"

#include <utility>

namespace thornwick::settings {
namespace {

// Returns what is wrong, without the place.
std::string reason(const Error& error) {
  switch (error.code) {
    case ErrorCode::syntax: return error.detail;
    case ErrorCode::unknown_table: return "no such table";
    case ErrorCode::unknown_key: return "no such key";
    case ErrorCode::unknown_entry: return "no such entry";
    case ErrorCode::not_a_table: return "not a table";
    case ErrorCode::not_a_list_of_tables: return "not a list of tables";
    case ErrorCode::not_a_text: return "not a text";
    case ErrorCode::not_a_list_of_texts: return "not a list of texts";
    case ErrorCode::not_a_flag: return "neither true nor false";
    case ErrorCode::not_a_number: return "not a number";
    case ErrorCode::not_a_whole_number: return "not a whole number";
    case ErrorCode::not_a_list_of_whole_numbers: return "not a list of whole numbers";
    case ErrorCode::not_a_number_or_range: return "neither a number nor [low, high]";
    case ErrorCode::not_toml_value: return "not a value: " + error.value;
    case ErrorCode::reversed_range: return "low is above high";
    case ErrorCode::out_of_range: return "outside " + error.detail;
    case ErrorCode::not_allowed: return "'" + error.value + "' is none of: " + error.detail;
    case ErrorCode::rejected: return error.detail;
  }
  return {};
}

std::string lines_of(const Errors& errors) {
  std::string lines;
  for (const Error& error : errors) {
    if (!lines.empty()) lines += "\n";
    lines += to_string(error);
  }
  return lines;
}

}  // namespace

std::string to_string(const Error& error) {
  const std::string place =
      error.line > 0 ? error.file + ":" + std::to_string(error.line) + ": " : std::string("--set ");
  const std::string key = error.key.empty() ? std::string() : error.key + ": ";
  return place + key + reason(error);
}

InvalidFile::InvalidFile(Errors errors) : std::runtime_error(lines_of(errors)), errors_(std::move(errors)) {}

}  // namespace thornwick::settings
