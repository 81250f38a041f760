// One router's replica of one ledger: how it joins the ledger, its log and its state, and its duties as the
// leader.
//
// A replica goes through four stages:
// - blank: the replica has no state and no vote, and counts towards no majority. If the ledger exists, a
// leader
//   sends the replica the log; otherwise the replica founds the ledger together with all other replicas.
// - founding: the replica has durably recorded with which other replicas it founds the ledger.
// - entering: the replica has the log of an earlier process, and learns from the other replicas' hellos
// whether
//   they have recorded a later state of its disk. If one has, the disk was set back to an older copy, and the
//   replica starts again as a blank one with a new id.
// - member: the replica takes part in consensus.
//
// Sources: ledger_replica.cpp (start, events), ledger_replica_stages.cpp (hellos and stages),
// ledger_replica_leader.cpp (members, sessions, requests). A replica does no I/O and has no clock; all calls
// are on one thread; times are microseconds.
#pragma once

#include <map>
#include <memory>
#include <string>
#include <vector>

#include "replication/log_sink.hpp"
#include "replication/message.hpp"
#include "replication/peer_table.hpp"
#include "replication/replica_placement.hpp"

namespace thornwick::replication {

struct LedgerReplicaOptions {
  std::size_t ledger = 0;
  std::size_t self = 0;           // index of this router in the roster
  std::size_t replica_count = 3;  // replicas of the ledger
  std::shared_ptr<const membership::Roster> roster;
  Time lease_duration = seconds(6);  // a session without a lease request for this long expires
  double max_clock_drift = 0.02;     // difference of two clocks' rates at most, as a fraction
  Time heartbeat_interval = milliseconds(250);
  Time election_timeout = milliseconds(1'200);
  Time hello_interval = milliseconds(500);  // interval of hellos until the replica is a member
  Time entry_timeout = seconds(30);         // after this time in stage entering, hellos of a majority suffice
  unsigned snapshot_threshold = 4096;       // entries between two snapshots
  unsigned trailing_entries = 512;          // entries kept in the log before a snapshot
  // Faults that tests switch on, to show that their checks find them.
  bool trust_any_disk = false;
  bool respond_before_majority = false;
};

class LedgerReplica {
 public:
  // Services of the owner, which have to outlive the replica.
  struct Dependencies {
    Records& records;  // records of this ledger at this router
    std::function<std::uint64_t()> random_number;
    std::function<void(std::size_t member, std::string envelope)> send;
    LogSink write_log;
  };

  // `stored` are the replica's records on disk. The constructor counts the start of this process there.
  LedgerReplica(LedgerReplicaOptions options, Dependencies dependencies, const StoredRecords& stored,
                Time now);

  void tick(Time now);
  // Reports that all writes up to this number are durable.
  void on_durable(Time now, std::uint64_t number);
  // Handles a message from a member of the roster. Ignores a body that cannot be decoded.
  void on_message(Time now, std::size_t member, MessageKind kind, std::string_view body);

  Stage stage() const { return stage_; }
  bool is_leader() const { return consensus_ && consensus_->is_leader(); }
  const Ledger& ledger() const { return ledger_; }
  // Null until the replica is a member.
  const Consensus* consensus() const { return consensus_.get(); }
  const Process& process() const { return process_; }
  // Whether this process discarded the state on its disk.
  bool discarded_disk() const { return discarded_disk_; }
  // The leader's router; empty if the leader is not known.
  std::string leader_name() const;
  // The members of the roster on which replicas of the ledger are placed.
  const std::vector<std::size_t>& placed_members() const { return placed_members_; }

 private:
  enum class LoadResult : std::uint8_t { nothing, loaded, unreadable };
  struct FoundingView {
    Founders founders;        // this replica, and those that sent a hello recently
    bool all_recent = true;   // every other replica sent a hello recently
    bool is_founded = false;  // another replica has founded the ledger with the agreed founders
  };

