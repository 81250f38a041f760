#include "replication/raft_memory.hpp"

#include <cstring>

namespace thornwick::replication {
namespace {

constexpr std::size_t kMinAllocationBytes = 8;

class ScopedConfiguration {
 public:
  explicit ScopedConfiguration(const std::vector<StoredServer>& servers) {
    fill_configuration(configuration_, servers);
  }
  ~ScopedConfiguration() { raft_configuration_close(&configuration_); }
  ScopedConfiguration(const ScopedConfiguration&) = delete;
  ScopedConfiguration& operator=(const ScopedConfiguration&) = delete;
  const raft_configuration* get() const { return &configuration_; }

 private:
  raft_configuration configuration_{};
};

}  // namespace

raft_buffer raft_buffer_of(std::string_view bytes) {
  raft_buffer buffer{raft_malloc(std::max(kMinAllocationBytes, bytes.size())), bytes.size()};
  if (buffer.base == nullptr) throw std::bad_alloc();
  std::memcpy(buffer.base, bytes.data(), bytes.size());
  return buffer;
}

std::string_view bytes_of(const raft_buffer& buffer) {
  return {static_cast<const char*>(buffer.base), buffer.len};
}

StoredEntry stored_entry(const raft_entry& entry) {
  return {entry.term, entry.type, std::string(bytes_of(entry.buf))};
}

std::vector<StoredEntry> stored_entries(const raft_entry* entries, std::size_t count) {
  std::vector<StoredEntry> stored;
  stored.reserve(count);
  for (std::size_t i = 0; i < count; ++i) stored.push_back(stored_entry(entries[i]));
  return stored;
}

raft_entry* raft_entries_of(const std::vector<StoredEntry>& entries) {
  if (entries.empty()) return nullptr;
  auto* array = raft_array<raft_entry>(entries.size());
  for (std::size_t i = 0; i < entries.size(); ++i) {
    array[i].term = entries[i].term;
    array[i].type = entries[i].type;
    array[i].buf = raft_buffer_of(entries[i].data);
    array[i].batch = array[i].buf.base;
  }
  return array;
}

std::vector<StoredServer> servers_of(const raft_configuration& configuration) {
  std::vector<StoredServer> servers;
  for (unsigned i = 0; i < configuration.n; ++i) {
    const raft_server& server = configuration.servers[i];
    servers.push_back({server.id, server.address, server.role});
  }
  return servers;
}

void fill_configuration(raft_configuration& configuration, const std::vector<StoredServer>& servers) {
  raft_configuration_init(&configuration);
  for (const StoredServer& server : servers) {
    raft_configuration_add(&configuration, server.id, server.address.c_str(), server.role);
  }
}

std::string encoded_configuration(const std::vector<StoredServer>& servers) {
  const ScopedConfiguration configuration(servers);
  raft_buffer buffer{};
  raft_configuration_encode(configuration.get(), &buffer);
  const RaftMemory owner(buffer.base);
  return std::string(bytes_of(buffer));
}

}  // namespace thornwick::replication
