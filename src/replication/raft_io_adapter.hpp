// Implements C-Raft's I/O and state machine interfaces with the callbacks of a Consensus.
//
// A message is sent only when the term and the vote that the message reports are durable, and an entry counts
// as stored when the entry is durable. Completions are queued and run from run_pending(), never within the
// library's own call.
#pragma once

#include <cstdint>
#include <deque>
#include <functional>
#include <string>

#include "replication/consensus.hpp"
#include "replication/log_matching.hpp"
#include "replication/log_store.hpp"
#include "replication/raft_memory.hpp"

namespace thornwick::replication {

// The address of a replica for the library, "name#id". The library requires different addresses of servers,
// and one router's name may have an old and a new disk for a while.
std::string address_of(ReplicaUid id, const std::string& name);
// The router's name in an address.
std::string name_of(std::string_view address);

class RaftIoAdapter {
 public:
  // `raft` is the library's instance that uses connect_io() and connect_fsm(). This adapter has to outlive
  // that instance's last call.
  RaftIoAdapter(const raft& raft, Consensus::Dependencies dependencies, Time now);
  RaftIoAdapter(const RaftIoAdapter&) = delete;
  RaftIoAdapter& operator=(const RaftIoAdapter&) = delete;

  // Set up and return the interfaces for raft_init. The library keeps state in them, so each raft_init needs
  // a new call.
  raft_io* connect_io();
  raft_fsm* connect_fsm();

  LogStore& store() { return store_; }
  const LogStore& store() const { return store_; }
  // The position up to which the log is durable.
  LogPosition& durable_position() { return durable_position_; }
  const LogPosition& durable_position() const { return durable_position_; }
  LogView log_view() const { return {raft_, store_.next_index()}; }
  VerifiedPrefix& verified() { return verified_; }

  void set_time(Time now) { now_ = now; }
  void on_durable(std::uint64_t number);
  // Whether the library has started, so that tick() may be called.
  bool is_started() const { return on_tick_ != nullptr; }
  void tick() { on_tick_(&io_); }
  // Passes a message to the library, which keeps the sender's address for the response.
  void receive(raft_message& message);
  // Sets the sender's address of the message that the next receive() handles; null after the message was
  // handled.
  void set_sender(const char* address) { sender_address_ = address; }
  // Runs completions, and sends messages whose records are durable. Does nothing when called from within
  // itself.
  void run_pending();
  // Drops the messages that wait, and holds later messages until all writes so far are durable.
  void reset_sending();

 private:
  struct HeldMessage {
    std::uint64_t required_write = 0;  // number of the write that has to be durable first
    ReplicaUid receiver = 0;
    std::string receiver_name;
    std::string bytes;
  };
  struct DiskWaiter {
    std::uint64_t required_write = 0;
    std::function<void()> done;
  };

  static RaftIoAdapter& from(const raft_io* io) { return *static_cast<RaftIoAdapter*>(io->impl); }
  static RaftIoAdapter& from(const raft_fsm* fsm) { return *static_cast<RaftIoAdapter*>(fsm->data); }
  void connect_lifecycle();
  void connect_storage();
  void connect_transport();

  void close(raft_io_close_cb done);
  void load(raft_term* term, raft_id* voted_for, raft_snapshot** snapshot, raft_index* start_index,
            raft_entry** entries, std::size_t* count);
  void append(raft_io_append* request, const raft_entry* entries, unsigned count, raft_io_append_cb done);
  void put_snapshot(unsigned trailing, raft_io_snapshot_put* request, const raft_snapshot* snapshot,
                    raft_io_snapshot_put_cb done);
  int send(raft_io_send* request, const raft_message& message, raft_io_send_cb done);
  raft_snapshot* stored_snapshot() const;
  void on_vote_written();
  void on_log_written();
  void when_durable(std::function<void()> done);
  bool is_expected_by_receiver(const raft_message& result) const;
  bool run_durable_waiters();
  bool run_completions();
  void send_held();

  const raft& raft_;
  Consensus::Dependencies dependencies_;
  Time now_;
  LogStore store_;
  LogPosition durable_position_;
  VerifiedPrefix verified_;
  raft_io io_{};
  raft_fsm fsm_{};
  raft_io_tick_cb on_tick_ = nullptr;
  raft_io_recv_cb on_receive_ = nullptr;
  std::uint64_t durable_number_ = 0;
  std::uint64_t next_required_write_ = 0;  // required write of the messages that are sent from now on
  std::deque<HeldMessage> held_messages_;
  std::deque<DiskWaiter> disk_waiters_;
  std::deque<std::function<void()>> completions_;
  bool is_running_pending_ = false;
  const char* sender_address_ = nullptr;
};

}  // namespace thornwick::replication
