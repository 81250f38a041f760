// Tests the validation of catalogues, ids across a change of the catalogue, and the placement of adapters.
#include <rapidcheck.h>

#include <algorithm>
#include <catch2/catch.hpp>
#include <set>

#include "models/placement.hpp"

using namespace thornwick;
using namespace thornwick::models;

namespace {

Model make_model(const std::string& name, double context = 1000) {
  Model m;
  m.name = name, m.context_tokens = context, m.replica_selector.models = {name};
  return m;
}

std::string error_lines(const Catalogue& c) {
  std::string all;
  for (const auto& f : validate(c)) all += std::to_string(f.line) + " " + f.text + "\n";
  return all;
}

constexpr auto kNoReadyReplica = static_cast<std::uint8_t>(FallbackReason::no_ready_replica),
               kTooLong = static_cast<std::uint8_t>(FallbackReason::too_long);

Placement::Adapter adapter(ModelId id, const std::string& name, std::size_t min_replicas = 1,
                           std::size_t max_replicas = 1000) {
  return {id, name, min_replicas, max_replicas};
}

std::set<ReplicaId> replicas_of(const Placement& p, ModelId id) {
  std::set<ReplicaId> all;
  for (const auto& l : p.replicas_of(id)) all.insert(l.replica);
  return all;
}

}  // namespace

TEST_CASE("all contradictions in a catalogue are reported, ordered by line") {
  Catalogue c;
  c.models = {make_model("a"), make_model("b", 500), make_model("a"), make_model("c"), make_model("d")};
  for (std::size_t i = 0; i < c.models.size(); ++i) c.models[i].line = static_cast<std::uint32_t>(10 + i);
  c.models[0].fallbacks = {{"b", kNoReadyReplica, 0, 21},
                           {"x", kNoReadyReplica, 0, 22},
                           {"a", kNoReadyReplica, 0, 23},
                           {"c", kTooLong, 0, 24}};
  c.models[3].base_model = "nobody", c.models[3].replica_selector = {};
  c.models[4].replica_selector = {};
  c.aliases = {{"b", "a", 30}, {"latest", "z", 31}};
  CHECK(error_lines(c) ==
        "12 model.a: there are two of this name\n"
        "13 model.c.base: no model is called 'nobody'\n"
        "14 model.d.boxes: selects no replica; set models, uids or groups\n"
        "21 model.a.fallback.b: its context is smaller than that of 'a'\n"
        "22 model.a.fallback.x: no model is called 'x'\n"
        "23 model.a.fallback.a: a model cannot be its own fallback\n"
        "24 model.a.fallback.c.when: too-long needs a larger context\n"
        "30 alias.b: there are two of this name\n"
        "31 alias.latest: no model is called 'z'\n");
}

TEST_CASE("a chain of fallbacks that returns to its first model is an error") {
  Catalogue c;
  c.models = {make_model("a"), make_model("b"), make_model("c")};
  c.models[0].fallbacks = {{"b", kNoReadyReplica, 0, 1}};
  c.models[1].fallbacks = {{"c", kNoReadyReplica, 0, 2}};
  CHECK(error_lines(c).empty());
  c.models[2].fallbacks = {{"a", kNoReadyReplica, 0, 3}};
  CHECK(error_lines(c) == "3 model.c.fallback.a: the chain of fallbacks returns to 'a'\n");
}

TEST_CASE("an id means the same model before and after a change of the catalogue") {
  Catalogue old, updated;
  old.models = {make_model("a"), make_model("b"), make_model("c")};
  updated.models = {make_model("d"), make_model("c"), make_model("a", 2000)};
  const Catalogue merged = with_stable_ids(old, updated);
  CHECK(merged.find("a") == old.find("a"));
  CHECK(merged.find("c") == old.find("c"));
  CHECK(merged.find("b") == 0);
  CHECK(merged.find("d") == 4);
  CHECK(merged.at(merged.find("a")).context_tokens == 2000);
  CHECK(merged.at(2).removed);
  CHECK(with_stable_ids(merged, old).find("b") == 2);
}

