// Writes log lines to standard error, as text or as one JSON object per line. Lines below a threshold are
// dropped. Each line is written in one piece, through spdlog.
//
// Not thread-safe: only the thread of the event loop may log. docs/oncall.md is the catalogue of all lines;
// tests/log_catalogue_test.py reports a line that it lacks.
#pragma once

#include <sstream>
#include <string>
#include <string_view>
#include <type_traits>
#include <vector>

#include "logging/level.hpp"

namespace thornwick::logging {

// The format of lines: `LEVEL COMPONENT: TEXT`, or a JSON object with time (UTC), level, part (the
// component), message and the fields of the line.
enum class Format { text, json };

// The lowest level that is written. It is `Level::info` until it is set. The text of a line below this level
// is never formatted.
Level threshold();
void set_threshold(Level level);
// Returns whether debug lines are written. Callers check it before they compute fields that are expensive.
[[nodiscard]] inline bool is_debug_enabled() { return threshold() <= Level::debug; }
// Sets the format of all later lines. It is `Format::text` until then.
void set_format(Format format);

// A value that appears as a named field in JSON, and as the value alone in text. It refers to the value, so
// it must not outlive the statement that creates it.
template <typename T>
struct Field {
  std::string_view name;
  const T& value;
};
// Names a value for use in a line: `info("store") << "loaded from " << field("file", path)`.
template <typename T>
Field<T> field(std::string_view name, const T& value) {
  return {name, value};
}

// One log line: its level, the component of the program that writes it, and the text that is streamed into
// it. The destructor writes the line, so a temporary is written at the end of its statement.
class Line {
 public:
  // `component` is stored as a reference and must outlive the line.
  Line(Level level, std::string_view component)
      : level_(level), component_(component), enabled_(level >= threshold()) {}
  Line(const Line&) = delete;
  Line& operator=(const Line&) = delete;
  ~Line() {  // NOLINT(bugprone-exception-escape): without memory for a line the program ends, as elsewhere
    if (enabled_) write();
  }

  template <typename T>
  Line& operator<<(const T& value) {
    if (enabled_) text_ << value;
    return *this;
  }
  template <typename T>
  Line& operator<<(const Field<T>& named) {
    return with(named.name, named.value) << named.value;
  }
  // Adds a field that appears in JSON only, and returns this line. Integers become JSON numbers; all other
  // values become strings.
  template <typename T>
  Line& with(std::string_view name, const T& value) {
    constexpr bool is_number = std::is_integral_v<T> && !std::is_same_v<T, char>;
    if (!enabled_) return *this;
    std::ostringstream text;
    text << value;
    fields_.push_back({std::string(name), text.str(), is_number});
    return *this;
  }

 private:
  struct FormattedField {
    std::string name;
    std::string value;
    bool is_number;
  };
  void write() const;

  Level level_;
  std::string_view component_;
  bool enabled_;
  std::ostringstream text_;
  std::vector<FormattedField> fields_;
};

// Each returns a line of the level that it is named after. `component` must outlive the line.
inline Line debug(std::string_view component) { return {Level::debug, component}; }
inline Line info(std::string_view component) { return {Level::info, component}; }
inline Line warning(std::string_view component) { return {Level::warning, component}; }
inline Line error(std::string_view component) { return {Level::error, component}; }

}  // namespace thornwick::logging
