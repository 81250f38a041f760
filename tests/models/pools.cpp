// Tests pools, fallbacks and budgets around the real core and routing policy, in virtual time.
#include <rapidcheck.h>

#include <catch2/catch.hpp>

#include "installation.hpp"

using namespace thornwick;
using namespace thornwick::models;
using namespace thornwick::testing;

TEST_CASE("each model's requests go to its replicas, and an alias is the model that it names") {
  const Catalogue c = two_models();
  CHECK(c.find("latest") == c.find("large"));
  CHECK(c.find("huge") == 0);
  Simulation simulation(settings(), c, {}, nullptr, 1);
  for (const auto* name : {"L", "L", "S", "S"})
    simulation.add_replica(std::string("b-") + name + std::to_string(simulation.replicas.size()), name);
  simulation.start();
  for (int i = 0; i < 40; ++i) simulation.send_request(request(i % 2 == 0 ? 1 : 2)), simulation.run(10'000);
  simulation.run(1'000'000);
  for (const auto& a : simulation.answers) CHECK(a.served);
  CHECK(simulation.replicas[0].attempts + simulation.replicas[1].attempts == 20);
  CHECK(simulation.replicas[2].attempts + simulation.replicas[3].attempts == 20);
  CHECK(simulation.answers[0].model == 1);
  CHECK(simulation.pools->open_requests() == 0);
}

TEST_CASE("a model whose replicas are gone is served by its fallback, unless the client forbids it") {
  Simulation simulation(settings(), two_models(), {}, nullptr, 1);
  simulation.add_replica("b-1", "L"), simulation.add_replica("b-2", "S"), simulation.add_replica("b-3", "S");
  simulation.start();
  for (int i = 0; i < 50; ++i) simulation.send_request(request(2)), simulation.run(20'000);
  simulation.replicas[0].listing.state = EndpointState::removed;
  simulation.list();
  const auto there = simulation.send_request(request(1));
  Request forbidden = request(1);
  forbidden.no_fallback = true;
  const auto rejected = simulation.send_request(forbidden);
  simulation.run(1'000'000);
  CHECK(simulation.answers[there].served);
  CHECK(simulation.answers[there].model == 2);
  REQUIRE(simulation.answers[rejected].rejected);
  CHECK(simulation.answers[rejected].rejected->rejection == Allowance::Rejection::no_replica);
  CHECK(simulation.answers[rejected].retry_after > 0);
  CHECK(simulation.pools->metrics().fallbacks.at(FallbackReason::no_ready_replica) == 1);
  CHECK(simulation.pools->metrics().declined_by_client == 1);
}

// A cached list was once passed on as a full one: no policy ever asked discovery, and drains were missed.
TEST_CASE("a cached list does not count as watching, and one policy asks discovery for all") {
  Settings s = settings();
  s.discovery_by_polling = true;
  Simulation simulation(s, two_models(), {}, nullptr, 1);
  simulation.add_replica("l", "L"), simulation.add_replica("s", "S");
  simulation.start();
  simulation.list(EndpointUpdate::failed);
  simulation.list(EndpointUpdate::cached);
  const auto before = simulation.watch_calls;
  simulation.run(10'000'000);
  CHECK(simulation.watch_calls > before);
  CHECK(simulation.watch_calls <=
        before + 2);  // two timers of one policy; those of the other are not passed on
  const auto asked = simulation.watch_calls;
  simulation.list();
  simulation.run(10'000'000);
  CHECK(simulation.watch_calls == asked);
}

TEST_CASE(
    "a request longer than the context goes to a model with a larger one, or is rejected with the reason") {
  Catalogue c = two_models();
  c.models[1].context_tokens = 128'000;
  Simulation simulation(settings(), c, {}, nullptr, 1);
  simulation.add_replica("b-1", "L"), simulation.add_replica("b-2", "S");
  simulation.start();
  const auto longer = simulation.send_request(request(1, 40'000)),
             longest = simulation.send_request(request(1, 200'000));
  simulation.run(1'000'000);
  CHECK(simulation.answers[longer].model == 2);
  REQUIRE(simulation.answers[longest].rejected);
  CHECK(simulation.answers[longest].rejected->rejection == Allowance::Rejection::context_exceeded);
}

TEST_CASE("a request has at most five attempts over all models, never two at once, whatever fails") {
  Catalogue c = two_models();
  c.models.push_back(model("tiny", {"T"}));
  c.models[1].fallbacks = {{"tiny", kAnyReason, 0, 1}};
  c.limits.fallback_fraction = 1, c.limits.initial_fallback_fraction = 1;
  Simulation simulation(settings(), c, {}, nullptr, 3);
  for (int i = 0; i < 9; ++i)
    simulation.add_replica("b-" + std::to_string(i), i % 3 == 0 ? "L" : i % 3 == 1 ? "S" : "T");
  simulation.faults = {.rejected = 10, .error = 20, .reset = 20, .broken = 50, .silent = 2, .gone = 50};
  for (auto& replica : simulation.replicas) {
    if (replica.names.model == "L") replica.faults = Faults{.full = 700, .rejected = 200};
  }
  simulation.start();
  for (int i = 0; i < 4000; ++i)
    simulation.send_request(request(static_cast<ModelId>(1 + i % 3))), simulation.run(3000);
  simulation.run(20'000'000);
  CHECK(simulation.concurrent_attempts == 0);
  CHECK(simulation.excess_attempts == 0);
  CHECK(simulation.open() == 0);
  CHECK(simulation.pools->open_requests() == 0);
  for (const auto& a : simulation.answers) CHECK(a.over);
  std::uint64_t fallbacks = 0;
  for (const auto& [why, count] : simulation.pools->metrics().fallbacks) fallbacks += count;
  CHECK(fallbacks > 100);
}

// Guards against a request that runs twice: its connection broke after the window of its class, and another
// model's pool, which knew nothing of the first attempt, sent it again.
TEST_CASE("a keyed request that may have run falls back to another model only within its window") {
  Settings keyed = settings();
  keyed.classes[0].effect = Effect::keyed;
  keyed.classes[0].dedup_window = milliseconds(1500);
  const bool within_window = GENERATE(true, false);
  Simulation simulation(keyed, two_models(), {}, nullptr, 1);
  simulation.add_replica("l-1", "L").faults = Faults{.reset = 1000};
  simulation.add_replica("s-1", "S");
  simulation.reset_after = within_window ? milliseconds(1400) : milliseconds(1600);
  simulation.start();
  for (int i = 0; i < 50; ++i) simulation.send_request(request(2)), simulation.run(20'000);
  const auto answer_index = simulation.send_request(request(1));
  simulation.run(6'000'000);
  CHECK(simulation.harmful_repeats == 0);
  CHECK(simulation.repeats == (within_window ? 1 : 0));
  CHECK(simulation.answers[answer_index].served == within_window);
  CHECK(simulation.answers[answer_index].overload_rejected != within_window);
  CHECK(simulation.pools->metrics().may_have_run == (within_window ? 0 : 1));
}

// Guards against a pool whose decider allows what an attempt of another pool forbids, in any combination of
// effect, scope, window and outcome, also where it waits before it sends.
TEST_CASE("no request is repeated over several models where its repeat is not discarded") {
  std::uint64_t repeats = 0;
  CHECK(rc::check("no harmful repeat", [&] {
    Settings drawn = settings();
    for (ClassSettings& each : drawn.classes) {
      each.effect = *rc::gen::element(Effect::safe, Effect::keyed, Effect::unsafe);
      each.dedup_scope = *rc::gen::element(DedupScope::all, DedupScope::zone, DedupScope::cell);
      each.dedup_window = milliseconds(*rc::gen::inRange(0, 4000));
    }
    drawn.zone_count = 2;
    Catalogue catalogue = two_models();
    catalogue.limits.fallback_fraction = 1, catalogue.limits.initial_fallback_fraction = 1;
    const auto seed = static_cast<std::uint64_t>(*rc::gen::inRange(1, 1'000'000));
    Simulation simulation(drawn, catalogue, {}, nullptr, seed);
    for (int i = 0; i < 8; ++i) {
      auto& replica = simulation.add_replica("b-" + std::to_string(i), i % 2 == 0 ? "L" : "S");
      replica.listing.zone = static_cast<std::uint16_t>(i / 2 % 2);
      replica.listing.cell = static_cast<std::uint16_t>(i / 4);
    }
    simulation.faults = {.full = 100, .rejected = 50, .error = 50, .reset = 200, .silent = 50, .gone = 20};
    simulation.reset_after = milliseconds(*rc::gen::inRange(1, 4500));
    simulation.start();
    for (int i = 0; i < 400; ++i) {
      Request drawn_request = request(static_cast<ModelId>(1 + i % 2));
      drawn_request.priority_class = static_cast<std::uint8_t>(simulation.draw(2));
      simulation.send_request(drawn_request);
      simulation.run(10'000);
    }
    simulation.run(8'000'000);
    repeats += simulation.repeats;
    RC_ASSERT(simulation.harmful_repeats == 0u);
    RC_ASSERT(simulation.open() == 0u);
  }));
  CHECK(repeats > 100);
}

// Checks rule 4 by the replica's own count: the work sent within any two seconds, against three times the
// capacity of the replica in that time.
TEST_CASE("a fallback does not overload a replica that is warming up") {
  for (const std::uint64_t seed : {1u, 2u, 3u}) {
    Simulation simulation(settings(), two_models(), {}, nullptr, seed);
    simulation.prompt_of_ = [](core::AttemptId) { return 100.0; };
    for (int i = 0; i < 4; ++i) simulation.add_replica("l-" + std::to_string(i), "L");
    for (int i = 0; i < 4; ++i) simulation.add_replica("s-" + std::to_string(i), "S");
    simulation.start();
    // The small model has little primary work. Then its replicas restart cold, and all replicas of the large
    // model are removed at once.
    for (int i = 0; i < 500; ++i)
      simulation.send_request(request(1)), simulation.send_request(request(i % 5 == 0 ? 2 : 1)),
          simulation.run(5000);
    const Time restart = simulation.clock();
    for (int i = 4; i < 8; ++i) simulation.replicas[static_cast<std::size_t>(i)].listing.started_at = restart;
    for (int i = 0; i < 4; ++i)
      simulation.replicas[static_cast<std::size_t>(i)].listing.state = EndpointState::removed;
    simulation.list();
    for (int i = 0; i < 2000; ++i)
      simulation.send_request(request(1)), simulation.send_request(request(i % 5 == 0 ? 2 : 1)),
          simulation.run(5000);
    simulation.run(6'000'000);
    // A warm replica serves 50 such prompts a second here; a cold one serves 0.3 of that, rising over six
    // seconds.
    constexpr double kCapacityPerSecond = 50 * 100;
    for (std::size_t b = 4; b < 8; ++b) {
      const auto& sent = simulation.replicas[b].sent;
      double worst = 0, window = 0;
      std::size_t first = 0;
      for (std::size_t i = 0; i < sent.size(); ++i) {
        window += sent[i].second;
        while (sent[first].first < sent[i].first - 2'000'000) window -= sent[first++].second;
        const double age = static_cast<double>(sent[i].first - 2'000'000 - restart) / 6e6;
        if (sent[i].first < restart || age > 1) continue;
        const double capacity = kCapacityPerSecond * (0.3 + 0.7 * std::clamp(age, 0.0, 1.0)) * 2;
        worst = std::max(worst, window / capacity);
      }
      INFO("seed " << seed << ", replica " << b << ": " << worst << " times what it can do");
      CHECK(worst <= 3);
    }
    CHECK(simulation.pools->metrics().pool_refused > 0);
    for (const auto& a : simulation.answers) CHECK(a.over);
  }
}

TEST_CASE("a pool that keeps up gets more fallback work each second, and less at once after a rejection") {
  SlowStartController controller({.initial_fallback_fraction = 0.1, .fallback_growth_per_s = 1}, 6'000'000);
  const Endpoint warm{.id = 1}, other{.id = 2};
  const std::vector<Endpoint> replicas = {warm, other};
  controller.set_replicas(replicas);
  Time now = seconds(1'000'000);
  std::vector<int> taken;
  for (int second = 0; second < 6; ++second) {
    taken.push_back(0);
    for (int i = 0; i < 1000; ++i, now += 1000) {
      if (i % 2 == 0) controller.on_primary_request(now, 100);
      taken.back() += controller.try_admit(now, 100) ? 1 : 0;
    }
  }
  for (std::size_t i = 1; i < 4; ++i) CHECK(taken[i] > taken[i - 1]);
  CHECK(taken[0] < 0.25 * 500);
  CHECK(taken[5] > 0.8 * 500);
  CHECK(taken[5] <= 510);
  controller.on_rejection(now);
  CHECK_FALSE(controller.try_admit(now + 500'000, 100));
  CHECK(controller.fallback_fraction() < 0.6);
  // Without a warm replica nothing is admitted.
  std::vector<Endpoint> warm_up = replicas;
  for (auto& replica : warm_up) replica.started_at = now;
  controller.set_replicas(warm_up);
  CHECK_FALSE(controller.try_admit(now + 3'000'000, 100));
}

TEST_CASE("a replica in two pools has one load, which counts the attempts of both pools") {
  Catalogue c;
  c.models = {model("a", {"X"}), model("b", {"X", "Y"})};
  Simulation simulation(settings(), c, {}, nullptr, 1);
  simulation.add_replica("x", "X"), simulation.add_replica("y", "Y");
  simulation.answer_time = 1'000'000;
  simulation.start();
  // Thirty requests for "a" are in flight at x. The decider for "b" counts x as busy and chooses the other
  // replica.
  for (int i = 0; i < 30; ++i) simulation.send_request(request(1));
  const auto at_x = simulation.replicas[0].attempts;
  for (int i = 0; i < 20; ++i) simulation.send_request(request(2));
  CHECK(at_x == 30);
  CHECK(simulation.replicas[1].attempts >= 18);
  // After those requests have ended, x is as good as the other replica.
  simulation.run(10'000'000);
  const auto before = simulation.replicas[0].attempts;
  simulation.answer_time = 10'000;
  for (int i = 0; i < 60; ++i) simulation.send_request(request(2, 50 + 7 * (i % 30))), simulation.run(20'000);
  CHECK(simulation.replicas[0].attempts - before > 15);
}

TEST_CASE(
    "requests go to replicas that have loaded their adapter, demand adds replicas, and loading counts as "
    "cold time") {
  Catalogue c;
  c.models = {model("large", {"L"}), model("large-triage", {})};
  c.models[1].base_model = "large", c.models[1].replica_selector = {}, c.models[1].load_time = 8'000'000;
  c.models[1].min_replicas = 2, c.models[1].max_replicas = 4;
  REQUIRE(validate(c).empty());
  Simulation simulation(settings(), c, {}, nullptr, 1);
  for (int i = 0; i < 8; ++i) simulation.add_replica("l-" + std::to_string(i), "L");
  simulation.start();
  const auto first = simulation.pools->replicas_of(2);
  CHECK(first.size() == 2);
  CHECK(simulation.pools->replicas_of(1).size() == 8);
  const auto attempts_at = [&](const std::vector<ReplicaId>& replicas) {
    std::uint64_t sum = 0;
    for (const ReplicaId id : replicas) sum += simulation.replicas[id - 1].attempts;
    return sum;
  };
  for (int i = 0; i < 40; ++i) simulation.send_request(request(2, 50 + 7 * (i % 30))), simulation.run(10'000);
  CHECK(attempts_at(first) == 40);
  CHECK(simulation.answers.front().model == 2);
  // Only the adapter is requested: it gets its maximum of replicas, and the two new replicas have to load it.
  for (int i = 0; i < 100; ++i)
    simulation.send_request(request(2, 50 + 7 * (i % 30))), simulation.run(10'000);
  CHECK(simulation.pools->replicas_of(2).size() == 4);
  const auto old_share = attempts_at(first), all = attempts_at(simulation.pools->replicas_of(2));
  CHECK(all == 140);
  CHECK(all - old_share < 20);
  for (int i = 0; i < 1000; ++i)
    simulation.send_request(request(2, 50 + 7 * (i % 30))), simulation.run(10'000);
  const auto before = attempts_at(first);
  for (int i = 0; i < 200; ++i)
    simulation.send_request(request(2, 50 + 7 * (i % 30))), simulation.run(10'000);
  CHECK(attempts_at(first) - before < 150);
  simulation.run(6'000'000);
  std::size_t served = 0;
  for (const auto& a : simulation.answers) {
    CHECK(a.over);
    served += a.served ? 1 : 0;
  }
  CHECK(served == simulation.answers.size());
}

TEST_CASE(
    "if a budget is exhausted before a retry, the retry is rejected and the attempts that ran are charged") {
  // The budget suffices for one attempt, but not for a second after the first was charged for its prompt.
  Simulation simulation(settings(), two_models(), budgets_of({daily_budget("day", 420)}), nullptr, 1);
  for (int i = 0; i < 3; ++i) simulation.add_replica("l-" + std::to_string(i), "L");
  simulation.faults = {.error = 1000};
  simulation.start();
  const auto answer_index = simulation.send_request(request(1, 100, 100));  // reserves 100 + 3 * 100
  simulation.run(6'000'000);
  REQUIRE(simulation.answers[answer_index].rejected);
  CHECK(simulation.answers[answer_index].rejected->rejection == Allowance::Rejection::limit_exceeded);
  CHECK(simulation.replicas[0].attempts + simulation.replicas[1].attempts + simulation.replicas[2].attempts ==
        1);
  CHECK(simulation.charged == 100 * budgets::kUnitsPerToken);
  CHECK(simulation.charged == simulation.counted_units());
  CHECK(simulation.quota_service->accounts.quota_status({0, 1, 0}, simulation.clock()).remaining ==
        320 * budgets::kUnitsPerToken);
  CHECK(simulation.quota_service->accounts.open_reservations() == 0);
}

TEST_CASE("neither the loss of a model under load nor a reloaded catalogue loses a request or a charge") {
  Simulation simulation(settings(), two_models(), budgets_of({daily_budget("day", 100'000'000)}), nullptr, 5);
  for (int i = 0; i < 4; ++i) simulation.add_replica("l-" + std::to_string(i), "L");
  for (int i = 0; i < 4; ++i) simulation.add_replica("s-" + std::to_string(i), "S");
  simulation.start();
  for (int i = 0; i < 600; ++i) {
    simulation.send_request(request(i % 3 == 0 ? 2 : 1));
    simulation.run(4000);
    if (i == 200) simulation.replicas[0].listing.state = EndpointState::draining, simulation.list();
    if (i == 300) {
      for (int b = 0; b < 4; ++b)
        simulation.replicas[static_cast<std::size_t>(b)].listing.state = EndpointState::removed;
      simulation.list();
    }
    if (i == 400) {
      Catalogue fresh = two_models();
      fresh.models.erase(fresh.models.begin());
      fresh.models.push_back(model("next", {"S"}));
      fresh.aliases = {{"latest", "next", 1}};
      simulation.change(fresh);
    }
  }
  simulation.run(10'000'000);
  CHECK(simulation.open() == 0);
  CHECK(simulation.charged == simulation.counted_units());
  std::size_t served = 0;
  for (const auto& a : simulation.answers) {
    CHECK(a.over);
    served += a.served ? 1 : 0;
  }
  CHECK(served > 350);
}

TEST_CASE(
    "across kills the charges and the units then in flight equal the replicas' counts, within a block per "
    "account") {
  LaggingJournal journal;
  budgets::Options options = budgets_of({daily_budget("day", 20'000'000)});
  Simulation simulation(settings(), two_models(), options, &journal, 9);
  for (int i = 0; i < 8; ++i) simulation.add_replica("b-" + std::to_string(i), i % 2 == 0 ? "L" : "S");
  simulation.prompt_of_ = [&](core::AttemptId id) { return 50.0 + static_cast<double>(id.request_id % 200); };
  simulation.faults = {
      .full = 60, .rejected = 30, .error = 30, .reset = 30, .broken = 40, .silent = 5, .gone = 40};
  simulation.start();
  const budgets::Units block = 20'000'000 * budgets::kUnitsPerToken / 50;
  std::uint64_t next = 0;
  int kills = 0;
  for (int i = 0; i < 100'000; ++i) {
    Request r = request(static_cast<ModelId>(1 + i % 2), 50.0 + static_cast<double>(++next % 200), 80);
    r.tenant = static_cast<std::uint16_t>(i % 3);
    simulation.send_request(r);
    simulation.run(2000);
    if (i % 40 == 0) journal.write();
    if (i % 7'001 != 7'000) continue;
    ++kills;
    next = 0;  // request ids start again
    journal.lose();
    simulation.start(journal.disk);
    budgets::Units used = 0;
    for (std::uint16_t m = 0; m < 3; ++m) {
      const auto s = simulation.quota_service->accounts.quota_status({m, 1, 0}, simulation.clock());
      used += s.limit - s.remaining;
    }
    // At most one block of each account is forgotten, and at most the blocks ahead are counted as used in
    // addition.
    CHECK(used >= simulation.charged - 3 * block);
    CHECK(used <= simulation.charged + 3 * 4 * block * kills);
  }
  simulation.run(20'000'000);
  CHECK(kills == 14);
  CHECK(simulation.open() == 0);
  CHECK(simulation.charged + simulation.units_in_flight_at_kill == simulation.counted_units());
  for (const auto& [attempt, times] : simulation.charges) CHECK(times == 1);
}

TEST_CASE(
    "after 100,000 mixed requests with faults, charges equal the replicas' own counts token for token") {
  budgets::Budget everyone = daily_budget("all", 1'000'000'000);
  everyone.member = budgets::kSharedAccount;
  Simulation simulation(settings(), two_models(), budgets_of({daily_budget("day", 1'000'000'000), everyone}),
                        nullptr, 7);
  for (int i = 0; i < 8; ++i) simulation.add_replica("b-" + std::to_string(i), i % 2 == 0 ? "L" : "S");
  simulation.prompt_of_ = [&](core::AttemptId id) { return 50.0 + static_cast<double>(id.request_id % 200); };
  simulation.faults = {
      .full = 60, .rejected = 30, .error = 30, .reset = 30, .broken = 40, .silent = 5, .gone = 40};
  simulation.start();
  std::uint64_t next = 0;
  for (int i = 0; i < 100'000; ++i) {
    Request r = request(static_cast<ModelId>(1 + i % 2), 50.0 + static_cast<double>(++next % 200), 80);
    r.tenant = static_cast<std::uint16_t>(i % 3), r.priority_class = static_cast<std::uint8_t>(i % 2);
    simulation.send_request(r);
    simulation.run(2000);
  }
  simulation.run(20'000'000);
  CHECK(simulation.open() == 0);
  CHECK(simulation.quota_service->accounts.open_reservations() == 0);
  CHECK(simulation.concurrent_attempts == 0);
  CHECK(simulation.excess_attempts == 0);
  CHECK(simulation.charged == simulation.counted_units());
  for (const auto& replica : simulation.replicas)
    CHECK(simulation.charged_by_replica[replica.listing.id] == replica.counted);
  for (const auto& [attempt, times] : simulation.charges) CHECK(times == 1);
  // The accounts agree: the sum over the members equals the total charge.
  budgets::Units used = 0;
  for (const auto& line : simulation.quota_service->accounts.summaries(simulation.clock())) {
    if (line.key.starts_with("day|")) used += line.limit - line.remaining;
  }
  CHECK(used == simulation.charged);
}
