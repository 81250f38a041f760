#include "replication/consensus.hpp"

#include "replication/log_matching.hpp"
#include "replication/log_records.hpp"
#include "replication/log_store.hpp"
#include "replication/message_pack.hpp"
#include "replication/raft_io_adapter.hpp"
#include "replication/raft_memory.hpp"
#include "replication/raft_messages.hpp"

namespace thornwick::replication {
namespace {

constexpr std::uint64_t kFoundingTerm = 1;
constexpr std::uint64_t kFoundingIndex = 1;
// The installation of a snapshot, or a catch-up round, may take this many election timeouts.
constexpr unsigned kSnapshotTimeouts = 10;
constexpr ReplicaUid kDigestIdDigits = 1000;  // a digest shows the last three digits of an id

// Rounds down, but not to 0, which the library would take for no timeout.
unsigned to_milliseconds(Time time) {
  return static_cast<unsigned>(std::max<Time>(1, time / milliseconds(1)));
}

// Opens a C-Raft instance and closes it at the end. While the instance is closed, the library still calls its
// I/O.
class RaftSession {
 public:
  explicit RaftSession(raft& instance) : raft_(instance) {}
  ~RaftSession() { close(); }
  RaftSession(const RaftSession&) = delete;
  RaftSession& operator=(const RaftSession&) = delete;

  // Returns the library's error code, 0 for success.
  [[nodiscard]] int open(raft_io* io, raft_fsm* fsm, ReplicaUid id, const std::string& address) {
    raft_ = {};
    const int status = raft_init(&raft_, io, fsm, id, address.c_str());
    is_open_ = status == 0;
    return status;
  }
  void close() {
    if (!is_open_) return;
    is_open_ = false;
    raft_close(&raft_, [](raft*) {});
  }

 private:
  raft& raft_;
  bool is_open_ = false;
};

// A command that the library has not completed. The library keeps the address of `request`.
struct Proposal {
  struct raft_apply request {};
  Consensus::ProposalDone done;
};

void on_proposal_done(struct raft_apply* request, int status, void*) {
  const std::unique_ptr<Proposal> proposal(static_cast<Proposal*>(request->data));
  proposal->done(status == 0 ? Consensus::ProposalOutcome::committed : Consensus::ProposalOutcome::unknown);
}

class DiscardingRecords final : public Records {
 public:
  void write(std::string, std::optional<std::string>) override {}
  std::uint64_t last_write_number() override { return 0; }
};

}  // namespace

// The library's instance and the library's I/O.
class Consensus::Node {
 public:
  Node(Options options, Dependencies dependencies, Time now)
      : options_(std::move(options)), adapter_(raft_, std::move(dependencies), now), session_(raft_) {}

  void load(const StoredRecords& stored);
  void start();
  void close() { session_.close(); }
  void erase();

  bool runs() const { return problem_.empty() && adapter_.is_started(); }
  bool is_leader() const { return runs() && raft_.state == RAFT_LEADER; }
  bool is_changing_members() const { return is_changing_members_; }
  const raft& instance() const { return raft_; }
  const RaftIoAdapter& adapter() const { return adapter_; }
  const std::string& problem() const { return problem_; }
  ReplicaUid leader_id();

  void tick(Time now);
  void on_message(Time now, ReplicaUid from, const std::string& name, std::uint64_t term,
                  std::string_view bytes);
  void on_durable(Time now, std::uint64_t number);
  bool propose(Time now, std::string_view command, ProposalDone done);
  // Calls the library's function for one kind of change.
  using RequestChange = std::function<int(raft*, raft_change*, raft_change_cb)>;
  bool change_members(Time now, const RequestChange& request);

 private:
  void commit_applied_configuration();
  void work_around_append_faults(AppendEntries& message);
  void restart_from(std::uint64_t truncation_index);
  void adopt_later_term(ReplicaUid from, const std::string& address, std::uint64_t term);

