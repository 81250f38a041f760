#include "store/writer.hpp"

#include <algorithm>
#include <utility>

namespace thornwick::store {
namespace {

constexpr std::size_t kBatchesInFlight =
    3;  // one is gathered, one waits for the thread, one is being written
constexpr std::chrono::milliseconds kStopCheckInterval(10);
constexpr std::chrono::milliseconds kDrainCheckInterval(1);

std::size_t bytes_of(const Change& change) {
  return change.key.size() + (change.value ? change.value->size() : 0);
}

std::string record_id(const Change& change) {
  return std::string(1, static_cast<char>(change.table)) + change.key;
}

}  // namespace

Writer::Writer(File& file, WriterOptions options)
    : file_(file), options_(std::move(options)), thread_([this] { run(); }) {}

Writer::~Writer() {
  stopping_ = true;
  wake_thread();
  thread_.join();
  const std::unique_ptr<Batch> unwritten(waiting_batch_.exchange(nullptr));
}

bool Writer::put(std::uint8_t table, std::string key, std::string value) {
  return add({table, std::move(key), std::move(value)});
}

bool Writer::erase(std::uint8_t table, std::string key) { return add({table, std::move(key), std::nullopt}); }

// Replaces a gathered change even if there is no room: a record that changes often must not stay at an old
// value.
bool Writer::add(Change change) {
  std::string record = record_id(change);
  const std::size_t bytes = bytes_of(change);
  if (const auto found = index_of_record_.find(record); found != index_of_record_.end()) {
    Change& earlier = gathering_->changes[found->second];
    gathering_->bytes += bytes;
    gathering_->bytes -= bytes_of(earlier);
    earlier = std::move(change);
    ++replaced_;
    on_accepted();
    return true;
  }
  if (!has_room_for(bytes)) {
    ++rejected_;
    return false;
  }
  index_of_record_.emplace(std::move(record), gathering_->changes.size());
  gathering_->changes.push_back(std::move(change));
  gathering_->bytes += bytes;
  on_accepted();
  return true;
}

bool Writer::has_room_for(std::size_t bytes) const {
  return gathering_->changes.size() < options_.max_gathered_records &&
         gathering_->bytes + bytes <= options_.max_gathered_bytes;
}

void Writer::on_accepted() {
  const auto full_batch = std::max<std::size_t>(1, options_.max_undurable_changes / kBatchesInFlight);
  ++accepted_;
  ++gathered_;
  if (gathered_ >= full_batch) hand_over();
}

void Writer::wake_thread() {
  ++wake_counter_;
  wake_counter_.notify_one();
}

void Writer::hand_over() {
  if (gathering_->changes.empty()) return;
  Batch* none = nullptr;
  if (!waiting_batch_.compare_exchange_strong(none, gathering_.get())) return;  // the thread is behind
  // The thread owns the batch from the swap on.
  static_cast<void>(gathering_.release());
  gathering_ = std::make_unique<Batch>();
  index_of_record_.clear();
  gathered_ = 0;
  ++handed_over_;
  wake_thread();
}

bool Writer::drain(std::chrono::milliseconds timeout) {
  const auto deadline = std::chrono::steady_clock::now() + timeout;
  while (true) {
    hand_over();
    if (gathering_->changes.empty() && waiting_batch_ == nullptr && !busy_) return true;
    if (std::chrono::steady_clock::now() >= deadline) return false;
    std::this_thread::sleep_for(kDrainCheckInterval);
  }
}

void Writer::run() {
  std::uint32_t last_wake = 0;
  while (true) {
    // busy_ is set before the waiting batch is taken, so that drain() always sees one of both.
    busy_ = true;
    const std::unique_ptr<Batch> batch(waiting_batch_.exchange(nullptr));
    if (batch != nullptr) {
      write_with_retries(*batch);
      continue;
    }
    busy_ = false;
    if (stopping_) return;
    wake_counter_.wait(last_wake);
    last_wake = wake_counter_;
  }
}

// Retries until the batch is written, so that no later batch overtakes it.
void Writer::write_with_retries(const Batch& batch) {
  auto delay = options_.initial_retry_delay;
  while (!try_write(batch)) {
    if (stopping_) return;
    sleep_unless_stopping(delay);
    if (stopping_) return;
    delay = std::min(delay * 2, options_.max_retry_delay);
  }
}

bool Writer::try_write(const Batch& batch) {
  try {
    if (options_.before_write) options_.before_write();
    file_.apply(batch.changes);
    ++batches_;
    written_ += batch.changes.size();
    failing_ = false;
    if (options_.on_written) options_.on_written();
    return true;
  } catch (const StoreError& error) {
    ++failures_;
    last_error_ = std::make_shared<const std::string>(error.what());
    failing_ = true;
    return false;
  }
}

// Sleeps in short steps, so that stopping does not wait for the longest backoff.
void Writer::sleep_unless_stopping(std::chrono::milliseconds duration) const {
  for (auto left = duration; left.count() > 0 && !stopping_; left -= kStopCheckInterval) {
    std::this_thread::sleep_for(kStopCheckInterval);
  }
}

WriterMetrics Writer::metrics() const {
  WriterMetrics metrics;
  metrics.accepted = accepted_;
  metrics.replaced = replaced_;
  metrics.rejected = rejected_;
  metrics.batches = batches_;
  metrics.written = written_;
  metrics.failures = failures_;
  metrics.waiting = gathered_;
  metrics.failing = failing_;
  if (const auto error = last_error_.load()) metrics.last_error = *error;
  return metrics;
}

}  // namespace thornwick::store
