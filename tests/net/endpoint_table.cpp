// The table of endpoints by itself: which replica an entry of a list is about, for any sequence of lists.
#include "net/endpoint_table.hpp"

#include <rapidcheck.h>

#include <catch2/catch.hpp>
#include <map>
#include <string>
#include <vector>

using namespace thornwick;

namespace {

// Uids that share their endings, so that several replicas prefer one id.
const std::vector<std::string> kUids = {"k7-2a",      "q3-2a",      "w9-2a",  "t-2b",       "t-2c", "x",
                                        "a-5be2a07c", "b-5be2a07c", "fast-1", "standard-1", "y",    "2a"};

// What discovery says of one replica.
struct Said {
  std::string uid;
  std::string state;
};

std::string list_text(bool full, const std::vector<Said>& entries) {
  std::string targets;
  for (const Said& said : entries) {
    if (!targets.empty()) targets += ",";
    targets += R"({"uid":")" + said.uid + R"(","endpoint":"127.0.0.1:9","az":"a","model":"m","state":")" +
               said.state + R"("})";
  }
  return std::string(R"({"rev":1,"all":)") + (full ? "true" : "false") + R"(,"targets":[)" + targets + "]}";
}

EndpointState state_of(const std::string& name) {
  if (name == "SERVING") return EndpointState::ready;
  return name == "DRAINING" ? EndpointState::draining : EndpointState::removed;
}

class Table {
 public:
  void apply(bool full, const std::vector<Said>& entries) {
    table_.apply_known_list(parser_.parse(list_text(full, entries)));
  }
  std::optional<ReplicaId> id_of(const std::string& uid) const { return table_.id_of(uid); }
  EndpointState state(const std::string& uid) const {
    const auto id = table_.id_of(uid);
    if (!id) return EndpointState::removed;
    const net::EndpointEntry* entry = table_.find(*id);
    RC_ASSERT(entry != nullptr);
    RC_ASSERT(entry->uid == uid);
    return entry->listing.state;
  }
  std::size_t listed_count() const { return table_.listed_count(); }

 private:
  simdjson::dom::parser parser_;
  net::EndpointTable table_{{.address = "127.0.0.1:9", .zones = {"a"}, .kinds = {"m"}, .schedule = {}},
                            [](EndpointUpdate, std::span<const Endpoint>) {}};
};

// Draws a list in which each uid stands at most once, in any order.
std::vector<Said> draw_entries(bool full) {
  const auto states = full ? std::vector<std::string>{"", "SERVING", "DRAINING"}
                           : std::vector<std::string>{"", "SERVING", "DRAINING", "DELETED"};  // "": no entry
  std::map<int, Said> ordered;
  int number = 0;
  for (const std::string& uid : kUids) {
    const std::string state = *rc::gen::elementOf(states);
    const int position = *rc::gen::inRange(0, 1000) * 100 + number++;
    if (!state.empty()) ordered[position] = {uid, state};
  }
  std::vector<Said> entries;
  for (const auto& [position, said] : ordered) entries.push_back(said);
  return entries;
}

}  // namespace

// Guards against changes that are noted for another replica, and against replicas that lose their id to one
// whose uid ends alike.
TEST_CASE("each replica has the state that discovery gave it last, and keeps its id while it is listed") {
  CHECK(rc::check("states and ids follow the uids", [] {
    Table table;
    std::map<std::string, EndpointState> said;
    std::map<std::string, ReplicaId> ids;
    const int lists = *rc::gen::inRange(1, 12);
    for (int i = 0; i < lists; ++i) {
      const bool full = *rc::gen::arbitrary<bool>();
      const std::vector<Said> entries = draw_entries(full);
      table.apply(full, entries);
      if (full) said.clear();
      for (const Said& each : entries) said[each.uid] = state_of(each.state);
      std::erase_if(said, [](const auto& each) { return each.second == EndpointState::removed; });
      std::erase_if(ids, [&](const auto& each) { return !said.contains(each.first); });
      for (const std::string& uid : kUids) {
        const auto expected = said.find(uid);
        RC_ASSERT(table.state(uid) == (expected == said.end() ? EndpointState::removed : expected->second));
        if (expected == said.end()) continue;
        const ReplicaId id = *table.id_of(uid);
        RC_ASSERT(ids.try_emplace(uid, id).first->second == id);
      }
      RC_ASSERT(table.listed_count() == said.size());
    }
  }));
}

// Guards against routers that cut the intervals differently, and that name a replica to each other by an id
// that is another replica's at the peer: the id depended on the order in which a router had learned of the
// replicas.
TEST_CASE("routers that have seen different lists assign the same id to a replica") {
  CHECK(rc::check("ids do not depend on the lists", [] {
    Table experienced;
    std::map<std::string, std::string> said;
    const int lists = *rc::gen::inRange(1, 8);
    for (int i = 0; i < lists; ++i) {
      const bool full = *rc::gen::arbitrary<bool>();
      std::vector<Said> entries = draw_entries(full);
      // These two share a complete number, so the order decides which one gets it.
      std::erase_if(entries, [](const Said& each) { return each.uid == "b-5be2a07c"; });
      experienced.apply(full, entries);
      if (full) said.clear();
      for (const Said& each : entries) said[each.uid] = each.state;
      std::erase_if(said, [](const auto& each) { return each.second == "DELETED"; });
    }
    Table fresh;
    std::vector<Said> current;
    for (const auto& [uid, state] : said) current.insert(current.begin(), {uid, state});
    fresh.apply(true, current);
    for (const Said& each : current) RC_ASSERT(experienced.id_of(each.uid) == fresh.id_of(each.uid));
  }));
}