  Options options_;
  raft raft_{};
  RaftIoAdapter adapter_;
  RaftSession session_;  // declared after the adapter, which the library still calls while closing
  raft_change change_{};
  bool is_changing_members_ = false;
  std::string problem_;
};

void Consensus::Node::load(const StoredRecords& stored) {
  LogStore& store = adapter_.store();
  try {
    store.load(stored);
    adapter_.durable_position() = store.position();
    problem_ = store.problem();
  } catch (const std::exception&) {
    problem_ = "its records on disk cannot be decoded";
  }
}

void Consensus::Node::start() {
  if (!problem_.empty()) return;
  const std::string address = address_of(options_.id, options_.name);
  if (session_.open(adapter_.connect_io(), adapter_.connect_fsm(), options_.id, address) != 0) {
    problem_ = raft_errmsg(&raft_);
    return;
  }
  const unsigned election = to_milliseconds(options_.election_timeout);
  raft_set_election_timeout(&raft_, election);
  raft_set_heartbeat_timeout(&raft_, to_milliseconds(options_.heartbeat_interval));
  raft_set_snapshot_threshold(&raft_, options_.snapshot_threshold);
  raft_set_snapshot_trailing(&raft_, options_.trailing_entries);
  raft_set_install_snapshot_timeout(&raft_, kSnapshotTimeouts * election);
  raft_set_max_catch_up_round_duration(&raft_, kSnapshotTimeouts * election);
  raft_set_pre_vote(&raft_, true);
  if (raft_start(&raft_) != 0) problem_ = raft_errmsg(&raft_);
  adapter_.run_pending();
}

// Restarts the library from this replica's own records, truncated at `truncation_index`; see
// unsafe_truncation(). Later messages wait until these records are durable, because the messages may report
// entries that are not durable yet.
void Consensus::Node::restart_from(std::uint64_t truncation_index) {
  const LogView log = adapter_.log_view();
  EntriesByIndex retained;
  for (std::uint64_t index = log.offset() + 1; index < truncation_index; ++index) {
    retained[index] = stored_entry(log.entry_at(index));
  }
  adapter_.store().reload(std::move(retained), truncation_index);
  session_.close();
  adapter_.reset_sending();
  start();
}

void Consensus::Node::erase() {
  adapter_.store().erase();
  problem_ = "its records were erased";
}

// Works around a fault of the library: a change of members that a snapshot has committed stays pending in the
// library, so that the library would reject every later change.
void Consensus::Node::commit_applied_configuration() {
  const raft_index uncommitted = raft_.configuration_uncommitted_index;
  if (uncommitted == 0 || uncommitted > raft_.last_applied) return;
  raft_.configuration_index = std::max(raft_.configuration_index, uncommitted);
  raft_.configuration_uncommitted_index = 0;
}

void Consensus::Node::tick(Time now) {
  adapter_.set_time(now);
  commit_applied_configuration();
  if (runs()) adapter_.tick();
  adapter_.run_pending();
}

void Consensus::Node::on_durable(Time now, std::uint64_t number) {
  adapter_.set_time(now);
  adapter_.on_durable(number);
  adapter_.run_pending();
}

// Works around faults of the library that log_matching describes.
void Consensus::Node::work_around_append_faults(AppendEntries& message) {
  const LogView log = adapter_.log_view();
  skip_committed(message, log);
  adapter_.verified().on_append(message, log);
  skip_known(message, log);
  if (const std::uint64_t truncation_index = unsafe_truncation(message, log); truncation_index > 0)
    restart_from(truncation_index);
}

void Consensus::Node::on_message(Time now, ReplicaUid from, const std::string& name, std::uint64_t term,
                                 std::string_view bytes) {
  adapter_.set_time(now);
  if (!runs()) return;
  auto body = decode_message(bytes);
  if (!body) return;
  if (auto* entries = std::get_if<AppendEntries>(&*body)) work_around_append_faults(*entries);
  const std::string address = address_of(from, name);
  raft_message message{};
  message.server_id = from;
  message.server_address = address.c_str();
  fill_raft_message(message, std::move(*body));
  adapter_.set_sender(message.server_address);
  adapter_.receive(message);
  adopt_later_term(from, address, term);
  adapter_.set_sender(nullptr);
  adapter_.run_pending();
}

// Works around a fault of the library: the response to a candidate with an earlier term does not carry the
// later term. A candidate with a longer log than the servers of the later term would never be elected, and
// neither would those servers. The candidate is therefore given a request for a vote in the later term: the
// candidate adopts that term and rejects the request.
void Consensus::Node::adopt_later_term(ReplicaUid from, const std::string& address, std::uint64_t term) {
  if (!runs() || raft_.state != RAFT_CANDIDATE || term <= raft_.current_term) return;
  raft_message message{};
  message.server_id = from;
  message.server_address = address.c_str();
  fill_raft_message(message, RequestVote{.term = term, .candidate_id = from});
  adapter_.receive(message);
}

bool Consensus::Node::propose(Time now, std::string_view command, ProposalDone done) {
  adapter_.set_time(now);
  if (!is_leader() || command.size() > kMaxCommandBytes) return false;
  auto proposal = std::make_unique<Proposal>();
  proposal->done = std::move(done);
  proposal->request.data = proposal.get();
  const raft_buffer buffer = raft_buffer_of(command);
  RaftMemory memory(buffer.base);
  if (raft_apply(&raft_, &proposal->request, &buffer, 1, on_proposal_done) != 0) return false;
  // From here on the library owns the buffer, and on_proposal_done() frees the proposal.
  static_cast<void>(memory.release());
  static_cast<void>(proposal.release());
  adapter_.run_pending();
  return true;
}

bool Consensus::Node::change_members(Time now, const RequestChange& request) {
  adapter_.set_time(now);
  if (is_changing_members_ || !is_leader()) return false;
  change_.data = this;
  is_changing_members_ = true;
  const raft_change_cb on_done = [](raft_change* change, int) {
    static_cast<Node*>(change->data)->is_changing_members_ = false;
  };
  const bool accepted = request(&raft_, &change_, on_done) == 0;
  if (!accepted) is_changing_members_ = false;
  adapter_.run_pending();
  return accepted;
}

ReplicaUid Consensus::Node::leader_id() {
  raft_id id = 0;
  const char* address = nullptr;
  if (runs()) raft_leader(&raft_, &id, &address);
  return id;
}

Consensus::Consensus(Options options, Dependencies dependencies, const StoredRecords& stored, Time now)
    : node_(std::make_unique<Node>(std::move(options), std::move(dependencies), now)) {
  node_->load(stored);
  node_->start();
}

// Closes the node before `node_` is destroyed, because pending proposals call back.
Consensus::~Consensus() { node_->close(); }

bool Consensus::owns_key(std::string_view key) { return parse_log_key(key).kind != LogRecordKind::other; }

std::map<std::string, std::string> Consensus::founding_records(std::vector<LogMember> members) {
  std::sort(members.begin(), members.end(),
            [](const LogMember& left, const LogMember& right) { return left.id < right.id; });
  std::vector<StoredServer> servers;
  servers.reserve(members.size());
  for (const LogMember& member : members) {
    servers.push_back({member.id, address_of(member.id, member.name), RAFT_VOTER});
  }
  const StoredEntry configuration{kFoundingTerm, RAFT_CHANGE, encoded_configuration(servers)};
  return {{entry_key(kFoundingIndex), packed(configuration)},
          {vote_key(), packed(StoredVote{kFoundingTerm, 0})}};
}

LogPosition Consensus::position(const StoredRecords& stored) {
  DiscardingRecords ignored;
  LogStore store(ignored);
  store.load(stored);
  return store.position();
}

void Consensus::erase() { node_->erase(); }

void Consensus::tick(Time now) { node_->tick(now); }

void Consensus::on_message(Time now, ReplicaUid from, const std::string& name, std::uint64_t term,
                           std::string_view bytes) {
  node_->on_message(now, from, name, term, bytes);
}

void Consensus::on_durable(Time now, std::uint64_t number) { node_->on_durable(now, number); }

bool Consensus::is_leader() const { return node_->is_leader(); }

ReplicaUid Consensus::leader_id() const { return node_->leader_id(); }

LogPosition Consensus::position() const { return node_->adapter().durable_position(); }

std::uint64_t Consensus::commit_index() const { return node_->instance().commit_index; }

std::uint64_t Consensus::last_index() const { return node_->adapter().store().last_index(); }

bool Consensus::is_changing_members() const { return node_->is_changing_members(); }

const std::string& Consensus::problem() const { return node_->problem(); }

std::vector<LogMember> Consensus::members() const {
  std::vector<LogMember> members;
  if (!node_->runs()) return members;
  for (const StoredServer& server : servers_of(node_->instance().configuration)) {
    members.push_back({server.id, name_of(server.address), server.role == RAFT_VOTER});
  }
  return members;
}

std::string Consensus::digest() const {
  static constexpr const char* kStateNames[] = {"unavailable", "follower", "candidate", "leader"};
  const raft& instance = node_->instance();
  const LogStore& store = node_->adapter().store();
  std::string text = node_->runs() ? kStateNames[instance.state] : "stopped";
  text += ", term " + std::to_string(store.vote().term);
  text += ", last " + std::to_string(last_index());
  text += ", committed " + std::to_string(commit_index());
  text += ", snapshot " + std::to_string(store.snapshot().index);
  text += ", members";
  for (const LogMember& member : members()) {
    text += " " + member.name + "/" + std::to_string(member.id % kDigestIdDigits);
    if (!member.is_voter) text += "(no vote)";
  }
  if (!problem().empty()) text += ", problem: " + problem();
  if (instance.state == RAFT_UNAVAILABLE) text += ": " + std::string(instance.errmsg);
  return text;
}

bool Consensus::propose(Time now, std::string_view command, ProposalDone done) {
  return node_->propose(now, command, std::move(done));
}

bool Consensus::add(Time now, ReplicaUid id, const std::string& name) {
  const std::string address = address_of(id, name);
  return node_->change_members(now, [&](raft* instance, raft_change* change, raft_change_cb done) {
    return raft_add(instance, change, id, address.c_str(), done);
  });
}

bool Consensus::promote(Time now, ReplicaUid id) {
  return node_->change_members(now, [id](raft* instance, raft_change* change, raft_change_cb done) {
    return raft_assign(instance, change, id, RAFT_VOTER, done);
  });
}

bool Consensus::remove(Time now, ReplicaUid id) {
  return node_->change_members(now, [id](raft* instance, raft_change* change, raft_change_cb done) {
    return raft_remove(instance, change, id, done);
  });
}

}  // namespace thornwick::replication
