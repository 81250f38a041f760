// The routers of a group, from the operator's file. No other routers belong to the group, and the list does
// not change while a process runs.
#pragma once

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace thornwick::membership {

inline constexpr std::size_t kMaxRouters = 1000;
inline constexpr std::size_t kMaxSites = 16;
inline constexpr std::size_t kMaxNameBytes = 64;

struct RouterEntry {
  std::string name;
  std::string site;
  std::string address;          // host:port of the router's datagrams and links
  std::string role = "router";  // or "holder": stores replicas of ledgers and serves no clients
  std::uint32_t line = 0;       // line in the operator's file; 0: not from a file

  // Compares all fields but the line.
  bool operator==(const RouterEntry& other) const {
    return name == other.name && site == other.site && address == other.address && role == other.role;
  }
};

// Members and sites are sorted by name, so that every router of the group has the same indexes.
class Roster {
 public:
  Roster() = default;
  // validate_roster() of these sites and routers must be empty.
  Roster(const std::string& group, std::vector<std::string> sites, std::vector<RouterEntry> routers);

  std::size_t size() const { return routers_.size(); }
  // at(), id_of() and site_of() throw std::out_of_range for a member that is not in the roster.
  const RouterEntry& at(std::size_t member) const { return routers_.at(member); }
  std::uint32_t id_of(std::size_t member) const { return ids_.at(member); }
  std::size_t site_of(std::size_t member) const { return site_of_.at(member); }
  // The index of the member with a name or an id; size() if there is none.
  std::size_t find(std::string_view name) const;
  std::size_t find_id(std::uint32_t id) const;
  const std::vector<std::string>& sites() const { return sites_; }
  // The number of members at a site.
  std::size_t site_size(std::size_t site) const;
  // A hash of the group's name, its sites, and its members' names and sites. Routers whose files differ in
  // these do not read each other's messages.
  std::uint32_t hash() const { return hash_; }

 private:
  std::vector<std::string> sites_;
  std::vector<RouterEntry> routers_;
  std::vector<std::uint32_t> ids_;
  std::unordered_map<std::uint32_t, std::size_t> by_id_;
  std::vector<std::size_t> site_of_;
  std::uint32_t hash_ = 0;
};

// The 32-bit id that stands for a router's name in messages; never 0.
std::uint32_t id_of(std::string_view name);

// An error in the operator's file.
struct RosterError {
  std::uint32_t line = 0;
  std::string text;  // the key and the error, "router.name: ..."
};
// All errors of a group: names or addresses that occur twice, sites that are unknown or without routers, too
// many sites or routers. `group_line` is the line of the group in the file.
std::vector<RosterError> validate_roster(const std::vector<std::string>& sites,
                                         const std::vector<RouterEntry>& routers, std::uint32_t group_line);

}  // namespace thornwick::membership
