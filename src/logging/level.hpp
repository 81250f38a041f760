// The severity of a log line. A header of its own, so that modules without I/O can state a severity without
// depending on the log itself.
#pragma once

namespace thornwick::logging {

// In ascending order of severity. docs/oncall.md lists which lines have which level.
enum class Level { debug, info, warning, error };

}  // namespace thornwick::logging
