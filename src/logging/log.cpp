#include "logging/log.hpp"

#include <fmt/format.h>
#include <spdlog/pattern_formatter.h>
#include <spdlog/sinks/stdout_sinks.h>
#include <spdlog/spdlog.h>

#include <memory>
#include <nlohmann/json.hpp>
#include <string>

namespace thornwick::logging {
namespace {

constexpr const char* kTextPattern = "%l %n: %v";
// The message (%v) is JSON already: the members "part" and "message", and the fields of the line.
constexpr const char* kJsonPattern = R"({"time":"%Y-%m-%dT%H:%M:%S.%eZ","level":"%l",%v})";

// The log of this process: its threshold, its format and the stream that it writes to.
class Output {
 public:
  Output() { set_format(Format::text); }

  void set_format(Format format) {
    format_ = format;
    const char* pattern = format == Format::json ? kJsonPattern : kTextPattern;
    sink_.set_formatter(std::make_unique<spdlog::pattern_formatter>(pattern, spdlog::pattern_time_type::utc));
  }
  void set_threshold(Level level) { threshold_ = level; }

  Format format() const { return format_; }
  Level threshold() const { return threshold_; }

  void write(const spdlog::details::log_msg& message) {
    sink_.log(message);
    sink_.flush();
  }

 private:
  Level threshold_ = Level::info;
  Format format_ = Format::text;
  spdlog::sinks::stderr_sink_st sink_;
};

Output& output() {
  static Output instance;
  return instance;
}

spdlog::level::level_enum spdlog_level(Level level) {
  switch (level) {
    case Level::debug: return spdlog::level::debug;
    case Level::info: return spdlog::level::info;
    case Level::warning: return spdlog::level::warn;
    case Level::error: break;
  }
  return spdlog::level::err;
}

// Returns the text as a JSON string. Invalid UTF-8 is replaced, because clients and replicas can send any
// bytes and the line would not be JSON otherwise.
std::string json_text(std::string_view text) {
  return nlohmann::json(text).dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
}

}  // namespace

Level threshold() { return output().threshold(); }
void set_threshold(Level level) { output().set_threshold(level); }
void set_format(Format format) { output().set_format(format); }

void Line::write() const {
  std::string message = text_.str();
  if (output().format() == Format::json) {
    message = fmt::format(R"("part":{},"message":{})", json_text(component_), json_text(message));
    for (const FormattedField& field : fields_) {
      const std::string value = field.is_number ? field.value : json_text(field.value);
      message += fmt::format(",{}:{}", json_text(field.name), value);
    }
  }
  const spdlog::string_view_t component{component_.data(), component_.size()};
  output().write(spdlog::details::log_msg(component, spdlog_level(level_), message));
}

}  // namespace thornwick::logging
