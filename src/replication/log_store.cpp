#include "replication/log_store.hpp"

#include <algorithm>
#include <utility>

#include "replication/message_pack.hpp"

namespace thornwick::replication {

void LogStore::load(const StoredRecords& stored) {
  stored([this](std::string_view key, std::string_view value) {
    const LogRecordKey parsed = parse_log_key(key);
    if (parsed.kind == LogRecordKind::vote) vote_ = unpacked<StoredVote>(value);
    if (parsed.kind == LogRecordKind::snapshot) snapshot_ = unpacked<StoredSnapshot>(value);
    if (parsed.kind == LogRecordKind::entry) loaded_entries_[parsed.number] = unpacked<StoredEntry>(value);
  });
  load_snapshot_chunks(stored);
  determine_entry_range();
}

// Skips the chunks of earlier and of unfinished snapshots, which have another generation.
void LogStore::load_snapshot_chunks(const StoredRecords& stored) {
  std::map<std::uint64_t, std::string> chunks;
  stored([&](std::string_view key, std::string_view value) {
    const LogRecordKey parsed = parse_log_key(key);
    if (parsed.kind == LogRecordKind::snapshot_chunk && parsed.number == snapshot_.generation) {
      chunks[parsed.chunk] = std::string(value);
    }
  });
  for (const auto& [number, chunk] : chunks) snapshot_data_ += chunk;
  if (snapshot_data_.size() != snapshot_.size) problem_ = "its snapshot is incomplete";
}

// Sets the range of the entries. Reports a problem if the entries have a gap, or begin later than right after
// the snapshot.
void LogStore::determine_entry_range() {
  if (loaded_entries_.empty()) {
    first_index_ = snapshot_.index + 1;
    next_index_ = first_index_;
    last_term_ = snapshot_.term;
    return;
  }
  first_index_ = loaded_entries_.begin()->first;
  next_index_ = first_index_;
  while (loaded_entries_.contains(next_index_)) ++next_index_;
  const bool has_gap = loaded_entries_.rbegin()->first + 1 != next_index_;
  if (has_gap || first_index_ > snapshot_.index + 1) problem_ = "its log has a gap";
  last_term_ = loaded_entries_.rbegin()->second.term;
}

EntriesByIndex LogStore::take_loaded_entries() { return std::exchange(loaded_entries_, {}); }

void LogStore::write_vote() { records_.write(vote_key(), packed(vote_)); }

void LogStore::set_term(std::uint64_t term) {
  vote_ = {term, 0};
  write_vote();
}

void LogStore::set_vote(std::uint64_t candidate) {
  vote_.candidate = candidate;
  write_vote();
}

void LogStore::append(const std::vector<StoredEntry>& entries) {
  for (const StoredEntry& entry : entries) {
    records_.write(entry_key(next_index_), packed(entry));
    ++next_index_;
    last_term_ = entry.term;
  }
}

void LogStore::truncate(std::uint64_t index) {
  while (next_index_ > index && next_index_ > first_index_) {
    --next_index_;
    records_.write(entry_key(next_index_), std::nullopt);
  }
}

void LogStore::remove_snapshot_chunks() {
  for (std::size_t offset = 0; offset < snapshot_data_.size(); offset += kSnapshotChunkBytes) {
    records_.write(snapshot_chunk_key(snapshot_.generation, offset / kSnapshotChunkBytes), std::nullopt);
  }
}

void LogStore::put_snapshot(StoredSnapshot snapshot, std::string data, std::uint64_t trailing) {
  snapshot.generation = snapshot_.generation + 1;
  snapshot.size = data.size();
  for (std::size_t offset = 0; offset < data.size(); offset += kSnapshotChunkBytes) {
    records_.write(snapshot_chunk_key(snapshot.generation, offset / kSnapshotChunkBytes),
                   data.substr(offset, kSnapshotChunkBytes));
  }
  records_.write(snapshot_key(), packed(snapshot));
  remove_snapshot_chunks();
  const bool replaces_log = trailing == 0;
  std::uint64_t first_retained = next_index_;
  if (!replaces_log) first_retained = snapshot.index > trailing ? snapshot.index - trailing + 1 : 1;
  for (; first_index_ < std::min(first_retained, next_index_); ++first_index_) {
    records_.write(entry_key(first_index_), std::nullopt);
  }
  if (replaces_log) {
    first_index_ = snapshot.index + 1;
    next_index_ = first_index_;
    last_term_ = snapshot.term;
  }
  snapshot_ = std::move(snapshot);
  snapshot_data_ = std::move(data);
}

void LogStore::erase() {
  for (std::uint64_t index = first_index_; index < next_index_; ++index) {
    records_.write(entry_key(index), std::nullopt);
  }
  remove_snapshot_chunks();
  records_.write(snapshot_key(), std::nullopt);
  records_.write(vote_key(), std::nullopt);
}

void LogStore::reload(EntriesByIndex entries, std::uint64_t index) {
  loaded_entries_ = std::move(entries);
  truncate(index);
}

}  // namespace thornwick::replication
