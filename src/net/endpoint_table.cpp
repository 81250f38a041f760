#include "net/endpoint_table.hpp"

#include <algorithm>
#include <utility>

#include "logging/log.hpp"

namespace thornwick::net {
namespace {

constexpr std::size_t kMaxRemembered =
    64;  // replicas that are gone, kept for the records of their last requests

std::string_view to_string(EndpointState state) {
  switch (state) {
    case EndpointState::ready: return "ready";
    case EndpointState::draining: return "draining";
    case EndpointState::removed: break;
  }
  return "gone";
}

// The fault as log lines state it.
std::string_view to_string(EntryFault fault) {
  switch (fault) {
    case EntryFault::no_uid: return "an entry has no uid";
    case EntryFault::duplicate_uid: return "a list has it twice";
    case EntryFault::no_address: break;
  }
  return "it has no good address";
}

}  // namespace

EndpointTable::EndpointTable(Options options, OnUpdate on_update)
    : names_{.zones = std::move(options.zones), .kinds = std::move(options.kinds)},
      on_update_(std::move(on_update)),
      client_({.address = std::move(options.address),
               .schedule = options.schedule,
               .seed = options.seed,
               .stale_list_delay = options.stale_list_delay},
              {.list = [this](simdjson::dom::element list) { apply_list(list, Source::discovery); },
               .failed = [this] { on_update_(EndpointUpdate::failed, {}); }},
              counters_) {}

const EndpointEntry* EndpointTable::find(ReplicaId replica) const {
  const auto found = endpoints_.find(replica);
  return found == endpoints_.end() ? nullptr : &found->second;
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
  const bool whole = is_whole_list(list);
  if (whole) {
    for (auto& [id, entry] : endpoints_) entry.listing.state = EndpointState::removed;
  }
  const std::vector<Endpoint> entries = apply_entries(list, source);
  log_state_changes(source);
  forget_gone();
  EndpointUpdate update = whole ? EndpointUpdate::full : EndpointUpdate::delta;
  if (source == Source::cache) update = EndpointUpdate::cached;
  on_update_(update, entries);
}

std::vector<Endpoint> EndpointTable::apply_entries(simdjson::dom::element list, Source source) {
  std::vector<Endpoint> applied;
  std::set<std::string> seen;
  simdjson::dom::array entries;
  if (list.at_key("targets").get(entries) != simdjson::SUCCESS) return applied;
  for (const auto entry : entries) {
    ListedEndpoint listed = read_endpoint(entry, names_);
    listed.listing.id = assign_id(listed.uid);
    if (!is_usable(listed, seen)) continue;
    applied.push_back(apply_entry(std::move(listed)));
    if (source == Source::discovery) ++counters_.entries_applied;
  }
  return applied;
}

bool EndpointTable::is_usable(const ListedEndpoint& listed, std::set<std::string>& seen) {
  if (listed.uid.empty()) {
    reject_entry(EntryFault::no_uid, listed.uid);
    return false;
  }
  if (!seen.insert(listed.uid).second) {
    reject_entry(EntryFault::duplicate_uid, listed.uid);
    return false;
  }
  return true;
}

Endpoint EndpointTable::apply_entry(ListedEndpoint listed) {
  EndpointEntry& entry = endpoints_[listed.listing.id];
  entry.listing = listed.listing;
  entry.uid = std::move(listed.uid);
  entry.model = std::move(listed.model);
  entry.group = listed.group;
  if (entry.endpoint != listed.endpoint && !listed.endpoint.empty()) {
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

// A replica that is gone gives up its number. Otherwise routers that never knew it would number the replicas
// differently.
ReplicaId EndpointTable::assign_id(const std::string& uid) const {
  ReplicaId id = preferred_id(uid);
  for (const EndpointEntry* other = find(id);
       other != nullptr && other->uid != uid && other->listing.state != EndpointState::removed;
       other = find(id)) {
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

// Logs one line for each replica whose state has changed since its latest line. States from the list at the
// start are no changes and have level debug.
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

// Bounds the memory where replicas are replaced all day.
void EndpointTable::forget_gone() {
  for (auto& [id, entry] : endpoints_) {
    const bool gone = entry.listing.state == EndpointState::removed;
    if (gone && !entry.remembered) gone_.push_back(id);
    entry.remembered = gone;
  }
  for (; gone_.size() > kMaxRemembered; gone_.pop_front()) {
    const auto found = endpoints_.find(gone_.front());
    if (found != endpoints_.end() && found->second.remembered) endpoints_.erase(found);
  }
}

}  // namespace thornwick::net
