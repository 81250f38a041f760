#include "settings/file.hpp"

#include <algorithm>
#include <optional>
#include <utility>
#include <vector>

namespace thornwick::settings {
namespace {

constexpr std::size_t kMaxIndexDigits = 5;

std::vector<std::string> split_at_dots(const std::string& key) {
  std::vector<std::string> steps;
  std::size_t begin = 0;
  while (begin <= key.size()) {
    const auto end = std::min(key.find('.', begin), key.size());
    steps.push_back(key.substr(begin, end - begin));
    begin = end + 1;
  }
  return steps;
}

std::optional<std::size_t> parse_index(const std::string& text) {
  const bool digits =
      std::all_of(text.begin(), text.end(), [](char digit) { return digit >= '0' && digit <= '9'; });
  if (text.empty() || text.size() > kMaxIndexDigits || !digits) return std::nullopt;
  return std::stoul(text);
}

// Returns the node that one step of a key leads to; null if there is none. A missing table is made.
toml::node* descend(toml::node& node, const std::string& step) {
  if (auto* list = node.as_array()) {
    const auto index = parse_index(step);
    return index ? list->get(*index) : nullptr;
  }
  auto* table = node.as_table();
  if (table == nullptr) return nullptr;
  if (!table->contains(step)) table->insert(step, toml::table{});
  return table->get(step);
}

}  // namespace

void read_file(const std::string& path, const std::function<void(toml::table&, Errors&)>& read) {
  Errors errors;
  try {
    toml::table root = toml::parse_file(path);
    read(root, errors);
  } catch (const toml::parse_error& error) {
    errors.push_back({.code = ErrorCode::syntax,
                      .line = error.source().begin.line,
                      .detail = std::string(error.description())});
  }
  if (errors.empty()) return;
  for (Error& error : errors) {
    if (error.line > 0) error.file = path;
  }
  std::stable_sort(errors.begin(), errors.end(),
                   [](const Error& a, const Error& b) { return a.line < b.line; });
  throw InvalidFile(std::move(errors));
}

void set_value(toml::table& root, const std::string& key, const std::string& value, Errors& errors) {
  const auto add_error = [&](ErrorCode code) {
    errors.push_back({.code = code, .key = key, .value = value});
  };
  const std::vector<std::string> steps = split_at_dots(key);
  toml::node* node = &root;
  for (std::size_t i = 0; i + 1 < steps.size(); ++i) {
    node = descend(*node, steps[i]);
    if (node == nullptr) return add_error(ErrorCode::unknown_entry);
  }
  auto* table = node->as_table();
  if (table == nullptr) return add_error(ErrorCode::unknown_table);
  try {
    toml::table parsed = toml::parse("value = " + value);
    table->insert_or_assign(steps.back(), *parsed.get("value"));
  } catch (const toml::parse_error&) {
    return add_error(ErrorCode::not_toml_value);
  }
}

}  // namespace thornwick::settings
