#include "net/load_report.hpp"

#include <algorithm>
#include <charconv>
#include <cmath>
#include <iterator>
#include <optional>

namespace thornwick::net {
namespace {

constexpr std::string_view kSeparators = ", \r\n";

// A field's name in the settings and in load reports.
struct FieldName {
  std::string_view setting;
  std::string_view reported;
};

constexpr FieldName kFieldNames[] = {{"errors_per_s", "eps"},     {"outstanding", "inflight"},
                                     {"recent_ms", "latency_ms"}, {"backlog", "queue"},
                                     {"utilization", "util"},     {"throughput", "qps"}};

bool same_field(std::string_view setting, std::string_view reported) {
  if (setting == reported) return true;
  return std::any_of(std::begin(kFieldNames), std::end(kFieldNames), [&](const FieldName& name) {
    return name.setting == setting && name.reported == reported;
  });
}

std::optional<float> read_amount(std::string_view text) {
  float value = 0;
  const char* last = text.data() + text.size();
  const auto [end, error] = std::from_chars(text.data(), last, value);
  const bool is_amount = error == std::errc{} && end == last && std::isfinite(value) && value >= 0;
  return is_amount ? std::optional(value) : std::nullopt;
}

}  // namespace

std::vector<float> read_load_report(std::string_view text, const std::vector<std::string>& names) {
  std::vector<float> values(names.size());
  std::vector<bool> seen(names.size());
  while (!text.empty()) {
    const auto field = text.substr(0, text.find_first_of(kSeparators));
    text.remove_prefix(std::min(text.size(), field.size() + 1));
    const auto equals = field.find('=');
    if (equals == std::string_view::npos) continue;
    for (std::size_t i = 0; i < names.size(); ++i) {
      if (!same_field(names[i], field.substr(0, equals))) continue;
      const auto amount = read_amount(field.substr(equals + 1));
      if (!amount || seen[i]) return {};
      values[i] = *amount;
      seen[i] = true;
    }
  }
  const bool complete = std::find(seen.begin(), seen.end(), false) == seen.end();
  return complete ? values : std::vector<float>{};
}

}  // namespace thornwick::net
