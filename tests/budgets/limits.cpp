// Checks the arithmetic of limits against simple models, and what accounts grant across kills of the process.
#include <rapidcheck.h>

#include <catch2/catch.hpp>
#include <deque>
#include <limits>
#include <map>
#include <memory>

#include "budgets/accounts.hpp"

using namespace thornwick;
using namespace thornwick::budgets;

namespace {

constexpr Time kStart = seconds(1'800'000'000);  // in 2027

// Fails the Catch2 test with the counterexample.
template <typename Property>
void holds(const std::string& about, Property property) {
  REQUIRE(rc::check(about, property));
}

Budget per_minute(Units tokens, bool hard = true) {
  Budget budget;
  budget.name = "minute", budget.rule = {LimitKind::minute, tokens * kUnitsPerToken, 0}, budget.hard = hard;
  return budget;
}

Options with_budget(const Budget& budget) {
  Options options;
  options.budgets = {budget};
  options.members = {"a", "b", "c"};
  return options;
}

// A journal whose disk lags behind: appended records become durable only in write(), and a kill loses the
// others.
class SlowJournal final : public Journal {
 public:
  std::uint64_t append(const std::string& key, const LimitState& state) override {
    if (rejects_records) return 0;
    pending.push_back({key, state});
    return ++appended;
  }
  std::uint64_t last_durable_record() const override { return written; }
  void write(std::size_t count) {
    for (; count > 0 && !pending.empty(); --count) {
      disk[pending.front().first] = pending.front().second;
      pending.pop_front();
      ++written;
    }
  }
  std::deque<std::pair<std::string, LimitState>> pending;
  std::map<std::string, LimitState> disk;
  std::uint64_t appended = 0, written = 0;
  bool rejects_records = false;
};

}  // namespace

TEST_CASE("a window grants its amount only once, whatever the clock does") {
  holds("within one window", [] {
    const Units amount = *rc::gen::inRange<Units>(0, 1'000'000);
    Limit limit({LimitKind::minute, amount, 0}, kStart);
    Units taken = 0;
    for (int i = 0; i < 50; ++i) {
      const Time at = kStart - kStart % 60'000'000 +
                      *rc::gen::inRange<Time>(0, 60'000'000);  // in any order within the window
      const Units units = *rc::gen::inRange<Units>(0, 100'000);
      if (limit.remaining(at) >= units) limit.take(units, at), taken += units;
      RC_ASSERT(limit.remaining(at) == amount - taken);
    }
    RC_ASSERT(taken <= amount);
  });
}

TEST_CASE("a clock step backwards grants nothing more, and a step forwards grants at most one window") {
  holds("steps", [] {
    const Units amount = 1000;
    Limit limit({LimitKind::minute, amount, 0}, kStart);
    Time at = kStart, latest = kStart - kStart % 60'000'000;
    Units granted = amount;
    for (int i = 0; i < 40; ++i) {
      const Time before = at - at % 60'000'000;
      at += *rc::gen::inRange<Time>(-200'000'000, 200'000'000);
      const Time now = at - at % 60'000'000;
      const Units remaining = limit.remaining(at);
      if (now > before) granted += amount;
      latest = std::max(latest, now);
      limit.take(remaining, at);
      RC_ASSERT(limit.remaining(at) == 0);
      RC_ASSERT(now > before || remaining == 0 || i == 0);
    }
  });
}

TEST_CASE("a bucket never grants more than its burst and its rate allow, and loses no fraction") {
  holds("bucket", [] {
    const Units burst = *rc::gen::inRange<Units>(1, 100'000), per_s = *rc::gen::inRange<Units>(0, 100'000);
    Limit limit({LimitKind::bucket, burst, per_s}, kStart);
    Time at = kStart;
    Units taken = 0;
    for (int i = 0; i < 100; ++i) {
      at += *rc::gen::inRange<Time>(0, 50'000);
      const Units units = *rc::gen::inRange<Units>(0, 20'000);
      if (limit.remaining(at) >= units) limit.take(units, at), taken += units;
      const double max_taken =
          static_cast<double>(burst) + static_cast<double>(per_s) * static_cast<double>(at - kStart) / 1e6;
      RC_ASSERT(static_cast<double>(taken) <= max_taken + 1e-6);
    }
  });
  // The refill is a thousandth of a unit each microsecond: after 10^6 microseconds of small steps no fraction
  // may be lost.
  Limit slow({LimitKind::bucket, 10'000, 1000}, kStart);
  slow.take(10'000, kStart);
  for (Time at = kStart; at <= kStart + 1'000'000; at += 7) slow.remaining(at);
  CHECK(slow.remaining(kStart + 1'000'000) == 1000);
}

TEST_CASE("an amount is available exactly after the reported time, and not a microsecond earlier") {
  holds("until", [] {
    const auto kind =
        *rc::gen::element(LimitKind::bucket, LimitKind::minute, LimitKind::hour, LimitKind::day);
    const Units amount = *rc::gen::inRange<Units>(1, 1'000'000);
    const LimitRule rule{kind, amount, kind == LimitKind::bucket ? *rc::gen::inRange<Units>(1, 1000) : 0};
    Limit limit(rule, kStart);
    const Time at = kStart + *rc::gen::inRange<Time>(0, 100'000'000);
    limit.take(*rc::gen::inRange<Units>(0, 2 * amount), at);
    const Units requested = *rc::gen::inRange<Units>(0, amount + 1);
    const auto wait = limit.time_until(requested, at);
    RC_ASSERT(wait.has_value());
    Limit on_time = limit;
    RC_ASSERT(on_time.remaining(at + *wait) >= requested);
    Limit early = limit;
    if (*wait > 0) RC_ASSERT(early.remaining(at + *wait - 1) < requested);
    RC_ASSERT(!limit.time_until(amount + 1, at).has_value());
  });
}

TEST_CASE("amounts at the end of the range saturate and do not wrap") {
  Limit limit({LimitKind::day, kMaxUnits, kMaxUnits}, kStart);
  limit.take(kMaxUnits, kStart);
  limit.take(kMaxUnits, kStart);
  limit.take(kMaxUnits, kStart);
  CHECK(limit.remaining(kStart) == -kMaxUnits);
  limit.refund(kMaxUnits, kStart, kStart);
  limit.refund(kMaxUnits, kStart, kStart);
  limit.refund(kMaxUnits, kStart, kStart);
  CHECK(limit.remaining(kStart) == kMaxUnits);
  Limit bucket({LimitKind::bucket, kMaxUnits, kMaxUnits}, 0);
  bucket.take(kMaxUnits, 0);
  CHECK(bucket.remaining(std::numeric_limits<Time>::max() / 2) == kMaxUnits);
  CHECK(saturating_sum(kMaxUnits, kMaxUnits) == kMaxUnits);
  CHECK(saturating_product(kMaxUnits, 1000) == kMaxUnits);
}

TEST_CASE("a budget of zero denies all requests except those that cost nothing") {
  Accounts accounts(with_budget(per_minute(0)));
  const Grant grant = accounts.reserve({}, 1, kStart);
  REQUIRE(grant.denial);
  CHECK_FALSE(grant.denial->retry_after.has_value());
  CHECK(accounts.reserve({}, 0, kStart).id != 0);
}

TEST_CASE("reservations, charges and refunds add up on every account, in any order") {
  holds("accounts", [] {
    Options options;
    options.members = {"a", "b", "c"}, options.models = {"m", "n"}, options.classes = {"x", "y"};
    Budget each = per_minute(500), model = per_minute(900), all = per_minute(1200);
    model.name = "model", model.member = kSharedAccount, model.model = kSeparateAccounts;
    all.name = "all", all.member = kSharedAccount;
    options.budgets = {each, model, all};
    Accounts accounts(options);
    struct Open {
      ReservationId id;
      QuotaSubject subject;
      Units amount;
    };
    std::vector<Open> open;
    std::map<std::string, Units> used;  // the expected usage
    const auto keys = [](const QuotaSubject& subject) {
      return std::vector<std::string>{"e" + std::to_string(subject.member),
                                      "m" + std::to_string(subject.model), "all"};
    };
    const std::map<char, Units> limits = {{'e', 500'000}, {'m', 900'000}, {'a', 1'200'000}};
    for (int step = 0; step < 200; ++step) {
      if (open.empty() || *rc::gen::inRange(0, 2) == 0) {
        const QuotaSubject subject{*rc::gen::inRange<std::uint16_t>(0, 3),
                                   *rc::gen::inRange<std::uint16_t>(1, 3),
                                   *rc::gen::inRange<std::uint16_t>(0, 2)};
        const Units amount = *rc::gen::inRange<Units>(0, 200'000);
        bool fits = true;
        for (const auto& key : keys(subject)) fits = fits && used[key] + amount <= limits.at(key[0]);
        const Grant grant = accounts.reserve(subject, amount, kStart);
        RC_ASSERT((grant.id != 0) == fits);
        if (!fits) continue;
        for (const auto& key : keys(subject)) used[key] += amount;
        open.push_back({grant.id, subject, amount});
      } else {
        const auto at = *rc::gen::inRange<std::size_t>(0, open.size());
        const Open reservation = open[at];
        open.erase(open.begin() + static_cast<std::ptrdiff_t>(at));
        const Units cost = *rc::gen::inRange<Units>(0, 250'000);  // may exceed the reserved amount
        accounts.settle(reservation.id, cost, kStart);
        for (const auto& key : keys(reservation.subject)) used[key] += cost - reservation.amount;
      }
    }
    for (const auto& reservation : open) accounts.settle(reservation.id, 0, kStart);
    RC_ASSERT(accounts.open_reservations() == 0);
    RC_ASSERT(accounts.metrics().reserved_units == 0);
  });
}

TEST_CASE("the shares of routers without a quota store add up to the whole limit") {
  for (const Units tokens : {0, 1, 7, 1000}) {
    Units sum = 0;
    for (std::uint32_t router = 1; router <= 4; ++router) {
      Options options = with_budget(per_minute(tokens));
      options.router_index = router, options.router_count = 4;
      Accounts accounts(options);
      sum += accounts.quota_status({}, kStart).limit;
    }
    CHECK(sum == tokens * kUnitsPerToken);
  }
}

TEST_CASE("a soft limit denies nothing and reduces the weight of requests beyond the limit") {
  Accounts accounts(with_budget(per_minute(10, false)));
  CHECK(accounts.reserve({}, 10'000, kStart).weight_factor == 1);
  const Grant beyond = accounts.reserve({}, 10'000, kStart);
  CHECK(beyond.id != 0);
  CHECK(beyond.weight_factor == 0.1);
}

TEST_CASE("the number of accounts is bounded, and further members share one account") {
  Options options = with_budget(per_minute(100));
  options.max_accounts = 10;
  options.members.clear();
  Accounts accounts(options);
  for (std::uint16_t member = 0; member < 1000; ++member)
    accounts.settle(accounts.reserve({member, 0, 0}, 1, kStart).id, 1, kStart);
  CHECK(accounts.size() <= 11);
  CHECK(accounts.metrics().on_shared_account >= 900);
}

TEST_CASE("new limits keep the used amount, and open reservations are settled on their accounts") {
  Accounts accounts(with_budget(per_minute(100)));
  const Grant open = accounts.reserve({}, 60'000, kStart);
  accounts.replace_options(with_budget(per_minute(200)), kStart);
  CHECK(accounts.quota_status({}, kStart).remaining == 140'000);
  accounts.settle(open.id, 10'000, kStart);
  CHECK(accounts.quota_status({}, kStart).remaining == 190'000);
  accounts.replace_options(with_budget(per_minute(5)), kStart);
  CHECK(accounts.quota_status({}, kStart).remaining == 0);
  CHECK(accounts.reserve({}, 1000, kStart).denial.has_value());
}

TEST_CASE("after a kill at any moment at most one block of a limit is granted twice") {
  holds("kills", [] {
    Options options = with_budget(per_minute(1000));
    options.block_fraction = 0.05;
    const Units limit = 1'000'000, block = 50'000;
    SlowJournal journal;
    auto accounts = std::make_unique<Accounts>(options, &journal);
    Units granted = 0, kills = 0;
    for (int step = 0; step < 300; ++step) {
      journal.rejects_records = *rc::gen::inRange(0, 10) == 0;
      if (*rc::gen::inRange(0, 3) == 0) journal.write(*rc::gen::inRange<std::size_t>(0, 4));
      if (*rc::gen::inRange(0, 60) == 0) {  // a kill loses the records that were not written
        ++kills;
        journal.pending.clear();
        journal.appended = journal.written;
        accounts = std::make_unique<Accounts>(options, &journal);
        for (const auto& [key, state] : journal.disk) accounts->restore(key, state);
      }
      const Grant grant = accounts->reserve({}, *rc::gen::inRange<Units>(0, 20'000), kStart);
      if (grant.id == 0) continue;
      const Units used = accounts->reserved(grant.id);
      accounts->settle(grant.id, used, kStart);
      granted += used;
      RC_ASSERT(granted <= limit + kills * block);
    }
  });
}

// Guards against a kill that forgets a request larger than a block, which was granted ahead of the journal.
TEST_CASE(
    "after a kill at most one block is granted twice, also if single requests are larger than a block") {
  Units granted_large = 0;
  holds("kills", [&] {
    Options options = with_budget(per_minute(1000));
    options.block_fraction = 0.02;
    const Units limit = 1'000'000, block = 20'000;
    SlowJournal journal;
    auto accounts = std::make_unique<Accounts>(options, &journal);
    Units granted = 0, kills = 0;
    for (int step = 0; step < 300; ++step) {
      if (*rc::gen::inRange(0, 3) == 0) journal.write(*rc::gen::inRange<std::size_t>(0, 4));
      if (*rc::gen::inRange(0, 60) == 0) {  // a kill loses the records that were not written
        ++kills;
        journal.pending.clear();
        journal.appended = journal.written;
        accounts = std::make_unique<Accounts>(options, &journal);
        for (const auto& [key, state] : journal.disk) accounts->restore(key, state);
      }
      const Grant grant = accounts->reserve({}, *rc::gen::inRange<Units>(1'000, 400'000), kStart);
      if (grant.id == 0) continue;
      const Units used = accounts->reserved(grant.id);
      accounts->settle(grant.id, used, kStart);
      granted += used;
      granted_large += used > block ? used : 0;
      RC_ASSERT(granted <= limit + kills * block);
    }
  });
  CHECK(granted_large > 100 * 20'000);
}

TEST_CASE(
    "a request larger than a block is granted once the journal has a mark that covers it, and the next too") {
  SlowJournal journal;
  Options options = with_budget(per_minute(1000));
  options.block_fraction = 0.02;
  Accounts accounts(options, &journal);
  for (int i = 0; i < 3; ++i) {
    const Grant first_try = accounts.reserve({}, 300'000, kStart);
    CHECK((i > 0 || first_try.denial->awaiting_store));
    journal.write(100);
    const Grant grant = first_try.id != 0 ? first_try : accounts.reserve({}, 300'000, kStart);
    REQUIRE(grant.id != 0);
    accounts.settle(grant.id, 300'000, kStart);
    journal.write(100);
  }
}

TEST_CASE("a planned stop preserves accounts exactly") {
  SlowJournal journal;
  Options options = with_budget(per_minute(1000));
  Accounts before(options, &journal);
  before.settle(before.reserve({1, 0, 0}, 12'345, kStart).id, 12'345, kStart);
  REQUIRE(before.persist_all(kStart));
  journal.write(100);
  Accounts after(options, &journal);
  for (const auto& [key, state] : journal.disk) after.restore(key, state);
  CHECK(after.quota_status({1, 0, 0}, kStart).remaining == 1'000'000 - 12'345);
  CHECK(after.quota_status({0, 0, 0}, kStart).remaining == 1'000'000);
}

TEST_CASE(
    "a journal whose disk has stopped limits grants to one block, and denials report that they await it") {
  SlowJournal journal;
  Options options = with_budget(per_minute(1000));
  options.block_fraction = 0.05;
  Accounts accounts(options, &journal);
  Units granted = 0;
  for (int i = 0; i < 100; ++i) {
    const Grant grant = accounts.reserve({}, 10'000, kStart);
    if (grant.id != 0) granted += 10'000;
    if (grant.denial) CHECK(grant.denial->awaiting_store);
  }
  CHECK(granted == 50'000);
  journal.write(100);
  CHECK(accounts.reserve({}, 10'000, kStart).id != 0);
}
