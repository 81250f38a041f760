// One router's quota lease client, and its replicas of some ledgers. The node passes messages, ticks and
// durable writes on to them.
//
// The node does no I/O and has no clock; all calls are on one thread; times are microseconds.
#pragma once

#include <deque>
#include <map>
#include <memory>

#include "replication/ledger_replica.hpp"
#include "replication/quota_lease_client.hpp"

namespace thornwick::replication {

struct Options {
  LedgerReplicaOptions replica;  // options of each replica; ReplicationNode sets `ledger`
  QuotaLeaseOptions quota_client;
};

// Counters of messages since the start. Messages of this router to itself count as neither received nor sent.
struct MessageCounters {
  std::uint64_t received = 0;
  std::uint64_t unreadable = 0;
  std::uint64_t other_version = 0;
  std::uint64_t sent = 0;
  std::uint64_t sent_bytes = 0;
};

class ReplicationNode {
 public:
  // Services of the owner, which have to outlive the node.
  struct Dependencies {
    std::function<Records&(std::size_t ledger)> records;
    // Calls the visitor with each stored record of a ledger, in the order of their keys.
    std::function<void(std::size_t ledger, const RecordVisitor&)> stored;
    std::function<std::uint64_t()> random_number;
    // Sends a message to another router. Messages may be lost.
    std::function<void(std::size_t member, std::string bytes)> send;
    LogSink write_log;
  };
  // Opens a replica of each ledger that is placed on this router or has records here.
  ReplicationNode(Options options, Dependencies dependencies, Time now);

  void tick(Time now);
  // Reports that all writes up to this number are durable.
  void on_durable(Time now, std::uint64_t number);
  // Handles a message from a member of the roster. Counts and drops a message that cannot be decoded.
  void on_message(Time now, std::size_t member, std::string_view bytes);
  // Delivers the messages of this router to itself. The owner calls this function after each call of the
  // quota lease client.
  void deliver_to_self(Time now);

  QuotaLeaseClient& quota_client() { return *quota_client_; }
  const QuotaLeaseClient& quota_client() const { return *quota_client_; }
  // This router's replicas, by ledger.
  const std::map<std::size_t, std::unique_ptr<LedgerReplica>>& replicas() const { return ledger_replicas_; }
  const MessageCounters& metrics() const { return metrics_; }
  const Options& options() const { return options_; }

 private:
  bool has_records(std::size_t ledger) const;
  void open(std::size_t ledger, Time now);
  void send(std::size_t member, std::string bytes);
  void deliver(Time now, std::size_t member, std::string_view bytes);
  void on_other_version(std::size_t member, std::uint8_t version);
  void open_if_placed(std::size_t ledger, std::string_view hello_body, Time now);
  void reject_without_replica(std::size_t member, std::size_t ledger, std::string_view request_body);

  Options options_;
  Dependencies dependencies_;
  std::map<std::size_t, std::unique_ptr<LedgerReplica>> ledger_replicas_;
  std::unique_ptr<QuotaLeaseClient> quota_client_;
  std::deque<std::string> to_self_;  // messages from this router to itself
  bool version_logged_ = false;
  bool is_delivering_to_self_ = false;
  MessageCounters metrics_;
};

}  // namespace thornwick::replication
