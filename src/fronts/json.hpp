// JSON functions for the fronts in addition to simdjson's reader: writing strings, and look-ups with
// defaults.
#pragma once

#include <simdjson.h>

#include <string>
#include <string_view>

namespace thornwick::fronts {

using Json = simdjson::dom::element;

// Returns the text as a JSON string with quotes. Control characters are escaped.
inline std::string json_text(std::string_view text) {
  static constexpr char hex[] = "0123456789abcdef";
  std::string out = "\"";
  for (const char letter : text) {
    switch (letter) {
      case '"': out += "\\\""; break;
      case '\\': out += "\\\\"; break;
      case '\n': out += "\\n"; break;
      case '\r': out += "\\r"; break;
      case '\t': out += "\\t"; break;
      default:
        if (static_cast<unsigned char>(letter) >= ' ') {
          out += letter;
        } else {
          out.append("\\u00") += hex[letter >> 4];
          out += hex[letter & 15];
        }
    }
  }
  return out += '"';
}

// Returns the string at a JSON pointer (RFC 6901); empty if there is no string.
inline std::string text_at(Json json, std::string_view path) {
  std::string_view value;
  return json.at_pointer(path).get(value) == simdjson::SUCCESS ? std::string(value) : std::string();
}

// Returns the count at a JSON pointer; 0 if there is no count.
inline std::uint64_t count_at(Json json, std::string_view path) {
  std::uint64_t value = 0;
  return json.at_pointer(path).get(value) == simdjson::SUCCESS ? value : 0;
}

}  // namespace thornwick::fronts
