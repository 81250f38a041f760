// The keys and values of the operator's file and of the platform's configuration: what each one sets, and
// what is said of one that is misspelt or wrong.
#include <unistd.h>

#include "expected.hpp"
#include "node/config_validation.hpp"
#include "settings_dump.hpp"
#include "simulator_adapter/wire.hpp"

using namespace thornwick;
using namespace thornwick::testing;

namespace {

// The file's name stands in messages: always the same one there, and one of this process alone on the disk.
class NamedFile {
 public:
  NamedFile(std::string shown, const std::string& text)
      : shown_(std::move(shown)), path_(scratch_.path(shown_)) {
    write_bytes(path_, text);
  }
  const std::string& path() const { return path_; }
  std::string without_folder(const std::string& message) const { return replaced(message, path_, shown_); }

 private:
  Scratch scratch_;
  std::string shown_, path_;
};

std::string indented(const std::string& text) {
  std::string out;
  for (const auto& line : lines_of(text)) out += "  " + line + "\n";
  return out;
}

// What is read of the text, or what is said of it, against what was read before.
std::string effect_on_operator(const std::string& text, const Fields& before) {
  const NamedFile file("o", text);
  try {
    return changes(before, fields_of(config::read_operator_file(file.path())));
  } catch (const config::BadConfig& problem) {
    return indented(file.without_folder(problem.what()));
  }
}

std::string effect_on_config(const std::string& text, const Fields& before) {
  const NamedFile file("c", text);
  try {
    return changes(before, fields_of(config::read_config(file.path(), "")));
  } catch (const config::BadConfig& problem) {
    return indented(file.without_folder(problem.what()));
  }
}

std::string joined(const std::vector<std::string>& lines) {
  std::string text;
  for (const auto& line : lines) text += line + "\n";
  return text;
}

// The line with an x behind its key or its table's name; empty if it has neither.
std::string misspelt(const std::string& line) {
  const auto bracket = line.find(']');
  if (line.starts_with("[")) return line.substr(0, bracket) + "x" + line.substr(bracket);
  const auto equals = line.find(" =");
  if (equals != std::string::npos) return line.substr(0, equals) + "x" + line.substr(equals);
  const auto quote = line.find("\":");
  return quote == std::string::npos ? std::string() : line.substr(0, quote) + "x" + line.substr(quote);
}

void forget_environment() {
  for (const char* name : {"GW_CONFIG", "GW_NAME", "GW_LISTEN", "GW_OPS", "GW_DISCOVERY"}) unsetenv(name);
}

// For each key of the text: what becomes of it all when that key is misspelt, or its line is not there.
template <typename EffectOf>
std::string key_by_key(const std::string& text, bool left_out_too, EffectOf effect_of) {
  const auto lines = lines_of(text);
  std::string out;
  for (std::size_t i = 0; i < lines.size(); ++i) {
    const std::string wrong = misspelt(lines[i]);
    if (wrong.empty()) continue;
    auto changed = lines;
    changed[i] = wrong;
    out += "line " + std::to_string(i + 1) + " misspelt: " + wrong + "\n" + effect_of(joined(changed));
    if (!left_out_too || wrong.starts_with("[")) continue;
    changed[i].clear();
    out += "line " + std::to_string(i + 1) + " left out: " + lines[i] + "\n" + effect_of(joined(changed));
  }
  return out;
}

}  // namespace

TEST_CASE("an operator's file with every table and key is read as it was") {
  const NamedFile file("o", read_expected("operator.toml"));
  check_expected("operator_fields.txt", text_of_fields(fields_of(config::read_operator_file(file.path()))));
}

TEST_CASE("each key of the operator's file sets what it did, and is refused misspelt") {
  const std::string text = read_expected("operator.toml");
  const NamedFile file("o", text);
  const Fields whole = fields_of(config::read_operator_file(file.path()));
  check_expected("operator_keys.txt", key_by_key(text, true, [&](const std::string& changed) {
                   return effect_on_operator(changed, whole);
                 }));
}

TEST_CASE("errors in an operator's file are reported as before") {
  check_table("operator_errors.txt", [](const std::string& text) {
    return effect_on_operator(text, fields_of(config::OperatorFile()));
  });
}

TEST_CASE("an operator's file that does not go with the configuration is refused as it was") {
  forget_environment();
  const NamedFile settings("c", read_expected("config.json"));
  check_table("operator_mismatches.txt", [&](const std::string& text) {
    const NamedFile file("o", text);
    try {
      node::check_config(config::read_config(settings.path(), file.path()));
      return std::string("  it is taken\n");
    } catch (const std::exception& problem) {
      return indented(file.without_folder(problem.what()));
    }
  });
}

TEST_CASE("a configuration with every key is read as it was") {
  forget_environment();
  const NamedFile file("c", read_expected("config.json"));
  check_expected("config_fields.txt", text_of_fields(fields_of(config::read_config(file.path(), ""))));
}

TEST_CASE("each key of the configuration and of the settings in it sets what it did") {
  forget_environment();
  const std::string text = read_expected("config.json");
  const NamedFile file("c", text);
  const Fields whole = fields_of(config::read_config(file.path(), ""));
  check_expected("config_keys.txt", key_by_key(text, false, [&](const std::string& changed) {
                   return effect_on_config(changed, whole);
                 }));
}

TEST_CASE("errors in a configuration are reported as before") {
  forget_environment();
  check_table("config_errors.txt",
              [](const std::string& text) { return effect_on_config(text, fields_of(config::Config())); });
}

TEST_CASE("each variable of the environment sets what it did") {
  forget_environment();
  const NamedFile file("c", read_expected("config.json"));
  const Fields whole = fields_of(config::read_config(file.path(), ""));
  check_table("environment.txt", [&](const std::string& text) {
    const std::string line = lines_of(text).at(0);
    const auto equals = line.find('=');
    forget_environment();
    setenv(line.substr(0, equals).c_str(), line.substr(equals + 1).c_str(), 1);
    const std::string effect = effect_on_config(read_expected("config.json"), whole);
    forget_environment();
    return effect;
  });
}

TEST_CASE("GW_CONFIG names the configuration, and none is an error") {
  forget_environment();
  const NamedFile file("c", read_expected("config.json"));
  setenv("GW_CONFIG", file.path().c_str(), 1);
  CHECK(config::read_config("", "").name == "n1");
  forget_environment();
  CHECK_THROWS_WITH(config::read_config("", ""), lines_of(read_expected("no_config.txt")).at(0));
}

TEST_CASE("each value of the settings means what it did, and an invalid one is reported as before") {
  const std::string base = "grades.count=1\n";
  const Fields plain = fields_of(simulator_adapter::parse_settings(base, 1));
  check_table("settings_values.txt", [&](const std::string& text) {
    try {
      return changes(plain, fields_of(simulator_adapter::parse_settings(base + text, 1)));
    } catch (const simulator_adapter::MalformedInput& problem) {
      return indented(problem.what());
    }
  });
}
