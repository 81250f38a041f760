#include "settings/section.hpp"

#include <algorithm>
#include <array>
#include <utility>

namespace thornwick::settings {
namespace {

bool contains(const std::vector<std::string>& names, std::string_view name) {
  return std::find(names.begin(), names.end(), name) != names.end();
}

// Returns the number without zeros at its end.
std::string short_text(double value) {
  std::string text = std::to_string(value);
  text.erase(text.find_last_not_of('0') + 1);
  if (!text.empty() && text.back() == '.') text.pop_back();
  return text;
}

}  // namespace

Section::Section(const toml::table* table, std::string name, Errors& errors)
    : table_(table), name_(std::move(name)), errors_(errors) {}

Section::~Section() {
  if (table_ == nullptr) return;
  for (const auto& [key, node] : *table_) {
    if (!contains(known_keys_, key.str())) add_error(ErrorCode::unknown_key, node, std::string(key.str()));
  }
}

void Section::text(const char* key, std::string& into) {
  const auto* node = take(key);
  if (node == nullptr) return;
  const auto value = node->value_exact<std::string>();
  if (!value) return add_error(ErrorCode::not_a_text, *node, key);
  into = *value;
}

void Section::one_of(const char* key, std::string& into, const std::vector<std::string>& allowed) {
  std::string value = into;
  text(key, value);
  if (contains(allowed, value)) {
    into = value;
    return;
  }
  std::string names;
  for (const auto& name : allowed) {
    if (!names.empty()) names += ", ";
    names += name;
  }
  add_error(ErrorCode::not_allowed, *table_->get(key), key, names, value);
}

void Section::flag(const char* key, bool& into) {
  const auto* node = take(key);
  if (node == nullptr) return;
  const auto value = node->value_exact<bool>();
  if (!value) return add_error(ErrorCode::not_a_flag, *node, key);
  into = *value;
}

std::optional<std::int64_t> Section::whole_number(const char* key, std::int64_t least, std::int64_t most) {
  const auto* node = take(key);
  if (node == nullptr) return std::nullopt;
  const auto value = node->value_exact<std::int64_t>();
  if (!value) {
    add_error(ErrorCode::not_a_whole_number, *node, key);
    return std::nullopt;
  }
  if (*value < least || *value > most) {
    add_error(ErrorCode::out_of_range, *node, key, std::to_string(least) + ".." + std::to_string(most));
    return std::nullopt;
  }
  return *value;
}

void Section::number(const char* key, double& into, double least, double most) {
  const auto* node = take(key);
  if (node == nullptr) return;
  const auto value = node->value<double>();
  if (!value || !node->is_number()) return add_error(ErrorCode::not_a_number, *node, key);
  // Also false for a value that is no number.
  const bool within = *value >= least && *value <= most;
  if (!within) return add_out_of_range(*node, key, least, most);
  into = *value;
}

void Section::range(const char* key, double& low, double& high, double least, double most) {
  const auto* node = take(key);
  if (node == nullptr) return;
  std::array<double, 2> bounds{};
  const auto* list = node->as_array();
  if (list != nullptr && list->size() == 2 && (*list)[0].is_number() && (*list)[1].is_number()) {
    bounds = {(*list)[0].value<double>().value(), (*list)[1].value<double>().value()};
  } else if (node->is_number()) {
    bounds.fill(node->value<double>().value());
  } else {
    return add_error(ErrorCode::not_a_number_or_range, *node, key);
  }
  const bool within = bounds[0] >= least && bounds[1] <= most;
  if (!within) return add_out_of_range(*node, key, least, most);
  if (bounds[0] > bounds[1]) return add_error(ErrorCode::reversed_range, *node, key);
  low = bounds[0];
  high = bounds[1];
}

void Section::list(const char* key, std::vector<std::string>& into) {
  const auto* node = take(key);
  if (node == nullptr) return;
  const auto* entries = node->as_array();
  if (entries == nullptr || entries->empty()) return add_error(ErrorCode::not_a_list_of_texts, *node, key);
  std::vector<std::string> texts;
  for (const auto& entry : *entries) {
    const auto value = entry.value_exact<std::string>();
    if (!value) return add_error(ErrorCode::not_a_text, entry, key);
    texts.push_back(*value);
  }
  into = std::move(texts);
}

void Section::texts(const char* key, std::map<std::string, std::string>& into) {
  const auto* node = take(key);
  if (node == nullptr) return;
  const auto* entries = node->as_table();
  if (entries == nullptr) return add_error(ErrorCode::not_a_table, *node, key);
  for (const auto& [entry_key, entry] : *entries) {
    const std::string name(entry_key.str());
    const auto value = entry.value_exact<std::string>();
    if (value) {
      into[name] = *value;
    } else {
      add_error(ErrorCode::not_a_text, entry, std::string(key) + "." + name);
    }
  }
}

void Section::numbers(const char* key, std::vector<std::int64_t>& into) {
  const auto* node = take(key);
  if (node == nullptr) return;
  const auto* entries = node->as_array();
  if (entries == nullptr || entries->empty()) {
    return add_error(ErrorCode::not_a_list_of_whole_numbers, *node, key);
  }
  for (const auto& entry : *entries) {
    if (const auto value = entry.value_exact<std::int64_t>()) {
      into.push_back(*value);
    } else {
      add_error(ErrorCode::not_a_whole_number, entry, key);
    }
  }
}

const toml::table* Section::table(const char* key) {
  const auto* node = take(key);
  if (node == nullptr) return nullptr;
  if (!node->is_table()) add_error(ErrorCode::not_a_table, *node, key);
  return node->as_table();
}

std::vector<const toml::table*> Section::tables(const char* key) {
  std::vector<const toml::table*> all;
  const auto* node = take(key);
  if (node == nullptr) return all;
  const auto* entries = node->as_array();
  if (entries == nullptr) {
    add_error(ErrorCode::not_a_list_of_tables, *node, key);
    return all;
  }
  for (const auto& entry : *entries) {
    if (entry.is_table()) {
      all.push_back(entry.as_table());
    } else {
      add_error(ErrorCode::not_a_table, entry, key);
    }
  }
  return all;
}

void Section::reject(const char* key, const std::string& reason) {
  errors_.push_back(
      {.code = ErrorCode::rejected, .line = line_of(key), .key = name_ + "." + key, .detail = reason});
}

bool Section::has(const char* key) const { return table_ != nullptr && table_->contains(key); }

std::uint32_t Section::line_of(const char* key) const {
  const auto* node = table_ == nullptr ? nullptr : table_->get(key);
  return node == nullptr ? line() : node->source().begin.line;
}

std::uint32_t Section::line() const { return table_ == nullptr ? 0 : table_->source().begin.line; }

const toml::node* Section::take(const char* key) {
  known_keys_.emplace_back(key);
  return table_ == nullptr ? nullptr : table_->get(key);
}

void Section::add_error(ErrorCode code, const toml::node& node, const std::string& key, std::string detail,
                        std::string value) {
  errors_.push_back({.code = code,
                     .line = node.source().begin.line,
                     .key = name_ + "." + key,
                     .detail = std::move(detail),
                     .value = std::move(value)});
}

void Section::add_out_of_range(const toml::node& node, const char* key, double least, double most) {
  add_error(ErrorCode::out_of_range, node, key, short_text(least) + ".." + short_text(most));
}

Root::~Root() {
  for (const auto& [key, node] : root_) {
    if (contains(known_names_, key.str())) continue;
    errors_.push_back(
        {.code = ErrorCode::unknown_table, .line = node.source().begin.line, .key = std::string(key.str())});
  }
}

const toml::table* Root::table(const char* name) {
  const auto* node = take(name);
  if (node == nullptr) return nullptr;
  if (!node->is_table()) {
    errors_.push_back({.code = ErrorCode::not_a_table, .line = node->source().begin.line, .key = name});
  }
  return node->as_table();
}

std::vector<const toml::table*> Root::tables(const char* name) {
  std::vector<const toml::table*> all;
  const auto* node = take(name);
  if (node == nullptr) return all;
  if (!node->is_array_of_tables()) {
    errors_.push_back(
        {.code = ErrorCode::not_a_list_of_tables, .line = node->source().begin.line, .key = name});
    return all;
  }
  for (const auto& entry : *node->as_array()) all.push_back(entry.as_table());
  return all;
}

const toml::node* Root::take(const char* name) {
  known_names_.emplace_back(name);
  return root_.get(name);
}

}  // namespace thornwick::settings
