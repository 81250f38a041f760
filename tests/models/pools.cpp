// Pools, fallback and budgets around the real core and module, in virtual time.
#include <rapidcheck.h>

#include <catch2/catch.hpp>
#include <deque>

#include "world.hpp"

using namespace thornwick;
using namespace thornwick::models;
using thornwick::testing::Faults;
using thornwick::testing::World;

namespace {

Settings settings() {
  Settings s;
  s.seed = 11;
  s.classes = {{.priority_weight = 5,
                .late_weight_fraction = 0.3,
                .latency_objective = 1'000'000,
                .deadline = 5'000'000},
               {.priority_weight = 1,
                .late_weight_fraction = 0.3,
                .latency_objective = 1'000'000,
                .deadline = 5'000'000}};
  s.tenants = {{.share = 0.37}, {.share = 0.36}, {.share = 0.27}};
  s.may_cancel = true, s.retry_after = true, s.max_retry_after = 2'000'000, s.max_attempts = 5;
  s.drain_grace = 500'000, s.initial_capacity = 0.3, s.warm_up = 6'000'000, s.overload_multiple = 3,
  s.overload_after = 2'000'000;
  return s;
}

Model model(const std::string& name, std::vector<std::string> served_by) {
  Model m;
  m.name = name;
  m.replica_selector.models = std::move(served_by);
  m.context_tokens = 32'000;
  m.price = {1000, 250, 3000};
  return m;
}

constexpr auto kAlways = static_cast<std::uint8_t>(FallbackReason::no_ready_replica) |
                         static_cast<std::uint8_t>(FallbackReason::overloaded) |
                         static_cast<std::uint8_t>(FallbackReason::over_budget) |
                         static_cast<std::uint8_t>(FallbackReason::too_long);

Catalogue two_models() {
  Catalogue c;
  c.models = {model("large", {"L"}), model("small", {"S"})};
  c.models[0].fallbacks = {{"small", kAlways, 0, 1}};
  c.aliases = {{"latest", "large", 2}};
  return c;
}

budgets::Options budgets_of(std::vector<budgets::Budget> list) {
  budgets::Options options;
  options.budgets = std::move(list);
  options.members = {"koroi", "reef", "tanoa"};
  options.models = {"large", "small"};
  options.classes = {"chat", "docs"};
  return options;
}

budgets::Budget daily(const std::string& name, budgets::Units tokens) {
  budgets::Budget b;
  b.name = name;
  b.rule = {budgets::LimitKind::day, tokens * budgets::kUnitsPerToken, 0};
  return b;
}

Request request(ModelId number, double prompt = 100, double most = 100) {
  Request r;
  r.model = number, r.prompt_tokens = prompt, r.max_tokens = most;
  return r;
}

// A disk that is some records behind.
class LateJournal final : public budgets::Journal {
 public:
  std::uint64_t append(const std::string& key, const budgets::LimitState& state) override {
    pending.emplace_back(key, state);
    return ++taken;
  }
  std::uint64_t last_durable_record() const override { return written; }
  void write() {
    for (; !pending.empty(); pending.pop_front(), ++written)
      disk[pending.front().first] = pending.front().second;
  }
  void lose() {
    pending.clear();
    taken = written;
  }
  std::deque<std::pair<std::string, budgets::LimitState>> pending;
  std::map<std::string, budgets::LimitState> disk;
  std::uint64_t taken = 0, written = 0;
};

}  // namespace

