#include "simulator_adapter/byte_reader.hpp"

namespace thornwick::simulator_adapter {

void ByteReader::reject(const std::string& reason) const {
  const std::string place = record_ < 0 ? "header" : "record " + std::to_string(record_);
  throw MalformedInput(place + ", byte " + std::to_string(position_ + kHeaderBytes) + ": " + reason);
}

std::span<const std::uint8_t> ByteReader::take(std::uint64_t count, Field field) {
  if (count > remaining()) reject(std::string(to_string(field)) + " runs past the end of the frame");
  const auto bytes = bytes_.subspan(position_, static_cast<std::size_t>(count));
  position_ += bytes.size();
  return bytes;
}

Time ByteReader::time(Field field) {
  const auto value = number<std::uint64_t>(field);
  if (value > static_cast<std::uint64_t>(std::numeric_limits<Time>::max() / 2)) {
    reject(std::string(to_string(field)) + " " + std::to_string(value) + " is beyond any clock");
  }
  return static_cast<Time>(value);
}

float ByteReader::real(Field field) {
  const auto value = std::bit_cast<float>(number<std::uint32_t>(field));
  if (!std::isfinite(value)) reject(std::string(to_string(field)) + " is not a finite number");
  return value;
}

std::vector<float> ByteReader::reals(Field field) {
  const auto count = number<std::uint8_t>(field);
  if (count * sizeof(float) > remaining()) {
    reject(std::string(to_string(field)) + " counts more values than the frame holds");
  }
  std::vector<float> values;
  for (unsigned i = 0; i < count; ++i) values.push_back(real(field));
  return values;
}

}  // namespace thornwick::simulator_adapter
