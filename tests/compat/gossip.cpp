// Datagrams of gossip: notes on replicas and group membership, as they were written before.
#include "gossip/gossip.hpp"

#include <catch2/catch.hpp>

#include "committed.hpp"
#include "membership/message.hpp"

using namespace thornwick;
using namespace thornwick::membership;
using thornwick::testing::as_span;
using thornwick::testing::check_written;
using thornwick::testing::committed;

namespace {

constexpr const char* kNotesFile = "notes.hex";
constexpr const char* kMembershipFile = "membership.hex";
constexpr std::uint32_t kGroup = 0x0badcafe;

const std::vector<GossipItem> kNotes = {{1, Observation::failed},
                                        {0x01020304, Observation::unreachable},
                                        {0xfffffffe, Observation::slow},
                                        {300, Observation::late}};

const std::vector<Claim> kClaims = {
    {.member = 0x11223344,
     .claim_kind = ClaimKind::alive,
     .identity = {.disk_id = 5, .start_number = 6, .instance_id = 7},
     .incarnation = 8},
    {.member = 0xfffffffe,
     .claim_kind = ClaimKind::suspected,
     .identity = {.disk_id = 0x80000001, .start_number = 2, .instance_id = 0x70000003},
     .incarnation = 0x123456789abc},
    {.member = 3,
     .claim_kind = ClaimKind::leaving,
     .identity = {.disk_id = 1, .start_number = 1, .instance_id = 1},
     .incarnation = 0},
};

struct NamedMessage {
  const char* label;
  Message message;
};

std::vector<NamedMessage> messages() {
  const Claim self = kClaims[0];
  return {
      {"ping",
       {.kind = MessageKind::ping,
        .group = kGroup,
        .from = self,
        .number = 1,
        .subject_id = 0,
        .suspension_count = 0,
        .last_suspension_s = 0,
        .running_by_site = {},
        .claims = {}}},
      {"ack",
       {.kind = MessageKind::ack,
        .group = kGroup,
        .from = self,
        .number = 0xa1b2c3d4,
        .subject_id = 0,
        .suspension_count = 2,
        .last_suspension_s = 61,
        .running_by_site = {0, 1, 255},
        .claims = kClaims}},
      {"ask_for",
       {.kind = MessageKind::ping_request,
        .group = kGroup,
        .from = kClaims[1],
        .number = 3,
        .subject_id = 0x55667788,
        .suspension_count = 0xffff,
        .last_suspension_s = 0x0102,
        .running_by_site = {4},
        .claims = {kClaims[2]}}},
      {"found_for",
       {.kind = MessageKind::indirect_ack,
        .group = kGroup,
        .from = kClaims[2],
        .number = 4,
        .subject_id = 9,
        .suspension_count = 1,
        .last_suspension_s = 1,
        .running_by_site = {2, 2},
        .claims = {}}},
  };
}

}  // namespace

TEST_CASE("gossip: a committed datagram reads as the items that were sent") {
  Gossip notes;
  const std::string bytes = committed(kNotesFile, "notes");
  const auto read = notes.read(0, 0, as_span(bytes));
  REQUIRE(read.size() == kNotes.size());
  for (std::size_t i = 0; i < kNotes.size(); ++i) {
    CHECK(read[i].replica == kNotes[i].replica);
    CHECK(read[i].observation == kNotes[i].observation);
  }
  CHECK(notes.malformed_messages() == 0);
}

TEST_CASE("gossip: the same items are written as the committed datagram") {
  Gossip notes;
  for (const GossipItem& note : kNotes) notes.add(note);
  check_written(kNotesFile, "notes", notes.take_message());
}

TEST_CASE("membership: a committed datagram of each kind reads field by field") {
  for (const auto& [label, expected] : messages()) {
    INFO(label);
    const std::string bytes = committed(kMembershipFile, label);
    const auto read = membership::read(as_span(bytes), kGroup);
    REQUIRE(read);
    CHECK(read.error() == ReadError::none);
    CHECK(read->kind == expected.kind);
    CHECK(read->group == expected.group);
    CHECK(read->from == expected.from);
    CHECK(read->number == expected.number);
    CHECK(read->subject_id == expected.subject_id);
    CHECK(read->suspension_count == expected.suspension_count);
    CHECK(read->last_suspension_s == expected.last_suspension_s);
    CHECK(read->running_by_site == expected.running_by_site);
    CHECK(read->claims == expected.claims);
  }
}

TEST_CASE("membership: the same message of each kind is written as the committed datagram") {
  for (const auto& [label, message] : messages()) check_written(kMembershipFile, label, write(message));
}

TEST_CASE("membership: a committed view reads as its claims") {
  CHECK(read_claims(committed(kMembershipFile, "view"), kClaims.size()) == kClaims);
}

TEST_CASE("membership: the same view is written as the committed bytes") {
  check_written(kMembershipFile, "view", write_claims(kClaims));
}
