// Two processes of one router that count the same accounts, each with messages about every change to the
// other one.
#include <rapidcheck.h>

#include <catch2/catch.hpp>
#include <deque>
#include <memory>

#include "budgets/accounts.hpp"

using namespace thornwick;
using namespace thornwick::budgets;

namespace {

constexpr Units kLimit = 10'000;
constexpr Units kMaxRequest = 3'000;

Options options() {
  Budget budget;
  budget.name = "day";
  budget.rule = {LimitKind::day, kLimit, 0};
  Options options;
  options.budgets = {budget};
  options.members = {"koroi", "reef"};
  return options;
}

// One of the two processes, with the messages that it has not read yet.
struct Process {
  Process() : accounts(options()) {}
  Accounts accounts;
  std::deque<UsageChange> inbox;
  std::vector<ReservationId> open;
};

struct Pair {
  void connect(Process& from, Process& to) {
    from.accounts.observe([&to](const UsageChange& change) { to.inbox.push_back(change); });
  }
  void receive(Process& process) {
    for (; !process.inbox.empty(); process.inbox.pop_front())
      process.accounts.apply(process.inbox.front(), now);
  }
  // A process reads what has come before it decides.
  void reserve(Process& process, Units amount) {
    receive(process);
    const Grant grant = process.accounts.reserve({0, 0, 0}, amount, now);
    if (grant.denial) return;
    process.open.push_back(grant.id);
    granted += amount;
  }
  void settle(Process& process, std::size_t index, int percent) {
    if (process.open.empty()) return;
    const auto at = process.open.begin() + static_cast<std::ptrdiff_t>(index % process.open.size());
    const Units amount = process.accounts.reserved(*at);
    const Units used = amount * percent / 100;
    process.accounts.settle(*at, used, now);
    process.open.erase(at);
    granted -= amount - used;
  }
  Units remaining(Process& process) {
    receive(process);
    return process.accounts.quota_status({0, 0, 0}, now).remaining;
  }
  Time now = seconds(1'800'000'000);
  Units granted = 0;  // by both: reserved or used
};

}  // namespace

// Guards against a limit that two processes grant twice, whatever they do in which order.
TEST_CASE("two processes that report their usage to each other never grant more than the limit") {
  int denied = 0;
  CHECK(rc::check("no limit is exceeded, and both know what is left", [&] {
    Pair pair;
    Process first;
    auto second = std::make_unique<Process>();
    const int before = *rc::gen::inRange(0, 6);
    for (int i = 0; i < before; ++i) pair.reserve(first, *rc::gen::inRange<Units>(1, kMaxRequest));
    for (const AccountState& account : first.accounts.states(pair.now))
      second->accounts.merge(account, pair.now);
    pair.connect(first, *second);
    pair.connect(*second, first);
    const int steps = *rc::gen::inRange(10, 100);
    for (int i = 0; i < steps; ++i) {
      Process& process = *rc::gen::arbitrary<bool>() ? first : *second;
      const int action = *rc::gen::inRange(0, 5);
      if (action < 2) pair.reserve(process, *rc::gen::inRange<Units>(1, kMaxRequest));
      if (action == 2) pair.receive(process);
      if (action > 2) pair.settle(process, *rc::gen::inRange<std::size_t>(0, 10), *rc::gen::inRange(0, 101));
      RC_ASSERT(pair.granted <= kLimit);
    }
    RC_ASSERT(pair.remaining(first) == kLimit - pair.granted);
    RC_ASSERT(pair.remaining(*second) == kLimit - pair.granted);
    // One of them is killed; what it had reserved stays used at the other one.
    first.accounts.observe({});
    second.reset();
    for (int i = 0; i < 10; ++i) {
      pair.reserve(first, *rc::gen::inRange<Units>(1, kMaxRequest));
      RC_ASSERT(pair.granted <= kLimit);
    }
    denied += static_cast<int>(first.accounts.metrics().denied);
  }));
  CHECK(denied > 100);
}

TEST_CASE("a report about an account that is not open yet counts when it is opened") {
  Accounts accounts(options());
  const Time now = seconds(1'800'000'000);
  accounts.merge({"day|koroi|*|*", {kLimit, 4'000, now}}, now);
  accounts.apply({"day|koroi|*|*", 1'000, now}, now);
  accounts.apply({"day|reef|*|*", 2'500, now}, now);
  accounts.apply({"other|reef|*|*", 2'500, now}, now);  // of no budget
  CHECK(accounts.quota_status({0, 0, 0}, now).remaining == 3'000);
  CHECK(accounts.quota_status({1, 0, 0}, now).remaining == kLimit - 2'500);
  CHECK(accounts.states(now).size() == 2);
}
