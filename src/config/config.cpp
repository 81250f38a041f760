#include "config/config.hpp"

#include <algorithm>
#include <charconv>
#include <cstdlib>

#include "fronts/json.hpp"
#include "simulator_adapter/wire.hpp"

namespace thornwick::config {
namespace {

using simdjson::dom::element;
using simdjson::dom::element_type;

// Returns a value that is no list and no object as text; spaces, commas and line ends become underscores.
std::string scalar(element value) {
  std::string_view text;
  if (value.get(text) == simdjson::SUCCESS) {
    std::string clean(text);
    std::replace_if(
        clean.begin(), clean.end(),
        [](char character) { return character == ' ' || character == ',' || character == '\n'; }, '_');
    return clean;
  }
  return value.is_null() ? std::string() : simdjson::to_string(value);
}

void flatten_into(element value, const std::string& path, std::string& out);

// Appends the lines of a list of objects, and their count.
void flatten_objects(const simdjson::dom::array& items, const std::string& path, std::string& out) {
  std::size_t index = 0;
  for (const auto item : items) {
    flatten_into(item, path + "." + std::to_string(index), out);
    ++index;
  }
  out += path + ".count=" + std::to_string(index) + "\n";
}

// Appends the line of a list of plain values.
void flatten_values(const simdjson::dom::array& items, const std::string& path, std::string& out) {
  std::string joined;
  bool first = true;
  for (const auto item : items) {
    if (!first) joined += ",";
    joined += scalar(item);
    first = false;
  }
  out += path + "=" + joined + "\n";
}

// Appends the lines of any value. The kind of a list is that of its first item.
void flatten_into(element value, const std::string& path, std::string& out) {
  if (value.type() == element_type::OBJECT) {
    const std::string prefix = path.empty() ? path : path + ".";
    for (const auto field : simdjson::dom::object(value)) {
      flatten_into(field.value, prefix + std::string(field.key), out);
    }
  } else if (value.type() == element_type::ARRAY) {
    const simdjson::dom::array items(value);
    const bool objects = items.size() > 0 && items.at(0).is_object();
    if (objects) {
      flatten_objects(items, path, out);
    } else {
      flatten_values(items, path, out);
    }
  } else if (!value.is_null()) {
    out += path + "=" + scalar(value) + "\n";
  }
}

// Returns the texts of a list of names, or of objects that have a name; empty if there is no such list.
std::vector<std::string> texts_at(element json, std::string_view path) {
  std::vector<std::string> texts;
  simdjson::dom::array items;
  if (json.at_pointer(path).get(items) != simdjson::SUCCESS) return texts;
  for (const auto item : items) {
    texts.push_back(item.is_object() ? fronts::text_at(item, "/name") : scalar(item));
  }
  return texts;
}

// Returns a variable of the environment; `otherwise` if it is empty or not set.
std::string from_environment(const char* variable, std::string otherwise) {
  const char* value = std::getenv(variable);
  return value != nullptr && *value != '\0' ? value : std::move(otherwise);
}

// Reads the seed: a number, or a text of hex digits. Throws BadConfig.
std::uint64_t read_seed(element json) {
  std::uint64_t seed = 0;
  if (json.at_key("seed").get(seed) == simdjson::SUCCESS) return seed;
  const std::string text = fronts::text_at(json, "/seed");
  const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), seed, 16);
  if (error != std::errc{} || end != text.data() + text.size()) {
    throw BadConfig("configuration: the seed is not a hex number: " + text);
  }
  return seed;
}

// Returns a time in microseconds; `otherwise` if there is none above zero.
Time time_at(element json, std::string_view path, Time otherwise) {
  double value = 0;
  const bool given = json.at_pointer(path).get(value) == simdjson::SUCCESS && value > 0;
  return given ? static_cast<Time>(value) : otherwise;
}

