#include "membership/random_sequence.hpp"

#include "random/hashing.hpp"

namespace thornwick::membership {
namespace {

constexpr std::uint64_t kIncrement = 0x9e3779b97f4a7c15ULL;

}  // namespace

std::uint64_t RandomSequence::draw() { return mix(counter_ += kIncrement); }

double RandomSequence::unit() { return thornwick::unit_interval(draw()); }

std::size_t RandomSequence::below(std::size_t count) { return static_cast<std::size_t>(draw() % count); }

}  // namespace thornwick::membership
