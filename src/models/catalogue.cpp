#include "models/catalogue.hpp"

#include <algorithm>
#include <map>
#include <set>

namespace thornwick::models {
namespace {

constexpr std::size_t kMaxModels = 1000;

template <typename List, typename Value>
bool contains(const List& list, const Value& value) {
  return std::find(list.begin(), list.end(), value) != list.end();
}

// Collects the errors of a catalogue.
class Validator {
 public:
  explicit Validator(const Catalogue& catalogue) : catalogue_(catalogue) {}

  std::vector<CatalogueError> run() {
    check_names();
    for (const auto& model : catalogue_.models) check_model(model);
    check_any_name();
    for (const auto& alias : catalogue_.aliases) {
      if (find(alias.target) == nullptr) {
        add(alias.line, "alias." + alias.name + ": no model is called '" + alias.target + "'");
      }
    }
    check_cycles();
    std::stable_sort(
        errors_.begin(), errors_.end(),
        [](const CatalogueError& left, const CatalogueError& right) { return left.line < right.line; });
    return std::move(errors_);
  }

 private:
  enum class VisitState { unvisited, on_path, done };
  using VisitStates = std::map<const Model*, VisitState>;

  void add(std::uint32_t line, std::string text) { errors_.push_back({line, std::move(text)}); }

  // Finds a model by name, ignoring aliases.
  const Model* find(std::string_view name) const {
    const auto found = std::find_if(catalogue_.models.begin(), catalogue_.models.end(),
                                    [&](const Model& model) { return model.name == name; });
    return found == catalogue_.models.end() ? nullptr : &*found;
  }

  void check_names() {
    std::set<std::string> seen;
    if (catalogue_.models.size() > kMaxModels)
      add(catalogue_.models.back().line, "model: more than 1000 models");
    for (const auto& model : catalogue_.models) {
      if (model.name.empty()) {
        add(model.line, "model.name: there is none");
      } else if (!seen.insert(model.name).second) {
        add(model.line, "model." + model.name + ": there are two of this name");
      }
    }
    for (const auto& alias : catalogue_.aliases) {
      if (!seen.insert(alias.name).second) {
        add(alias.line, "alias." + alias.name + ": there are two of this name");
      }
    }
  }

  void check_any_name() {
    const auto count = std::count_if(catalogue_.models.begin(), catalogue_.models.end(),
                                     [](const Model& model) { return model.accepts_any_name; });
    if (count > 1) {
      add(catalogue_.models.back().line, "model.any_name: only one model may accept any name");
    }
  }

  void check_model(const Model& model) {
    const std::string key = "model." + model.name;
    if (model.base_model.empty()) {
      if (model.replica_selector.empty())
        add(model.line, key + ".boxes: selects no replica; set models, uids or groups");
    } else {
      check_adapter(model, key);
    }
    if (model.min_replicas > model.max_replicas) add(model.line, key + ".least_boxes: more than most_boxes");
    if (model.context_tokens > 0 && model.max_answer_tokens > model.context_tokens) {
      add(model.line, key + ".most_answer: more than the context");
    }
    for (const auto& fallback : model.fallbacks) check_fallback(model, fallback);
  }

  void check_adapter(const Model& model, const std::string& key) {
    const Model* base = find(model.base_model);
    if (base == nullptr) {
      add(model.line, key + ".base: no model is called '" + model.base_model + "'");
    } else if (!base->base_model.empty()) {
      add(model.line, key + ".base: '" + model.base_model + "' is an adapter itself");
    }
    if (!model.replica_selector.empty()) {
      add(model.line, key + ".boxes: an adapter is served by its base model's boxes");
    }
  }

  // The context of the fallback must not be smaller. If the only reason is too_long, it must be larger.
  void check_fallback(const Model& model, const Fallback& fallback) {
    const std::string key = "model." + model.name + ".fallback." + fallback.target;
    const Model* target = find(fallback.target);
    if (target == nullptr) return add(fallback.line, key + ": no model is called '" + fallback.target + "'");
    if (target == &model) return add(fallback.line, key + ": a model cannot be its own fallback");
    if (fallback.reasons == 0) add(fallback.line, key + ".when: names no reason");
    if (target->accepts_any_name) {
      add(fallback.line,
          key + ": accepts any name, so its replicas would receive the name '" + model.name + "'");
    }
    const bool smaller = target->context_tokens > 0 &&
                         (model.context_tokens <= 0 || target->context_tokens < model.context_tokens);
    const bool only_too_long = fallback.reasons == static_cast<std::uint8_t>(FallbackReason::too_long);
    if (smaller) add(fallback.line, key + ": its context is smaller than that of '" + model.name + "'");
    if (only_too_long && !smaller && target->context_tokens > 0 &&
        target->context_tokens == model.context_tokens) {
      add(fallback.line, key + ".when: too-long needs a larger context");
    }
  }

  // Searches depth first. Each cycle is reported once, at the model whose fallback closes it.
  void check_cycles() {
    VisitStates states;
    for (const auto& model : catalogue_.models) visit(model, states);
  }

  void visit(const Model& model, VisitStates& states) {
    if (states[&model] != VisitState::unvisited) return;
    states[&model] = VisitState::on_path;
    for (const auto& fallback : model.fallbacks) {
      const Model* target = find(fallback.target);
      if (target == nullptr || target == &model) continue;
      if (states[target] == VisitState::on_path) {
        add(fallback.line, "model." + model.name + ".fallback." + fallback.target +
                               ": the chain of fallbacks returns to '" + fallback.target + "'");
      }
      if (states[target] == VisitState::unvisited) visit(*target, states);
    }
    states[&model] = VisitState::done;
  }

  const Catalogue& catalogue_;
  std::vector<CatalogueError> errors_;
};

}  // namespace

ModelId Catalogue::find(std::string_view name) const {
  for (const auto& alias : aliases) {
    if (alias.name == name) name = alias.target;
  }
  for (std::size_t i = 0; i < models.size(); ++i) {
    if (models[i].name == name && !models[i].removed) return static_cast<ModelId>(i + 1);
  }
  const auto any = std::find_if(models.begin(), models.end(),
                                [](const Model& model) { return model.accepts_any_name && !model.removed; });
  return any == models.end() ? 0 : static_cast<ModelId>(any - models.begin() + 1);
}

std::vector<std::string> Catalogue::names() const {
  std::vector<std::string> all;
  for (const auto& model : models) all.push_back(model.name);
  return all;
}

Catalogue with_stable_ids(const Catalogue& old, const Catalogue& updated) {
  Catalogue result = updated;
  result.models.clear();
  const auto find_model = [](const Catalogue& catalogue, const std::string& name) {
    return std::find_if(catalogue.models.begin(), catalogue.models.end(),
                        [&](const Model& model) { return model.name == name; });
  };
  for (const auto& old_model : old.models) {
    const auto found = find_model(updated, old_model.name);
    const bool removed = found == updated.models.end();
    result.models.push_back(removed ? old_model : *found);
    result.models.back().removed = removed;
  }
  for (const auto& model : updated.models) {
    if (find_model(old, model.name) == old.models.end()) result.models.push_back(model);
  }
  return result;
}

std::vector<CatalogueError> validate(const Catalogue& catalogue) { return Validator(catalogue).run(); }

bool serves(const ReplicaSelector& selector, const ReplicaIdentity& replica) {
  return contains(selector.models, std::string("*")) || contains(selector.models, replica.model) ||
         contains(selector.uids, replica.uid) || contains(selector.pod_groups, replica.pod_group);
}

}  // namespace thornwick::models