void read_settings(element json, Config& config) {
  element settings;
  if (json.at_key("settings").get(settings) != simdjson::SUCCESS || !settings.is_object()) {
    throw BadConfig("configuration: no settings");
  }
  try {
    config.settings_text = flatten(settings);
    config.settings = simulator_adapter::parse_settings(config.settings_text, read_seed(json));
  } catch (const simulator_adapter::MalformedInput& problem) {
    throw BadConfig(std::string("configuration: ") + problem.what());
  }
  config.names.classes = texts_at(settings, "/grades");
  config.names.tenants = texts_at(settings, "/tenants");
  config.names.zones = texts_at(settings, "/zones");
  config.names.kinds = texts_at(settings, "/kinds");
  if (fronts::text_at(settings, "/report/how") == "inline") {
    config.names.report_fields = texts_at(settings, "/report/fields");
  }
  config.timeouts.keepalive = time_at(settings, "/policyLimits/keepalive", config.timeouts.keepalive);
  config.timeouts.connect = time_at(settings, "/policyLimits/dialTimeout", config.timeouts.connect);
}

void read_addresses(element json, ReadOccasion occasion, Config& config) {
  config.listeners.requests = from_environment("GW_LISTEN", fronts::text_at(json, "/listen"));
  config.listeners.operators = from_environment("GW_OPS", fronts::text_at(json, "/ops"));
  config.listeners.peers = fronts::text_at(json, "/peer_listen");
  config.peers.all = fronts::text_at(json, "/peers_all");
  config.peers.each = texts_at(json, "/peers");
  const std::string address = fronts::text_at(json, "/discovery");
  const bool file_has_precedence = occasion == ReadOccasion::reload && !address.empty();
  config.discovery.address = file_has_precedence ? address : from_environment("GW_DISCOVERY", address);
  if (config.listeners.requests.empty()) throw BadConfig("configuration: no address to listen on");
  if (config.discovery.address.empty()) throw BadConfig("configuration: no discovery");
}

void read_limits(element json, Config& config) {
  const auto sockets = fronts::count_at(json, "/limits/sockets");
  if (sockets > 0) config.limits.sockets = sockets;
  const auto memory_mb = fronts::count_at(json, "/limits/memory_mb");
  if (memory_mb > 0) config.limits.memory_mb = memory_mb;
}

}  // namespace

std::string flatten(element json) {
  std::string out;
  flatten_into(json, "", out);
  return out;
}

Config read_config(const std::string& path, const std::string& operator_path, ReadOccasion occasion) {
  const std::string file = path.empty() ? from_environment("GW_CONFIG", "") : path;
  if (file.empty()) throw BadConfig("no configuration: set GW_CONFIG or give --config FILE");
  simdjson::dom::parser parser;
  element json;
  if (const auto error = parser.load(file).get(json); error != simdjson::SUCCESS) {
    throw BadConfig(file + ": " + simdjson::error_message(error));
  }
  if (!json.is_object()) throw BadConfig(file + ": not an object");
  Config config;
  config.name = from_environment("GW_NAME", fronts::text_at(json, "/name"));
  read_addresses(json, occasion, config);
  read_limits(json, config);
  read_settings(json, config);
  if (element known; json.at_key("known").get(known) == simdjson::SUCCESS) {
    config.discovery.known_endpoints = simdjson::to_string(known);
  }
  config.operator_file = read_operator_file(operator_path);
  return config;
}

std::string fields_needing_restart(const Config& old, const Config& fresh) {
  std::string names;
  const auto compare = [&](const char* name, bool same) {
    if (!same) names += (names.empty() ? "" : ", ") + std::string(name);
  };
  compare("name", old.name == fresh.name);
  compare("listen", old.listeners.requests == fresh.listeners.requests);
  compare("ops", old.listeners.operators == fresh.listeners.operators);
  compare("peers", old.listeners.peers == fresh.listeners.peers && old.peers.all == fresh.peers.all &&
                       old.peers.each == fresh.peers.each);
  compare("limits", old.limits.sockets == fresh.limits.sockets);
  compare("settings", old.settings_text == fresh.settings_text);
  compare("the operator's file", old.operator_file.can_reload(fresh.operator_file));
  return names;
}

}  // namespace thornwick::config
