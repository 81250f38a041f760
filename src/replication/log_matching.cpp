#include "replication/log_matching.hpp"

#include <algorithm>

namespace thornwick::replication {
namespace {

void drop_first(std::vector<StoredEntry>& entries, std::uint64_t count) {
  entries.erase(entries.begin(), entries.begin() + static_cast<std::ptrdiff_t>(count));
}

bool will_be_accepted(const AppendEntries& message, const LogView& log) {
  if (message.term < log.current_term() || log.is_installing_snapshot()) return false;
  if (message.prev_log_index == 0) return true;
  return message.prev_log_term != 0 && log.term_at(message.prev_log_index) == message.prev_log_term;
}

// The number of the message's first entries that are in the log with the same term.
std::size_t count_known(const AppendEntries& message, const LogView& log) {
  std::size_t known = 0;
  while (known < message.entries.size()) {
    const std::uint64_t index = message.prev_log_index + known + 1;
    if (index >= log.next_index() || log.term_at(index) != message.entries[known].term) break;
    ++known;
  }
  return known;
}

}  // namespace

const raft_entry& LogView::entry_at(std::uint64_t index) const {
  const raft_log& log = raft_.log;
  return log.entries[(log.front + index - log.offset - 1) % log.size];
}

std::uint64_t LogView::term_at(std::uint64_t index) const {
  const raft_log& log = raft_.log;
  if (index == log.snapshot.last_index) return log.snapshot.last_term;
  if (index <= log.offset || index >= next_index_) return 0;
  return entry_at(index).term;
}

void skip_committed(AppendEntries& message, const LogView& log) {
  const std::uint64_t committed = log.commit_index();
  const std::uint64_t committed_term = log.term_at(committed);
  if (message.term < log.current_term() || committed_term == 0) return;
  const bool begins_in_log = log.term_at(message.prev_log_index) != 0;
  const bool goes_beyond = message.prev_log_index + message.entries.size() > committed;
  if (message.prev_log_index >= committed || begins_in_log || !goes_beyond) return;
  drop_first(message.entries, committed - message.prev_log_index);
  message.prev_log_index = committed;
  message.prev_log_term = committed_term;
}

void skip_known(AppendEntries& message, const LogView& log) {
  if (!will_be_accepted(message, log)) {
    message.entries.clear();
    return;
  }
  const std::size_t known = count_known(message, log);
  if (known == 0) return;
  message.prev_log_index += known;
  message.prev_log_term = message.entries[known - 1].term;
  drop_first(message.entries, known);
}

std::uint64_t unsafe_truncation(const AppendEntries& message, const LogView& log) {
  const std::uint64_t uncommitted = log.uncommitted_configuration_index();
  if (uncommitted == 0 || log.has_committed_configuration() || message.term < log.current_term()) return 0;
  for (std::size_t i = 0; i < message.entries.size(); ++i) {
    const std::uint64_t index = message.prev_log_index + 1 + i;
    if (index <= log.offset() || index >= log.next_index()) continue;
    if (log.term_at(index) != message.entries[i].term) return index <= uncommitted ? index : 0;
  }
  return 0;
}

void VerifiedPrefix::on_append(const AppendEntries& message, const LogView& log) {
  if (message.term < log.current_term()) return;
  if (message.term != term_) {
    term_ = message.term;
    last_index_ = log.commit_index();
  }
  if (message.prev_log_index == 0 || log.term_at(message.prev_log_index) == message.prev_log_term) {
    last_index_ = std::max(last_index_, message.prev_log_index + message.entries.size());
  }
}

void VerifiedPrefix::limit(AppendEntriesResult& result, std::uint64_t commit_index) const {
  if (result.rejected != 0 || result.term != term_) return;
  result.last_log_index = std::min(result.last_log_index, std::max(last_index_, commit_index));
}

}  // namespace thornwick::replication
