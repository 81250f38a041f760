#include "membership/message.hpp"

#include <xxhash.h>

#include <algorithm>
#include <iterator>
#include <utility>

namespace thornwick::membership {
namespace {

constexpr std::uint8_t kMagic[] = {'T', 'G'};
constexpr std::size_t kIncarnationBytes = 6;
constexpr std::uint64_t kMaxIncarnation = (std::uint64_t{1} << (8 * kIncarnationBytes)) - 1;
constexpr std::size_t kIdentityBytes = 4 + 4 + 4;
constexpr std::size_t kClaimBytes = 4 + 1 + kIdentityBytes + kIncarnationBytes;
constexpr std::size_t kMagicBytes = 2;
constexpr std::size_t kVersionBytes = 1;
// The checksum at the end keeps changed bytes from being read as a claim.
constexpr std::size_t kChecksumBytes = 4;
// Magic bytes, version, kind, group, sender, number, subject, suspension count, last suspension, number of
// sites; and the checksum.
constexpr std::size_t kFixedBytes =
    kMagicBytes + kVersionBytes + 1 + 4 + kClaimBytes + 4 + 4 + 2 + 2 + 1 + kChecksumBytes;

// Appends numbers, the least significant byte first.
class Writer {
 public:
  template <std::size_t Bytes = 4>
  void number(std::uint64_t value) {
    for (std::size_t i = 0; i < Bytes; ++i) bytes_ += static_cast<char>(value >> (8 * i) & 0xff);
  }
  void claim(const Claim& claim) {
    number(claim.member);
    number<1>(static_cast<std::uint8_t>(claim.claim_kind));
    number(claim.identity.disk_id);
    number(claim.identity.start_number);
    number(claim.identity.instance_id);
    number<kIncarnationBytes>(std::min(claim.incarnation, kMaxIncarnation));
  }
  void checksum() { number<kChecksumBytes>(XXH32(bytes_.data(), bytes_.size(), 0)); }
  std::string take() { return std::move(bytes_); }

 private:
  std::string bytes_;
};

// Reads what Writer wrote. The caller checks that enough bytes remain.
class Reader {
 public:
  explicit Reader(std::span<const std::uint8_t> bytes) : remaining_(bytes) {}

  template <std::size_t Bytes = 4>
  std::uint64_t number() {
    std::uint64_t value = 0;
    for (std::size_t i = 0; i < Bytes; ++i) value |= std::uint64_t{remaining_[i]} << (8 * i);
    remaining_ = remaining_.subspan(Bytes);
    return value;
  }
  std::uint32_t number32() { return static_cast<std::uint32_t>(number<4>()); }
  std::uint16_t number16() { return static_cast<std::uint16_t>(number<2>()); }
  std::uint8_t byte() { return static_cast<std::uint8_t>(number<1>()); }
  // Returns none if the claim has an unknown kind, or no member.
  std::optional<Claim> claim() {
    Claim claim;
    claim.member = number32();
    const std::uint8_t kind = byte();
    claim.claim_kind = static_cast<ClaimKind>(kind);
    claim.identity.disk_id = number32();
    claim.identity.start_number = number32();
    claim.identity.instance_id = number32();
    claim.incarnation = number<kIncarnationBytes>();
    if (kind > static_cast<std::uint8_t>(ClaimKind::leaving) || claim.member == 0) return std::nullopt;
    return claim;
  }
  // Reads claims up to the end. The remaining bytes have to be a multiple of a claim's size.
  std::optional<std::vector<Claim>> claims() {
    std::vector<Claim> claims;
    while (remaining() > 0) {
      const auto next = claim();
      if (!next) return std::nullopt;
      claims.push_back(*next);
    }
    return claims;
  }
  std::size_t remaining() const { return remaining_.size(); }

 private:
  std::span<const std::uint8_t> remaining_;
};

std::uint32_t checksum_of(std::span<const std::uint8_t> bytes) {
  return XXH32(bytes.data(), bytes.size(), 0);
}

// Checks size, magic bytes, version and checksum.
ReadError check_frame(std::span<const std::uint8_t> bytes) {
  if (bytes.size() < kFixedBytes || bytes.size() > kMaxDatagramBytes) return ReadError::length;
  if (!std::equal(std::begin(kMagic), std::end(kMagic), bytes.begin())) return ReadError::magic;
  if (bytes[kMagicBytes] != kVersion) return ReadError::version;
  const auto content = bytes.first(bytes.size() - kChecksumBytes);
  if (Reader(bytes.last(kChecksumBytes)).number32() != checksum_of(content)) return ReadError::checksum;
  return ReadError::none;
}

}  // namespace

std::size_t room_for(std::size_t sites) { return (kMaxDatagramBytes - kFixedBytes - sites) / kClaimBytes; }

std::string write(const Message& message) {
  Writer out;
  for (const std::uint8_t byte : kMagic) out.number<1>(byte);
  out.number<1>(kVersion);
  out.number<1>(static_cast<std::uint8_t>(message.kind));
  out.number(message.group);
  out.claim(message.from);
  out.number(message.number);
  out.number(message.subject_id);
  out.number<2>(message.suspension_count);
  out.number<2>(message.last_suspension_s);
  out.number<1>(message.running_by_site.size());
  for (const auto count : message.running_by_site) out.number<1>(count);
  for (const auto& claim : message.claims) out.claim(claim);
  out.checksum();
  return out.take();
}

ReadResult read(std::span<const std::uint8_t> bytes, std::uint32_t group) {
  if (const ReadError error = check_frame(bytes); error != ReadError::none) return ReadResult(error);
  Reader in(bytes.first(bytes.size() - kChecksumBytes).subspan(kMagicBytes + kVersionBytes));
  Message message;
  const std::uint8_t kind = in.byte();
  message.kind = static_cast<MessageKind>(kind);
  message.group = in.number32();
  if (message.group != group) return ReadResult(ReadError::group);
  if (kind > static_cast<std::uint8_t>(MessageKind::indirect_ack)) return ReadResult(ReadError::content);
  const auto from = in.claim();
  if (!from) return ReadResult(ReadError::content);
  message.from = *from;
  message.number = in.number32();
  message.subject_id = in.number32();
  message.suspension_count = in.number16();
  message.last_suspension_s = in.number16();
  const std::size_t sites = in.byte();
  if (in.remaining() < sites || (in.remaining() - sites) % kClaimBytes != 0)
    return ReadResult(ReadError::length);
  for (std::size_t i = 0; i < sites; ++i) message.running_by_site.push_back(in.byte());
  auto claims = in.claims();
  if (!claims) return ReadResult(ReadError::content);
  message.claims = std::move(*claims);
  return ReadResult(std::move(message));
}

std::string write_claims(const std::vector<Claim>& claims) {
  Writer out;
  for (const auto& claim : claims) out.claim(claim);
  return out.take();
}

std::optional<std::vector<Claim>> read_claims(std::string_view bytes, std::size_t max_claims) {
  if (bytes.size() % kClaimBytes != 0 || bytes.size() / kClaimBytes > max_claims) return std::nullopt;
  return Reader({reinterpret_cast<const std::uint8_t*>(bytes.data()), bytes.size()}).claims();
}

}  // namespace thornwick::membership
