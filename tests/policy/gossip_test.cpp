// Observations that the routers of a large group share: the messages, and their effect on the policy.
#include "gossip/gossip.hpp"

#include <gtest/gtest.h>

#include <cmath>
#include <map>
#include <memory>
#include <tuple>

#include "support.hpp"

namespace thornwick::testing {
namespace {

std::vector<std::uint8_t> bytes_of(const std::string& text) { return {text.begin(), text.end()}; }

// Returns a gossip message with these items.
std::string message_of(std::vector<GossipItem> items) {
  Gossip gossip;
  for (const auto& item : items) gossip.add(item);
  return gossip.take_message();
}

Settings large_group_settings() {
  auto settings = plain_settings();
  settings.group_size = 100;
  settings.rank = 3;
  settings.may_message_peers = true;
  settings.hedging = false;
  return settings;
}

// Delivers a message with these items from a peer.
void receive(PolicyFixture& fixture, std::uint32_t peer, std::vector<GossipItem> items) {
  fixture.router.on_peer_message(fixture.now, peer, bytes_of(message_of(std::move(items))));
  fixture.take_actions();
}

// Delivers and serves this number of requests. Returns the number of requests that each replica got.
std::map<ReplicaId, int> send_requests(PolicyFixture& fixture, int requests) {
  std::map<ReplicaId, int> sent;
  for (int i = 0; i < requests; ++i) {
    fixture.advance(20'000);
    const auto id =
        sent_replica(fixture.arrive({.prompt_tokens = 100, .session = 77u + static_cast<unsigned>(i)}));
    fixture.serve(fixture.last.id, id);
    ++sent[id];
  }
  return sent;
}

TEST(Gossip, ItemsAreDecodedAsEncodedAndAMessageHoldsFifty) {
  Gossip gossip;
  for (std::uint32_t i = 0; i < 60; ++i) EXPECT_EQ(gossip.add({0xfffffff0u - i, Observation::late}), i == 0);
  const auto text = gossip.take_message();
  EXPECT_LE(text.size(), 256u);
  EXPECT_TRUE(gossip.take_message().empty());
  const auto read = gossip.read(kSecond, 7, bytes_of(text));
  ASSERT_EQ(read.size(), Gossip::kMaxItems);
  EXPECT_EQ(read.back().replica, 0xfffffff0u - 49);
  EXPECT_EQ(read.back().observation, Observation::late);
}

TEST(Gossip, ATruncatedInvalidOrTooLongMessageIsIgnored) {
  const auto valid = bytes_of(message_of({{1, Observation::slow}, {2, Observation::unreachable}}));
  Gossip gossip;
  std::uint64_t malformed = 0;
  for (std::size_t cut = 0; cut < valid.size(); ++cut) {
    const bool complete = cut == 7;  // a head and one item are a complete message
    EXPECT_EQ(gossip.read(kSecond, 1, std::span(valid).first(cut)).size(), complete ? 1u : 0u) << cut;
    malformed += !complete;
  }
  for (std::size_t at : {0u, 1u, 6u}) {
    auto invalid = valid;
    invalid[at] ^= 0x80;
    EXPECT_TRUE(gossip.read(kSecond, 1, invalid).empty()) << at;
    ++malformed;
  }
  EXPECT_TRUE(gossip.read(kSecond, 1, std::vector<std::uint8_t>(2000, 0x54)).empty());
  EXPECT_TRUE(gossip.read(kSecond, 1'000'000, valid).empty());
  EXPECT_EQ(gossip.malformed_messages(), malformed + 2);
}

TEST(Gossip, ItemsBeyondThePeersRateAreIgnored) {
  Gossip gossip;
  const auto full = bytes_of(message_of(std::vector<GossipItem>(50, {1, Observation::unreachable})));
  std::size_t accepted = 0;
  for (int i = 0; i < 100; ++i) accepted += gossip.read(kSecond + i * 10'000, 5, full).size();
  EXPECT_GE(accepted, 100u);
  EXPECT_LE(accepted, 200u);
  EXPECT_EQ(accepted + gossip.rate_limited_items(), 5000u);
  EXPECT_EQ(gossip.read(kSecond, 6, full).size(), 50u);  // the limit does not affect other peers
}

TEST(LargeGroup, EjectsAReplicaForSomeTimeIfPeersReportItAsUnreachable) {
  PolicyFixture fixture(large_group_settings());
  fixture.list_equal_replicas(4);
  EXPECT_GT(send_requests(fixture, 40)[20], 0);
  for (std::uint32_t peer : {10u, 11u, 12u}) receive(fixture, peer, {{20, Observation::unreachable}});
  EXPECT_EQ(send_requests(fixture, 40)[20], 0);
  fixture.advance(seconds(10));
  EXPECT_GT(send_requests(fixture, 40)[20], 0);
}

TEST(LargeGroup, SingleReportedFailuresDoNotEjectAReplica) {
  PolicyFixture fixture(large_group_settings());
  fixture.list_equal_replicas(4);
  for (std::uint32_t i = 0; i < 20; ++i) {
    fixture.advance(kSecond);
    receive(fixture, 10 + i, {{20, Observation::failed}});
  }
  EXPECT_GT(send_requests(fixture, 40)[20], 0);
}

TEST(LargeGroup, SendsLessForSomeTimeToAReplicaThatPeersReportAsSlow) {
  PolicyFixture fixture(large_group_settings());
  fixture.list_equal_replicas(4);
  const int before = send_requests(fixture, 200)[20];
  for (std::uint32_t peer = 10; peer < 30; ++peer) receive(fixture, peer, {{20, Observation::slow}});
  const int during = send_requests(fixture, 40)[20] * 5;
  EXPECT_LT(during, before * 2 / 3);
  fixture.advance(seconds(40));
  EXPECT_GT(send_requests(fixture, 200)[20], before * 3 / 4);
}

TEST(LargeGroup, GathersReportsOfFailuresInOneMessage) {
  auto settings = large_group_settings();
  settings.group_size = 17;  // the smallest large group, which reports all observations
  PolicyFixture fixture(settings);
  fixture.list_equal_replicas(2);
  for (int i = 0; i < 20; ++i) {
    const auto replica = sent_replica(fixture.arrive_with_size(100));
    fixture.end_attempt(fixture.last.id, 0, replica, Outcome::connect_failed);
  }
  const auto messages = actions_of_kind(fixture.advance(kSecond), ActionKind::message_peer);
  ASSERT_EQ(messages.size(), 1u);
  EXPECT_EQ(messages[0].token, Gossip::kAllPeers);
  EXPECT_GE(messages[0].message.size(), 2u + 15 * 5);
}

// Each item costs CPU time at every router. When all observations were reported, a group of 300 routers lost
// a tenth of the score of an emulated day.
TEST(LargeGroup, TheCostOfReportsDoesNotGrowWithTheGroup) {
  std::vector<double> delivered_bytes;
  for (const std::uint32_t group : {40u, 100u, 300u}) {
    auto settings = large_group_settings();
    settings.group_size = group;
    settings.max_attempts = 1;
    PolicyFixture fixture(settings);
    fixture.list_equal_replicas(40);
    double bytes = 0;
    for (int i = 0; i < 2000; ++i) {
      const auto replica = sent_replica(fixture.arrive_with_size(100));
      fixture.end_attempt(fixture.last.id, 0, replica, Outcome::connect_failed);
      for (const auto& action : actions_of_kind(fixture.advance(kSecond / 2), ActionKind::message_peer))
        bytes += static_cast<double>(action.message.size());
    }
    delivered_bytes.push_back(bytes * group);
  }
  EXPECT_GT(delivered_bytes[0], 0);
  EXPECT_LT(delivered_bytes[1], 1.5 * delivered_bytes[0]);
  EXPECT_LT(delivered_bytes[2], 1.5 * delivered_bytes[0]);
  EXPECT_GT(delivered_bytes[2], 0.3 * delivered_bytes[0]);
}

// Guards against interval edges that are computed from too few sizes: they would differ between routers, and
// with them the replica of each session.
TEST(LargeGroup, RoutersThatObservedDifferentSizesPlaceSessionsOnTheSameReplicas) {
  std::vector<std::unique_ptr<PolicyFixture>> routers;
  for (std::uint32_t rank : {3u, 4u}) {
    auto settings = large_group_settings();
    settings.rank = rank;
    settings.seed = rank;
    routers.push_back(std::make_unique<PolicyFixture>(settings));
    PolicyFixture& fixture = *routers.back();
    fixture.list_equal_replicas(40);
    for (int i = 0; i < 60; ++i) {
      fixture.advance(kSecond);
      const double size = 100 * std::pow(1.0 + 0.1 * rank, i % 20);
      const auto replica = sent_replica(fixture.arrive({.prompt_tokens = size, .session = 1000u * rank + i}));
      fixture.serve(fixture.last.id, replica);
    }
  }
  int alike = 0;
  for (std::uint64_t session = 1; session <= 100; ++session) {
    ReplicaId replicas[2];
    for (std::size_t i : {0u, 1u}) {
      PolicyFixture& fixture = *routers[i];
      replicas[i] = sent_replica(fixture.arrive({.prompt_tokens = 50.0 * session, .session = session}));
      fixture.serve(fixture.last.id, replicas[i]);
    }
    alike += replicas[0] == replicas[1];
  }
  EXPECT_GT(alike, 95);
}

// After half of its warm-up, a replica can do three quarters of its work, and gets that share in a large
// group. In a small group, its share is half.
TEST(LargeGroup, TheShareOfAWarmingUpReplicaRisesWithItsCapacity) {
  struct Case {
    std::uint32_t group_size;
    int min_sent;
    int max_sent;
  };
  for (const auto& [group, min_sent, max_sent] : {Case{100, 160, 200}, Case{4, 110, 150}}) {
    auto settings = large_group_settings();
    settings.group_size = group;
    PolicyFixture fixture(settings);
    fixture.list({{.id = 10}, {.id = 20, .started_at = fixture.now - settings.warm_up / 2}});
    int sent = 0;
    for (std::uint64_t session = 1; session <= 400; ++session) {
      const auto id = sent_replica(fixture.arrive({.prompt_tokens = 100, .session = session}));
      fixture.serve(fixture.last.id, id);
      sent += id == 20;
    }
    EXPECT_GE(sent, min_sent) << group;
    EXPECT_LE(sent, max_sent) << group;
  }
}

TEST(LargeGroup, ASmallGroupSendsNoGossip) {
  auto settings = large_group_settings();
  settings.group_size = 4;
  PolicyFixture fixture(settings);
  fixture.list_equal_replicas(2);
  const auto replica = sent_replica(fixture.arrive_with_size(100));
  fixture.end_attempt(fixture.last.id, 0, replica, Outcome::connect_failed);
  EXPECT_TRUE(actions_of_kind(fixture.advance(kSecond), ActionKind::message_peer).empty());
}

}  // namespace
}  // namespace thornwick::testing
