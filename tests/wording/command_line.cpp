// The command line: the help page of every command, exit statuses, and the texts of errors.
#include <functional>
#include <set>

#include "expected.hpp"
#include "program_run.hpp"

using namespace thornwick::testing;

namespace {

// The commands that a help page lists below "Subcommands:", each with two spaces before its name.
std::vector<std::string> commands_listed(const std::string& page) {
  std::vector<std::string> names;
  bool listing = false;
  for (const auto& line : lines_of(page)) {
    if (line == "Subcommands:") {
      listing = true;
    } else if (listing && line.starts_with("  ") && line.size() > 2 && line[2] != ' ') {
      names.push_back(line.substr(2, line.find(' ', 2) - 2));
    } else if (line.empty()) {
      listing = false;
    }
  }
  return names;
}

std::string file_of(const std::string& command) {
  return "help/" + (command.empty() ? std::string("thornwick") : replaced(command, " ", "_")) + ".txt";
}

}  // namespace

TEST_CASE("the help page of each command is unchanged") {
  const Scratch folder;
  std::set<std::string> files;
  const std::function<void(const std::string&)> check_page = [&](const std::string& command) {
    CAPTURE(command);
    const ProgramResult result = run_program(command + " --help", folder);
    CHECK(result.status == 0);
    CHECK(result.errors.empty());
    check_expected(file_of(command), result.output);
    files.insert(file_of(command));
    for (const auto& name : commands_listed(result.output)) {
      check_page(command.empty() ? name : command + " " + name);
    }
  };
  check_page("");
  std::set<std::string> committed;
  for (const auto& entry : std::filesystem::directory_iterator(expected_path("help"))) {
    committed.insert("help/" + entry.path().filename().string());
  }
  CHECK(files == committed);  // no command more and none less
}

TEST_CASE("the help command prints the page of --help") {
  const Scratch folder;
  const ProgramResult result = run_program("help", folder);
  CHECK(result.status == 0);
  CHECK(result.output == read_expected(file_of("")));
}

TEST_CASE("exit statuses and error messages of the command line are unchanged") {
  const Scratch folder;
  write_bytes(folder.path("good.json"), read_expected("config.json"));
  write_bytes(folder.path("good.toml"), read_expected("operator.toml"));
  write_bytes(folder.path("bad.toml"), "[affinity]\nentries = 1\ncolour = 'red'\n[nothing]\n");
  write_bytes(folder.path("bad_address.json"),
              replaced(read_expected("config.json"), "127.0.0.1:9001", "nowhere"));
  check_table("command_line.txt", [&](const std::string& arguments) {
    const ProgramResult result = run_program(lines_of(arguments).at(0), folder);
    return "status " + std::to_string(result.status) + "\n" + result.output + result.errors;
  });
}
