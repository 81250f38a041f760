#include "fronts/frames.hpp"

#include <algorithm>
#include <utility>

#include "http/http.hpp"

namespace thornwick::fronts {
namespace {

// The status of an error for a replica's answer that cannot be used.
constexpr int kBadGateway = 502;

// Capacity of a buffer that is kept although less of it is used.
constexpr std::size_t kMaxKeptBytes = 4096;

}  // namespace

std::optional<std::string> FrameSplitter::next() {
  for (;;) {
    const auto end = buffer_.find('\n', std::max(line_start_, scanned_));
    if (end == std::string::npos) {
      scanned_ = buffer_.size();
      if (buffer_.size() <= kMaxKeptBytes && buffer_.capacity() > kMaxKeptBytes) buffer_.shrink_to_fit();
      return std::nullopt;
    }
    auto line = std::string_view(buffer_).substr(line_start_, end - line_start_);
    if (line.ends_with('\r')) line.remove_suffix(1);
    line_start_ = end + 1;
    if (!line.empty()) {
      check_line(line);
      has_content_ = true;
    }
    if (!line.empty() || !has_content_) continue;
    std::string frame = buffer_.substr(0, line_start_);
    buffer_.erase(0, line_start_);
    line_start_ = 0;
    scanned_ = 0;
    has_content_ = false;
    return frame;
  }
}

std::string FrameSplitter::rest() {
  if (line_start_ < buffer_.size()) check_line(std::string_view(buffer_).substr(line_start_));
  line_start_ = 0;
  scanned_ = 0;
  if (!std::exchange(has_content_, false) && buffer_.find_first_not_of("\r\n") == std::string::npos)
    buffer_.clear();
  return std::exchange(buffer_, {});
}

// Throws BadMessage if a line does not have a field of an event stream. Without this check, the size line of
// a chunk would be taken for a part of an event if the sizes of chunks were wrong.
void FrameSplitter::check_line(std::string_view line) {
  const auto field = line.substr(0, line.find(':'));
  for (const auto* known : {"data", "event", "id", "retry", ""}) {
    if (field == known) return;
  }
  throw http::BadMessage(kBadGateway, "a line that no event stream holds");
}

EventFrame read_frame(std::string_view raw) {
  EventFrame frame;
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

}  // namespace thornwick::fronts
