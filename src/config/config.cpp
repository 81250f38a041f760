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

std::string scalar(element value) {
  std::string_view text;
  if (value.get(text) == simdjson::SUCCESS) {
    std::string clean(text);
    for (char& c : clean) {
      if (c == ' ' || c == ',' || c == '\n') c = '_';
    }
    return clean;
  }
  return value.is_null() ? std::string() : simdjson::to_string(value);
}

void flatten_into(element value, const std::string& path, std::string& out) {
  if (value.type() == element_type::OBJECT) {
    for (const auto field : simdjson::dom::object(value)) {
      flatten_into(field.value, path + (path.empty() ? "" : ".") + std::string(field.key), out);
    }
  } else if (value.type() == element_type::ARRAY) {
    const simdjson::dom::array items(value);
    const bool objects = items.size() > 0 && items.at(0).is_object();
    std::string joined;
    std::size_t index = 0;
    for (const auto item : items) {
      if (objects) flatten_into(item, path + "." + std::to_string(index), out);
      if (!objects) joined += (index > 0 ? "," : "") + scalar(item);
      ++index;
    }
    out += objects ? path + ".count=" + std::to_string(index) + "\n" : path + "=" + joined + "\n";
  } else if (!value.is_null()) {
    out += path + "=" + scalar(value) + "\n";
  }
}

std::vector<std::string> texts_at(element json, std::string_view path) {
  std::vector<std::string> texts;
  simdjson::dom::array items;
  if (json.at_pointer(path).get(items) != simdjson::SUCCESS) return texts;
  for (const auto item : items) {
    // A list of plain names, or of objects that carry one.
    texts.push_back(item.is_object() ? fronts::text_at(item, "/name") : scalar(item));
  }
  return texts;
}

std::string from_environment(const char* variable, std::string otherwise) {
  const char* value = std::getenv(variable);
  return value != nullptr && *value != '\0' ? value : std::move(otherwise);
}

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

Time time_at(element json, std::string_view path, Time otherwise) {
  double value = 0;
  return json.at_pointer(path).get(value) == simdjson::SUCCESS && value > 0 ? static_cast<Time>(value)
                                                                            : otherwise;
}

void read_settings(element json, Config& config) {
  element settings;
  if (json.at_key("settings").get(settings) != simdjson::SUCCESS || !settings.is_object()) {
    throw BadConfig("configuration: no settings");
  }
  try {
    config.settings_text = flatten(settings);
    config.settings = simulator_adapter::parse_settings(config.settings_text, read_seed(json));
  } catch (const simulator_adapter::Malformed& problem) {
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

}  // namespace

std::string flatten(element json) {
  std::string out;
  flatten_into(json, "", out);
  return out;
}

Config read_config(const std::string& given, const std::string& operator_path, Reading reading) {
  Config config;
  const std::string path = given.empty() ? from_environment("GW_CONFIG", "") : given;
  if (path.empty()) throw BadConfig("no configuration: set GW_CONFIG or give --config FILE");
  simdjson::dom::parser parser;
  element json;
  if (const auto problem = parser.load(path).get(json); problem != simdjson::SUCCESS) {
    throw BadConfig(path + ": " + simdjson::error_message(problem));
  }
  if (!json.is_object()) throw BadConfig(path + ": not an object");
  config.name = from_environment("GW_NAME", fronts::text_at(json, "/name"));
  config.listeners.requests = from_environment("GW_LISTEN", fronts::text_at(json, "/listen"));
  config.listeners.operators = from_environment("GW_OPS", fronts::text_at(json, "/ops"));
  const std::string told = fronts::text_at(json, "/discovery");
  config.discovery.address =
      reading == Reading::again && !told.empty() ? told : from_environment("GW_DISCOVERY", told);
  if (config.listeners.requests.empty()) throw BadConfig("configuration: no address to listen on");
  if (config.discovery.address.empty()) throw BadConfig("configuration: no discovery");
  config.listeners.peers = fronts::text_at(json, "/peer_listen");
  config.peers.all = fronts::text_at(json, "/peers_all");
  config.peers.each = texts_at(json, "/peers");
  if (const auto sockets = fronts::count_at(json, "/limits/sockets"); sockets > 0)
    config.limits.sockets = sockets;
  if (const auto memory = fronts::count_at(json, "/limits/memory_mb"); memory > 0)
    config.limits.memory_mb = memory;
  read_settings(json, config);
  if (element known; json.at_key("known").get(known) == simdjson::SUCCESS) {
    config.discovery.known_endpoints = simdjson::to_string(known);
  }
  config.operator_file = read_operator_file(operator_path);
  return config;
}

std::string needs_restart(const Config& old, const Config& fresh) {
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
  compare("the operator's file", old.operator_file.same_but_models(fresh.operator_file));
  return names;
}

}  // namespace thornwick::config
