#include "replication/raft_io_adapter.hpp"

#include <algorithm>
#include <utility>

#include "replication/raft_messages.hpp"

namespace thornwick::replication {
namespace {

// The maximum number of messages that wait for the disk. Further messages are dropped, as a network may do,
// too.
constexpr std::size_t kMaxHeldMessages = 4096;
constexpr int kIoVersion = 2;
constexpr int kFsmVersion = 1;

}  // namespace

std::string address_of(ReplicaUid id, const std::string& name) { return name + "#" + std::to_string(id); }

std::string name_of(std::string_view address) { return std::string(address.substr(0, address.rfind('#'))); }

RaftIoAdapter::RaftIoAdapter(const raft& raft, Consensus::Dependencies dependencies, Time now)
    : raft_(raft), dependencies_(std::move(dependencies)), now_(now), store_(dependencies_.records) {}

raft_io* RaftIoAdapter::connect_io() {
  io_ = {};
  io_.version = kIoVersion;
  io_.impl = this;
  connect_lifecycle();
  connect_storage();
  connect_transport();
  return &io_;
}

void RaftIoAdapter::connect_lifecycle() {
  io_.init = [](raft_io*, raft_id, const char*) { return 0; };
  io_.close = [](raft_io* io, raft_io_close_cb done) { from(io).close(done); };
  io_.start = [](raft_io* io, unsigned, raft_io_tick_cb on_tick, raft_io_recv_cb on_receive) {
    from(io).on_tick_ = on_tick;
    from(io).on_receive_ = on_receive;
    return 0;
  };
  io_.time = [](raft_io* io) { return static_cast<raft_time>(from(io).now_ / milliseconds(1)); };
  io_.random = [](raft_io* io, int min, int max) {
    const auto range = static_cast<std::uint64_t>(std::max(1, max - min));
    return min + static_cast<int>(from(io).dependencies_.random_number() % range);
  };
  io_.async_work = [](raft_io* io, raft_io_async_work* request, raft_io_async_work_cb done) {
    from(io).completions_.emplace_back([request, done] { done(request, request->work(request)); });
    return 0;
  };
}

void RaftIoAdapter::connect_storage() {
  io_.load = [](raft_io* io, raft_term* term, raft_id* voted_for, raft_snapshot** snapshot,
                raft_index* start_index, raft_entry** entries, std::size_t* count) {
    from(io).load(term, voted_for, snapshot, start_index, entries, count);
    return 0;
  };
  io_.bootstrap = [](raft_io*, const raft_configuration*) -> int { return RAFT_CANTBOOTSTRAP; };
  io_.recover = [](raft_io*, const raft_configuration*) -> int { return RAFT_CANTBOOTSTRAP; };
  io_.set_term = [](raft_io* io, raft_term term) {
    from(io).store_.set_term(term);
    from(io).on_vote_written();
    return 0;
  };
  io_.set_vote = [](raft_io* io, raft_id candidate) {
    from(io).store_.set_vote(candidate);
    from(io).on_vote_written();
    return 0;
  };
  io_.append = [](raft_io* io, raft_io_append* request, const raft_entry* entries, unsigned count,
                  raft_io_append_cb done) {
    from(io).append(request, entries, count, done);
    return 0;
  };
  io_.truncate = [](raft_io* io, raft_index index) {
    from(io).store_.truncate(index);
    return 0;
  };
  io_.snapshot_put = [](raft_io* io, unsigned trailing, raft_io_snapshot_put* request,
                        const raft_snapshot* snapshot, raft_io_snapshot_put_cb done) {
    from(io).put_snapshot(trailing, request, snapshot, done);
    return 0;
  };
  io_.snapshot_get = [](raft_io* io, raft_io_snapshot_get* request, raft_io_snapshot_get_cb done) {
    RaftIoAdapter& adapter = from(io);
    adapter.completions_.emplace_back(
        [&adapter, request, done] { done(request, adapter.stored_snapshot(), 0); });
    return 0;
  };
}

void RaftIoAdapter::connect_transport() {
  io_.send = [](raft_io* io, raft_io_send* request, const raft_message* message, raft_io_send_cb done) {
    return from(io).send(request, *message, done);
  };
}

raft_fsm* RaftIoAdapter::connect_fsm() {
  fsm_ = {};
  fsm_.version = kFsmVersion;
  fsm_.data = this;
  fsm_.apply = [](raft_fsm* fsm, const raft_buffer* command, void** result) {
    *result = nullptr;
    from(fsm).dependencies_.apply(bytes_of(*command));
    return 0;
  };
  fsm_.snapshot = [](raft_fsm* fsm, raft_buffer** buffers, unsigned* count) {
    *buffers = raft_array<raft_buffer>(1);
    *count = 1;
    (*buffers)[0] = raft_buffer_of(from(fsm).dependencies_.snapshot());
    return 0;
  };
  fsm_.restore = [](raft_fsm* fsm, raft_buffer* snapshot) -> int {
    if (!from(fsm).dependencies_.restore(bytes_of(*snapshot))) return RAFT_MALFORMED;
    raft_free(snapshot->base);
    return 0;
  };
  return &fsm_;
}

// Reports waiting writes as durable, not as cancelled: for each cancelled write the library would remove the
// write's entries from a log that may have been truncated since. No message is sent after this call.
void RaftIoAdapter::close(raft_io_close_cb done) {
  for (auto& waiter : std::exchange(disk_waiters_, {})) waiter.done();
  for (auto& completion : std::exchange(completions_, {})) completion();
  done(&io_);
}

void RaftIoAdapter::load(raft_term* term, raft_id* voted_for, raft_snapshot** snapshot,
                         raft_index* start_index, raft_entry** entries, std::size_t* count) {
  *term = store_.vote().term;
  *voted_for = store_.vote().candidate;
  *snapshot = store_.snapshot().index > 0 ? stored_snapshot() : nullptr;
  EntriesByIndex loaded = store_.take_loaded_entries();
  *start_index = loaded.empty() ? store_.snapshot().index + 1 : loaded.begin()->first;
  std::vector<StoredEntry> in_order;
  in_order.reserve(loaded.size());
  for (auto& [index, entry] : loaded) in_order.push_back(std::move(entry));
  *entries = raft_entries_of(in_order);
  *count = in_order.size();
}

// Returns a copy of the stored snapshot, which the library frees.
raft_snapshot* RaftIoAdapter::stored_snapshot() const {
  const StoredSnapshot& stored = store_.snapshot();
  auto* snapshot = raft_array<raft_snapshot>(1);
  snapshot->index = stored.index;
  snapshot->term = stored.term;
  snapshot->configuration_index = stored.configuration_index;
  fill_configuration(snapshot->configuration, stored.servers);
  snapshot->bufs = raft_array<raft_buffer>(1);
  snapshot->n_bufs = 1;
  snapshot->bufs[0] = raft_buffer_of(store_.snapshot_data());
  return snapshot;
}

void RaftIoAdapter::append(raft_io_append* request, const raft_entry* entries, unsigned count,
                           raft_io_append_cb done) {
  store_.append(stored_entries(entries, count));
  on_log_written();
  when_durable([request, done] { done(request, 0); });
}

void RaftIoAdapter::put_snapshot(unsigned trailing, raft_io_snapshot_put* request,
                                 const raft_snapshot* snapshot, raft_io_snapshot_put_cb done) {
  StoredSnapshot stored;
  stored.index = snapshot->index;
  stored.term = snapshot->term;
  stored.configuration_index = snapshot->configuration_index;
  stored.servers = servers_of(snapshot->configuration);
  std::string data;
  for (unsigned i = 0; i < snapshot->n_bufs; ++i) data += bytes_of(snapshot->bufs[i]);
  store_.put_snapshot(std::move(stored), std::move(data), trailing);
  on_log_written();
  when_durable([request, done] { done(request, 0); });
}

void RaftIoAdapter::when_durable(std::function<void()> done) {
  disk_waiters_.push_back({dependencies_.records.last_write_number(), std::move(done)});
}

void RaftIoAdapter::on_vote_written() {
  next_required_write_ = dependencies_.records.last_write_number();
  when_durable([this, term = store_.vote().term] { durable_position_.term = term; });
}

// The durable position never goes back: entries that are truncated before they are durable are replaced by
// entries of a later term.
void RaftIoAdapter::on_log_written() {
  when_durable([this, last_term = store_.last_term(), last_index = store_.last_index()] {
    durable_position_.last_term = last_term;
    durable_position_.last_index = last_index;
  });
}

void RaftIoAdapter::on_durable(std::uint64_t number) { durable_number_ = std::max(durable_number_, number); }

void RaftIoAdapter::receive(raft_message& message) { on_receive_(&io_, &message); }

// Guards against a wrong receiver address. When the records of an append are durable, the library sends the
// result to the current leader. If this replica no longer has a leader, or is a candidate, the library's
// union has other data in the place of the leader's address.
bool RaftIoAdapter::is_expected_by_receiver(const raft_message& result) const {
  if (sender_address_ != nullptr && result.server_address == sender_address_) return true;
  if (raft_.state != RAFT_FOLLOWER) return false;
  const auto& leader = raft_.follower_state.current_leader;
  return leader.id != 0 && leader.address != nullptr && result.server_address == leader.address;
}

int RaftIoAdapter::send(raft_io_send* request, const raft_message& message, raft_io_send_cb done) {
  if (message.type == RAFT_IO_APPEND_ENTRIES_RESULT && !is_expected_by_receiver(message)) {
    return RAFT_NOCONNECTION;
  }
  auto body = protocol_message(message);
  if (body && held_messages_.size() < kMaxHeldMessages) {
    if (auto* result = std::get_if<AppendEntriesResult>(&*body)) {
      verified_.limit(*result, raft_.commit_index);
    }
    held_messages_.push_back(
        {next_required_write_, message.server_id, name_of(message.server_address), encode(std::move(*body))});
  }
  completions_.emplace_back([request, done] { done(request, 0); });
  return 0;
}

void RaftIoAdapter::reset_sending() {
  held_messages_.clear();
  next_required_write_ = dependencies_.records.last_write_number();
}

// Repeats until nothing has run, because a completion may queue writes and further completions.
void RaftIoAdapter::run_pending() {
  if (std::exchange(is_running_pending_, true)) return;
  bool has_more = true;
  while (has_more) {
    const bool ran_waiters = run_durable_waiters();
    const bool ran_completions = run_completions();
    send_held();
    has_more = ran_waiters || ran_completions;
  }
  is_running_pending_ = false;
}

bool RaftIoAdapter::run_durable_waiters() {
  bool ran_any = false;
  while (!disk_waiters_.empty() && disk_waiters_.front().required_write <= durable_number_) {
    const auto done = std::move(disk_waiters_.front().done);
    disk_waiters_.pop_front();
    done();
    ran_any = true;
  }
  return ran_any;
}

bool RaftIoAdapter::run_completions() {
  bool ran_any = false;
  while (!completions_.empty()) {
    const auto done = std::move(completions_.front());
    completions_.pop_front();
    done();
    ran_any = true;
  }
  return ran_any;
}

void RaftIoAdapter::send_held() {
  while (!held_messages_.empty() && held_messages_.front().required_write <= durable_number_) {
    HeldMessage message = std::move(held_messages_.front());
    held_messages_.pop_front();
    dependencies_.send(message.receiver, message.receiver_name, std::move(message.bytes));
  }
}

}  // namespace thornwick::replication
