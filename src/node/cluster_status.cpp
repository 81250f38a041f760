#include "node/cluster_status.hpp"

#include <fmt/format.h>

#include <algorithm>
#include <numeric>

namespace thornwick::node {
namespace {

using Json = nlohmann::ordered_json;
using membership::MemberState;

// Converts microseconds to seconds, in whole milliseconds, rounded towards zero.
double in_seconds(Time time) {
  const Time elapsed_milliseconds = time / milliseconds(1);
  return static_cast<double>(elapsed_milliseconds) / 1000;
}

Json self_json(const GroupStatus& status) {
  const auto& swim = status.swim;
  const auto& self = swim.view(swim.self());
  return {{"group", status.group},
          {"self", swim.roster().at(swim.self()).name},
          {"start", status.has_new_disk ? "empty" : "kept"},
          {"back", name_of(self.recovery)},
          {"running_s", in_seconds(status.now - status.started_at)},
          {"incarnation", swim.incarnation()},
          {"present", swim.running_count()},
          {"routers", swim.roster().size()},
          {"cut_off", swim.is_cut_off()},
          {"sure", swim.is_view_reliable()},
          {"name_used_twice", swim.name_conflict()},
          {"stops", self.suspension_count},
          {"loss", swim.loss_rate()}};
}

// Returns how many routers of a site this router believes to run, and the range of the counts that live
// members last reported.
Json site_json(const GroupStatus& status, std::size_t site) {
  const auto& roster = status.swim.roster();
  const std::size_t seen_here = status.swim.running_count(site);
  std::size_t min_seen = seen_here;
  std::size_t max_seen = seen_here;
  std::size_t reporters = 1;
  for (std::size_t member = 0; member < roster.size(); ++member) {
    const auto& view = status.swim.view(member);
    const bool reports = site < view.reported_running_by_site.size() && view.state == MemberState::alive;
    if (member == status.swim.self() || !reports) continue;
    min_seen = std::min<std::size_t>(min_seen, view.reported_running_by_site[site]);
    max_seen = std::max<std::size_t>(max_seen, view.reported_running_by_site[site]);
    ++reporters;
  }
  return {{"site", roster.sites()[site]},
          {"routers", roster.site_size(site)},
          {"seen", seen_here},
          {"tellers", reporters},
          {"least_seen", min_seen},
          {"most_seen", max_seen}};
}

std::string_view link_name(const GroupStatus& status, std::size_t member) {
  if (member == status.swim.self()) return "self";
  return status.links.up(member) ? "up" : "none";
}

// Returns the seconds since the member's last answer. Null for this router itself, and for a member that has
// not answered yet.
Json answered_json(const GroupStatus& status, std::size_t member) {
  const auto& view = status.swim.view(member);
  if (member == status.swim.self() || view.last_answer_at == 0) return nullptr;
  return in_seconds(status.now - view.last_answer_at);
}

Json member_json(const GroupStatus& status, std::size_t member) {
  const auto& entry = status.swim.roster().at(member);
  const auto& view = status.swim.view(member);
  const bool is_self = member == status.swim.self();
  return {{"name", entry.name},
          {"site", entry.site},
          {"role", entry.role},
          {"address", entry.address},
          {"standing", name_of(view.state)},
          {"since_s", in_seconds(status.now - view.state_since)},
          {"answered_s", answered_json(status, member)},
          {"over_another", !is_self && view.last_answer_at > 0 && !view.answered_directly},
          {"incarnation", view.incarnation},
          {"back", name_of(view.recovery)},
          {"starts_seen", view.restart_count},
          {"stops", view.suspension_count},
          {"stopped_s", view.last_suspension_s},
          {"name_used_twice", view.name_conflict},
          {"round_trip_ms", view.round_trip_us / milliseconds(1)},
          {"link", link_name(status, member)},
          {"queue_bytes", status.links.queued_bytes(member)}};
}

Json datagrams_json(const membership::Metrics& metrics) {
  const auto unreadable =
      std::accumulate(std::begin(metrics.unreadable), std::end(metrics.unreadable), std::uint64_t{0});
  return {{"sent", metrics.sent},
          {"sent_bytes", metrics.sent_bytes},
          {"heard", metrics.received},
          {"unreadable", unreadable},
          {"strangers", metrics.unknown_routers},
          {"ignored", metrics.ignored},
          {"probes", metrics.probe_rounds},
          {"unanswered", metrics.unanswered_rounds}};
}

Json claims_json(const membership::Metrics& metrics) {
  return {{"suspicions", metrics.suspicions},
          {"false_suspicions", metrics.false_suspicions},
          {"gone", metrics.failures},
          {"refuted", metrics.refuted_suspicions},
          {"contradicted", metrics.contradicted_suspicions},
          {"disbelieved", metrics.distrusted_claims},
          {"jumps", metrics.implausible_incarnations}};
}

Json links_json(const net::LinkCounters& counters) {
  return {
      {"dialed", counters.dialed},       {"accepted", counters.accepted},   {"up", counters.up},
      {"lost", counters.lost},           {"refused", counters.rejected},    {"spoilt", counters.malformed},
      {"silent", counters.timed_out},    {"bytes_out", counters.bytes_out}, {"bytes_in", counters.bytes_in},
      {"held_back", counters.queue_full}};
}

std::string summary_text(const GroupStatus& status) {
  const auto& swim = status.swim;
  return fmt::format("{} of group {}: {} of {} routers present{}{}{}\n", swim.roster().at(swim.self()).name,
                     status.group, swim.running_count(), swim.roster().size(),
                     swim.is_cut_off() ? ", THIS ROUTER IS CUT OFF" : "",
                     swim.is_view_reliable() ? "" : ", not sure of what it believes",
                     swim.name_conflict() ? ", ITS NAME IS USED TWICE" : "");
}

std::string site_text(const Json& site) {
  return fmt::format("site {:<16} {} of {} seen here; {} routers see {} to {}\n",
                     site["site"].get<std::string>(), site["seen"].get<int>(), site["routers"].get<int>(),
                     site["tellers"].get<int>(), site["least_seen"].get<int>(), site["most_seen"].get<int>());
}

std::string member_heading() {
  return fmt::format("{:<20} {:<12} {:<10} {:>9} {:>9} {:>8} {:>6} {:>6} {:>8}  {}\n", "router", "site",
                     "standing", "since s", "heard s", "trip ms", "back", "link", "queue", "remarks");
}

std::string remarks_on(const Json& member) {
  std::string text;
  if (member["over_another"].get<bool>()) text += "heard over another; ";
  if (const int stops = member["stops"]; stops > 0)
    text += fmt::format("stood still {} times, {} s the last; ", stops, member["stopped_s"].get<int>());
  if (member["name_used_twice"].get<bool>()) text += "two processes use this name; ";
  return text;
}

std::string member_text(const Json& member) {
  const Json& answered = member["answered_s"];
  return fmt::format("{:<20} {:<12} {:<10} {:>9.1f} {:>9} {:>8.2f} {:>6} {:>6} {:>8}  {}\n",
                     member["name"].get<std::string>(), member["site"].get<std::string>(),
                     member["standing"].get<std::string>(), member["since_s"].get<double>(),
                     answered.is_null() ? "-" : fmt::format("{:.1f}", answered.get<double>()),
                     member["round_trip_ms"].get<double>(), member["back"].get<std::string>(),
                     member["link"].get<std::string>(), member["queue_bytes"].get<std::uint64_t>(),
                     remarks_on(member));
}

}  // namespace

Json status_json(const GroupStatus& status) {
  const auto& roster = status.swim.roster();
  Json json = self_json(status);
  for (std::size_t site = 0; site < roster.sites().size(); ++site)
    json["sites"].push_back(site_json(status, site));
  for (std::size_t member = 0; member < roster.size(); ++member)
    json["members"].push_back(member_json(status, member));
  json["datagrams"] = datagrams_json(status.swim.metrics());
  json["beliefs"] = claims_json(status.swim.metrics());
  json["links"] = links_json(status.links.counters());
  return json;
}

std::string status_text(const GroupStatus& status) {
  const Json json = status_json(status);
  std::string text = summary_text(status);
  for (const auto& site : json["sites"]) text += site_text(site);
  text += member_heading();
  for (const auto& member : json["members"]) text += member_text(member);
  return text;
}

}  // namespace thornwick::node
