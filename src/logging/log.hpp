// Log lines on standard error, behind a level filter: as text, or as one JSON object for each line, whose
// fields have names. Each line is written in one piece, through spdlog. Not thread-safe: all lines come from
// the thread of the event loop.
#pragma once

#include <sstream>
#include <string>
#include <string_view>
#include <type_traits>
#include <vector>

namespace thornwick::logging {

// In order of severity.
enum class Level { debug, info, warning, error };
enum class Format { text, json };

// Lines below the threshold are not written, and their text is not formatted. Info unless it is set.
Level threshold();
void set_threshold(Level level);
// Whether debug lines are written: for callers whose fields cost more than a look at this.
[[nodiscard]] inline bool writes_debug() { return threshold() <= Level::debug; }
// Text unless it is set.
void set_format(Format format);

// A value that has a name in JSON; in text it is only its value. Refers to the value: for use within one
// statement.
template <typename T>
struct Field {
  std::string_view name;
  const T& value;
};
template <typename T>
Field<T> field(std::string_view name, const T& value) {
  return {name, value};
}

// One line: its level, the part of the program that it comes from, then what is streamed in. It is written
// when the object is destroyed, at the end of the statement.
class Line {
 public:
  // `part` has to outlive the line.
  Line(Level level, std::string_view part) : level_(level), part_(part), enabled_(level >= threshold()) {}
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
  // Adds a field that appears in JSON only. Integers become JSON numbers, everything else strings.
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
  std::string_view part_;
  bool enabled_;
  std::ostringstream text_;
  std::vector<FormattedField> fields_;
};

inline Line debug(std::string_view part) { return {Level::debug, part}; }
inline Line info(std::string_view part) { return {Level::info, part}; }
inline Line warning(std::string_view part) { return {Level::warning, part}; }
inline Line error(std::string_view part) { return {Level::error, part}; }

}  // namespace thornwick::logging
