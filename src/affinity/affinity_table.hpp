// The affinity table: which replica is believed to hold which cached prompt.
//
// The table learns from complete answers and from discovery's endpoint list, and gives the routing policy a
// cache hint with each request. The policy still decides: a hint changes nothing if its replica is outside
// the interval of the request's size, or clearly busier than the others. No I/O; the caller passes the time.
// Not thread-safe.
//
// This class is the facade of CopyLookup (lookup), CopyRecorder (learning) and TrustTracker (trust).
#pragma once

#include <cstdint>
#include <span>

#include "affinity/copy_lookup.hpp"
#include "affinity/copy_recorder.hpp"
#include "affinity/entry_table.hpp"
#include "affinity/journal.hpp"
#include "affinity/metrics.hpp"
#include "affinity/replica_registry.hpp"
#include "affinity/trust_tracker.hpp"

namespace thornwick::affinity {

struct Options {
  TableLimits table;
  std::size_t max_replicas = 4096;       // further replicas have no entries; at most 65,535
  Time lifetime = seconds(1'800);        // entries unused for longer are dropped
  double answers_per_false_alarm = 1e5;  // mean between false alarms, per replica and for the fleet
};

class AffinityTable {
 public:
  // Throws std::invalid_argument if a limit, the lifetime or the rate of false alarms is out of range. The
  // observer is not owned and may be null.
  explicit AffinityTable(const Options& options, Observer* observer = nullptr);

  // Not copyable: the members refer to each other.
  AffinityTable(const AffinityTable&) = delete;
  AffinityTable& operator=(const AffinityTable&) = delete;

  // Returns the cache hint for the routing policy; `has_replica` is false if there is none. The tokens of the
  // hint are an expected value: tokens of the copy times the probability that the copy is still there.
  CacheHint find_hint(Time now, const Request& request);

  // Called when the first token of an answer arrived, so the replica has read the prompt and holds a copy
  // from now on. Returns what was expected of the replica's cache before that; the caller keeps this value
  // until the answer is complete.
  Expectation on_answer_started(Time now, const Request& request, ReplicaId replica);

  // Called when an answer is complete: the replica found `cached_tokens` of the prompt in its cache and
  // generated `generated_tokens`.
  void on_answer_complete(Time now, const Request& request, ReplicaId replica, const Expectation& expectation,
                          double cached_tokens, double generated_tokens);

  // Invalidates the copies of replicas that restarted or are no longer listed. A failed update changes
  // nothing. A cached list, which may be old, removes no replica.
  void on_endpoints(EndpointUpdate scope, std::span<const Endpoint> entries);

  // Sets the journal to which every later change is offered. The journal is not owned; null: changes are not
  // stored.
  void set_journal(Journal* journal) { journal_.set_journal(journal); }

  // Restore stored entries before the first request, replicas first. Return false if the slot or the id is in
  // use, or the table is full. Copies of replicas that were not restored are not valid.
  bool restore_replica(Slot slot, const Replica& replica) { return replicas_.restore(slot, replica); }
  bool restore_session(std::uint64_t key, const Session& session) {
    return recorder_.restore_session(key, session);
  }
  bool restore_prefix(std::uint64_t key, const Prefix& prefix) {
    return recorder_.restore_prefix(key, prefix);
  }

  // Must be called after the last restored entry: accounts for what happened while this router was down. If
  // the clock was set back, no time is assumed to have passed.
  void finish_restore(Time now);

  const Metrics& metrics() const { return metrics_; }
  const EntryTable& table() const { return table_; }
  ReplicaRegistry& replicas() { return replicas_; }
  const ReplicaRegistry& replicas() const { return replicas_; }
  // False from the detected loss of the copies of the fleet until every replica is trusted again.
  bool fleet_trusted() const { return trust_.fleet_trusted(); }

 private:
  void on_endpoint(const Endpoint& entry);
  void remove_replica(Slot slot);

  Metrics metrics_;
  EntryTable table_;
  ReplicaRegistry replicas_;
  JournalWriter journal_{replicas_};
  CopyLookup lookup_;
  CopyRecorder recorder_{table_, replicas_, lookup_, journal_, metrics_};
  TrustTracker trust_;
};

}  // namespace thornwick::affinity
