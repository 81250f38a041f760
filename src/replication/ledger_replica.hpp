// One router's replica of one ledger: how it joins the ledger, its log and its state, and its duties as the
// leader.
//
// A replica goes through four stages:
// - blank: it has no state and no vote, and counts towards no majority. If the ledger exists, a leader fills
//   the replica; otherwise the replica founds the ledger together with all other replicas.
// - founding: it has durably recorded with which replicas it founds the ledger.
// - entering: it has the log of an earlier process, and learns from the other replicas' hellos whether they
//   have recorded a later state of its disk. If one has, the disk was set back to an older copy, and the
//   replica starts again as a blank one with a new id.
// - member: it takes part in consensus.
//
// Sources: ledger_replica.cpp (start, events), ledger_replica_stages.cpp (hellos and stages),
// ledger_replica_leader.cpp (members, sessions, requests). No I/O and no clock of its own; all on one thread;
// times are microseconds.
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
  std::size_t self = 0;           // this router, in the roster
  std::size_t replica_count = 3;  // replicas of the ledger
  std::shared_ptr<const membership::Roster> roster;
  Time lease_duration = seconds(6);  // a session without a lease request for this long expires
  double max_clock_drift = 0.02;     // by how much two clocks' rates may differ, as a part
  Time heartbeat_interval = milliseconds(250);
  Time election_timeout = milliseconds(1'200);
  Time hello_interval = milliseconds(500);  // between two hellos, until the replica is a member
  Time entry_timeout = seconds(30);         // entering: after this time a majority's hellos suffice
  unsigned snapshot_threshold = 4096;       // entries
  unsigned trailing_entries = 512;          // entries
  // Seeded faults that the tests have to find; for tests only.
  bool trust_any_disk = false;
  bool respond_before_majority = false;
};

class LedgerReplica {
 public:
  // Services of the owner. All of them have to outlive the replica.
  struct Dependencies {
    Records& records;  // of this ledger at this router
    std::function<std::uint64_t()> random_number;
    std::function<void(std::size_t member, std::string envelope)> send;
    LogSink write_log;
  };

  // `stored` are the replica's records on disk. The start of this process is counted in them.
  LedgerReplica(LedgerReplicaOptions options, Dependencies dependencies, const StoredRecords& stored,
                Time now);

  void tick(Time now);
  // Reports that all writes up to this number are durable.
  void on_durable(Time now, std::uint64_t number);
  // Handles a message from a member of the roster. Ignores a body that cannot be read.
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

  // Start.
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
  bool is_older_than(const Process& recorded) const;
  void found_when_agreed();
  FoundingView founding_view() const;
  bool have_all_agreed() const;
  void begin_founding(const Founders& founders);
  void found();
  void enter_when_acknowledged();
  std::size_t count_acknowledgements() const;

  // While it leads.
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

  bool is_wanted(std::size_t member) const;
  bool is_in_roster(const std::string& router) const;
  std::vector<std::size_t> other_wanted() const;
  std::string ledger_label() const;
  const std::string& name_of(std::size_t member) const { return options_.roster->at(member).name; }
  const std::string& own_name() const { return name_of(options_.self); }
  template <typename Body>
  void send(std::size_t member, MessageKind kind, const Body& body) {
    dependencies_.send(member, write(kind, options_.ledger, body));
  }

  LedgerReplicaOptions options_;
  Dependencies dependencies_;
  Time now_ = 0;
  Time entering_since_ = 0;
  Time hellos_sent_at_ = 0;
  Time duties_at_ = 0;
  Time positions_written_at_ = 0;
  Time ticked_at_ = 0;

  Process process_;
  Stage stage_ = Stage::blank;
  Founders founders_;  // the replicas with which this one founds, or founded, the ledger
  PeerTable peers_;
  ReplacementMap replaced_;  // as on disk
  std::vector<std::size_t> placed_members_;
  std::uint64_t durable_number_ = 0;
  std::uint64_t meta_mark_ = 0;                    // the start of this process is durable once this number is
  std::map<std::string, std::string> loaded_log_;  // log records, until consensus starts
  std::vector<std::string> loaded_log_keys_;
  bool discarded_disk_ = false;
  bool reset_pending_ = false;  // consensus could not start

  Ledger ledger_;
  std::optional<CommandResult> last_applied_;  // outcome of the latest command
  std::map<Session, Time> sessions_active_at_;
  bool was_leader_ = false;
  bool ready_ = false;                    // leads, and has applied all commands of earlier leaders
  Time proposed_at_ = 0;                  // latest command
  std::unique_ptr<Consensus> consensus_;  // declared last, because it calls back until it is destroyed
};

}  // namespace thornwick::replication
