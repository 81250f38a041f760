// Tests of the ledger and the quota lease client without consensus: arithmetic, repeated requests, and a
// lease that expires. The tests choose the order of all events.
#include <rapidcheck.h>

#include <catch2/catch.hpp>

#include "replication/replication_node.hpp"

using namespace thornwick;
using namespace thornwick::replication;

namespace {

constexpr Time kLease = seconds(6);
constexpr std::int64_t kWindow = 7;
constexpr auto kBucketSpan = static_cast<std::uint8_t>(budgets::LimitKind::bucket);
constexpr std::uint8_t kCalendarSpan = 1;

// A request for one window of account "a", whose limit is 1000.
LeaseRequestLine request_line(Units used, Units requested, Units need = 0, std::uint8_t span = kCalendarSpan,
                              std::int64_t window = kWindow) {
  LeaseRequestLine line;
  line.key = "a";
  line.span = span;
  line.amount = 1000;
  line.per_s = span == kBucketSpan ? 100 : 0;
  line.window = window;
  line.used = used;
  line.requested = requested;
  line.need = need;
  return line;
}

std::optional<CommandResult> apply_request(Ledger& ledger, Session session, std::uint64_t number,
                                           LeaseRequestLine line, std::int64_t elapsed = 0) {
  Command command(CommandKind::lease_request);
  command.elapsed = elapsed;
  command.lease_request = {.session = session,
                           .number = number,
                           .begins_session = number == 1,
                           .ends_session = false,
                           .lines = {std::move(line)}};
  return ledger.apply(Ledger::write(command));
}

enum class LeaseExpiry { respected, ignored };

constexpr Units kBurst = 100'000;
constexpr Units kRefillPerSecond = 1'000;
constexpr Units kRequest = 1'000;

// Two quota lease clients that share one ledger. Messages are delivered by calls of the test.
class SharedLedger {
 public:
  explicit SharedLedger(LeaseExpiry expiry) {
    roster_ = std::make_shared<membership::Roster>(
        "pair", std::vector<std::string>{"s"},
        std::vector<membership::RouterEntry>{{"r0", "s", "127.0.0.1:1", "router", 0},
                                             {"r1", "s", "127.0.0.1:2", "router", 0}});
    for (std::size_t router = 0; router < 2; ++router) open_client(router, expiry);
  }

  Time now() const { return now_; }
  void advance(Time time) { now_ += time; }
  QuotaLeaseClient& client(std::size_t router) { return *clients_[router]; }

  // Delivers the router's lease request, if it sends one, and the ledger's response.
  void pass_messages(std::size_t router) {
    clients_[router]->tick(now_);
    for (const auto& bytes : std::exchange(sent_[router], {})) {
      Command command = next_command(CommandKind::lease_request);
      command.lease_request = *read<LeaseRequest>(read<MessageHeader>(bytes)->body);
      const auto applied = ledger_.apply(Ledger::write(command));
      if (!applied->response) continue;
      clients_[router]->on_message(now_, 0, 0, MessageKind::lease_response, packed(*applied->response));
    }
  }

  // Expires the sessions of a router, as a leader does that gets no request from that router.
  void expire_sessions(std::size_t router) {
    Command command = next_command(CommandKind::expiry);
    for (const auto& [session, state] : ledger_.sessions()) {
      if (router_of(session) == roster_->id_of(router)) command.expired_sessions.push_back(session);
    }
    ledger_.apply(Ledger::write(command));
  }

  // Uses all quota that the router can get within this time, and returns its amount.
  Units use_all(std::size_t router, Time duration) {
    Units used = 0;
    const Time end = now_ + duration;
    while (now_ < end) {
      while (clients_[router]->reserve(0, kRequest, now_)) {
        clients_[router]->settle(0, kRequest, kRequest, now_, now_);
        used += kRequest;
      }
      pass_messages(router);
      now_ += milliseconds(50);
    }
    return used;
  }

 private:
  void open_client(std::size_t router, LeaseExpiry expiry) {
    QuotaLeaseOptions options;
    options.self = router;
    options.roster = roster_;
    options.replica_count = 1;
    options.instance_id = 100 * static_cast<std::uint32_t>(router + 1);
    options.lease_duration = kLease;
    options.max_prefetch_fraction = 0.5;
    options.use_expired_leases = expiry == LeaseExpiry::ignored;
    const QuotaLeaseClient::Dependencies dependencies{
        .send = [this, router](std::size_t, std::string bytes) { sent_[router].push_back(std::move(bytes)); },
        .write_log = [](Severity, const std::string&) {}};
    clients_[router] = std::make_unique<QuotaLeaseClient>(options, dependencies, now_);
    clients_[router]->open("b|*|*|*", {budgets::LimitKind::bucket, kBurst, kRefillPerSecond});
  }

  Command next_command(CommandKind kind) {
    Command command(kind);
    command.elapsed = now_ - std::exchange(previous_command_at_, now_);
    return command;
  }

