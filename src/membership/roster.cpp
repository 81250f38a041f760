#include "membership/roster.hpp"

#include <xxhash.h>

#include <algorithm>
#include <map>
#include <utility>

namespace thornwick::membership {
namespace {

// Checks one router after the other, and records the names, ids and addresses that are in use.
class RouterChecker {
 public:
  RouterChecker(const std::vector<std::string>& sites, std::vector<RosterError>& errors)
      : sites_(sites), errors_(errors) {}

  void check(const RouterEntry& router) {
    check_name(router);
    check_address(router);
    if (std::find(sites_.begin(), sites_.end(), router.site) == sites_.end())
      reject(router, "router.site: '" + router.site + "' is none of group.sites");
  }

 private:
  void reject(const RouterEntry& router, const std::string& text) { errors_.push_back({router.line, text}); }

  void check_name(const RouterEntry& router) {
    if (router.name.empty() || router.name.size() > kMaxNameBytes) {
      reject(router,
             "router.name: there has to be one, of " + std::to_string(kMaxNameBytes) + " bytes at the most");
      return;
    }
    const auto [named, is_new_name] = lines_by_name_.emplace(router.name, router.line);
    if (!is_new_name) {
      reject(router, "router.name: '" + router.name + "' stands in line " + std::to_string(named->second) +
                         " already");
      return;
    }
    const auto [same_id, is_new_id] = names_by_id_.emplace(id_of(router.name), router.name);
    if (!is_new_id)
      reject(router, "router.name: '" + router.name + "' cannot be told from '" + same_id->second +
                         "' in messages; choose another");
  }

  void check_address(const RouterEntry& router) {
    const auto [known, is_new] = lines_by_address_.emplace(router.address, router.line);
    if (is_new || router.address.empty()) return;
    reject(router, "router.address: " + router.address + " stands in line " + std::to_string(known->second) +
                       " already");
  }

  const std::vector<std::string>& sites_;
  std::vector<RosterError>& errors_;
  std::map<std::string, std::uint32_t> lines_by_name_;
  std::map<std::string, std::uint32_t> lines_by_address_;
  std::map<std::uint32_t, std::string> names_by_id_;
};

bool has_router(const std::vector<RouterEntry>& routers, const std::string& site) {
  return std::any_of(routers.begin(), routers.end(),
                     [&](const RouterEntry& router) { return router.site == site; });
}

}  // namespace

std::uint32_t id_of(std::string_view name) {
  return std::max<std::uint32_t>(1, XXH32(name.data(), name.size(), 0));
}

Roster::Roster(const std::string& group, std::vector<std::string> sites, std::vector<RouterEntry> routers)
    : sites_(std::move(sites)), routers_(std::move(routers)) {
  std::sort(sites_.begin(), sites_.end());
  std::sort(routers_.begin(), routers_.end(),
            [](const RouterEntry& a, const RouterEntry& b) { return a.name < b.name; });
  std::string hashed = group;
  for (const auto& site : sites_) hashed += '\n' + site;
  for (const auto& router : routers_) {
    hashed += '\n' + router.name + '\t' + router.site;
    const std::uint32_t id = membership::id_of(router.name);
    by_id_.emplace(id, ids_.size());
    ids_.push_back(id);
    const auto site = std::find(sites_.begin(), sites_.end(), router.site);
    site_of_.push_back(static_cast<std::size_t>(site - sites_.begin()));
  }
  hash_ = XXH32(hashed.data(), hashed.size(), 0);
}

std::size_t Roster::find(std::string_view name) const {
  const auto found = std::lower_bound(
      routers_.begin(), routers_.end(), name,
      [](const RouterEntry& router, std::string_view searched) { return router.name < searched; });
  if (found == routers_.end() || found->name != name) return size();
  return static_cast<std::size_t>(found - routers_.begin());
}

std::size_t Roster::find_id(std::uint32_t id) const {
  const auto found = by_id_.find(id);
  return found == by_id_.end() ? size() : found->second;
}

std::size_t Roster::site_size(std::size_t site) const {
  return static_cast<std::size_t>(std::count(site_of_.begin(), site_of_.end(), site));
}

std::vector<RosterError> validate_roster(const std::vector<std::string>& sites,
                                         const std::vector<RouterEntry>& routers, std::uint32_t group_line) {
  std::vector<RosterError> errors;
  if (sites.empty() || sites.size() > kMaxSites)
    errors.push_back({group_line, "group.sites: there have to be 1 to " + std::to_string(kMaxSites)});
  if (routers.size() > kMaxRouters)
    errors.push_back({group_line, "router: there are more than " + std::to_string(kMaxRouters)});
  RouterChecker checker(sites, errors);
  for (const auto& router : routers) checker.check(router);
  for (auto site = sites.begin(); site != sites.end(); ++site) {
    if (std::find(sites.begin(), site, *site) != site)
      errors.push_back({group_line, "group.sites: '" + *site + "' stands there twice"});
    else if (!has_router(routers, *site))
      errors.push_back({group_line, "group.sites: '" + *site + "' has no router"});
  }
  return errors;
}

}  // namespace thornwick::membership
