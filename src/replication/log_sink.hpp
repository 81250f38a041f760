// The interface for log lines of this module. The owner writes the lines to the program's log.
#pragma once

#include <cstdint>
#include <functional>
#include <string>

namespace thornwick::replication {

enum class Severity : std::uint8_t { info, warning };

// Called once for each log line, on the thread of the call that causes the line.
using LogSink = std::function<void(Severity severity, const std::string& text)>;

}  // namespace thornwick::replication
