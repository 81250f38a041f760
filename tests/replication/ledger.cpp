// Ledger and quota lease client: arithmetic, repeats, and a lease that ends; without consensus, in an order
// that the test chooses.
#include <rapidcheck.h>

#include <catch2/catch.hpp>

#include "replication/replication_node.hpp"

using namespace thornwick;
using namespace thornwick::replication;

namespace {

constexpr Time kSecond = seconds(1), kLease = seconds(6);

LeaseRequestLine line(Units used, Units hold, Units need = 0, std::uint8_t span = 1,
                      std::int64_t window = 7) {
  LeaseRequestLine l;
  l.key = "a", l.span = span, l.amount = 1000, l.per_s = span == 0 ? 100 : 0, l.window = window,
  l.used = used, l.requested = hold, l.need = need;
  return l;
}
std::optional<Applied> ask(Ledger& ledger, Session session, std::uint64_t number, LeaseRequestLine l,
                           std::int64_t elapsed = 0) {
  Command command(CommandKind::lease_request);
  command.elapsed = elapsed;
  command.lease_request = {session, number, number == 1, false, {std::move(l)}};
  return ledger.apply(Ledger::write(command));
}

// Two quota lease clients that ask one ledger; what is on the way is passed when the test says so.
struct Pair {
  explicit Pair(bool outlive) {
    roster = std::make_shared<membership::Roster>(
        "pair", std::vector<std::string>{"s"},
        std::vector<membership::RouterEntry>{{"r0", "s", "127.0.0.1:1", "router", 0},
                                             {"r1", "s", "127.0.0.1:2", "router", 0}});
    for (std::size_t i = 0; i < 2; ++i) {
      QuotaLeaseOptions options;
      options.self = i, options.roster = roster, options.replica_count = 1,
      options.run = 100 * static_cast<std::uint32_t>(i + 1), options.lease = kLease, options.block = 0.5;
      options.outlive_lease = outlive;
      purses[i] = std::make_unique<QuotaLeaseClient>(
          options,
          QuotaLeaseClient::Dependencies{
              [this, i](std::size_t, std::string bytes) { sent[i].push_back(std::move(bytes)); },
              [](auto, auto&) {}},
          now);
      purses[i]->open("b|*|*|*", {budgets::Span::bucket, 100'000, 1'000});
    }
  }
  void turn(std::size_t i) {
    purses[i]->tick(now);
    for (const auto& bytes : std::exchange(sent[i], {})) {
      Command command(CommandKind::lease_request);
      command.elapsed = now - std::exchange(told, now);
      command.lease_request = *read<LeaseRequest>(read<MessageHeader>(bytes)->body);
      const auto outcome = ledger.apply(Ledger::write(command));
      last[i] = now;
      if (!outcome->response) continue;
      const auto answer = write(MessageKind::lease_response, 0, *outcome->response);
      purses[i]->on_message(now, 0, 0, MessageKind::lease_response, read<MessageHeader>(answer)->body);
    }
  }
  void expire(std::size_t i) {
    Command command(CommandKind::expiry);
    command.elapsed = now - std::exchange(told, now);
    for (const auto& [session, state] : ledger.sessions()) {
      if (router_of(session) == roster->id_of(i)) command.expired.push_back(session);
    }
    ledger.apply(Ledger::write(command));
  }
  // Takes all that it can within a while.
  Units take_all(std::size_t i, Time while_) {
    Units all = 0;
    for (const Time end = now + while_; now < end; now += 50'000) {
      while (purses[i]->reserve(0, 1'000, now)) purses[i]->settle(0, 1'000, 1'000, now, now), all += 1'000;
      turn(i);
    }
    return all;
  }
  Time now = seconds(1'800'000'000), told = now;
  std::shared_ptr<membership::Roster> roster;
  Ledger ledger;
  std::unique_ptr<QuotaLeaseClient> purses[2];
  std::vector<std::string> sent[2];
  Time last[2] = {0, 0};
};

// r0 has some in hand and stands still for longer than its lease; the burst fills again, r1 takes all of it,
// and r0 goes on. What both got beyond burst and refill.
Units beyond(bool outlive) {
  Pair pair(outlive);
  pair.turn(0);
  pair.now += kSecond;
  pair.turn(0);
  pair.now += static_cast<Time>(1.03 * kLease);
  pair.expire(0);
  pair.now += seconds(60);  // the burst is full again
  const Time began = pair.now;
  Units all = pair.take_all(1, seconds(10));
  while (pair.purses[0]->reserve(0, 1'000, pair.now)) all += 1'000;
  return all - 100'000 - 1'000 * ((pair.now - began) / kSecond + 1);
}

}  // namespace

TEST_CASE("a ledger: a unit is left, in one hold, or charged") {
  rc::check("whatever is asked, repeated, corrected, expired", [] {
    Ledger ledger;
    std::map<Session, std::pair<std::uint64_t, Units>> sessions;
    const auto steps = *rc::gen::inRange(1, 60);
    for (int i = 0; i < steps; ++i) {
      const Session session = session_of(static_cast<std::uint32_t>(*rc::gen::inRange(1, 4)),
                                         static_cast<std::uint32_t>(*rc::gen::inRange(1, 7)));
      auto& [number, used] = sessions[session];
      const auto kind = *rc::gen::inRange(0, 8);
      const auto span = static_cast<std::uint8_t>(*rc::gen::inRange(0, 2));
      if (kind < 5) {
        used += *rc::gen::inRange(0, 200);
        number += kind == 0 ? 0 : 1;  // a repeat now and then
        ask(ledger, session, std::max<std::uint64_t>(1, number),
            line(used, *rc::gen::inRange(0, 500), *rc::gen::inRange(0, 300), span, *rc::gen::inRange(5, 9)),
            *rc::gen::inRange(0, 2'000'000));
      } else if (kind == 5) {
        Command command(CommandKind::expiry);
        command.expired = {session};
        ledger.apply(Ledger::write(command));
      } else if (kind == 6) {
        Command command(CommandKind::correction);
        command.correction = {static_cast<std::uint64_t>(*rc::gen::inRange(1, 9)),
                              *rc::gen::arbitrary<bool>(), *rc::gen::inRange(-900, 900), line(0, 0, 0, span)};
        ledger.apply(Ledger::write(command));
      } else {
        Ledger other;
        RC_ASSERT(other.restore(ledger.snapshot()));
        RC_ASSERT(other.snapshot() == ledger.snapshot());
      }
      RC_ASSERT(ledger.fault() == "");
    }
  });
}

TEST_CASE("a ledger: repeats and questions that were overtaken change nothing, and a correction holds once") {
  Ledger ledger;
  const Session session = session_of(1, 1);
  CHECK(ask(ledger, session, 1, line(0, 300, 300))->response->lines[0].granted == 300);
  CHECK(ask(ledger, session, 2, line(100, 300, 300))->response->lines[0].granted == 400);
  const std::string before = ledger.snapshot();
  CHECK_FALSE(ask(ledger, session, 2, line(100, 300))->response);
  CHECK_FALSE(ask(ledger, session, 1, line(0, 0))->response);  // a giving back that was overtaken
  CHECK(ledger.snapshot() == before);
  CHECK(ask(ledger, session, 3, line(150, 50))->response->lines[0].available == 800);
  Command command(CommandKind::correction);
  command.correction = {77, false, -500, line(0, 0)};
  CHECK(ledger.apply(Ledger::write(command))->corrected == CorrectionOutcome::applied);
  CHECK(ledger.apply(Ledger::write(command))->corrected == CorrectionOutcome::already_applied);
  CHECK(ledger.accounts().at("a").windows.at(7).available == 300);
  CHECK_FALSE(ledger.apply("no command"));
}

TEST_CASE("a ledger: what a session that is forgotten had in hand counts as used") {
  Ledger ledger;
  for (std::uint32_t run = 1; run <= 6; ++run) ask(ledger, session_of(1, run), 1, line(0, 100, 100));
  CHECK(ledger.sessions().size() == Ledger::kSessionsARouter);
  const WindowLedger& book = ledger.accounts().at("a").windows.at(7);
  CHECK(book.charged == 200);
  CHECK(book.available == 400);
  CHECK(ledger.fault() == "");
  CHECK(ask(ledger, session_of(1, 1), 9, line(10, 0))->response->unknown_session);
}

TEST_CASE("a purse: stopped for longer than its lease, it uses nothing that others may have by then") {
  CHECK(beyond(false) <= 0);
  CHECK(beyond(true) > 0);  // the seeded fault: a hold beyond its lease
}
