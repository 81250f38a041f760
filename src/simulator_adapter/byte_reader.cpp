#include "simulator_adapter/byte_reader.hpp"

namespace thornwick::simulator_adapter {

void ByteReader::reject(const std::string& what) const {
  const std::string where = record_ < 0 ? "header" : "record " + std::to_string(record_);
  throw Malformed(where + ", byte " + std::to_string(position_ + kHeaderBytes) + ": " + what);
}

std::span<const std::uint8_t> ByteReader::take(std::uint64_t count, const char* what) {
  if (count > left()) reject(std::string(what) + " runs past the end of the frame");
  const auto part = bytes_.subspan(position_, static_cast<std::size_t>(count));
  position_ += part.size();
  return part;
}

Time ByteReader::time(const char* what) {
  const auto value = number<std::uint64_t>(what);
  if (value > static_cast<std::uint64_t>(std::numeric_limits<Time>::max() / 2)) {
    reject(std::string(what) + " is beyond any clock");
  }
  return static_cast<Time>(value);
}

float ByteReader::real(const char* what) {
  const auto value = std::bit_cast<float>(number<std::uint32_t>(what));
  if (!std::isfinite(value)) reject(std::string(what) + " is not a finite number");
  return value;
}

std::vector<float> ByteReader::reals(const char* what) {
  const auto count = number<std::uint8_t>(what);
  if (count * sizeof(float) > left()) reject(std::string(what) + " counts more values than the frame holds");
  std::vector<float> values;
  for (unsigned i = 0; i < count; ++i) values.push_back(real(what));
  return values;
}

}  // namespace thornwick::simulator_adapter
