// C-Raft's types and memory: the only file that includes the library's header, and the conversions between
// the library's structs and the types of this module.
//
// Memory that these functions make for the library comes from the library's allocator, because the library
// frees it. They throw std::bad_alloc if an allocation fails.
#pragma once

extern "C" {  // raft.h has no linkage specification of its own
#include <raft.h>
}

#include <algorithm>
#include <memory>
#include <new>
#include <string>
#include <string_view>
#include <vector>

#include "replication/log_records.hpp"

namespace thornwick::replication {

struct RaftFree {
  void operator()(void* memory) const { raft_free(memory); }
};
// Owns a block of memory of the library's allocator.
using RaftMemory = std::unique_ptr<void, RaftFree>;

// Returns a copy of the bytes. The caller or the library frees `base`.
raft_buffer raft_buffer_of(std::string_view bytes);

// Returns a zeroed array; not null even for a count of 0.
template <typename T>
T* raft_array(std::size_t count) {
  auto* array = static_cast<T*>(raft_calloc(std::max<std::size_t>(1, count), sizeof(T)));
  if (array == nullptr) throw std::bad_alloc();
  return array;
}

std::string_view bytes_of(const raft_buffer& buffer);

StoredEntry stored_entry(const raft_entry& entry);
std::vector<StoredEntry> stored_entries(const raft_entry* entries, std::size_t count);
// Returns an array of copies, or null for no entries. Each entry is a separate batch, so that the library
// frees each buffer.
raft_entry* raft_entries_of(const std::vector<StoredEntry>& entries);

std::vector<StoredServer> servers_of(const raft_configuration& configuration);
// Initialises `configuration`. The library, or raft_configuration_close, frees the memory that it holds.
void fill_configuration(raft_configuration& configuration, const std::vector<StoredServer>& servers);
// Encodes a configuration in the format of an entry of type RAFT_CHANGE.
std::string encoded_configuration(const std::vector<StoredServer>& servers);

}  // namespace thornwick::replication
