#include "replication/replica_placement.hpp"

#include <xxhash.h>

#include <algorithm>
#include <set>
#include <utility>

namespace thornwick::replication {
namespace {

constexpr std::size_t kMaxLedgers = 16;
constexpr std::size_t kRoutersPerLedger = 3;
constexpr std::uint64_t kScoreSeed =
    0x7468;  // must not change, because routers of all versions have to place alike

std::uint64_t score(std::string_view router, std::size_t ledger) {
  return XXH3_64bits_withSeed(router.data(), router.size(), kScoreSeed + ledger);
}

// A router that replaces another one has the higher of both routers' scores.
std::uint64_t score_with_replacements(const std::string& router, std::size_t ledger,
                                      const ReplacementMap& replaced) {
  std::uint64_t best = score(router, ledger);
  for (const auto& [old_router, new_router] : replaced) {
    if (new_router == router) best = std::max(best, score(old_router, ledger));
  }
  return best;
}

// The machine of a router is the host of its address. With loopback addresses each router counts as a machine
// of its own.
std::string machine_of(const membership::RouterEntry& router) {
  const std::string host = router.address.substr(0, router.address.rfind(':'));
  return host.starts_with("127.") || host == "[::1]" ? router.name : host;
}

struct Candidate {
  std::uint64_t score = 0;
  std::size_t member = 0;
};

// All routers that are not replaced, the highest score first.
std::vector<Candidate> ranked_candidates(const membership::Roster& roster, std::size_t ledger,
                                         const ReplacementMap& replaced) {
  std::vector<Candidate> candidates;
  for (std::size_t member = 0; member < roster.size(); ++member) {
    const std::string& name = roster.at(member).name;
    if (!replaced.contains(name)) {
      candidates.push_back({score_with_replacements(name, ledger, replaced), member});
    }
  }
  std::sort(candidates.begin(), candidates.end(), [](const Candidate& left, const Candidate& right) {
    return std::pair(left.score, left.member) > std::pair(right.score, right.member);
  });
  return candidates;
}

// The smallest number of replicas per site with which all replicas fit on different machines, or `count` if
// there is no such number.
std::size_t replicas_per_site(const membership::Roster& roster, const std::vector<Candidate>& candidates,
                              std::size_t count) {
  std::vector<std::set<std::string>> machines(roster.sites().size());
  for (const Candidate& candidate : candidates) {
    machines[roster.site_of(candidate.member)].insert(machine_of(roster.at(candidate.member)));
  }
  const auto capacity_with = [&machines](std::size_t per_site) {
    std::size_t capacity = 0;
    for (const auto& site : machines) capacity += std::min(per_site, site.size());
    return capacity;
  };
  std::size_t per_site = 1;
  while (capacity_with(per_site) < count && per_site < count) ++per_site;
  return per_site;
}

}  // namespace

std::size_t ledger_count_for(std::size_t routers) {
  return std::clamp<std::size_t>(routers / kRoutersPerLedger, 1, kMaxLedgers);
}

std::size_t ledger_of(std::string_view account, std::size_t ledgers) {
  return XXH3_64bits(account.data(), account.size()) % std::max<std::size_t>(1, ledgers);
}

std::vector<std::size_t> place_replicas(const membership::Roster& roster, std::size_t ledger,
                                        std::size_t count, const ReplacementMap& replaced) {
  const auto candidates = ranked_candidates(roster, ledger, replaced);
  const std::size_t max_per_site = replicas_per_site(roster, candidates, count);
  std::vector<std::size_t> chosen;
  std::vector<std::size_t> chosen_by_site(roster.sites().size(), 0);
  std::set<std::string> used_machines;
  for (const Candidate& candidate : candidates) {
    if (chosen.size() == count) break;
    const std::size_t site = roster.site_of(candidate.member);
    if (chosen_by_site[site] == max_per_site) continue;
    const bool is_free = used_machines.insert(machine_of(roster.at(candidate.member))).second;
    if (!is_free) continue;
    ++chosen_by_site[site];
    chosen.push_back(candidate.member);
  }
  return chosen;
}

bool survives_site_loss(const membership::Roster& roster, std::size_t ledgers, std::size_t count) {
  for (std::size_t ledger = 0; ledger < ledgers; ++ledger) {
    std::vector<std::size_t> replicas_by_site(roster.sites().size(), 0);
    for (const std::size_t member : place_replicas(roster, ledger, count)) {
      ++replicas_by_site[roster.site_of(member)];
    }
    const bool loses_majority = std::any_of(replicas_by_site.begin(), replicas_by_site.end(),
                                            [count](std::size_t replicas) { return replicas > count / 2; });
    if (loses_majority) return false;
  }
  return true;
}

}  // namespace thornwick::replication
