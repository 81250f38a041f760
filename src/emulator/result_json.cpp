// The JSON of a result. The keys must not change, because the operators' programs read them.
#include <array>
#include <nlohmann/json.hpp>

#include "emulator/result.hpp"

namespace thornwick::emulator {
namespace {

using Json = nlohmann::ordered_json;

struct NamedQuantile {
  const char* name;
  double fraction;
};
constexpr std::array<NamedQuantile, 4> kQuantiles{
    {{"p50", 0.5}, {"p90", 0.9}, {"p99", 0.99}, {"p999", 0.999}}};

Json json_of(const Histogram& histogram) {
  Json json = {{"count", histogram.total()}, {"mean", histogram.mean()}};
  for (const auto& quantile : kQuantiles) json[quantile.name] = histogram.quantile(quantile.fraction);
  return json;
}

Json json_of(const ClassResult& result) {
  return {{"name", result.name},
          {"worth", result.priority_weight.share()},
          {"turns", result.turns},
          {"served", result.served},
          {"in_time", result.in_time},
          {"given_up", result.given_up},
          {"first_us", json_of(result.first_token_us)},
          {"answer_us", json_of(result.answer_us)}};
}

Json json_of(const ReplicaResult& replica) {
  return {{"id", replica.id},
          {"kind", replica.kind},
          {"hall", replica.zone},
          {"sent", replica.sent},
          {"full", replica.full},
          {"work_us", replica.work},
          {"held", replica.request_counts},
          {"read", replica.tokens_read}};
}

Json json_of(const RequestTotals& totals) {
  return {{"taken", totals.admitted},
          {"served", totals.served},
          {"shed", totals.rejected},
          {"failed", totals.failed},
          {"timed_out", totals.timed_out},
          {"broken", totals.interrupted},
          {"gone", totals.client_disconnected},
          {"open", totals.open},
          {"tokens_made", totals.generated_tokens},
          {"tokens_charged", totals.delivered_tokens},
          {"tokens_for_nobody", totals.discarded_tokens}};
}

Json json_of(const RuleViolations& violations) {
  return {{"lost", violations.unanswered_tries},        {"twice", violations.concurrent_attempts},
          {"drained", violations.attempts_to_draining}, {"tipped", violations.overloaded_replicas},
          {"repeated", violations.harmful_repeats},     {"misled", violations.harmful_rejections}};
}

void add_lists(const Result& result, Json& json) {
  for (const auto& each : result.classes) json["classes"].push_back(json_of(each));
  for (std::size_t i = 0; i < result.members.size(); ++i) {
    json["members"].push_back({{"name", result.member_names[i]}, {"worth", result.members[i].share()}});
  }
  for (const auto& window : result.windows) json["windows"].push_back(window.share());
}

}  // namespace

std::string to_json(const Result& result, Costs costs) {
  Json json = {{"scenario", result.scenario},
               {"policy", result.policy},
               {"seed", result.seed},
               {"seconds", result.seconds},
               {"routers", result.routers},
               {"boxes", result.replicas},
               {"score", result.score},
               {"whole", result.total_weight.share()},
               {"turns", result.turns},
               {"tries", result.tries},
               {"attempts", result.attempts},
               {"crossings", result.cross_zone_attempts},
               {"sample_s", result.sample_s},
               {"events", result.events},
               {"kept_share", result.cached_share()}};
  json["wasted_share"] = result.requested_work > 0 ? result.wasted_work / result.requested_work : 0;
  add_lists(result, json);
  json["sum"] = json_of(result.totals);
  json["trust"] = {{"fleet_losses", result.fleet_losses},
                   {"box_losses", result.replica_losses},
                   {"regained", result.regained}};
  json["rules"] = json_of(result.violations);
  if (result.slowdowns > 0) {
    json["slowdown"] = result.slowdown_sum / static_cast<double>(result.slowdowns);
    json["wait_us"] = result.wait_sum / static_cast<double>(result.slowdowns);
  }
  for (const auto& replica : result.fleet) json["fleet"].push_back(json_of(replica));
  if (costs == Costs::included) {
    json["wall_s"] = result.wall_s;
    json["module_s"] = result.module_s;
  }
  return json.dump();
}

}  // namespace thornwick::emulator