TEST_CASE(
    "no replica has more adapters than allowed, each adapter has its minimum of replicas, and routers "
    "agree") {
  REQUIRE(rc::check("placement", [] {
    const auto replicas = *rc::gen::inRange<ReplicaId>(1, 40);
    const auto adapters = *rc::gen::inRange<ModelId>(1, 12);
    const auto max_per_replica = *rc::gen::inRange<std::size_t>(1, 5);
    Placement one({.adapters_per_replica = max_per_replica}), two({.adapters_per_replica = max_per_replica});
    std::vector<Placement::Adapter> list;
    for (ModelId a = 1; a <= adapters; ++a)
      list.push_back(adapter(a, "adapter-" + std::to_string(a), 1 + a % 3));
    std::vector<ReplicaId> ids;
    for (ReplicaId id = 1; id <= replicas; ++id) ids.push_back(id * 7919);
    auto reversed_ids = ids;
    std::reverse(reversed_ids.begin(), reversed_ids.end());
    one.set_adapters(list), two.set_adapters(list);
    one.set_replicas(1, ids), two.set_replicas(1, reversed_ids);
    one.update(1), two.update(1);
    std::size_t capacity = replicas * max_per_replica, min_placed = 0;
    for (const auto& a : list) min_placed += std::min<std::size_t>(a.min_replicas, replicas);
    std::size_t placed = 0;
    for (const auto& a : list) {
      RC_ASSERT(replicas_of(one, a.id) == replicas_of(two, a.id));
      placed += one.replicas_of(a.id).size();
    }
    for (const ReplicaId id : ids) RC_ASSERT(one.adapter_count(id) <= max_per_replica);
    RC_ASSERT(placed <= capacity);
    if (min_placed <= replicas) RC_ASSERT(placed == min_placed);
  }));
}

TEST_CASE("an adapter in demand gets more replicas with a new time of loading, and releases them late") {
  Placement p({.adapters_per_replica = 2, .half_life = 1'000'000, .keep_for = 10'000'000});
  p.set_adapters({adapter(1, "quiet"), adapter(2, "busy")});
  std::vector<ReplicaId> ids;
  for (ReplicaId id = 1; id <= 10; ++id) ids.push_back(id);
  Time now = seconds(1'000);
  p.set_replicas(now, ids);
  CHECK(p.update(now));
  CHECK(p.replicas_of(2).size() == 1);
  CHECK(p.replicas_of(2).front().loaded_at == 0);  // loaded before the router started
  const auto first = replicas_of(p, 2);
  for (int i = 0; i < 100; ++i) p.record_demand(now += 10'000, 2, 100), p.record_demand(now, 0, 100);
  CHECK(p.update(now));
  CHECK(p.replicas_of(2).size() >= 7);
  for (const auto& l : p.replicas_of(2)) CHECK(l.loaded_at == (first.contains(l.replica) ? 0 : now));
  for (int i = 0; i < 300; ++i) p.record_demand(now += 50'000, 0, 100);
  CHECK_FALSE(p.update(now));  // kept for `keep_for`
  CHECK(p.update(now += 11'000'000));
  CHECK(replicas_of(p, 2) == first);
}

TEST_CASE("the removal of a replica moves only the adapters that it had") {
  Placement p({.adapters_per_replica = 4});
  std::vector<Placement::Adapter> list;
  for (ModelId a = 1; a <= 8; ++a) list.push_back(adapter(a, "adapter-" + std::to_string(a), 2));
  p.set_adapters(list);
  std::vector<ReplicaId> ids;
  for (ReplicaId id = 1; id <= 20; ++id) ids.push_back(id);
  p.set_replicas(1, ids);
  p.update(1);
  std::vector<std::set<ReplicaId>> before;
  for (const auto& a : list) before.push_back(replicas_of(p, a.id));
  ids.erase(ids.begin() + 4);
  p.set_replicas(2, ids);
  p.update(2);
  for (std::size_t i = 0; i < list.size(); ++i) {
    auto after = replicas_of(p, list[i].id);
    CHECK(after.size() == 2);
    if (!before[i].contains(5)) CHECK(after == before[i]);
  }
}
