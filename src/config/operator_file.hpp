// The operator's file (TOML): everything that is not the platform's, off unless it is asked for here.
#pragma once

#include <cstdint>
#include <map>
#include <stdexcept>
#include <string>
#include <vector>

#include "membership/roster.hpp"
#include "models/catalogue.hpp"

namespace thornwick::config {

struct BadConfig : std::runtime_error {
  using std::runtime_error::runtime_error;
};

// [affinity]: what the router remembers of cached prompts (docs/affinities.md).
struct AffinityFile {
  bool enabled = false;
  std::uint64_t entries = 1'000'000;  // of sessions and prefixes together, at most
  std::uint64_t bytes = 0;            // reserved for them, at most; 0: a sixteenth of the memory limit
  std::uint64_t replicas = 4096;
  double lifetime_s = 1800;  // an entry unused for longer is forgotten
  double answers_per_false_alarm = 100'000;
  std::string eviction = "lru";  // or "segmented", "tinylfu"

  bool operator==(const AffinityFile&) const = default;
};

// [store]: where state outlives the process (docs/store.md).
struct StoreFile {
  std::string file;               // empty: nothing outlives it
  std::uint64_t megabytes = 256;  // the file's largest size
  double sync_s = 1;              // changes are durable within this ...
  std::uint64_t changes = 4096;   // ... or so many changes, whichever comes first

  bool operator==(const StoreFile&) const = default;
};

// [budgets] and [[budget]]: who may use how many tokens (docs/models.md). Names as the file has them; whether
// members and classes are known is checked against the platform's settings.
struct BudgetEntry {
  std::string name, member = "each", model = "all", cls = "all";  // a name, "each" or "all"
  std::string per = "minute";                                     // second, minute, hour, day
  double tokens = 0, burst = 0;  // burst: of a budget per second, what may be saved up; 0: a second's
  bool hard = true;
  std::uint32_t line = 0;

  bool operator==(const BudgetEntry&) const = default;
};
struct BudgetsFile {
  std::vector<BudgetEntry> budgets;
  bool fair = false;     // shares of the members by weighted fair admission where there is not enough
  bool charges = false;  // a log line for each charge
  double block = 0.02;   // of each limit that is granted ahead of what the store has
  double soft_worth = 0.1;
  std::uint64_t accounts = 65'536;

  bool operator==(const BudgetsFile&) const = default;
};

// [group] and [[router]]: the routers that know of each other (docs/membership.md).
struct GroupFile {
  std::string name;  // of the group; empty: there is none
  std::vector<std::string> sites;
  std::string self;    // this router's name in the list; empty: the configuration's
  std::string listen;  // empty: at this router's own address of the list
  std::string state;  // a file that outlives the process: which start of which disk it is; empty: every start
                      // is empty
  std::string status;     // a local socket for `thornwick group status`; empty: none
  double period_s = 2.4;  // between two probes
  bool links = true;      // whole views over kept connections to two neighbours
  std::vector<membership::RouterEntry> routers;
  std::uint32_t line = 0;

  bool operator==(const GroupFile&) const = default;
};

// [copies]: what this router holds for others is copied to further routers (docs/replication.md).
struct ReplicationFile {
  bool enabled = false;
  std::string file;              // of this router's copies; the ledgers' records
  std::uint64_t megabytes = 64;  // its largest size
  std::uint64_t holders = 3;     // of each ledger: 3 or 5
  double lease_s = 6;            // for which a router may use what it has in hand without a holder's answer
  double heartbeat_s = 0.25;     // of a ledger's leader; another is chosen after five to ten of them
  std::string without_majority = "strict";  // or "lenient": beyond what is in hand, up to `overdraft`
  double overdraft = 0.01;                  // of each limit, for each router
  std::uint32_t line = 0;

  bool operator==(const ReplicationFile&) const = default;
};

struct OperatorFile {
  std::string messages_listen;                 // empty: no second front
  std::string target_dialect = "platform";     // of replicas that are not named
  std::map<std::string, std::string> targets;  // uid -> dialect
  std::string flow_collector;                  // empty: no flow records
  std::uint32_t flow_domain = 1;
  AffinityFile affinity;
  StoreFile store;
  models::Catalogue catalogue;
  BudgetsFile budgets;
  GroupFile group;
  ReplicationFile replication;
  std::string path;  // of the file itself, for what is found wrong later

  // All that only a restart can change.
  bool same_but_models(const OperatorFile& other) const;
};

// Reads and checks all of it: an unknown table or key, a wrong type or a value out of range is an error.
// Throws BadConfig with one line for each error found, "FILE:LINE: KEY: what is wrong", in the file's order.
OperatorFile read_operator_file(const std::string& path);

}  // namespace thornwick::config
