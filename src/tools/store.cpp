#include "tools/store.hpp"

#include <chrono>
#include <filesystem>
#include <iostream>
#include <memory>
#include <string>
#include <string_view>

#include "fronts/json.hpp"
#include "persistence/affinity_records.hpp"
#include "persistence/tables.hpp"
#include "tools/store_file.hpp"

namespace thornwick::tools {
namespace {

using fronts::json_text;

constexpr const char* kHolder = "thornwick store";

// Returns two hexadecimal digits for each byte. Sessions and prefixes have sixteen digits, as clients write
// them.
std::string hex(std::string_view bytes) {
  static constexpr char digits[] = "0123456789abcdef";
  std::string text;
  for (const char byte : bytes) {
    text += digits[static_cast<unsigned char>(byte) >> 4];
    text += digits[byte & 15];
  }
  return text;
}

// Prints progress to standard error once a second, and nothing for work that takes less than a second.
class ProgressPrinter {
 public:
  void on_progress(std::uint64_t records, std::uint64_t total) {
    const auto now = std::chrono::steady_clock::now();
    if (now - last_printed_at_ < std::chrono::seconds(1)) return;
    last_printed_at_ = now;
    std::cerr << "  " << records << " of " << total << " records\n";
  }

 private:
  std::chrono::steady_clock::time_point last_printed_at_ = std::chrono::steady_clock::now();
};

std::string table_json(const store::Contents::Table& table) {
  return "{\"table\":" + json_text(table.name) + ",\"version\":" + std::to_string(table.version) +
         ",\"records\":" + std::to_string(table.records) + ",\"bytes\":" + std::to_string(table.bytes) + "}";
}

template <std::size_t capacity>
std::string copies_json(const affinity::Copies<capacity>& copies) {
  std::string out = "[";
  for (const auto& copy : copies.all()) {
    out += (out.size() > 1 ? ",{" : "{") + std::string("\"slot\":") + std::to_string(copy.replica) +
           ",\"epoch\":" + std::to_string(copy.epoch) + ",\"tokens\":" + std::to_string(copy.tokens) +
           ",\"seen\":" + std::to_string(copy.last_used_s) + "}";
  }
  return out + "]";
}

int check_store(const std::string& path) {
  return with_store_errors([&] {
    // Opening the file takes its lock. The check reads the complete file in a separate process.
    const store::File file(read_only(path, kHolder), {});
    ProgressPrinter printer;
    const auto contents =
        store::File::check(path, [&](auto records, auto total) { printer.on_progress(records, total); });
    for (const auto& table : contents.tables) std::cout << table_json(table) << '\n';
    std::cout << "{\"batches\":" << contents.serial << ",\"file_bytes\":" << contents.file_bytes
              << ",\"used_bytes\":" << contents.used_bytes << ",\"sound\":true}\n";
    return 0;
  });
}

void print_record(std::string_view table, std::string_view key, std::string_view value) {
  std::cout << R"({"table":)" << json_text(table) << R"(,"key":")" << hex(key) << R"(","value":")"
            << hex(value) << "\"}\n";
}

int dump_store(const std::string& path) {
  return with_store_errors([&] {
    const store::File file(read_only(path, kHolder), {});
    ProgressPrinter printer;
    file.each_table(print_record, [&](auto records, auto total) { printer.on_progress(records, total); });
    return 0;
  });
}

std::uintmax_t file_size(const std::string& path) {
  std::error_code ignored;
  return std::filesystem::file_size(path, ignored);
}

int compact_store(const std::string& path) {
  return with_store_errors([&] {
    const auto before = file_size(path);
    store::File::compact(read_write(path, "thornwick store compact"));
    const auto after = file_size(path);
    std::cout << "{\"file_bytes_before\":" << before << ",\"file_bytes\":" << after << "}\n";
    return 0;
  });
}

void print_unreadable(std::string_view kind, std::string_view key) {
  std::cout << "{\"" << kind << "\":\"" << hex(key) << "\",\"unreadable\":true}\n";
}

void print_replica(std::string_view key, std::string_view bytes) {
  const auto record = persistence::decode_replica(key, bytes);
  if (!record) return print_unreadable("box", key);
  const auto& replica = record->replica;
  std::cout << "{\"box\":" << json_text(record->uid) << ",\"slot\":" << record->slot
            << ",\"epoch\":" << replica.epoch << ",\"listed\":" << (replica.in_use ? "true" : "false")
            << ",\"boot_ms\":" << replica.started_at / milliseconds(1)
            << ",\"sent_tokens\":" << static_cast<std::uint64_t>(replica.sent_tokens)
            << ",\"tokens_per_s\":" << static_cast<std::uint64_t>(replica.sent_tokens_per_s) << "}\n";
}

void print_prefix(std::string_view key, std::string_view bytes) {
  const auto prefix = persistence::decode_prefix(bytes);
  if (!prefix) return print_unreadable("prefix", key);
  std::cout << R"({"prefix":")" << hex(key) << R"(","copies":)" << copies_json(prefix->copies) << "}\n";
}

void print_session(std::string_view key, std::string_view bytes) {
  const auto session = persistence::decode_session(bytes);
  if (!session) return print_unreadable("session", key);
  std::cout << R"({"session":")" << hex(key) << R"(","prefix":")"
            << hex(persistence::encode_key(session->prefix)) << R"(","placed_size":)" << session->cached_size
            << ",\"copies\":" << copies_json(session->copies) << "}\n";
}

int show_affinity(const std::string& path) {
  return with_store_errors([&] {
    const store::File file(read_only(path, kHolder), persistence::state_tables());
    file.each(persistence::kReplicaTable, print_replica);
    file.each(persistence::kPrefixTable, print_prefix);
    file.each(persistence::kSessionTable, print_session);
    return 0;
  });
}

struct FileCommand {
  std::string name;
  std::string description;
  int (*run)(const std::string& path);  // returns the exit status
};

void add_file_command(CLI::App& parent, const FileCommand& file_command, int& status) {
  auto* command = parent.add_subcommand(file_command.name, file_command.description);
  auto path = std::make_shared<std::string>();
  command->add_option("FILE", *path, "a store's file")->required();
  command->callback([path, run = file_command.run, &status] { status = run(*path); });
}

}  // namespace

std::vector<CLI::App*> add_store_commands(CLI::App& app, int& status) {
  auto* store =
      app.add_subcommand("store", "look at a file in which a router keeps state")->require_subcommand(1);
  add_file_command(*store, {"check", "read everything and compare it with its checksums", check_store},
                   status);
  add_file_command(*store, {"dump", "print every record, one JSON object a line", dump_store}, status);
  add_file_command(*store, {"compact", "give the room of what is gone back to the disk", compact_store},
                   status);
  auto* affinity =
      app.add_subcommand("affinity", "look at the table of kept prompt copies")->require_subcommand(1);
  add_file_command(*affinity, {"show", "print the table, one JSON object a line", show_affinity}, status);
  return {store, affinity};
}

}  // namespace thornwick::tools
