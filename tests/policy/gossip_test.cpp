// Observations exchanged between the routers of a large group: their messages, and what the policy makes of
// them.
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

std::string message_of(std::vector<GossipItem> items) {
  Gossip all;
  for (const auto& item : items) all.add(item);
  return all.message();
}

Settings thin_settings() {
  auto s = plain_settings();
  s.group_size = 100;
  s.rank = 3;
  s.may_message_peers = true;
  s.hedging = false;
  return s;
}

void receive(Fixture& f, std::uint32_t peer, std::vector<GossipItem> items) {
  f.router.on_peer_message(f.now, peer, bytes_of(message_of(std::move(items))));
  f.absorb();
}

std::map<ReplicaId, int> sent(Fixture& f, int requests) {
  std::map<ReplicaId, int> to;
  for (int i = 0; i < requests; ++i) {
    f.advance(20'000);
    const auto id =
        Fixture::sent_replica(f.arrive({.prompt_tokens = 100, .session = 77u + static_cast<unsigned>(i)}));
    f.serve(f.last.id, id);
    ++to[id];
  }
  return to;
}

TEST(Gossip, ComeBackAsTheyWereAndAMessageHoldsFiftyAtMost) {
  Gossip gossip;
  for (std::uint32_t i = 0; i < 60; ++i) EXPECT_EQ(gossip.add({0xfffffff0u - i, Observation::late}), i == 0);
  const auto text = gossip.message();
  EXPECT_LE(text.size(), 256u);
  EXPECT_TRUE(gossip.message().empty());
  const auto read = gossip.read(kSecond, 7, bytes_of(text));
  ASSERT_EQ(read.size(), Gossip::kMaxItems);
  EXPECT_EQ(read.back().replica, 0xfffffff0u - 49);
  EXPECT_EQ(read.back().seen, Observation::late);
}

TEST(Gossip, OfAMessageThatIsCutForeignOrTooLongNothingIsBelieved) {
  const auto good = bytes_of(message_of({{1, Observation::slow}, {2, Observation::silent}}));
  Gossip gossip;
  std::uint64_t bad = 0;
  for (std::size_t cut = 0; cut < good.size(); ++cut) {
    const bool whole = cut == 7;  // one item and its head is a message of its own
    EXPECT_EQ(gossip.read(kSecond, 1, std::span(good).first(cut)).size(), whole ? 1u : 0u) << cut;
    bad += !whole;
  }
  for (std::size_t at : {0u, 1u, 6u}) {
    auto wrong = good;
    wrong[at] ^= 0x80;
    EXPECT_TRUE(gossip.read(kSecond, 1, wrong).empty()) << at;
    ++bad;
  }
  EXPECT_TRUE(gossip.read(kSecond, 1, std::vector<std::uint8_t>(2000, 0x54)).empty());
  EXPECT_TRUE(gossip.read(kSecond, 1'000'000, good).empty());
  EXPECT_EQ(gossip.unreadable(), bad + 2);
}

TEST(Gossip, APeerIsBelievedSoManyASecondAndNoMore) {
  Gossip gossip;
  const auto full = bytes_of(message_of(std::vector<GossipItem>(50, {1, Observation::silent})));
  std::size_t accepted = 0;
  for (int i = 0; i < 100; ++i) accepted += gossip.read(kSecond + i * 10'000, 5, full).size();
  EXPECT_GE(accepted, 100u);
  EXPECT_LE(accepted, 200u);
  EXPECT_EQ(accepted + gossip.ignored(), 5000u);
  EXPECT_EQ(gossip.read(kSecond, 6, full).size(), 50u);  // others are read as before
}

TEST(LargeGroup, LeavesOutAReplicaThatOthersFoundSilentAndTakesItBack) {
  Fixture f(thin_settings());
  f.list_plain(4);
  EXPECT_GT(sent(f, 40)[20], 0);
  for (std::uint32_t peer : {10u, 11u, 12u}) receive(f, peer, {{20, Observation::silent}});
  EXPECT_EQ(sent(f, 40)[20], 0);
  f.advance(seconds(10));
  EXPECT_GT(sent(f, 40)[20], 0);
}

TEST(LargeGroup, SingleFailuresHereAndThereEjectNobody) {
  Fixture f(thin_settings());
  f.list_plain(4);
  for (std::uint32_t i = 0; i < 20; ++i) {
    f.advance(kSecond);
    receive(f, 10 + i, {{20, Observation::stumbled}});
  }
  EXPECT_GT(sent(f, 40)[20], 0);
}

TEST(LargeGroup, SendsLessToAReplicaThatOthersFindSlowUntilThatFades) {
  Fixture f(thin_settings());
  f.list_plain(4);
  const int before = sent(f, 200)[20];
  for (std::uint32_t peer = 10; peer < 30; ++peer) receive(f, peer, {{20, Observation::slow}});
  const int during = sent(f, 40)[20] * 5;
  EXPECT_LT(during, before * 2 / 3);
  f.advance(seconds(40));
  EXPECT_GT(sent(f, 200)[20], before * 3 / 4);
}

TEST(LargeGroup, TellsOthersOnceAndInOneMessage) {
  auto s = thin_settings();
  s.group_size = 17;  // the smallest in which routers report: all that they see
  Fixture f(s);
  f.list_plain(2);
  for (int i = 0; i < 20; ++i) {
    const auto to = Fixture::sent_replica(f.arrive_sized(100));
    f.result(f.last.id, 0, to, Outcome::connect_failed);
  }
  const auto messages = only(f.advance(kSecond), ActionKind::message_peer);
  ASSERT_EQ(messages.size(), 1u);
  EXPECT_EQ(messages[0].token, Gossip::kAll);
  EXPECT_GE(messages[0].message.size(), 2u + 15 * 5);
}

// Each item costs something at every router: when all was reported, 300 routers paid a tenth of the day's
// result.
TEST(LargeGroup, WhatANoteCostsAllTogetherDoesNotGrowWithTheGroup) {
  std::vector<double> paid;
  for (const std::uint32_t group : {40u, 100u, 300u}) {
    auto s = thin_settings();
    s.group_size = group;
    s.max_attempts = 1;
    Fixture f(s);
    f.list_plain(40);
    double bytes = 0;
    for (int i = 0; i < 2000; ++i) {
      const auto to = Fixture::sent_replica(f.arrive_sized(100));
      f.result(f.last.id, 0, to, Outcome::connect_failed);
      for (const auto& action : only(f.advance(kSecond / 2), ActionKind::message_peer))
        bytes += static_cast<double>(action.message.size());
    }
    paid.push_back(bytes * group);
  }
  EXPECT_GT(paid[0], 0);
  EXPECT_LT(paid[1], 1.5 * paid[0]);
  EXPECT_LT(paid[2], 1.5 * paid[0]);
  EXPECT_GT(paid[2], 0.3 * paid[0]);
}

// Guards against cutoffs of a few sizes: sessions would have another place at each router.
TEST(LargeGroup, RoutersThatSawDifferentSizesPlaceSessionsAlike) {
  std::vector<std::unique_ptr<Fixture>> two;
  for (std::uint32_t rank : {3u, 4u}) {
    auto s = thin_settings();
    s.rank = rank, s.seed = rank;
    two.push_back(std::make_unique<Fixture>(s));
    Fixture& f = *two.back();
    f.list_plain(40);
    for (int i = 0; i < 60; ++i) {
      f.advance(kSecond);
      const double size = 100 * std::pow(1.0 + 0.1 * rank, i % 20);
      const auto to = Fixture::sent_replica(f.arrive({.prompt_tokens = size, .session = 1000u * rank + i}));
      f.serve(f.last.id, to);
    }
  }
  int alike = 0;
  for (std::uint64_t session = 1; session <= 100; ++session) {
    ReplicaId at[2];
    for (std::size_t i : {0u, 1u}) {
      Fixture& f = *two[i];
      at[i] = Fixture::sent_replica(f.arrive({.prompt_tokens = 50.0 * session, .session = session}));
      f.serve(f.last.id, at[i]);
    }
    alike += at[0] == at[1];
  }
  EXPECT_GT(alike, 95);
}

// Half warm, a replica does three quarters of its work; as one of a small group it is given half, as before.
TEST(LargeGroup, TheShareOfANewcomerRisesFromZeroAsItsAbilityDoes) {
  for (const auto& [group, from, to] : {std::tuple{100u, 160, 200}, std::tuple{4u, 110, 150}}) {
    auto s = thin_settings();
    s.group_size = group;
    Fixture f(s);
    f.list({{.id = 10}, {.id = 20, .started = f.now - s.warm_up / 2}});
    int there = 0;
    for (std::uint64_t session = 1; session <= 400; ++session) {
      const auto id = Fixture::sent_replica(f.arrive({.prompt_tokens = 100, .session = session}));
      f.serve(f.last.id, id);
      there += id == 20;
    }
    EXPECT_GE(there, from) << group;
    EXPECT_LE(there, to) << group;
  }
}

TEST(LargeGroup, AFewRoutersTellNothingAndBelieveNothing) {
  auto s = thin_settings();
  s.group_size = 4;
  Fixture f(s);
  f.list_plain(2);
  const auto to = Fixture::sent_replica(f.arrive_sized(100));
  f.result(f.last.id, 0, to, Outcome::connect_failed);
  EXPECT_TRUE(only(f.advance(kSecond), ActionKind::message_peer).empty());
}

}  // namespace
}  // namespace thornwick::testing
