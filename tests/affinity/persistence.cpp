// The table across a stop: what a router believed, the next one believes, and what cannot be true any more it
// does not.
#include <rapidcheck.h>

#include <catch2/catch.hpp>

#include "persistence/state_store.hpp"
#include "scratch.hpp"

using namespace thornwick;
using namespace thornwick::affinity;
using thornwick::testing::Scratch;

namespace {

constexpr Time kSecond = seconds(1);

Request turn(std::uint64_t session, double prompt) {
  Request request;
  request.session = session;
  request.prompt_tokens = prompt;
  request.max_tokens = 100;
  request.prefix = session % 5 + 1;
  request.prefix_tokens = prompt / 4;
  return request;
}

struct Life {
  explicit Life(const Scratch& scratch, Time start, Options options = {.table = {.entries = 20'000}})
      : now(start),
        state_store({.path = scratch.path("s"), .holder = "n1"}, {},
                    [](ReplicaId id) { return "s-" + std::to_string(id); }),
        affinity_table(options),
        loaded(state_store.load(affinity_table, now)) {}

  void list(std::initializer_list<Endpoint> entries) {
    affinity_table.on_endpoints(EndpointUpdate::full, std::span(entries.begin(), entries.size()));
  }
  void answer(const Request& request, ReplicaId replica) {
    const auto was = affinity_table.began(now, request, replica);
    affinity_table.answered(now += 10'000, request, replica, was, was.tokens,
                            50);  // what was expected is found
  }
  void stop() { REQUIRE(state_store.writer().drain(std::chrono::seconds(20))); }

  Time now;
  persistence::StateStore state_store;
  AffinityTable affinity_table;
  persistence::Loaded loaded;
};

}  // namespace

TEST_CASE("what was believed is believed after a restart, of boxes that did not change meanwhile") {
  const Scratch scratch;
  const Time start = seconds(2'000'000);
  {
    Life life(scratch, start);
    CHECK(life.loaded.sessions == 0);
    life.list({{.id = 1}, {.id = 2}, {.id = 3}, {.id = 4}});
    for (std::uint64_t s = 1; s <= 400; ++s) life.answer(turn(s, 2000), static_cast<ReplicaId>(1 + s % 4));
    life.stop();
  }
  Life life(scratch, start + seconds(60));
  CHECK(life.loaded.sessions == 400);
  CHECK(life.loaded.prefixes == 5);
  CHECK(life.loaded.replicas == 4);
  CHECK(life.loaded.unreadable + life.loaded.no_room == 0);
  // Box 2 started anew while nobody looked, replica 3 was replaced by 9, replica 4 drains.
  life.list({{.id = 1},
             {.id = 2, .started = start + seconds(30)},
             {.id = 9},
             {.id = 4, .state = EndpointState::draining}});
  int known = 0;
  for (std::uint64_t s = 1; s <= 400; ++s) {
    const CacheHint cache_hint = life.affinity_table.recall(life.now, turn(s, 2500));
    if (cache_hint.known) CHECK(cache_hint.replica == 1);
    known += cache_hint.known ? 1 : 0;
    // Of the others' sessions only the beginning may be found, at replica 1.
    if (s % 4 == 0) CHECK((cache_hint.known && cache_hint.tokens > 600));
  }
  CHECK(known >= 100);
}

TEST_CASE("a clock that went backwards across the stop loses nothing") {
  const Scratch scratch;
  const Time start = seconds(2'000'000);
  {
    Life life(scratch, start);
    life.list({{.id = 1}});
    life.answer(turn(7, 2000), 1);
    life.stop();
  }
  Life life(scratch, start - seconds(7200));
  life.list({{.id = 1}});
  CHECK(life.affinity_table.recall(life.now, turn(7, 2500)).known);
  life.answer(turn(7, 2500), 1);
  CHECK(life.affinity_table.recall(life.now, turn(7, 3000)).known);
}

TEST_CASE("a long stop ages what was believed by what the other routers sent meanwhile") {
  const Scratch scratch;
  const Time start = seconds(2'000'000);
  double before = 0;
  {
    Life life(scratch, start);
    life.list({{.id = 1}});
    for (std::uint64_t s = 1; s <= 400; ++s) {
      life.answer(turn(s, 2000), 1);
      life.now += kSecond / 10;
    }
    before = life.affinity_table.recall(life.now, turn(400, 2500)).confidence;
    life.stop();
  }
  Life soon(scratch, start + seconds(50));
  soon.list({{.id = 1}});
  const double after = soon.affinity_table.recall(soon.now, turn(400, 2500)).confidence;
  CHECK(after < before);
  CHECK(after > 0);
}

TEST_CASE("what an epoch voided stays void after a restart") {
  const Scratch scratch;
  const Time start = seconds(2'000'000);
  {
    Life life(scratch, start);
    life.list({{.id = 1}, {.id = 2}});
    for (std::uint64_t s = 1; s <= 50; ++s) life.answer(turn(s, 2000), static_cast<ReplicaId>(1 + s % 2));
    life.list({{.id = 1}});
    life.list({{.id = 1}, {.id = 2}});
    life.stop();
  }
  Life life(scratch, start + kSecond);
  life.list({{.id = 1}, {.id = 2}});
  for (std::uint64_t s = 1; s <= 50; ++s)
    CHECK(life.affinity_table.recall(life.now, turn(s, 2100)).replica != 2);
}

TEST_CASE("a table that has become smaller takes what it holds, and one that ages out leaves the store too") {
  const Scratch scratch;
  const Time start = seconds(2'000'000);
  {
    Life life(scratch, start);
    life.list({{.id = 1}});
    for (std::uint64_t s = 1; s <= 600; ++s) life.answer(turn(s, 2000), 1);
    life.stop();
  }
  {
    Life life(scratch, start + kSecond, {.table = {.entries = 320}});
    CHECK(life.loaded.sessions == 300);
    CHECK(life.loaded.no_room == 300);
  }
  {
    Life life(scratch, start + seconds(7200));
    life.list({{.id = 1}});
    for (int i = 0; i < 400; ++i) life.answer(turn(1, 100), 1);
    life.stop();
  }
  const Life life(scratch, start + seconds(7210));
  CHECK(life.loaded.sessions == 1);
}

TEST_CASE("records read back as they were written, and bytes that are no record are none") {
  CHECK(rc::check([] {
    Session session;
    session.prefix = *rc::gen::arbitrary<std::uint64_t>();
    session.cached_size = *rc::gen::arbitrary<std::uint32_t>();
    session.copies.count = *rc::gen::inRange<std::uint8_t>(0, kSessionCopies + 1);
    for (Copy& c : session.copies.all()) {
      c = {*rc::gen::arbitrary<std::uint32_t>(), *rc::gen::arbitrary<std::uint32_t>(),
           *rc::gen::arbitrary<std::uint32_t>(), *rc::gen::arbitrary<Slot>(), *rc::gen::arbitrary<Epoch>()};
    }
    const std::string bytes = persistence::encode(session);
    const auto read = persistence::decode_session(bytes);
    RC_ASSERT(read.has_value());
    RC_ASSERT(persistence::encode(*read) == bytes);
    RC_ASSERT(!persistence::decode_session(bytes.substr(0, bytes.size() - 1)));
    const auto number = *rc::gen::arbitrary<std::uint64_t>();
    RC_ASSERT(persistence::number_of(persistence::key_of(number)) == number);
    // Whatever the bytes are, reading them ends in a record or in none.
    const auto noise = *rc::gen::container<std::string>(rc::gen::arbitrary<char>());
    persistence::decode_session(noise), persistence::decode_prefix(noise),
        persistence::decode_replica("12345678", noise);
  }));
}
