// [group] and [[router]]: the routers of a group.
#include <algorithm>

#include "config/operator_sections.hpp"

namespace thornwick::config {
namespace {

using settings::Errors;
using settings::Section;

void read_router(const toml::table* table, GroupFile& into, Errors& errors) {
  Section section(table, "router", errors);
  auto& router = into.routers.emplace_back();
  router.line = section.line();
  section.text("name", router.name);
  section.text("site", router.site);
  section.text("address", router.address);
  section.one_of("role", router.role, {"router", "holder"});
}

bool has_router(const GroupFile& group, const std::string& name) {
  return std::any_of(group.routers.begin(), group.routers.end(),
                     [&](const auto& router) { return router.name == name; });
}

}  // namespace

void read_group(settings::Root& file, GroupFile& into, Errors& errors) {
  const auto* table = file.table("group");
  const auto routers = file.tables("router");
  Section group(table, "group", errors);
  into.line = group.line();
  group.text("name", into.name);
  group.list("sites", into.sites);
  group.text("self", into.local_router);
  group.text("listen", into.listen);
  group.text("state", into.incarnation_file);
  group.text("status", into.status_socket);
  group.number("period_s", into.probe_interval_s, 0.05, 60);
  group.flag("links", into.peer_links_enabled);
  for (const auto* router : routers) read_router(router, into, errors);
  if (table == nullptr) {
    if (routers.empty()) return;
    errors.push_back({.code = settings::ErrorCode::rejected,
                      .line = into.routers.front().line,
                      .key = "router",
                      .detail = "a [[router]] needs a [group], and the file has none"});
    return;
  }
  if (into.name.empty()) group.reject("name", "missing or empty; a group needs a name");
  add_faults(membership::validate_roster(into.sites, into.routers, into.line), errors);
  if (!into.local_router.empty() && !has_router(into, into.local_router)) {
    group.reject("self", "no router is called '" + into.local_router + "'");
  }
}

}  // namespace thornwick::config
