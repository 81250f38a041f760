#include "tools/words.hpp"

#include <fmt/format.h>
#include <unistd.h>

#include <random>

#include "net/local.hpp"

namespace sprucecourse::tools {
namespace {

constexpr Time kWithin = 20'000'000, kAnswer = 3'000'000;
constexpr unsigned kLookEvery = 50'000;

}  // namespace

int ask_running(const std::string& socket, const std::string& call, std::uint64_t id, const std::string& rest) {
  if (id == 0) {
    std::random_device device;
    id = (std::uint64_t{device()} << 31 | device()) | 1;
  }
  std::string said = net::call_local(socket, fmt::format("{} {} {}", call, id, rest), kAnswer);
  for (const Time limit = net::now_us() + kWithin; said.starts_with("+OK pending") && net::now_us() < limit; usleep(kLookEvery)) {
    said = net::call_local(socket, fmt::format("CORRECTION {}", id), kAnswer);
  }
  if (said.starts_with("+OK yes")) {
    fmt::print("yes (id {})\n", id);
    return 0;
  }
  const bool known = said.starts_with("-ERR no:");
  fmt::print(stderr, "thornwick: {} (id {})\n", said.empty() ? "no answer" : said.substr(0, said.find('\n')), id);
  return known ? 1 : 3;
}

}  // namespace sprucecourse::tools