  // Start, stages' storage, and events.
  LoadResult load(const StoredRecords& stored);
  void start_process(LoadResult loaded);
  void write_meta();
  void reset_to_blank(const std::string& reason);
  void start_consensus(const std::map<std::string, std::string>& log);
  Consensus::Dependencies consensus_dependencies();
  void send_raft(ReplicaUid receiver, const std::string& router, std::string bytes);
  bool restore(std::string_view snapshot);
  void update_placement();
  void compensate_for_stall();
  void send_due_hellos();
  void on_raft_message(std::size_t member, const RaftMessage& message);

  // Hellos and stages.
  void send_hello(std::size_t member);
  void send_hellos();
  void on_hello(std::size_t member, const Hello& hello);
  void join_existing(const Hello& hello);
  bool is_superseded_by(const Process& recorded) const;
  void found_when_agreed();
  FoundingView founding_view() const;
  bool have_all_agreed() const;
  void begin_founding(const Founders& founders);
  void found();
  void enter_when_acknowledged();
  std::size_t count_acknowledgements() const;

  // Duties of the leader.
  void perform_leader_duties();
  void begin_leadership();
  void maintain_members();
  void expire_sessions();
  bool propose(Command command, Consensus::ProposalDone done);
  void on_applied(std::string_view command);
  void on_lease_request(std::size_t member, const LeaseRequest& request);
  void on_correction(std::size_t member, const Correction& correction);
  void on_replacement(std::size_t member, const Replacement& replacement);
  void accept_operator(std::size_t member, std::uint64_t id);
  void reject_operator(std::size_t member, std::uint64_t id, OperatorRejection rejection);
  void respond_before_commit(std::size_t member, const Command& command);
  enum class RejectReason : std::uint8_t { not_leader, clock_ahead };
  void reject(std::size_t member, std::uint64_t number, RejectReason reason);
  bool is_window_far_ahead(const LeaseRequestLine& line) const;

  bool is_placed(std::size_t member) const;
  bool is_in_roster(const std::string& router) const;
  std::vector<std::size_t> other_placed_members() const;
  std::string ledger_label() const;
  const std::string& name_of(std::size_t member) const { return options_.roster->at(member).name; }
  const std::string& local_name() const { return name_of(options_.self); }
  template <typename Body>
  void send(std::size_t member, MessageKind kind, const Body& body) {
    dependencies_.send(member, write(kind, options_.ledger, body));
  }

  LedgerReplicaOptions options_;
  Dependencies dependencies_;
  Time now_ = 0;
  Time entering_since_ = 0;
  Time last_hellos_at_ = 0;
  Time last_duties_at_ = 0;
  Time last_positions_written_at_ = 0;
  Time last_tick_at_ = 0;

  Process process_;
  Stage stage_ = Stage::blank;
  Founders founders_;  // the replicas that found, or have founded, the ledger
  PeerTable peers_;
  ReplacementMap replaced_;  // the ledger's replacements as stored on disk
  std::vector<std::size_t> placed_members_;
  std::uint64_t durable_number_ = 0;
  std::uint64_t meta_write_number_ = 0;  // write number with which the start of this process is durable
  std::map<std::string, std::string> loaded_log_;  // records of the log, by key, until consensus starts
  std::vector<std::string> loaded_log_keys_;
  bool discarded_disk_ = false;
  bool reset_pending_ = false;  // consensus could not start, so the replica becomes blank

  Ledger ledger_;
  std::optional<CommandResult> last_result_;  // result of the latest command
  std::map<Session, Time> session_active_at_;
  bool was_leader_ = false;
  bool is_ready_ = false;  // this replica leads, and has applied all commands of earlier leaders
  Time last_proposal_at_ = 0;
  std::unique_ptr<Consensus> consensus_;  // declared last, because it calls back until it is destroyed
};

}  // namespace thornwick::replication
