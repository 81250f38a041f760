#include "net/endpoint_table.hpp"

#include <algorithm>
#include <utility>

#include "logging/log.hpp"

namespace thornwick::net {
namespace {

// Removed replicas that stay known, for the records of their last requests.
constexpr std::size_t kMaxRemovedReplicas = 64;

std::string_view to_string(EndpointState state) {
  switch (state) {
    case EndpointState::ready: return "ready";
    case EndpointState::draining: return "draining";
    case EndpointState::removed: break;
  }
  return "gone";
}

// The text of the fault in log lines.
std::string_view to_string(EntryFault fault) {
  switch (fault) {
    case EntryFault::no_uid: return "the entry has no uid";
    case EntryFault::duplicate_uid: return "the list has this uid twice";
    case EntryFault::no_address: break;
  }
  return "the entry has no valid address";
}

}  // namespace

EndpointTable::EndpointTable(Options options, OnUpdate on_update)
    : names_{.zones = std::move(options.zones), .kinds = std::move(options.kinds)},
      uses_local_agent_(options.schedule.uses_local_agent),
      on_update_(std::move(on_update)),
      client_({.address = std::move(options.address), .schedule = options.schedule, .seed = options.seed},
              {.on_list = [this](simdjson::dom::element list) { apply_list(list, Source::discovery); },
               .on_failure = [this] { on_update_(EndpointUpdate::failed, {}); }},
              counters_) {}

const EndpointEntry* EndpointTable::find(ReplicaId replica) const {
  const auto found = endpoints_.find(replica);
  return found == endpoints_.end() ? nullptr : &found->second;
}

std::optional<ReplicaId> EndpointTable::id_of(const std::string& uid) const {
  const auto found = ids_.find(uid);
  return found == ids_.end() ? std::nullopt : std::optional(found->second);
}

bool EndpointTable::may_send(ReplicaId replica) const {
  const EndpointEntry* entry = find(replica);
  return entry != nullptr && entry->listing.state == EndpointState::ready && !is_reported(replica);
}

std::size_t EndpointTable::listed_count() const {
  const auto is_listed = [](const auto& known) {
    return known.second.listing.state != EndpointState::removed;
  };
  return static_cast<std::size_t>(std::count_if(endpoints_.begin(), endpoints_.end(), is_listed));
}

void EndpointTable::apply_known_list(simdjson::dom::element known) {
  if (!known.is_object()) return;
  client_.note_revision(known);
  apply_list(known, Source::cache);
}

std::string EndpointTable::list_json() const {
  std::string entries;
  bool any_reported = false;
  for (const auto& [id, entry] : endpoints_) {
    if (entry.listing.state == EndpointState::removed) continue;
    ListedEndpoint listed = entry;
    if (listed.listing.state == EndpointState::ready && is_reported(id)) {
      listed.listing.state = EndpointState::draining;
      any_reported = true;
    }
    if (!entries.empty()) entries += ",";
    entries += write_endpoint(listed, names_);
  }
  return write_endpoint_list(any_reported ? std::nullopt : client_.revision(), entries);
}

void EndpointTable::apply_list(simdjson::dom::element list, Source source) {
  const bool full = is_full_list(list);
  std::vector<ListedEndpoint> listed = read_entries(list);
  // An agent is called so often that answers without a change must cost nothing.
  if (uses_local_agent_ && !full && listed.empty()) return;
  if (full) remove_unlisted(listed);
  const std::vector<Endpoint> entries = apply_entries(std::move(listed), source);
  log_state_changes(source);
  forget_removed();
  EndpointUpdate update = full ? EndpointUpdate::full : EndpointUpdate::delta;
  if (source == Source::cache) update = EndpointUpdate::cached;
  on_update_(update, entries);
}

// Returns the usable entries in the order of the list. Their ids are not assigned yet.
std::vector<ListedEndpoint> EndpointTable::read_entries(simdjson::dom::element list) {
  std::vector<ListedEndpoint> usable;
  std::set<std::string> uids;
  simdjson::dom::array entries;
  if (list.at_key("targets").get(entries) != simdjson::SUCCESS) return usable;
  for (const auto entry : entries) {
    ListedEndpoint listed = read_endpoint(entry, names_);
    if (is_usable(listed, uids)) usable.push_back(std::move(listed));
  }
  return usable;
}

// Marks the replicas that a full list omits as removed.
void EndpointTable::remove_unlisted(std::span<const ListedEndpoint> listed) {
  std::set<std::string> uids;
  for (const ListedEndpoint& entry : listed) uids.insert(entry.uid);
  for (auto& [id, entry] : endpoints_) {
    if (!uids.contains(entry.uid)) entry.listing.state = EndpointState::removed;
  }
}

// Applies the entries of known replicas first: the id of a replica that the list removes can then be assigned
// to a new one, whatever the order of the list.
std::vector<Endpoint> EndpointTable::apply_entries(std::vector<ListedEndpoint> listed, Source source) {
  std::stable_partition(listed.begin(), listed.end(),
                        [this](const ListedEndpoint& entry) { return ids_.contains(entry.uid); });
  std::vector<Endpoint> applied;
  for (ListedEndpoint& entry : listed) {
    entry.listing.id = id_for(entry.uid);
    applied.push_back(apply_entry(std::move(entry)));
    if (source == Source::discovery) ++counters_.entries_applied;
  }
  for (const Endpoint& entry : std::vector<Endpoint>(applied)) check_address(entry, applied);
  return applied;
}

// A process that was started later at the address of another replica has taken its place, even if the list
// still has the other one as ready. The other one gets nothing new.
void EndpointTable::check_address(const Endpoint& entry, std::vector<Endpoint>& applied) {
  const std::string& address = endpoints_[entry.id].endpoint;
  if (entry.state != EndpointState::ready || address.empty()) return;
  const auto [holder, is_new] = by_address_.try_emplace(address, entry.id);
  if (is_new || holder->second == entry.id) return;
  const auto other = endpoints_.find(holder->second);
  const bool other_has_gone = other == endpoints_.end() || other->second.endpoint != address ||
                              other->second.listing.state != EndpointState::ready;
  const Time other_start = other_has_gone ? 0 : other->second.listing.started_at;
  if (!other_has_gone && entry.started_at == other_start) return;
  const bool entry_is_newer = other_has_gone || entry.started_at > other_start;
  if (!other_has_gone) supersede(entry_is_newer ? holder->second : entry.id, applied);
  if (entry_is_newer) holder->second = entry.id;
}

void EndpointTable::supersede(ReplicaId replica, std::vector<Endpoint>& applied) {
  Endpoint& listing = endpoints_[replica].listing;
  listing.state = EndpointState::draining;
  std::erase_if(applied, [replica](const Endpoint& endpoint) { return endpoint.id == replica; });
  applied.push_back(listing);
}

// `uids` are those of the list's entries so far; the entry's uid is added to them.
bool EndpointTable::is_usable(const ListedEndpoint& listed, std::set<std::string>& uids) {
  if (listed.uid.empty()) {
    reject_entry(EntryFault::no_uid, listed.uid);
    return false;
  }
  if (!uids.insert(listed.uid).second) {
    reject_entry(EntryFault::duplicate_uid, listed.uid);
    return false;
  }
  return true;
}

Endpoint EndpointTable::apply_entry(ListedEndpoint listed) {
  EndpointEntry& entry = endpoints_[listed.listing.id];
  if (entry.uid != listed.uid) {  // a new replica, or one that gets the id of a removed replica
    ids_.erase(entry.uid);
    forget_address(listed.listing.id, entry.endpoint);
    ids_[listed.uid] = listed.listing.id;
    entry = {};
  }
  entry.listing = listed.listing;
  entry.uid = std::move(listed.uid);
  entry.model = std::move(listed.model);
  entry.group = listed.group;
  if (entry.endpoint != listed.endpoint && !listed.endpoint.empty()) {
    forget_address(entry.listing.id, entry.endpoint);
    entry.endpoint = std::move(listed.endpoint);
    entry.address = parse_address(entry.endpoint);
  }
  // A replica without an address must not be chosen, so it counts as draining.
  if (!entry.address && entry.listing.state == EndpointState::ready) {
    reject_entry(EntryFault::no_address, entry.uid);
    entry.listing.state = EndpointState::draining;
  }
  return entry.listing;
}

// A replica is identified by its uid alone, and keeps the id that it has, whoever else would prefer it.
ReplicaId EndpointTable::id_for(const std::string& uid) const {
  const std::optional<ReplicaId> known = id_of(uid);
  return known ? *known : unused_id_for(uid);
}

// The id of a removed replica can be assigned again. Otherwise routers that never knew the removed replica
// would assign other ids than this one.
ReplicaId EndpointTable::unused_id_for(const std::string& uid) const {
  ReplicaId id = preferred_id(uid);
  for (const EndpointEntry* other = find(id);
       other != nullptr && other->listing.state != EndpointState::removed; other = find(id)) {
    logging::warning("endpoints") << logging::field("replica", uid) << " has the same id as " << other->uid;
    ++id;
  }
  return id;
}

void EndpointTable::reject_entry(EntryFault fault, const std::string& uid) {
  ++counters_.invalid_entries;
  const std::string_view reason = to_string(fault);
  if (!log_limiter_.allows(now_us(), reason)) return;
  logging::warning("endpoints") << "invalid entry: " << logging::field("replica", uid) << ": " << reason;
}

// Logs one line for each replica whose state has changed since the replica's latest line. States in the list
// that is known at the start are not changes, and are logged at level debug.
void EndpointTable::log_state_changes(Source source) {
  const auto level = source == Source::cache ? logging::Level::debug : logging::Level::info;
  for (auto& [id, entry] : endpoints_) {
    const EndpointState state = entry.listing.state;
    if (entry.logged_state == state) continue;
    const std::string_view before = entry.logged_state ? to_string(*entry.logged_state) : "unknown";
    logging::Line(level, "endpoints")
        << "replica " << logging::field("replica", entry.uid) << ": " << logging::field("before", before)
        << " -> " << logging::field("state", to_string(state)) << ", revision "
        << logging::field("revision", client_.revision().value_or(0));
    entry.logged_state = state;
  }
}

void EndpointTable::forget_address(ReplicaId replica, const std::string& address) {
  const auto found = by_address_.find(address);
  if (found != by_address_.end() && found->second == replica) by_address_.erase(found);
}

// Bounds the memory that removed replicas use in a deployment that replaces replicas all day.
void EndpointTable::forget_removed() {
  for (auto& [id, entry] : endpoints_) {
    const bool gone = entry.listing.state == EndpointState::removed;
    if (gone && !entry.queued_for_removal) removed_.push_back(id);
    entry.queued_for_removal = gone;
  }
  for (; removed_.size() > kMaxRemovedReplicas; removed_.pop_front()) {
    const auto found = endpoints_.find(removed_.front());
    if (found == endpoints_.end() || !found->second.queued_for_removal) continue;
    ids_.erase(found->second.uid);
    forget_address(found->first, found->second.endpoint);
    endpoints_.erase(found);
  }
}

}  // namespace thornwick::net
