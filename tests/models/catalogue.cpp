// The catalogue's own checks, numbers across a change, and where adapters are placed.
#include <rapidcheck.h>

#include <algorithm>
#include <catch2/catch.hpp>
#include <set>

#include "models/placement.hpp"

using namespace thornwick;
using namespace thornwick::models;

namespace {

Model plain(const std::string& name, double context = 1000) {
  Model m;
  m.name = name, m.context_tokens = context, m.replica_selector.models = {name};
  return m;
}

std::string faults(const Catalogue& c) {
  std::string all;
  for (const auto& f : validate(c)) all += std::to_string(f.line) + " " + f.text + "\n";
  return all;
}

constexpr auto kMissing = static_cast<std::uint8_t>(FallbackReason::no_ready_replica),
               kLong = static_cast<std::uint8_t>(FallbackReason::too_long);

Placement::Adapter adapter(ModelId number, const std::string& name, std::size_t least = 1,
                           std::size_t most = 1000) {
  return {number, name, least, most};
}

std::set<ReplicaId> replicas_of(const Placement& p, ModelId number) {
  std::set<ReplicaId> all;
  for (const auto& l : p.replicas_of(number)) all.insert(l.replica);
  return all;
}

}  // namespace

TEST_CASE("all that does not fit together in a catalogue is reported, by line") {
  Catalogue c;
  c.models = {plain("a"), plain("b", 500), plain("a"), plain("c"), plain("d")};
  for (std::size_t i = 0; i < c.models.size(); ++i) c.models[i].line = static_cast<std::uint32_t>(10 + i);
  c.models[0].fallbacks = {
      {"b", kMissing, 0, 21}, {"x", kMissing, 0, 22}, {"a", kMissing, 0, 23}, {"c", kLong, 0, 24}};
  c.models[3].base_model = "nobody", c.models[3].replica_selector = {};
  c.models[4].replica_selector = {};
  c.aliases = {{"b", "a", 30}, {"latest", "z", 31}};
  CHECK(faults(c) ==
        "12 model.a: there are two of this name\n"
        "13 model.c.base: no model is called 'nobody'\n"
        "14 model.d.boxes: nobody serves it\n"
        "21 model.a.fallback.b: its context is smaller\n"
        "22 model.a.fallback.x: no model is called so\n"
        "23 model.a.fallback.a: a model cannot take its own place\n"
        "24 model.a.fallback.c.when: too-long, and its context is no larger\n"
        "30 alias.b: there are two of this name\n"
        "31 alias.latest: no model is called 'z'\n");
}

TEST_CASE("a chain of fallbacks that comes back to its beginning is an error") {
  Catalogue c;
  c.models = {plain("a"), plain("b"), plain("c")};
  c.models[0].fallbacks = {{"b", kMissing, 0, 1}};
  c.models[1].fallbacks = {{"c", kMissing, 0, 2}};
  CHECK(faults(c).empty());
  c.models[2].fallbacks = {{"a", kMissing, 0, 3}};
  CHECK(faults(c) == "3 model.c.fallback.a: the chain comes back to 'a'\n");
}

TEST_CASE("a number means the same model before and after a change") {
  Catalogue old, fresh;
  old.models = {plain("a"), plain("b"), plain("c")};
  fresh.models = {plain("d"), plain("c"), plain("a", 2000)};
  const Catalogue all = with_stable_ids(old, fresh);
  CHECK(all.find("a") == old.find("a"));
  CHECK(all.find("c") == old.find("c"));
  CHECK(all.find("b") == 0);
  CHECK(all.find("d") == 4);
  CHECK(all.at(all.find("a")).context_tokens == 2000);
  CHECK(all.at(2).removed);
  CHECK(with_stable_ids(all, old).find("b") == 2);
}

TEST_CASE(
    "no replica has more adapters than it may, each has its least number of replicas, and all routers "
    "agree") {
  REQUIRE(rc::check("placement", [] {
    const auto replicas = *rc::gen::inRange<ReplicaId>(1, 40);
    const auto adapters = *rc::gen::inRange<ModelId>(1, 12);
    const auto on_box = *rc::gen::inRange<std::size_t>(1, 5);
    Placement one({.adapters_per_replica = on_box}), two({.adapters_per_replica = on_box});
    std::vector<Placement::Adapter> list;
    for (ModelId a = 1; a <= adapters; ++a)
      list.push_back(adapter(a, "adapter-" + std::to_string(a), 1 + a % 3));
    std::vector<ReplicaId> ids;
    for (ReplicaId id = 1; id <= replicas; ++id) ids.push_back(id * 7919);
    auto backwards = ids;
    std::reverse(backwards.begin(), backwards.end());
    one.set_adapters(list), two.set_adapters(list);
    one.set_replicas(1, ids), two.set_replicas(1, backwards);
    one.update(1), two.update(1);
    std::size_t room = replicas * on_box, wanted = 0;
    for (const auto& a : list) wanted += std::min<std::size_t>(a.min_replicas, replicas);
    std::size_t placed = 0;
    for (const auto& a : list) {
      RC_ASSERT(replicas_of(one, a.number) == replicas_of(two, a.number));
      placed += one.replicas_of(a.number).size();
    }
    for (const ReplicaId id : ids) RC_ASSERT(one.loaded_on(id) <= on_box);
    RC_ASSERT(placed <= room);
    if (wanted <= replicas) RC_ASSERT(placed == wanted);
  }));
}

TEST_CASE("an adapter in demand gets more replicas, gives them up late, and loading counts from then on") {
  Placement p({.adapters_per_replica = 2, .half_life = 1'000'000, .keep_for = 10'000'000});
  p.set_adapters({adapter(1, "quiet"), adapter(2, "busy")});
  std::vector<ReplicaId> ids;
  for (ReplicaId id = 1; id <= 10; ++id) ids.push_back(id);
  Time now = seconds(1'000);
  p.set_replicas(now, ids);
  CHECK(p.update(now));
  CHECK(p.replicas_of(2).size() == 1);
  CHECK(p.replicas_of(2).front().since == 0);  // there when the router came
  const auto first = replicas_of(p, 2);
  for (int i = 0; i < 100; ++i) p.asked(now += 10'000, 2, 100), p.asked(now, 0, 100);
  CHECK(p.update(now));
  CHECK(p.replicas_of(2).size() >= 7);
  for (const auto& l : p.replicas_of(2)) CHECK(l.since == (first.contains(l.replica) ? 0 : now));
  for (int i = 0; i < 300; ++i) p.asked(now += 50'000, 0, 100);
  CHECK_FALSE(p.update(now));  // kept a while
  CHECK(p.update(now += 11'000'000));
  CHECK(replicas_of(p, 2) == first);
}

TEST_CASE("a replica that goes moves only what it had") {
  Placement p({.adapters_per_replica = 4});
  std::vector<Placement::Adapter> list;
  for (ModelId a = 1; a <= 8; ++a) list.push_back(adapter(a, "adapter-" + std::to_string(a), 2));
  p.set_adapters(list);
  std::vector<ReplicaId> ids;
  for (ReplicaId id = 1; id <= 20; ++id) ids.push_back(id);
  p.set_replicas(1, ids);
  p.update(1);
  std::vector<std::set<ReplicaId>> before;
  for (const auto& a : list) before.push_back(replicas_of(p, a.number));
  ids.erase(ids.begin() + 4);
  p.set_replicas(2, ids);
  p.update(2);
  for (std::size_t i = 0; i < list.size(); ++i) {
    auto after = replicas_of(p, list[i].number);
    CHECK(after.size() == 2);
    if (!before[i].contains(5)) CHECK(after == before[i]);
  }
}
