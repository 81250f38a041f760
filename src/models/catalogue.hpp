// The catalogue of an installation: its models, adapters on base models, aliases, the replicas that serve
// each model, and the fallbacks between models. Plain data that is validated as a whole before it is used.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "budgets/admission_controller.hpp"
#include "thornwick/routing_policy.hpp"

namespace thornwick::models {

// The id of a model is its position in the catalogue, from 1; 0 means none.
using ModelId = std::uint16_t;

// The reasons for which a request for one model may go to another. The values are bits.
enum class FallbackReason : std::uint8_t {
  no_ready_replica = 1,
  overloaded = 2,
  over_budget = 4,
  too_long = 8
};

struct Fallback {
  std::string target;
  std::uint8_t reasons = 0;     // bits of FallbackReason
  Time min_remaining_time = 0;  // microseconds that must remain until the deadline
  std::uint32_t line = 0;       // in the file, for error messages
};

// Selects the replicas that serve a model: those that one of these lists names by the `model` that discovery
// reports ("*": any), by `pod_group` or by uid.
struct ReplicaSelector {
  std::vector<std::string> models, uids;
  std::vector<std::int64_t> pod_groups;
  bool empty() const { return models.empty() && uids.empty() && pod_groups.empty(); }
  bool operator==(const ReplicaSelector&) const = default;
};

struct Model {
  std::string name;
  std::string base_model;            // of an adapter; empty: not an adapter
  ReplicaSelector replica_selector;  // empty for an adapter, which the replicas of its base model serve
  double context_tokens = 0;         // limit on prompt and answer together; 0: no limit
  double max_answer_tokens = 0;      // 0: no limit
  budgets::Price price;
  std::vector<Fallback> fallbacks;  // tried in this order
  // Serves requests whose model name matches no other model; its replicas receive the name that the client
  // used.
  bool accepts_any_name = false;
  Time load_time = 0;  // of an adapter: microseconds that a replica needs to load it
  std::size_t min_replicas = 1, max_replicas = 1'000'000;  // of an adapter: replicas that have it loaded
  std::uint32_t line = 0;
  bool removed = false;  // only in an earlier catalogue: serves its open requests and no new ones
};

struct Alias {
  std::string name, target;
  std::uint32_t line = 0;
};

struct Limits {
  std::size_t max_adapters_per_replica = 4;  // on one replica at the same time
  double fallback_fraction = 0.2;            // of all requests; may go to another model in the long run
  double fallback_burst = 10;                // requests that may go to another model beyond that fraction
  // Work that a pool accepts as fallback at first, as a fraction of its primary work.
  double initial_fallback_fraction = 0.1;
  // Relative growth of that fraction each second while the pool rejects nothing.
  double fallback_growth_per_s = 1.0;
};

struct Catalogue {
  std::vector<Model> models;
  std::vector<Alias> aliases;
  Limits limits;

  bool empty() const { return models.empty(); }
  // Finds a model by name or alias, or else the model that accepts any name; 0 if there is none.
  ModelId find(std::string_view name) const;
  const Model& at(ModelId id) const { return models.at(id - 1u); }
  // Returns an empty string if there is no such id.
  std::string name_of(ModelId id) const {
    return id == 0 || id > models.size() ? std::string() : at(id).name;
  }
  std::vector<std::string> names() const;
};

// Returns the new catalogue with the ids of the old one: a model that remains keeps its id, a removed model
// keeps its position, and a new model is appended. So an id in flight means the same model before and after
// the change.
Catalogue with_stable_ids(const Catalogue& old, const Catalogue& updated);

struct CatalogueError {
  std::uint32_t line = 0;
  std::string text;  // "model.NAME.key: what is wrong"
};
// Returns all contradictions: duplicate or unknown names, cycles, fallbacks with a smaller context, and
// models without replicas.
std::vector<CatalogueError> validate(const Catalogue& catalogue);

// What discovery reports about a replica and an Endpoint does not contain.
struct ReplicaIdentity {
  std::string uid, model;
  std::int64_t pod_group = 0;
};
bool serves(const ReplicaSelector& selector, const ReplicaIdentity& replica);

}  // namespace thornwick::models
