// Accepts changes from an event loop without blocking it, and writes them to a File in a thread of its own.
//
// The loop gathers changes into a batch, in which a later change of a record replaces an earlier one. A batch
// is handed over in one atomic pointer, without a lock. While the thread is busy with a slow disk, the loop
// continues to gather changes up to a bound. Changes beyond the bound are rejected and counted, and the
// caller offers them again later.
//
// After a crash, the file holds the state after some whole batch: a prefix of what was accepted, which lacks
// at most the batch being written, the batch waiting for the thread and the batch being gathered.
#pragma once

#include <absl/container/flat_hash_map.h>

#include <atomic>
#include <chrono>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <thread>
#include <vector>

#include "store/file.hpp"

namespace thornwick::store {

struct WriterOptions {
  // The bound on accepted changes that are not durable, while the disk keeps up. A batch is handed over as
  // soon as it has a third of this: one batch is gathered, one waits for the thread, one is being written.
  std::size_t max_undurable_changes = 4096;
  // The bounds on the batch that is being gathered; beyond them changes are rejected. Up to three batches of
  // this size may exist.
  std::size_t max_gathered_records = 65536;
  std::size_t max_gathered_bytes = std::size_t{16} << 20;  // of their keys and values
  // The backoff before a failed write is retried; it doubles with each failure in a row.
  std::chrono::milliseconds initial_retry_delay{250};
  std::chrono::milliseconds max_retry_delay{30'000};
  // Called in the writer's thread before each write. For tests, which make it block or throw StoreError.
  std::function<void()> before_write = {};
  // Called in the writer's thread after each batch that became durable.
  std::function<void()> on_written = {};
};

// Counters since the start, except where noted.
struct WriterMetrics {
  std::uint64_t accepted = 0;  // changes, replaced ones included
  std::uint64_t replaced = 0;  // changes replaced by a later one of the same record before being written
  std::uint64_t rejected = 0;  // changes rejected for lack of room
  std::uint64_t batches = 0;   // durable batches
  std::uint64_t written = 0;   // changes in the durable batches
  std::uint64_t failures = 0;  // writes that failed and are retried
  std::uint64_t waiting = 0;   // now: changes accepted and not handed over, replaced ones included
  bool failing = false;        // now: the last write failed
  std::string last_error;      // text of the last failure; stays after a recovery
};

// Owns the thread that writes. Its member functions are for the thread that owns it.
class Writer {
 public:
  // The file is not owned; it must outlive this and must not be used by anything else meanwhile.
  Writer(File& file, WriterOptions options);
  Writer(const Writer&) = delete;
  Writer& operator=(const Writer&) = delete;
  // Waits for a write in progress. Drops the changes that were not handed over, and a batch that cannot be
  // written.
  ~Writer();

  // Accept a change. Return false if there is no room; the change is not accepted then.
  bool put(std::uint8_t table, std::string key, std::string value);
  bool erase(std::uint8_t table, std::string key);
  // Hands over the gathered batch if the thread can take it. Call it at least twice in the time within which
  // changes are to be durable.
  void hand_over();
  // The number of the batch that is being gathered, from 1 on. A change that is accepted next belongs to it.
  std::uint64_t gathering() const { return handed_over_ + 1; }
  // The number of the newest durable batch; 0: none.
  std::uint64_t durable() const { return batches_; }
  // Blocks until every accepted change is durable, for a planned stop. Returns false if that takes longer
  // than `timeout`.
  bool drain(std::chrono::milliseconds timeout);

  WriterMetrics metrics() const;

 private:
  struct Batch {
    std::vector<Change> changes;
    std::size_t bytes = 0;  // of their keys and values
  };

  bool add(Change change);
  bool has_room_for(std::size_t bytes) const;
  void on_accepted();
  void wake_thread();

  // Run in the writer's thread:
  void run();
  void write_with_retries(const Batch& batch);
  bool try_write(const Batch& batch);
  void sleep_unless_stopping(std::chrono::milliseconds duration) const;

  File& file_;
  const WriterOptions options_;

  // Used by the owner's thread only:
  std::unique_ptr<Batch> gathering_ = std::make_unique<Batch>();
  absl::flat_hash_map<std::string, std::size_t> index_of_record_;  // table and key -> index in the batch
  std::uint64_t accepted_ = 0;
  std::uint64_t replaced_ = 0;
  std::uint64_t rejected_ = 0;
  std::uint64_t gathered_ = 0;     // changes accepted into the present batch, replaced ones included
  std::uint64_t handed_over_ = 0;  // batches

  // Used by both threads:
  std::atomic<Batch*> waiting_batch_{nullptr};  // owned by the thread that last replaced it by null
  std::atomic<std::uint32_t> wake_counter_{
      0};  // rises with each batch and on stopping; the thread waits on it
  std::atomic<bool> stopping_{false};
  std::atomic<bool> busy_{false};
  std::atomic<bool> failing_{false};
  std::atomic<std::uint64_t> batches_{0};
  std::atomic<std::uint64_t> written_{0};
  std::atomic<std::uint64_t> failures_{0};
  std::atomic<std::shared_ptr<const std::string>> last_error_;
  std::thread thread_;  // last: it uses all of the above
};

}  // namespace thornwick::store