  Time now_ = seconds(1'800'000'000);
  Time previous_command_at_ = now_;
  std::shared_ptr<membership::Roster> roster_;
  Ledger ledger_;
  std::unique_ptr<QuotaLeaseClient> clients_[2];
  std::vector<std::string> sent_[2];
};

// r0 has a lease and is suspended for longer than the lease. The burst is refilled, r1 uses the whole burst,
// and r0 resumes. Returns the quota that both routers used beyond the burst and the refill.
Units used_beyond_limit(LeaseExpiry expiry) {
  SharedLedger shared(expiry);
  shared.pass_messages(0);
  shared.advance(seconds(1));
  shared.pass_messages(0);
  shared.advance(static_cast<Time>(1.03 * kLease));
  shared.expire_sessions(0);
  shared.advance(seconds(60));  // the burst is full again
  const Time started_at = shared.now();
  Units used = shared.use_all(1, seconds(10));
  while (shared.client(0).reserve(0, kRequest, shared.now())) used += kRequest;
  return used - kBurst - kRefillPerSecond * ((shared.now() - started_at) / seconds(1) + 1);
}

}  // namespace

TEST_CASE("a ledger: each unit is either available, or in one lease, or charged") {
  CHECK(rc::check("after any requests, repeats, corrections and expiries", [] {
    Ledger ledger;
    struct Sent {
      std::uint64_t number = 0;
      Units used = 0;
    };
    std::map<Session, Sent> sessions;
    const auto steps = *rc::gen::inRange(1, 60);
    for (int step = 0; step < steps; ++step) {
      const Session session = session_of(static_cast<std::uint32_t>(*rc::gen::inRange(1, 4)),
                                         static_cast<std::uint32_t>(*rc::gen::inRange(1, 7)));
      auto& [number, used] = sessions[session];
      const auto kind = *rc::gen::inRange(0, 8);
      const auto span = static_cast<std::uint8_t>(*rc::gen::inRange(0, 2));
      if (kind < 5) {
        used += *rc::gen::inRange(0, 200);
        number += kind == 0 ? 0 : 1;  // sometimes a repeated request
        apply_request(ledger, session, std::max<std::uint64_t>(1, number),
                      request_line(used, *rc::gen::inRange(0, 500), *rc::gen::inRange(0, 300), span,
                                   *rc::gen::inRange(5, 9)),
                      *rc::gen::inRange(0, 2'000'000));
      } else if (kind == 5) {
        Command command(CommandKind::expiry);
        command.expired_sessions = {session};
        ledger.apply(Ledger::write(command));
      } else if (kind == 6) {
        Command command(CommandKind::correction);
        command.correction = {static_cast<std::uint64_t>(*rc::gen::inRange(1, 9)),
                              *rc::gen::arbitrary<bool>(), *rc::gen::inRange(-900, 900),
                              request_line(0, 0, 0, span)};
        ledger.apply(Ledger::write(command));
      } else {
        Ledger other;
        RC_ASSERT(other.restore(ledger.snapshot()));
        RC_ASSERT(other.snapshot() == ledger.snapshot());
      }
      RC_ASSERT(ledger.invariant_violation() == "");
    }
  }));
}

TEST_CASE("a ledger: repeated and late lease requests change nothing, and a correction is applied once") {
  Ledger ledger;
  const Session session = session_of(1, 1);
  CHECK(apply_request(ledger, session, 1, request_line(0, 300, 300))->response->lines[0].granted == 300);
  CHECK(apply_request(ledger, session, 2, request_line(100, 300, 300))->response->lines[0].granted == 400);
  const std::string before = ledger.snapshot();
  CHECK_FALSE(apply_request(ledger, session, 2, request_line(100, 300))->response);
  CHECK_FALSE(apply_request(ledger, session, 1, request_line(0, 0))->response);  // a late request
  CHECK(ledger.snapshot() == before);
  CHECK(apply_request(ledger, session, 3, request_line(150, 50))->response->lines[0].available == 800);
  Command command(CommandKind::correction);
  command.correction = {77, false, -500, request_line(0, 0)};
  CHECK(ledger.apply(Ledger::write(command))->correction_outcome == CorrectionOutcome::applied);
  CHECK(ledger.apply(Ledger::write(command))->correction_outcome == CorrectionOutcome::already_applied);
  CHECK(ledger.accounts().at("a").windows.at(7).available == 300);
  CHECK_FALSE(ledger.apply("no command"));
}

TEST_CASE("a ledger: the unused lease of a removed session counts as used") {
  Ledger ledger;
  for (std::uint32_t instance_id = 1; instance_id <= 6; ++instance_id)
    apply_request(ledger, session_of(1, instance_id), 1, request_line(0, 100, 100));
  CHECK(ledger.sessions().size() == Ledger::kMaxSessionsPerRouter);
  const WindowLedger& window = ledger.accounts().at("a").windows.at(7);
  CHECK(window.charged == 200);
  CHECK(window.available == 400);
  CHECK(ledger.invariant_violation() == "");
  CHECK(apply_request(ledger, session_of(1, 1), 9, request_line(10, 0))->response->unknown_session);
}

TEST_CASE(
    "a quota lease client that was suspended for longer than its lease uses no quota that others may have") {
  CHECK(used_beyond_limit(LeaseExpiry::respected) <= 0);
  CHECK(used_beyond_limit(LeaseExpiry::ignored) > 0);  // the fault that the test switches on
}
