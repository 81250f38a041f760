// The severity of a log line. A header of its own for code that states a level and does not write lines
// itself.
#pragma once

namespace thornwick::logging {

// In ascending order of severity. docs/oncall.md lists which lines have which level.
enum class Level { debug, info, warning, error };

}  // namespace thornwick::logging
