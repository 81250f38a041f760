#include "fronts/frames.hpp"

#include <utility>

namespace sprucecourse::fronts {

std::optional<std::string> FrameSplitter::next() {
  for (;;) {
    const auto end = buffer_.find('\n', line_);
    if (end == std::string::npos) return std::nullopt;
    const std::size_t length = end - line_;
    const bool blank = length == 0 || (length == 1 && buffer_[line_] == '\r');
    line_ = end + 1;
    if (!blank) continue;
    std::string frame = buffer_.substr(0, line_);
    buffer_.erase(0, line_);
    line_ = 0;
    return frame;
  }
}

Frame read_frame(std::string_view raw) {
  Frame frame;
  while (!raw.empty()) {
    const auto end = raw.find('\n');
    auto line = raw.substr(0, end);
    raw = end == std::string_view::npos ? std::string_view{} : raw.substr(end + 1);
    if (line.ends_with('\r')) line.remove_suffix(1);
    if (line.empty()) continue;
    const auto colon = line.find(':');
    const auto field = line.substr(0, colon);
    auto value = colon == std::string_view::npos ? std::string_view{} : line.substr(colon + 1);
    if (value.starts_with(' ')) value.remove_prefix(1);
    if (colon == 0) {
      frame.comment = value;
    } else if (field == "event") {
      frame.name = value;
    } else if (field == "data") {
      if (std::exchange(frame.has_data, true)) frame.data += '\n';
      frame.data += value;
    }
  }
  return frame;
}

}  // namespace sprucecourse::fronts
