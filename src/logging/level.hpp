// The severity of a log line. It has its own header for code that names a level and writes no lines itself.
#pragma once

namespace thornwick::logging {

// In ascending order of severity. docs/oncall.md lists which lines have which level.
enum class Level { debug, info, warning, error };

}  // namespace thornwick::logging
