// What an installation serves: models, adapters on a base model, other names for them, who serves what, and
// what may take the place of what. Plain data, checked whole before it is used.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "budgets/admission_controller.hpp"
#include "thornwick/routing_policy.hpp"

namespace thornwick::models {

// Numbers of models are their places in the catalogue, from 1 on; 0 is none.
using ModelId = std::uint16_t;

// Why a model's request may go to another one.
enum class FallbackReason : std::uint8_t {
  no_ready_replica = 1,
  overloaded = 2,
  over_budget = 4,
  too_long = 8
};

struct Fallback {
  std::string target;
  std::uint8_t reasons = 0;     // of FallbackReason, added up
  Time min_remaining_time = 0;  // microseconds that the client must still wait at least
  std::uint32_t line = 0;       // in the file, for errors
};

// A replica serves a model if one of these lists names it: by discovery's `model` ("*": whatever it is),
// `pod_group`, or its uid.
struct ReplicaSelector {
  std::vector<std::string> models, uids;
  std::vector<std::int64_t> pod_groups;
  bool empty() const { return models.empty() && uids.empty() && pod_groups.empty(); }
  bool operator==(const ReplicaSelector&) const = default;
};

struct Model {
  std::string name;
  std::string base_model;            // of an adapter; empty: a model of its own
  ReplicaSelector replica_selector;  // of an adapter: none, its base model's replicas serve it
  double context_tokens = 0;         // tokens of prompt and answer together; 0: not bounded here
  double max_answer_tokens = 0;      // tokens; 0: not bounded here
  budgets::Price price;
  std::vector<Fallback> fallbacks;  // tried in this order
  bool accepts_any_name =
      false;           // takes what no other is called, and the replicas hear the name that the client used
  Time load_time = 0;  // of an adapter: until a replica that has to load it is warm for it
  std::size_t min_replicas = 1, max_replicas = 1'000'000;  // of an adapter: that have it loaded
  std::uint32_t line = 0;
  bool removed = false;  // it was in an earlier catalogue: what is open of it ends, nothing new begins
};

struct Alias {
  std::string name, target;
  std::uint32_t line = 0;
};

struct Limits {
  std::size_t max_adapters_per_replica = 4;  // loaded at once
  double fallback_fraction = 0.2;            // of the requests that may go to another model, over time
  double fallback_burst = 10;                // requests beyond that
  double initial_fallback_fraction = 0.1;  // of what a pool serves of its own: fallback work it gets at first
  double fallback_growth_per_s = 1.0;      // part by which that grows each second while the pool bears it
};

struct Catalogue {
  std::vector<Model> models;
  std::vector<Alias> aliases;
  Limits limits;

  bool empty() const { return models.empty(); }
  // By name or alias, or else the one that takes any name; 0: there is none.
  ModelId find(std::string_view name) const;
  const Model& at(ModelId number) const { return models.at(number - 1u); }
  // Empty where there is no such number.
  std::string name_of(ModelId number) const {
    return number == 0 || number > models.size() ? std::string() : at(number).name;
  }
  std::vector<std::string> names() const;
};

// The new catalogue with the old one's numbers: what stays keeps its own, what is gone keeps its place, what
// is new comes behind. So a number that is on its way means the same before and after.
Catalogue with_stable_ids(const Catalogue& old, const Catalogue& fresh);

struct CatalogueError {
  std::uint32_t line = 0;
  std::string text;  // "model.NAME.key: what is wrong"
};
// All that does not fit together: names twice or unknown, cycles, a fallback that holds less, replicas of
// nobody.
std::vector<CatalogueError> validate(const Catalogue& catalogue);

// What discovery tells of a replica beyond its listing.
struct ReplicaIdentity {
  std::string uid, model;
  std::int64_t pod_group = 0;
};
bool serves(const ReplicaSelector& serving, const ReplicaIdentity& replica);

}  // namespace thornwick::models
