// The copies' records on disk as they were written before: two routers that found a ledger and keep a
// snapshot of it.
//
// As with the store (store.cpp) the file is read as it was committed, and what is written now is compared
// record by record.
#include <array>
#include <catch2/catch.hpp>
#include <deque>
#include <thread>

#include "committed.hpp"
#include "persistence/ledger_store.hpp"
#include "raw_records.hpp"
#include "replication/ledger_replica.hpp"

using namespace thornwick;
using namespace thornwick::replication;
using thornwick::testing::data_path;
using thornwick::testing::raw_records;
using thornwick::testing::read_bytes;
using thornwick::testing::Scratch;
using thornwick::testing::write_bytes;

namespace {

constexpr const char* kFile = "copies.store";
constexpr Time kStep = milliseconds(50), kSecond = seconds(1);
constexpr std::size_t kRouters = 2;
constexpr std::uint64_t kQuestions = 6;
constexpr Units kUsedEach = 10;
constexpr std::size_t kMostWaitingBytes = 1 << 20;

using RecordsByKey = std::map<std::string, std::string>;

// What a router draws, by count. Its copy's number is its second draw, made odd.
std::uint64_t chance(std::size_t router, std::uint64_t draw) { return (router + 3) * 1'000'003 * draw; }
ReplicaUid copy_id(std::size_t router) { return chance(router, 2) | 1; }

// Both routers in virtual time: messages arrive and records become durable at once.
class Pair {
 public:
  struct Router final : Records {
    RecordsByKey records;
    std::uint64_t drawn = 0;
    std::unique_ptr<LedgerReplica> holder;
    void write(std::string key, std::optional<std::string> value) override {
      if (value) {
        records[key] = *value;
      } else {
        records.erase(key);
      }
    }
    std::uint64_t last_write_number() override { return 0; }
  };

  explicit Pair(const std::vector<RecordsByKey>& stored) {
    const auto roster = std::make_shared<membership::Roster>(
        "pair", std::vector<std::string>{"s"},
        std::vector<membership::RouterEntry>{{"first", "s", "127.0.0.1:1", "router", 0},
                                             {"second", "s", "127.0.0.1:2", "router", 0}});
    for (std::size_t i = 0; i < kRouters; ++i) {
      Router& router = routers_[i];
      router.records = stored[i];
      LedgerReplicaOptions options;
      options.self = i, options.replica_count = kRouters, options.roster = roster;
      options.snapshot_threshold = 4, options.trailing_entries = 2;
      const auto visit_stored = [&stored, i](const RecordVisitor& visit) {
        for (const auto& [key, value] : stored[i]) visit(key, value);
      };
      router.holder = std::make_unique<LedgerReplica>(
          options,
          LedgerReplica::Dependencies{.records = router,
                                      .random_number = [&router, i] { return chance(i, ++router.drawn); },
                                      .send =
                                          [this, i](std::size_t to, std::string bytes) {
                                            sent_.push_back({i, to, std::move(bytes)});
                                          },
                                      .write_log = [](auto, const std::string&) {}},
          visit_stored, now_);
    }
  }

  void run(Time span) {
    for (const Time end = now_ + span; now_ < end;) {
      now_ += kStep;
      for (auto& router : routers_) router.holder->tick(now_);
      deliver();
    }
  }
  // One router uses more and more of an account; the leader is asked.
  void use(std::uint64_t number) {
    const LeaseRequestLine line{.key = "account",
                                .span = 0,
                                .amount = 100'000,
                                .per_s = 1'000,
                                .window = 0,
                                .used = static_cast<Units>(number) * kUsedEach,
                                .requested = 500,
                                .need = 0};
    const LeaseRequest ask{.session = session_of(77, 5),
                           .number = number,
                           .begins_session = number == 1,
                           .ends_session = false,
                           .lines = {line}};
    for (auto& router : routers_) {
      if (router.holder->is_leader())
        router.holder->on_message(now_, 0, MessageKind::lease_request, packed(ask));
    }
    deliver();
  }

  const LedgerReplica& holder(std::size_t i) const { return *routers_[i].holder; }
  const RecordsByKey& records(std::size_t i) const { return routers_[i].records; }