TEST_CASE("each model's requests go to its replicas, and an alias is the model that it names") {
  const Catalogue c = two_models();
  CHECK(c.find("latest") == c.find("large"));
  CHECK(c.find("huge") == 0);
  World world(settings(), c, {}, nullptr, 1);
  for (const auto* name : {"L", "L", "S", "S"})
    world.add_replica(std::string("b-") + name + std::to_string(world.replicas.size()), name);
  world.start();
  for (int i = 0; i < 40; ++i) world.ask(request(i % 2 == 0 ? 1 : 2)), world.run(10'000);
  world.run(1'000'000);
  for (const auto& a : world.answers) CHECK(a.served);
  CHECK(world.replicas[0].attempts + world.replicas[1].attempts == 20);
  CHECK(world.replicas[2].attempts + world.replicas[3].attempts == 20);
  CHECK(world.answers[0].model == 1);
  CHECK(world.pools->open() == 0);
}

TEST_CASE("a model whose replicas are gone is served by its fallback, unless the client forbids it") {
  World world(settings(), two_models(), {}, nullptr, 1);
  world.add_replica("b-1", "L"), world.add_replica("b-2", "S"), world.add_replica("b-3", "S");
  world.start();
  for (int i = 0; i < 50; ++i) world.ask(request(2)), world.run(20'000);
  world.replicas[0].listing.state = EndpointState::removed;
  world.list();
  const auto there = world.ask(request(1));
  Request forbidden = request(1);
  forbidden.no_fallback = true;
  const auto rejected = world.ask(forbidden);
  world.run(1'000'000);
  CHECK(world.answers[there].served);
  CHECK(world.answers[there].model == 2);
  REQUIRE(world.answers[rejected].rejected);
  CHECK(world.answers[rejected].rejected->rejection == Allowance::Rejection::no_replica);
  CHECK(world.answers[rejected].retry_after > 0);
  CHECK(world.pools->metrics().fallbacks.at(FallbackReason::no_ready_replica) == 1);
  CHECK(world.pools->metrics().declined_by_client == 1);
}

// A cached list was once handed on as a full one: no module ever asked discovery, and drains were missed.
TEST_CASE("a list from before the start does not count as watching, and one module asks for all") {
  Settings s = settings();
  s.discovery_by_polling = true;
  World world(s, two_models(), {}, nullptr, 1);
  world.add_replica("l", "L"), world.add_replica("s", "S");
  world.start();
  world.list(EndpointUpdate::failed);
  world.list(EndpointUpdate::cached);
  const auto before = world.watched;
  world.run(10'000'000);
  CHECK(world.watched > before);
  CHECK(world.watched <= before + 2);  // two timers of one module; the other one's are not passed on
  const auto asked = world.watched;
  world.list();
  world.run(10'000'000);
  CHECK(world.watched == asked);
}

TEST_CASE("a request longer than the context goes to a model that holds it, or is rejected with the reason") {
  Catalogue c = two_models();
  c.models[1].context_tokens = 128'000;
  World world(settings(), c, {}, nullptr, 1);
  world.add_replica("b-1", "L"), world.add_replica("b-2", "S");
  world.start();
  const auto longer = world.ask(request(1, 40'000)), longest = world.ask(request(1, 200'000));
  world.run(1'000'000);
  CHECK(world.answers[longer].model == 2);
  REQUIRE(world.answers[longest].rejected);
  CHECK(world.answers[longest].rejected->rejection == Allowance::Rejection::context_exceeded);
}

TEST_CASE("no more than five attempts over all models, never two at once, whatever fails") {
  Catalogue c = two_models();
  c.models.push_back(model("tiny", {"T"}));
  c.models[1].fallbacks = {{"tiny", kAlways, 0, 1}};
  c.limits.fallback_fraction = 1, c.limits.initial_fallback_fraction = 1;
  World world(settings(), c, {}, nullptr, 3);
  for (int i = 0; i < 9; ++i)
    world.add_replica("b-" + std::to_string(i), i % 3 == 0 ? "L" : i % 3 == 1 ? "S" : "T");
  world.faults = {.rejected = 10, .error = 20, .reset = 20, .broken = 50, .silent = 2, .gone = 50};
  for (auto& replica : world.replicas) {
    if (replica.names.model == "L") replica.faults = Faults{.full = 700, .rejected = 200};
  }
  world.start();
  for (int i = 0; i < 4000; ++i) world.ask(request(static_cast<ModelId>(1 + i % 3))), world.run(3000);
  world.run(20'000'000);
  CHECK(world.twice == 0);
  CHECK(world.too_many == 0);
  CHECK(world.open() == 0);
  CHECK(world.pools->open() == 0);
  for (const auto& a : world.answers) CHECK(a.over);
  std::uint64_t fallbacks = 0;
  for (const auto& [why, count] : world.pools->metrics().fallbacks) fallbacks += count;
  CHECK(fallbacks > 100);
}

// Rule 4, by the replica's own count: work sent within any two seconds, against three times what it can do
// meanwhile.
TEST_CASE("a fallback does not overload a replica that is warming up") {
  for (const std::uint64_t seed : {1u, 2u, 3u}) {
    World world(settings(), two_models(), {}, nullptr, seed);
    world.prompt_of_ = [](core::AttemptId) { return 100.0; };
    for (int i = 0; i < 4; ++i) world.add_replica("l-" + std::to_string(i), "L");
    for (int i = 0; i < 4; ++i) world.add_replica("s-" + std::to_string(i), "S");
    world.start();
    // The small model has a little of its own; then its replicas restart cold, and the large one's go at
    // once.
    for (int i = 0; i < 500; ++i)
      world.ask(request(1)), world.ask(request(i % 5 == 0 ? 2 : 1)), world.run(5000);
    const Time restart = world.clock();
    for (int i = 4; i < 8; ++i) world.replicas[static_cast<std::size_t>(i)].listing.started_at = restart;
    for (int i = 0; i < 4; ++i)
      world.replicas[static_cast<std::size_t>(i)].listing.state = EndpointState::removed;
    world.list();
    for (int i = 0; i < 2000; ++i)
      world.ask(request(1)), world.ask(request(i % 5 == 0 ? 2 : 1)), world.run(5000);
    world.run(6'000'000);
    // A warm replica does 50 such prompts a second here; a cold one 0.3 of it, rising over six seconds.
    constexpr double kAble = 50 * 100;
    for (std::size_t b = 4; b < 8; ++b) {
      const auto& sent = world.replicas[b].sent;
      double worst = 0, window = 0;
      std::size_t first = 0;
      for (std::size_t i = 0; i < sent.size(); ++i) {
        window += sent[i].second;
        while (sent[first].first < sent[i].first - 2'000'000) window -= sent[first++].second;
        const double age = static_cast<double>(sent[i].first - 2'000'000 - restart) / 6e6;
        if (sent[i].first < restart || age > 1) continue;
        const double able = kAble * (0.3 + 0.7 * std::clamp(age, 0.0, 1.0)) * 2;
        worst = std::max(worst, window / able);
      }
      INFO("seed " << seed << ", replica " << b << ": " << worst << " times what it can do");
      CHECK(worst <= 3);
    }
    CHECK(world.pools->metrics().pool_refused > 0);
    for (const auto& a : world.answers) CHECK(a.over);
  }
}

TEST_CASE(
    "the pool that bears a fallback gets more of it, second by second, and less at once when it does not") {
  SlowStartController bearing({.initial_fallback_fraction = 0.1, .fallback_growth_per_s = 1}, 6'000'000);
  const Endpoint warm{.id = 1}, other{.id = 2};
  const std::vector<Endpoint> replicas = {warm, other};
  bearing.set_replicas(replicas);
  Time now = seconds(1'000'000);
  std::vector<int> taken;
  for (int second = 0; second < 6; ++second) {
    taken.push_back(0);
    for (int i = 0; i < 1000; ++i, now += 1000) {
      if (i % 2 == 0) bearing.own(now, 100);
      taken.back() += bearing.admits(now, 100) ? 1 : 0;
    }
  }
  for (std::size_t i = 1; i < 4; ++i) CHECK(taken[i] > taken[i - 1]);
  CHECK(taken[0] < 0.25 * 500);
  CHECK(taken[5] > 0.8 * 500);
  CHECK(taken[5] <= 510);
  bearing.rejected(now);
  CHECK_FALSE(bearing.admits(now + 500'000, 100));
  CHECK(bearing.part() < 0.6);
  // Nobody warm: nothing.
  std::vector<Endpoint> warm_up = replicas;
  for (auto& replica : warm_up) replica.started_at = now;
  bearing.set_replicas(warm_up);
  CHECK_FALSE(bearing.admits(now + 3'000'000, 100));
}

TEST_CASE("a replica in two pools has one load: what one module sends there the other one counts") {
  Catalogue c;
  c.models = {model("a", {"X"}), model("b", {"X", "Y"})};
  World world(settings(), c, {}, nullptr, 1);
  world.add_replica("x", "X"), world.add_replica("y", "Y");
  world.answer_time = 1'000'000;
  world.start();
  // Thirty requests for "a" are out at x. Those for "b" see a busy owner there, and step aside.
  for (int i = 0; i < 30; ++i) world.ask(request(1));
  const auto at_x = world.replicas[0].attempts;
  for (int i = 0; i < 20; ++i) world.ask(request(2));
  CHECK(at_x == 30);
  CHECK(world.replicas[1].attempts >= 18);
  // And when those are done it is as good as the other one.
  world.run(10'000'000);
  const auto before = world.replicas[0].attempts;
  world.answer_time = 10'000;
  for (int i = 0; i < 60; ++i) world.ask(request(2, 50 + 7 * (i % 30))), world.run(20'000);
  CHECK(world.replicas[0].attempts - before > 15);
}

TEST_CASE(
    "an adapter's requests go to replicas that have it, more of them as it is wanted, and loading is cold "
    "time") {
  Catalogue c;
  c.models = {model("large", {"L"}), model("large-triage", {})};
  c.models[1].base_model = "large", c.models[1].replica_selector = {}, c.models[1].load_time = 8'000'000;
  c.models[1].min_replicas = 2, c.models[1].max_replicas = 4;
  REQUIRE(validate(c).empty());
  World world(settings(), c, {}, nullptr, 1);
  for (int i = 0; i < 8; ++i) world.add_replica("l-" + std::to_string(i), "L");
  world.start();
  const auto first = world.pools->replicas_of(2);
  CHECK(first.size() == 2);
  CHECK(world.pools->replicas_of(1).size() == 8);
  const auto attempts_at = [&](const std::vector<ReplicaId>& replicas) {
    std::uint64_t sum = 0;
    for (const ReplicaId id : replicas) sum += world.replicas[id - 1].attempts;
    return sum;
  };
  for (int i = 0; i < 40; ++i) world.ask(request(2, 50 + 7 * (i % 30))), world.run(10'000);
  CHECK(attempts_at(first) == 40);
  CHECK(world.answers.front().model == 2);
  // Nothing else is asked for: it gets as many replicas as it may have, and the two new ones have to load it.
  for (int i = 0; i < 100; ++i) world.ask(request(2, 50 + 7 * (i % 30))), world.run(10'000);
  CHECK(world.pools->replicas_of(2).size() == 4);
  const auto old_share = attempts_at(first), all = attempts_at(world.pools->replicas_of(2));
  CHECK(all == 140);
  CHECK(all - old_share < 20);
  for (int i = 0; i < 1000; ++i) world.ask(request(2, 50 + 7 * (i % 30))), world.run(10'000);
  const auto before = attempts_at(first);
  for (int i = 0; i < 200; ++i) world.ask(request(2, 50 + 7 * (i % 30))), world.run(10'000);
  CHECK(attempts_at(first) - before < 150);
  world.run(6'000'000);
  std::size_t served = 0;
  for (const auto& a : world.answers) {
    CHECK(a.over);
    served += a.served ? 1 : 0;
  }
  CHECK(served == world.answers.size());
}

TEST_CASE(
    "a member who runs out while a retry is pending: the retry is refused, the attempts that ran are "
    "charged") {
  // Enough for one try at the most, not for a second after the first was charged its prompt.
  World world(settings(), two_models(), budgets_of({daily("day", 420)}), nullptr, 1);
  for (int i = 0; i < 3; ++i) world.add_replica("l-" + std::to_string(i), "L");
  world.faults = {.error = 1000};
  world.start();
  const auto place = world.ask(request(1, 100, 100));  // reserves 100 + 3 * 100
  world.run(6'000'000);
  REQUIRE(world.answers[place].rejected);
  CHECK(world.answers[place].rejected->rejection == Allowance::Rejection::limit_exceeded);
  CHECK(world.replicas[0].attempts + world.replicas[1].attempts + world.replicas[2].attempts == 1);
  CHECK(world.charged == 100 * budgets::kUnitsPerToken);
  CHECK(world.charged == world.tallies());
  CHECK(world.quota_service->accounts.quota_status({0, 1, 0}, world.clock()).remaining ==
        320 * budgets::kUnitsPerToken);
  CHECK(world.quota_service->accounts.open() == 0);
}

TEST_CASE("a model that vanishes under load, and a catalogue read anew, lose no request and no budget") {
  World world(settings(), two_models(), budgets_of({daily("day", 100'000'000)}), nullptr, 5);
  for (int i = 0; i < 4; ++i) world.add_replica("l-" + std::to_string(i), "L");
  for (int i = 0; i < 4; ++i) world.add_replica("s-" + std::to_string(i), "S");
  world.start();
  for (int i = 0; i < 600; ++i) {
    world.ask(request(i % 3 == 0 ? 2 : 1));
    world.run(4000);
    if (i == 200) world.replicas[0].listing.state = EndpointState::draining, world.list();
    if (i == 300) {
      for (int b = 0; b < 4; ++b)
        world.replicas[static_cast<std::size_t>(b)].listing.state = EndpointState::removed;
      world.list();
    }
    if (i == 400) {
      Catalogue fresh = two_models();
      fresh.models.erase(fresh.models.begin());
      fresh.models.push_back(model("next", {"S"}));
      fresh.aliases = {{"latest", "next", 1}};
      world.change(fresh);
    }
  }
  world.run(10'000'000);
  CHECK(world.open() == 0);
  CHECK(world.charged == world.tallies());
  std::size_t served = 0;
  for (const auto& a : world.answers) {
    CHECK(a.over);
    served += a.served ? 1 : 0;
  }
  CHECK(served > 350);
}

TEST_CASE(
    "across kills and restarts the charges and what was open then equal the tallies, and marks hold their "
    "block") {
  LateJournal journal;
  budgets::Options options = budgets_of({daily("day", 20'000'000)});
  World world(settings(), two_models(), options, &journal, 9);
  for (int i = 0; i < 8; ++i) world.add_replica("b-" + std::to_string(i), i % 2 == 0 ? "L" : "S");
  world.prompt_of_ = [&](core::AttemptId id) { return 50.0 + static_cast<double>(id.request_id % 200); };
  world.faults = {
      .full = 60, .rejected = 30, .error = 30, .reset = 30, .broken = 40, .silent = 5, .gone = 40};
  world.start();
  const budgets::Units block = 20'000'000 * budgets::kUnitsPerToken / 50;
  std::uint64_t next = 0;
  int kills = 0;
  for (int i = 0; i < 100'000; ++i) {
    Request r = request(static_cast<ModelId>(1 + i % 2), 50.0 + static_cast<double>(++next % 200), 80);
    r.tenant = static_cast<std::uint16_t>(i % 3);
    world.ask(r);
    world.run(2000);
    if (i % 40 == 0) journal.write();
    if (i % 7'001 != 7'000) continue;
    ++kills;
    next = 0;  // numbers of requests begin anew
    journal.lose();
    world.start(journal.disk);
    budgets::Units used = 0;
    for (std::uint16_t m = 0; m < 3; ++m) {
      const auto s = world.quota_service->accounts.quota_status({m, 1, 0}, world.clock());
      used += s.limit - s.remaining;
    }
    // Nothing is forgotten beyond a block for each account, and no more than its blocks ahead is held to be
    // used.
    CHECK(used >= world.charged - 3 * block);
    CHECK(used <= world.charged + 3 * 4 * block * kills);
  }
  world.run(20'000'000);
  CHECK(kills == 14);
  CHECK(world.open() == 0);
  CHECK(world.charged + world.open_at_kill == world.tallies());
  for (const auto& [attempt, times] : world.charges) CHECK(times == 1);
}

TEST_CASE(
    "after 100,000 mixed requests with faults, charges equal the replicas' own counts token for token") {
  budgets::Budget everyone = daily("all", 1'000'000'000);
  everyone.member = budgets::kSharedAccount;
  World world(settings(), two_models(), budgets_of({daily("day", 1'000'000'000), everyone}), nullptr, 7);
  for (int i = 0; i < 8; ++i) world.add_replica("b-" + std::to_string(i), i % 2 == 0 ? "L" : "S");
  world.prompt_of_ = [&](core::AttemptId id) { return 50.0 + static_cast<double>(id.request_id % 200); };
  world.faults = {
      .full = 60, .rejected = 30, .error = 30, .reset = 30, .broken = 40, .silent = 5, .gone = 40};
  world.start();
  std::uint64_t next = 0;
  for (int i = 0; i < 100'000; ++i) {
    Request r = request(static_cast<ModelId>(1 + i % 2), 50.0 + static_cast<double>(++next % 200), 80);
    r.tenant = static_cast<std::uint16_t>(i % 3), r.priority_class = static_cast<std::uint8_t>(i % 2);
    world.ask(r);
    world.run(2000);
  }
  world.run(20'000'000);
  CHECK(world.open() == 0);
  CHECK(world.quota_service->accounts.open() == 0);
  CHECK(world.twice == 0);
  CHECK(world.too_many == 0);
  CHECK(world.charged == world.tallies());
  for (const auto& replica : world.replicas) CHECK(world.charged_at[replica.listing.id] == replica.counted);
  for (const auto& [attempt, times] : world.charges) CHECK(times == 1);
  // And the accounts say the same: each member's own, and together.
  budgets::Units used = 0;
  for (const auto& line : world.quota_service->accounts.summaries(world.clock())) {
    if (line.key.starts_with("day|")) used += line.limit - line.remaining;
  }
  CHECK(used == world.charged);
}
