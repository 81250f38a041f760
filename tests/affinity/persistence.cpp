// Tests the affinity table across a restart: the next process has the stored estimates of cached prompts,
// except those that cannot be true any more.
#include <rapidcheck.h>

#include <catch2/catch.hpp>

#include "persistence/affinity_records.hpp"
#include "persistence/state_store.hpp"
#include "scratch.hpp"

using namespace thornwick;
using namespace thornwick::affinity;
using thornwick::testing::Scratch;

namespace {

constexpr Time kSecond = seconds(1);

Request request_in_session(std::uint64_t session, double prompt) {
  Request request;
  request.session = session;
  request.prompt_tokens = prompt;
  request.max_tokens = 100;
  request.prefix = session % 5 + 1;
  request.prefix_tokens = prompt / 4;
  return request;
}

struct RouterProcess {
  explicit RouterProcess(const Scratch& scratch, Time start, Options options = {.table = {.entries = 20'000}},
                         const persistence::ReplicaIdLookup& id_of = {})
      : now(start),
        state_store({.path = scratch.path("s"), .holder = "n1"}, {},
                    [](ReplicaId id) { return "s-" + std::to_string(id); }),
        affinity_table(options),
        loaded(state_store.load(affinity_table, now, id_of)) {}

  void list(std::initializer_list<Endpoint> entries) {
    affinity_table.on_endpoints(EndpointUpdate::full, std::span(entries.begin(), entries.size()));
  }
  // The replica answers the request and finds exactly the expected tokens in its cache.
  void answer(const Request& request, ReplicaId replica) {
    const auto expectation = affinity_table.on_answer_started(now, request, replica);
    affinity_table.on_answer_complete(now += 10'000, request, replica, expectation, expectation.tokens, 50);
  }
  void stop() { REQUIRE(state_store.writer().drain(std::chrono::seconds(20))); }

  Time now;
  persistence::StateStore state_store;
  AffinityTable affinity_table;
  persistence::RestoredCounts loaded;
};

}  // namespace

TEST_CASE("after a restart the estimates are kept for replicas that have not changed meanwhile") {
  const Scratch scratch;
  const Time start = seconds(2'000'000);
  {
    RouterProcess router(scratch, start);
    CHECK(router.loaded.sessions == 0);
    router.list({{.id = 1}, {.id = 2}, {.id = 3}, {.id = 4}});
    for (std::uint64_t session = 1; session <= 400; ++session)
      router.answer(request_in_session(session, 2000), static_cast<ReplicaId>(1 + session % 4));
    router.stop();
  }
  RouterProcess router(scratch, start + seconds(60));
  CHECK(router.loaded.sessions == 400);
  CHECK(router.loaded.prefixes == 5);
  CHECK(router.loaded.replicas == 4);
  CHECK(router.loaded.unreadable + router.loaded.over_capacity == 0);
  // Meanwhile replica 2 has restarted, replica 3 was replaced by replica 9, and replica 4 drains.
  router.list({{.id = 1},
               {.id = 2, .started_at = start + seconds(30)},
               {.id = 9},
               {.id = 4, .state = EndpointState::draining}});
  int known = 0;
  for (std::uint64_t session = 1; session <= 400; ++session) {
    const CacheHint cache_hint =
        router.affinity_table.find_hint(router.now, request_in_session(session, 2500));
    if (cache_hint.has_replica) CHECK(cache_hint.replica == 1);
    known += cache_hint.has_replica ? 1 : 0;
    // Of the sessions of the other replicas only the shared prefix may be found, at replica 1.
    if (session % 4 == 0) CHECK((cache_hint.has_replica && cache_hint.expected_tokens > 600));
  }
  CHECK(known >= 100);
}

// Guards against estimates that are taken for another replica's: the id of a replica may differ from the one
// that it had when the estimate was stored, and its uid may not.
TEST_CASE("stored estimates belong to the replica of their uid, whichever id it has now") {
  const Scratch scratch;
  const Time start = seconds(2'000'000);
  {
    RouterProcess router(scratch, start);
    router.list({{.id = 1}, {.id = 2}});
    router.answer(request_in_session(7, 2000), 1);
    router.answer(request_in_session(8, 2000), 2);
    router.stop();
  }
  const auto id_of = [](const std::string& uid) -> ReplicaId { return uid == "s-1" ? 2 : 3; };
  RouterProcess router(scratch, start + seconds(1), {.table = {.entries = 20'000}}, id_of);
  router.list({{.id = 1}, {.id = 2}, {.id = 3}});
  const CacheHint first = router.affinity_table.find_hint(router.now, request_in_session(7, 2500));
  const CacheHint second = router.affinity_table.find_hint(router.now, request_in_session(8, 2500));
  CHECK((first.has_replica && first.replica == 2));
  CHECK((second.has_replica && second.replica == 3));
}

TEST_CASE("no estimate is lost if the clock goes backwards across a restart") {
  const Scratch scratch;
  const Time start = seconds(2'000'000);
  {
    RouterProcess router(scratch, start);
    router.list({{.id = 1}});
    router.answer(request_in_session(7, 2000), 1);
    router.stop();
  }
  RouterProcess router(scratch, start - seconds(7200));
  router.list({{.id = 1}});
  CHECK(router.affinity_table.find_hint(router.now, request_in_session(7, 2500)).has_replica);
  router.answer(request_in_session(7, 2500), 1);
  CHECK(router.affinity_table.find_hint(router.now, request_in_session(7, 3000)).has_replica);
}

TEST_CASE("estimates age during a long stop by what the other routers are likely to have sent") {
  const Scratch scratch;
  const Time start = seconds(2'000'000);
  double before = 0;
  {
    RouterProcess router(scratch, start);
    router.list({{.id = 1}});
    for (std::uint64_t session = 1; session <= 400; ++session) {
      router.answer(request_in_session(session, 2000), 1);
      router.now += kSecond / 10;
    }
    before = router.affinity_table.find_hint(router.now, request_in_session(400, 2500)).confidence;
    router.stop();
  }
  RouterProcess restarted(scratch, start + seconds(50));
  restarted.list({{.id = 1}});
  const double after =
      restarted.affinity_table.find_hint(restarted.now, request_in_session(400, 2500)).confidence;
  CHECK(after < before);
  CHECK(after > 0);
}

TEST_CASE("estimates of an earlier epoch stay invalid after a restart") {
  const Scratch scratch;
  const Time start = seconds(2'000'000);
  {
    RouterProcess router(scratch, start);
    router.list({{.id = 1}, {.id = 2}});
    for (std::uint64_t session = 1; session <= 50; ++session)
      router.answer(request_in_session(session, 2000), static_cast<ReplicaId>(1 + session % 2));
    router.list({{.id = 1}});
    router.list({{.id = 1}, {.id = 2}});
    router.stop();
  }
  RouterProcess router(scratch, start + kSecond);
  router.list({{.id = 1}, {.id = 2}});
  for (std::uint64_t session = 1; session <= 50; ++session)
    CHECK(router.affinity_table.find_hint(router.now, request_in_session(session, 2100)).replica != 2);
}

TEST_CASE("a smaller table restores as many entries as fit, and entries that expire leave the store too") {
  const Scratch scratch;
  const Time start = seconds(2'000'000);
  {
    RouterProcess router(scratch, start);
    router.list({{.id = 1}});
    for (std::uint64_t session = 1; session <= 600; ++session)
      router.answer(request_in_session(session, 2000), 1);
    router.stop();
  }
  {
    RouterProcess router(scratch, start + kSecond, {.table = {.entries = 320}});
    CHECK(router.loaded.sessions == 300);
    CHECK(router.loaded.over_capacity == 300);
  }
  {
    RouterProcess router(scratch, start + seconds(7200));
    router.list({{.id = 1}});
    for (int i = 0; i < 400; ++i) router.answer(request_in_session(1, 100), 1);
    router.stop();
  }
  const RouterProcess router(scratch, start + seconds(7210));
  CHECK(router.loaded.sessions == 1);
}

TEST_CASE("records decode to the encoded values, and other bytes decode to nothing") {
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
    RC_ASSERT(persistence::decode_key(persistence::encode_key(number)) == number);
    // Decoding any bytes gives a record or nothing.
    const auto noise = *rc::gen::container<std::string>(rc::gen::arbitrary<char>());
    static_cast<void>(persistence::decode_session(noise));
    static_cast<void>(persistence::decode_prefix(noise));
    static_cast<void>(persistence::decode_replica("12345678", noise));
  }));
}
