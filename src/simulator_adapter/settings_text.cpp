// Parser of the settings text, which consists of lines of the form path=value.
#include <algorithm>
#include <charconv>
#include <cmath>
#include <limits>
#include <map>

#include "simulator_adapter/wire.hpp"

namespace thornwick::simulator_adapter {
namespace {

constexpr double kMaxTime = 9e15;  // microseconds; a double represents integers up to this value exactly

// The lines of the settings text, by key. The look-ups convert a value to a type, and return `fallback` if
// the key is missing. Errors name the key.
class SettingsText {
 public:
  explicit SettingsText(std::string_view text) {
    while (!text.empty()) {
      const auto end = text.find('\n');
      const auto line = text.substr(0, end);
      text = end == std::string_view::npos ? std::string_view{} : text.substr(end + 1);
      if (line.empty()) continue;
      const auto equals = line.find('=');
      if (equals == std::string_view::npos)
        throw MalformedInput("setting without '=': " + std::string(line.substr(0, 60)));
      values_[std::string(line.substr(0, equals))] = std::string(line.substr(equals + 1));
    }
  }

  const std::string* find(const std::string& key) const {
    const auto found = values_.find(key);
    return found == values_.end() ? nullptr : &found->second;
  }
  std::string text(const std::string& key) const {
    const auto* value = find(key);
    return value ? *value : std::string{};
  }
  bool flag(const std::string& key) const {
    const auto* value = find(key);
    if (!value || *value == "false") return false;
    if (*value == "true") return true;
    throw MalformedInput("setting " + key + " is not true or false: " + *value);
  }
  double real(const std::string& key, double fallback) const {
    const auto* value = find(key);
    return value ? to_real(key, *value) : fallback;
  }
  Time time(const std::string& key, Time fallback) const {
    return static_cast<Time>(bounded(key, static_cast<double>(fallback), 0, kMaxTime));
  }
  template <typename T>
  T integer(const std::string& key, T fallback) const {
    return static_cast<T>(bounded(key, fallback, 0, std::numeric_limits<T>::max()));
  }
  std::vector<std::string> list(const std::string& key) const {
    std::vector<std::string> items;
    const std::string value = text(key);
    std::string_view remaining = value;
    while (!remaining.empty()) {
      const auto comma = remaining.find(',');
      items.emplace_back(remaining.substr(0, comma));
      remaining = comma == std::string_view::npos ? std::string_view{} : remaining.substr(comma + 1);
    }
    return items;
  }
  std::vector<double> reals(const std::string& key) const {
    std::vector<double> values;
    for (const auto& item : list(key)) values.push_back(to_real(key, item));
    return values;
  }
  // Returns the number of objects in a list. Each object has at least one line, so a count above the number
  // of lines is rejected; this limits allocation for a malicious count.
  std::size_t count(const std::string& key) const {
    const auto length = integer<std::uint32_t>(key + ".count", 0);
    if (length > values_.size()) throw MalformedInput("setting " + key + ".count exceeds the settings given");
    return length;
  }

 private:
  static double to_real(const std::string& key, const std::string& value) {
    double number = 0;
    const auto [end, error] = std::from_chars(value.data(), value.data() + value.size(), number);
    if (error != std::errc{} || end != value.data() + value.size() || !std::isfinite(number)) {
      throw MalformedInput("setting " + key + " is not a number: " + value);
    }
    return number;
  }
  double bounded(const std::string& key, double fallback, double low, double high) const {
    const double value = real(key, fallback);
    if (value < low || value > high) throw MalformedInput("setting " + key + " is out of range");
    return value;
  }

