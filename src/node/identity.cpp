#include "node/identity.hpp"

#include <fmt/format.h>
#include <glib.h>
#include <glib/gstdio.h>

#include <charconv>
#include <memory>
#include <optional>
#include <random>
#include <string_view>

namespace thornwick::node {
namespace {

constexpr int kFileMode = 0600;

struct FreeText {
  void operator()(char* text) const { g_free(text); }
};
using Text = std::unique_ptr<char, FreeText>;

struct FreeError {
  void operator()(GError* error) const { g_error_free(error); }
};
using Error = std::unique_ptr<GError, FreeError>;

// Returns a random number that is not 0.
std::uint32_t random_id() {
  std::random_device device;
  return device() | 1;
}

std::string file_content(const membership::Identity& identity) {
  const std::string content =
      fmt::format("thornwick-group 1\ndisk {}\nstart {}\n", identity.disk_id, identity.start_number);
  const Text checksum(
      g_compute_checksum_for_string(G_CHECKSUM_SHA256, content.data(), static_cast<gssize>(content.size())));
  return content + "sum " + checksum.get() + "\n";
}

// Removes `label` and the number after it from the front of `text`, and returns the number. Returns no value
// if `text` does not begin with them.
std::optional<std::uint32_t> take_labelled_number(std::string_view& text, std::string_view label) {
  if (!text.starts_with(label)) return std::nullopt;
  text.remove_prefix(label.size());
  std::uint32_t value = 0;
  const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), value);
  if (error != std::errc()) return std::nullopt;
  text.remove_prefix(static_cast<std::size_t>(end - text.data()));
  return value;
}

// Returns no value if the text is not, byte for byte, the output of file_content.
std::optional<membership::Identity> parse_identity(std::string_view text) {
  std::string_view remaining_text = text;
  const auto disk = take_labelled_number(remaining_text, "thornwick-group 1\ndisk ");
  const auto start = take_labelled_number(remaining_text, "\nstart ");
  if (!disk || !start) return std::nullopt;
  membership::Identity identity;
  identity.disk_id = *disk;
  identity.start_number = *start;
  if (file_content(identity) != text) return std::nullopt;
  return identity;
}

struct ReadResult {
  std::optional<membership::Identity> identity;
  std::string error;  // empty if the file was read, or does not exist
};

// Reads the file. If it is damaged, renames it to PATH.damaged.
ReadResult read_identity(const std::string& path) {
  char* raw_text = nullptr;
  GError* raw_error = nullptr;
  if (!g_file_get_contents(path.c_str(), &raw_text, nullptr, &raw_error)) {
    const Error error(raw_error);
    if (g_error_matches(error.get(), G_FILE_ERROR, G_FILE_ERROR_NOENT)) return {};
    return {.identity = std::nullopt, .error = error->message};
  }
  const Text text(raw_text);
  if (const auto identity = parse_identity(text.get())) return {.identity = identity, .error = {}};
  const std::string damaged_path = path + ".damaged";
  g_rename(path.c_str(), damaged_path.c_str());
  return {.identity = std::nullopt, .error = path + " is damaged; set aside as " + damaged_path};
}

// Returns the error, or an empty string if the file was written durably.
std::string write_identity(const std::string& path, const membership::Identity& identity) {
  const std::string content = file_content(identity);
  const auto flags =
      static_cast<GFileSetContentsFlags>(G_FILE_SET_CONTENTS_CONSISTENT | G_FILE_SET_CONTENTS_DURABLE);
  GError* raw_error = nullptr;
  if (g_file_set_contents_full(path.c_str(), content.data(), static_cast<gssize>(content.size()), flags,
                               kFileMode, &raw_error)) {
    return {};
  }
  const Error error(raw_error);
  return std::string("this start cannot be counted: ") + error->message;
}

}  // namespace

std::uint64_t random_number() {
  std::random_device device;
  const std::uint64_t high = device();
  return (high << 32) | device();
}

StartupIdentity load_identity(const std::string& path) {
  StartupIdentity startup;
  if (!path.empty()) {
    const ReadResult read_result = read_identity(path);
    startup.error = read_result.error;
    startup.new_disk = !read_result.identity.has_value();
    if (read_result.identity) startup.identity = *read_result.identity;
  }
  startup.identity.instance_id = random_id();
  if (startup.new_disk) startup.identity.disk_id = random_id();
  ++startup.identity.start_number;
  if (path.empty()) return startup;
  if (std::string error = write_identity(path, startup.identity); !error.empty()) {
    startup.error = std::move(error);
    startup.identity.disk_id = random_id();
    startup.new_disk = true;
  }
  return startup;
}

}  // namespace thornwick::node