 private:
  struct Sent {
    std::size_t from, to;
    std::string bytes;
  };
  void deliver() {
    while (!sent_.empty()) {
      const Sent one = std::move(sent_.front());
      sent_.pop_front();
      const auto envelope = replication::read<MessageHeader>(one.bytes);
      REQUIRE(envelope);
      routers_[one.to].holder->on_message(now_, one.from, static_cast<MessageKind>(envelope->kind),
                                          envelope->body);
    }
  }

  Time now_ = 0;
  std::deque<Sent> sent_;
  std::array<Router, kRouters> routers_;
};

// C-Raft leaves the bytes unset with which it fills up an encoded configuration to a multiple of eight; the
// routers' names have lengths with which there are none.
//
// The records of both after the ledger was founded and used. They stand in one file here, those of the other
// router as of a second ledger.
std::vector<RecordsByKey> used_pair() {
  Pair pair({RecordsByKey{}, RecordsByKey{}});
  pair.run(seconds(5));
  for (std::uint64_t number = 1; number <= kQuestions; ++number) {
    pair.use(number);
    pair.run(kSecond / 2);
  }
  return {pair.records(0), pair.records(1)};
}

void write_all(const std::string& path) {
  persistence::LedgerStore store({.path = path, .holder = "r0", .megabytes = 1}, kMostWaitingBytes, [] {});
  const auto both = used_pair();
  std::uint64_t last = 0;
  for (std::size_t i = 0; i < both.size(); ++i) {
    for (const auto& [key, value] : both[i]) store.records(i).write(key, value);
    last = store.records(i).last_write_number();
  }
  store.hand_over();
  for (int i = 0; i < 20'000 && store.durable() < last; ++i)
    std::this_thread::sleep_for(std::chrono::milliseconds(1));
  REQUIRE(store.durable() >= last);
}

std::vector<RecordsByKey> committed_records() {
  const Scratch scratch;
  write_bytes(scratch.path("copies"), read_bytes(data_path(kFile)));
  const persistence::LedgerStore store({.path = scratch.path("copies"), .holder = "r0", .megabytes = 1},
                                       kMostWaitingBytes, [] {});
  REQUIRE(store.set_aside().empty());
  std::vector<RecordsByKey> both(kRouters);
  for (std::size_t i = 0; i < kRouters; ++i) {
    store.for_each_stored(i,
                          [&](std::string_view key, std::string_view value) { both[i].emplace(key, value); });
  }
  return both;
}

}  // namespace

TEST_CASE("copies' disk: the committed file has a record of each kind") {
  const auto both = committed_records();
  for (const auto& records : both) {
    std::string kinds;
    for (const auto& [key, value] : records) {
      if (kinds.empty() || kinds.back() != key[0]) kinds += key[0];
    }
    CHECK(
        kinds ==
        "emnpsv");  // entries, the process, the other's process, the snapshot's parts, the snapshot, the vote
  }
}

TEST_CASE("copies' disk: copies that start from the committed file have its processes, log and books") {
  const auto both = committed_records();
  Pair pair(both);
  for (std::size_t i = 0; i < kRouters; ++i) {
    CHECK(pair.holder(i).process().id == copy_id(i));
    CHECK(pair.holder(i).process().start_number == 2);
    CHECK(pair.holder(i).stage() == Stage::entering);
    CHECK_FALSE(pair.holder(i).discarded_disk());
  }
  pair.run(seconds(5));
  for (std::size_t i = 0; i < kRouters; ++i) {
    CHECK(pair.holder(i).stage() == Stage::member);
    CHECK_FALSE(pair.holder(i).discarded_disk());
    const auto& ledger = pair.holder(i).ledger();
    CHECK(ledger.invariant_violation().empty());
    REQUIRE(ledger.accounts().contains("account"));
    const WindowLedger& book = ledger.accounts().at("account").windows.at(0);
    CHECK(book.amount == 100'000);
    CHECK(book.leases.at(session_of(77, 5)).used == static_cast<Units>(kQuestions) * kUsedEach);
    CHECK(ledger.sessions().at(session_of(77, 5)).number == kQuestions);
  }
}

TEST_CASE("copies' disk: the same founding and use is written as the records of the committed file") {
  const Scratch scratch;
  write_all(scratch.path("copies"));
  CHECK(raw_records(scratch.path("copies")) == raw_records(data_path(kFile)));
}
