// Reads server-sent events (WHATWG HTML, section 9.2): splits a byte stream into frames and reads their
// fields.
#pragma once

#include <optional>
#include <string>
#include <string_view>
#include <utility>

namespace thornwick::fronts {

// Splits a byte stream into frames. A frame includes the blank line at its end and the blank lines before the
// frame. The caller must bound the bytes that are buffered here (held()).
class FrameSplitter {
 public:
  // Adds bytes of the stream, in order.
  void feed(std::string_view bytes) { buffer_.append(bytes); }
  // Takes the next complete frame, byte for byte; none if more bytes are needed. Throws http::BadMessage if a
  // line does not have a field of an event stream.
  [[nodiscard]] std::optional<std::string> next();
  // Takes the frame that the end of the stream completes; empty if there is none. Throws in the same cases as
  // next().
  [[nodiscard]] std::string rest();
  // The number of bytes that were fed and not returned yet.
  // The number of bytes that the splitter keeps in memory.
  std::size_t memory() const { return buffer_.capacity(); }
  // Whether a part of a frame has come that is not only blank lines.
  bool has_partial_frame() const { return has_content_ || line_start_ < buffer_.size(); }
  std::size_t held() const { return buffer_.size(); }

 private:
  static void check_line(std::string_view line);

  std::string buffer_;
  bool has_content_ = false;    // the current frame has a line that is not blank
  std::size_t line_start_ = 0;  // index of the first line that was not checked yet
  std::size_t scanned_ = 0;     // index up to which the end of that line was searched for
};

// The fields of one frame.
struct EventFrame {
  std::string name;     // name of the event; empty: not given
  std::string data;     // data lines, joined with line feeds
  std::string comment;  // the latest comment line
  bool has_data = false;
};
// Reads the fields of one frame; fields with other names are ignored.
[[nodiscard]] EventFrame read_frame(std::string_view raw);

}  // namespace thornwick::fronts
