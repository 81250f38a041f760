// Benchmarks of budgets, fair shares and pools: the cost of one admission, compared with simple counters in a
// map, and the cost that pools add to the routing policy.
#include <benchmark/benchmark.h>
#include <malloc.h>

#include <map>
#include <string>

#include "models/pools.hpp"

using namespace thornwick;

namespace {

constexpr Time kStart = 1'800'000'000'000'000;

budgets::Options limits(std::size_t members) {
  budgets::Options options;
  for (std::size_t i = 0; i < members; ++i) options.members.push_back("member-" + std::to_string(i));
  budgets::LimitRule bucket{budgets::LimitKind::bucket, 1'000'000'000, 1'000'000'000},
      day{budgets::LimitKind::day, budgets::kMaxUnits, 0};
  options.budgets = {{.name = "second", .rule = bucket}, {.name = "day", .rule = day}};
  return options;
}

double allocated_bytes() { return static_cast<double>(mallinfo2().uordblks); }

void admission(benchmark::State& state) {
  const auto members = static_cast<std::size_t>(state.range(0));
  const double before = allocated_bytes();
  budgets::Accounts accounts(limits(members));
  budgets::FairShare fair({});
  Time now = kStart;
  for (std::size_t i = 0; i < members; ++i) {
    accounts.settle(accounts.reserve({static_cast<std::uint16_t>(i), 0, 0}, 1, now).id, 1, now);
    fair.admit(now, static_cast<std::uint16_t>(i), 1);
  }
  const double bytes = allocated_bytes() - before;
  std::uint64_t at = 0;
  for (auto _ : state) {
    now += 50;
    const auto member = static_cast<std::uint16_t>(++at * 7919 % members);
    benchmark::DoNotOptimize(fair.admit(now, member, 500));
    const auto grant = accounts.reserve({member, 0, 0}, 500'000, now);
    accounts.settle(grant.id, 300'000, now);
  }
  state.counters["bytes_per_member"] = bytes / static_cast<double>(members);
}
BENCHMARK(admission)->Arg(3)->Arg(300)->Arg(30'000);

// A simple alternative to compare with: two windows for each member by name, and shares of recent use that
// are computed by visiting all members.
void admission_rival(benchmark::State& state) {
  const auto members = static_cast<std::size_t>(state.range(0));
  const double before = allocated_bytes();
  struct Used {
    std::int64_t second = 0, day = 0;
    Time second_at = 0, day_at = 0;
    double recent_use = 0;
  };
  std::map<std::string, Used> all;
  std::vector<std::string> names = limits(members).members;
  for (const auto& name : names) all[name];
  const double bytes = allocated_bytes() - before;
  Time now = kStart;
  std::uint64_t at = 0;
  for (auto _ : state) {
    now += 50;
    const std::string& name = names[++at * 7919 % members];
    double sum = 0;
    for (auto& [other, used] : all) sum += used.recent_use *= 0.999;
    Used& used = all[name];
    if (now / 1'000'000 != used.second_at) used.second = 0, used.second_at = now / 1'000'000;
    if (now / 86'400'000'000 != used.day_at) used.day = 0, used.day_at = now / 86'400'000'000;
    used.second += 500'000, used.day += 500'000, used.recent_use += 500;
    benchmark::DoNotOptimize(used.recent_use < sum);
    used.second -= 200'000, used.day -= 200'000;
  }
  state.counters["bytes_per_member"] = bytes / static_cast<double>(members);
}
BENCHMARK(admission_rival)->Arg(3)->Arg(300)->Arg(30'000);

Settings settings() {
  Settings s;
  s.seed = 3, s.max_attempts = 5;
  s.classes = {{.priority_weight = 1, .latency_objective = 1'000'000, .deadline = 5'000'000}};
  s.tenants = {{.share = 1}};
  return s;
}

// Measures one request from its arrival to its end, with 12 replicas for each model.
void one_request(benchmark::State& state, core::Decider& decider, std::size_t models) {
  Time now = kStart;
  RequestId id = 0;
  for (auto _ : state) {
    now += 1000;
    Request r;
    r.id = ++id, r.deadline = now + 5'000'000,
    r.model = static_cast<std::uint16_t>(1 + id % std::max<std::size_t>(1, models));
    r.prompt_tokens = 100 + static_cast<double>(id % 997), r.max_tokens = 100;
    decider.on_request(now, r);
    for (const auto& action : decider.take_actions()) {
      if (action.kind == ActionKind::set_timer && id > 8) decider.on_timer(now, action.token);
      if (action.kind != ActionKind::send) continue;
      decider.on_first_token(now, id, 0, action.replica, 100'000);
      decider.on_attempt_result(now, {.id = id,
                                      .replica = action.replica,
                                      .concluded = true,
                                      .prompt_tokens = 100,
                                      .generated_tokens = 50,
                                      .has_usage = true});
    }
    decider.take_actions();
  }
}

std::vector<Endpoint> replicas(std::size_t count) {
  std::vector<Endpoint> all;
  for (std::size_t i = 0; i < count; ++i) all.push_back({.id = static_cast<ReplicaId>(i + 1)});
  return all;
}

void module_alone(benchmark::State& state) {
  const auto decider = core::make_routing_policy(settings(), kStart);
  decider->on_endpoints(kStart, EndpointUpdate::full, replicas(12));
  one_request(state, *decider, 0);
}
BENCHMARK(module_alone);

void pools(benchmark::State& state) {
  const auto models = static_cast<std::size_t>(state.range(0));
  models::Catalogue catalogue;
  for (std::size_t i = 0; i < models; ++i) {
    models::Model m;
    m.name = "m" + std::to_string(i);
    m.replica_selector.models = {m.name};
    catalogue.models.push_back(m);
  }
  budgets::QuotaService quota_service(limits(1));
  models::Pools::Options options;
  options.settings = settings();
  options.catalogue = catalogue;
  options.identity_of = [&](ReplicaId id) {
    return models::ReplicaIdentity{"", "m" + std::to_string((id - 1) / 12), 0};
  };
  options.make_decider = [&](const Settings& s, Time now, models::ModelId) -> std::unique_ptr<core::Decider> {
    return std::make_unique<budgets::AdmissionController>(core::make_routing_policy(s, now), quota_service);
  };
  const double before = allocated_bytes();
  models::Pools decider(options, kStart);
  decider.on_endpoints(kStart, EndpointUpdate::full, replicas(12 * models));
  state.counters["bytes_per_model"] = (allocated_bytes() - before) / static_cast<double>(models);
  decider.take_actions();
  one_request(state, decider, models);
}
BENCHMARK(pools)->Arg(1)->Arg(10)->Arg(80);

}  // namespace
