// What this router believes about cached prompts: learns from answers and from discovery's list, tells the
// routing policy with each request, and says when it can no longer be trusted. No I/O; the clock is handed
// in.
//
// The module goes on deciding. A belief that names a replica outside the request's interval, or one that is
// clearly busier, changes nothing.
#pragma once

#include <span>
#include <string_view>

#include "affinity/entry_table.hpp"
#include "affinity/replica_registry.hpp"

namespace thornwick::affinity {

struct Options {
  TableLimits table;
  std::size_t max_replicas = 4096;
  Time lifetime = seconds(1'800);        // an entry unused for longer is forgotten
  double answers_per_false_alarm = 1e5;  // between false losses of trust, for each replica and for the fleet
};

struct Metrics {
  std::uint64_t recalled = 0;          // requests that came with a belief
  std::uint64_t hits = 0, misses = 0;  // answers that had a copy to find, and did or did not
  std::uint64_t outdated = 0;          // answers whose copies were void by the time they came
  std::uint64_t fleet_losses = 0, replica_losses = 0, regained = 0;
  std::uint64_t expired = 0;  // entries that aged out, or whose copies were all void
  double expected_tokens = 0, found_tokens = 0, prompt_tokens = 0;  // of answers
};

// Hears of every change, so that it can be kept. Returns false if it cannot take it now; the change is
// offered again later.
class Journal {
 public:
  virtual ~Journal() = default;
  virtual bool session(std::uint64_t key, const Session& session) = 0;
  virtual bool prefix(std::uint64_t key, const Prefix& prefix) = 0;
  virtual bool session_gone(std::uint64_t key) = 0;
  virtual bool prefix_gone(std::uint64_t key) = 0;
  virtual bool replica(Slot slot, const Replica& replica) = 0;
};

// Hears of what operators want to know.
class Observer {
 public:
  virtual ~Observer() = default;
  virtual void fleet_lost(Time now) = 0;
  virtual void replica_lost(Time now, ReplicaId replica) = 0;
  virtual void replica_regained(Time now, ReplicaId replica) = 0;
};

// What a replica was expected to hold of a prompt when it began to answer. The caller keeps it until the
// tally.
struct Expectation {
  double tokens = 0, confidence = 0;
  double least = 0;  // a find of so many tokens or more is a hit
  double age = 0;    // tokens sent to the replica since the copy was used
  Epoch epoch =
      0;  // of the replica then: once its copies are void, what they were expected to bring proves nothing
};

class AffinityTable {
 public:
  // Throws std::invalid_argument where options make no sense. Neither pointer is owned; both may be null.
  explicit AffinityTable(const Options& options, Observer* observer = nullptr);

  // ------------------------------------------------------------ with each request
  // What the module is told. Tokens are those expected to be found: believed times how sure.
  CacheHint recall(Time now, const Request& request);
  // The replica has read the prompt: its first token came. From then on it holds a copy.
  Expectation began(Time now, const Request& request, ReplicaId replica);
  // An answer's tally: `kept` prompt tokens were found, `made` were made.
  void answered(Time now, const Request& request, ReplicaId replica, const Expectation& was, double kept,
                double generated);

  // ------------------------------------------------------------ discovery
  void on_endpoints(EndpointUpdate scope, std::span<const Endpoint> entries);

  // ------------------------------------------------------------ across a stop
  // From then on every change goes there.
  void keep_in(Journal* journal) { journal_ = journal; }
  // What was kept, before the first request. Replicas first; entries of unknown replicas are void and not
  // taken.
  bool restore_replica(Slot slot, const Replica& replica) { return replicas_.restore(slot, replica); }
  bool restore_session(std::uint64_t key, const Session& session);
  bool restore_prefix(std::uint64_t key, const Prefix& prefix);
  // After the last of them: what went on while this router was down is made up for. A clock that went
  // backwards counts as no time at all.
  void restored(Time now);

  // ------------------------------------------------------------ for operators
  const Metrics& metrics() const { return metrics_; }
  const EntryTable& table() const { return table_; }
  ReplicaRegistry& replicas() { return replicas_; }
  const ReplicaRegistry& replicas() const { return replicas_; }
  bool trusted() const { return !fleet_doubted_; }

 private:
  struct Found {
    const Copy* copy = nullptr;
    double tokens = 0, confidence = 0;
  };
  bool living(const Copy& copy, std::uint32_t now) const;
  template <std::size_t N>
  bool any_living(const Copies<N>& copies, std::uint32_t now) const;
  Found usable(const Copy& copy, double most_tokens, std::uint32_t now) const;
  double age_of(const Copy& copy) const;
  double sure_of(const Copy& copy) const;
  template <std::size_t N>
  Found best(const Copies<N>& copies, double most_tokens, std::uint32_t now) const;
  template <std::size_t N>
  void catch_up(const Copies<N>& copies);
  Found spread(Prefix& prefix, const Request& request, std::uint32_t now);
  Expectation expected(const Request& request, Slot slot, std::uint32_t now);
  bool shown(Slot slot);
  void learn(Time now, Slot slot, const Expectation& was, bool hit);
  void lose_fleet(Time now);
  void lose_replica(Time now, Slot slot);
  void believe(Time now, const Request& request, Slot slot);
  void sent(Time now, Replica& replica, double tokens);
  void forget_some(std::uint32_t now);
  void save(std::uint64_t key, Session& session);
  void save(std::uint64_t key, Prefix& prefix);
  void save_replica(Slot slot);
  void take_entry(const Endpoint& entry);

  Options options_;
  Observer* observer_;
  Journal* journal_ = nullptr;
  EntryTable table_;
  ReplicaRegistry replicas_;
  LossTest fleet_loss_;
  std::uint32_t asked_ = 0;  // requests; wraps
  std::size_t next_replica_ = 0;
  bool fleet_doubted_ = false;
  Metrics metrics_;
};

}  // namespace thornwick::affinity
