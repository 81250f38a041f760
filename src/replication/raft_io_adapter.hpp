// C-Raft's I/O and state machine interfaces, implemented over the callbacks of a Consensus.
//
// Nothing is sent before the term and the vote that it speaks of are durable, and an entry counts as stored
// when it is durable. Completions are queued and run from run_pending(), never within the library's own call.
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

// The library wants addresses of servers to differ, and one router's name may have an old and a new disk for
// a while.
std::string address_of(ReplicaUid id, const std::string& name);
std::string name_of(std::string_view address);

class RaftIoAdapter {
 public:
  // `raft` is the library's instance that is given io() and fsm(); both outlive its last call to them.
  RaftIoAdapter(const raft& raft, Consensus::Dependencies dependencies, Time now);
  RaftIoAdapter(const RaftIoAdapter&) = delete;
  RaftIoAdapter& operator=(const RaftIoAdapter&) = delete;

  // Interfaces for raft_init, set up anew: the library keeps state of its own in them.
  raft_io* connect_io();
  raft_fsm* connect_fsm();

  LogStore& store() { return store_; }
  const LogStore& store() const { return store_; }
  // What of the log is durable.
  Position& durable_position() { return durable_position_; }
  const Position& durable_position() const { return durable_position_; }
  LogView log_view() const { return {raft_, store_.next_index()}; }
  VerifiedPrefix& verified() { return verified_; }

  void set_time(Time now) { now_ = now; }
  void on_durable(std::uint64_t number);
  // Whether the library has started and can be ticked.
  bool is_started() const { return on_tick_ != nullptr; }
  void tick() { on_tick_(&io_); }
  // Hands a message to the library, which keeps the sender's address to send its result there.
  void receive(raft_message& message);
  // Sets the address from which the message came that receive() is about to handle; null after it was
  // handled.
  void set_sender(const char* address) { sender_address_ = address; }
  // Runs completions and sends messages whose records are durable. Does nothing while it is running.
  void run_pending();
  // Drops messages that wait, and holds later ones until all that was written so far is durable.
  void restart_sending();

 private:
  struct HeldMessage {
    std::uint64_t barrier = 0;  // number of the records that have to be durable first
    ReplicaUid receiver = 0;
    std::string receiver_name;
    std::string bytes;
  };
  struct DiskWaiter {
    std::uint64_t mark = 0;
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
  Position durable_position_;
  VerifiedPrefix verified_;
  raft_io io_{};
  raft_fsm fsm_{};
  raft_io_tick_cb on_tick_ = nullptr;
  raft_io_recv_cb on_receive_ = nullptr;
  std::uint64_t durable_number_ = 0;
  std::uint64_t send_barrier_ = 0;  // of messages that are sent from now on
  std::deque<HeldMessage> held_messages_;
  std::deque<DiskWaiter> disk_waiters_;
  std::deque<std::function<void()>> completions_;
  bool running_pending_ = false;
  const char* sender_address_ = nullptr;
};

}  // namespace thornwick::replication
