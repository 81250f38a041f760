// Log lines on standard error through iostreams, behind a level filter.
#pragma once

#include <iostream>
#include <sstream>
#include <string_view>

namespace sprucecourse::logging {

enum class Level { debug, info, warning, error };

inline Level& threshold() {
  static Level level = Level::info;
  return level;
}

// One line: the level, the part of the program that speaks, then what is streamed in. Written at its end.
class Line {
 public:
  Line(Level level, std::string_view part) : on_(level >= threshold()) {
    static constexpr std::string_view names[] = {"debug", "info", "warning", "error"};
    if (on_) text_ << names[static_cast<int>(level)] << ' ' << part << ": ";
  }
  Line(const Line&) = delete;
  Line& operator=(const Line&) = delete;
  ~Line() {
    if (!on_) return;
    text_ << '\n';
    std::cerr << text_.str() << std::flush;  // in one piece
  }

  template <typename T>
  Line& operator<<(const T& value) {
    if (on_) text_ << value;
    return *this;
  }

 private:
  bool on_;
  std::ostringstream text_;
};

inline Line debug(std::string_view part) { return {Level::debug, part}; }
inline Line info(std::string_view part) { return {Level::info, part}; }
inline Line warning(std::string_view part) { return {Level::warning, part}; }
inline Line error(std::string_view part) { return {Level::error, part}; }

}  // namespace sprucecourse::logging