  std::map<std::string, std::string> values_;
};

Effect parse_effect(const std::string& key, const std::string& name) {
  if (name.empty() || name == "safe") return Effect::safe;
  if (name == "keyed") return Effect::keyed;
  if (name == "unsafe") return Effect::unsafe;
  throw MalformedInput("setting " + key + " is not a known effect: " + name);
}

DedupScope parse_scope(const std::string& key, const std::string& name) {
  if (name.empty() || name == "all") return DedupScope::all;
  if (name == "zone") return DedupScope::zone;
  if (name == "cell") return DedupScope::cell;
  throw MalformedInput("setting " + key + " is not a known scope: " + name);
}

ReportField parse_field(const std::string& name) {
  static const std::map<std::string, ReportField> fields = {
      {"outstanding", ReportField::outstanding}, {"backlog", ReportField::backlog},
      {"utilization", ReportField::utilization}, {"recent_ms", ReportField::recent_ms},
      {"throughput", ReportField::throughput},   {"errors_per_s", ReportField::errors_per_s},
      {"x0", ReportField::memory_share},         {"x1", ReportField::unread_kilotokens}};
  const auto found = fields.find(name);
  return found == fields.end() ? ReportField::unknown : found->second;
}

ClassSettings parse_class(const SettingsText& text, std::size_t index) {
  const std::string prefix = "grades." + std::to_string(index) + ".";
  ClassSettings settings;
  settings.priority_weight = text.real(prefix + "credit", settings.priority_weight);
  settings.late_weight_fraction = text.real(prefix + "lateValue", 0);
  settings.latency_objective = text.time(prefix + "objective", settings.latency_objective);
  settings.latency_objective_stretch = text.real(prefix + "aimStretch", 0);
  settings.deadline = text.time(prefix + "deadline", settings.deadline);
  settings.streamed = text.flag(prefix + "streamed");
  settings.effect = parse_effect(prefix + "effect", text.text(prefix + "effect"));
  settings.dedup_scope = parse_scope(prefix + "dedupScope", text.text(prefix + "dedupScope"));
  settings.dedup_window = text.time(prefix + "window", 0);
  return settings;
}

void parse_classes(const SettingsText& text, Settings& settings) {
  for (std::size_t i = 0; i < text.count("grades"); ++i) settings.classes.push_back(parse_class(text, i));
  const auto per_1000_tokens = text.reals("extra.aimUsPer1000PromptTokens");
  for (std::size_t i = 0; i < std::min(per_1000_tokens.size(), settings.classes.size()); ++i) {
    settings.classes[i].latency_objective_per_1000_prompt_tokens =
        static_cast<Time>(std::clamp(per_1000_tokens[i], 0.0, kMaxTime));
  }
}

WeightSource parse_weights(const std::string& name) {
  if (name.empty() || name == "off") return WeightSource::none;
  return name == "live" ? WeightSource::live : WeightSource::nominal;
}

void parse_limits(const SettingsText& text, Settings& settings) {
  settings.may_cancel = text.flag("policyLimits.mayCancel");
  settings.may_probe = text.flag("policyLimits.mayProbe");
  settings.may_message_peers = text.flag("policyLimits.peers");
  settings.hedging = text.flag("policyLimits.secondCopies");
  settings.retry_after = text.flag("policyLimits.retryAfter");
  settings.max_retry_after = text.time("policyLimits.maxRetryAfter", 0);
  settings.max_attempts = text.integer<std::uint32_t>("policyLimits.maxAttempts", 1);
  settings.drain_grace = text.time("rules.stopSendingWithin", 0);
  settings.initial_capacity = text.real("rules.coldFrom", 1);
  settings.warm_up = text.time("rules.cold", 0);
  settings.overload_multiple = text.real("rules.tipMultiple", settings.overload_multiple);
  settings.overload_after = text.time("rules.fall", settings.overload_after);
  settings.max_poll_interval = text.time("rules.askWithin", settings.max_poll_interval);
}

}  // namespace

Settings parse_settings(std::string_view settings_text, std::uint64_t seed) {
  const SettingsText text(settings_text);
  Settings settings;
  settings.seed = seed;
  settings.rank = text.integer<std::uint32_t>("rank", 0);
  settings.group_size = text.integer<std::uint32_t>("groupSize", 1);
  settings.zone = text.integer<std::uint16_t>("locality", 0);
  settings.zone_count = static_cast<std::uint16_t>(std::max<std::size_t>(1, text.list("zones").size()));
  parse_classes(text, settings);
  for (std::size_t i = 0; i < text.count("tenants"); ++i) {
    const std::string prefix = "tenants." + std::to_string(i) + ".";
    settings.tenants.push_back({text.real(prefix + "share", 0), text.real(prefix + "quotaPerS", 0)});
  }
  settings.over_share_weight = text.real("overShareWorth", 1);
  settings.cross_zone_cost = text.real("prices.crossZone", 0);
  settings.discovery_by_polling = text.text("registryMode") == "ask";
  settings.weight_source = parse_weights(text.text("weights"));
  for (const auto& field : text.list("report.fields")) settings.report_fields.push_back(parse_field(field));
  parse_limits(text, settings);
  return settings;
}

}  // namespace thornwick::simulator_adapter
