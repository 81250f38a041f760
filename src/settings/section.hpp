// Reads the tables of a TOML file strictly: an unknown table or key, a wrong type or a value out of range is
// an error with its line and key.
#pragma once

#include <toml++/toml.h>

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "settings/error.hpp"

namespace thornwick::settings {

// Reads the keys of one table. Each function below reads one key: a key that the table does not have leaves
// the variable as it is, and so does a wrong value, for which an error is added. The destructor adds an error
// for each key of the table that was not read.
class Section {
 public:
  // `table` may be null: the file does not have the table. `name` is how errors call the table. The table and
  // `errors` have to outlive the section.
  Section(const toml::table* table, std::string name, Errors& errors);
  ~Section();
  Section(const Section&) = delete;
  Section& operator=(const Section&) = delete;

  void text(const char* key, std::string& into);
  // Reads a text that has to be one of `allowed`.
  void one_of(const char* key, std::string& into, const std::vector<std::string>& allowed);
  void flag(const char* key, bool& into);
  // Reads a whole number from `least` to `most`, both included.
  template <typename Number>
  void count(const char* key, Number& into, std::int64_t least, std::int64_t most) {
    if (const auto value = whole_number(key, least, most)) into = static_cast<Number>(*value);
  }
  // Reads a number from `least` to `most`, both included.
  void number(const char* key, double& into, double least, double most);
  // Reads a number, which is then both `low` and `high`, or [low, high].
  void range(const char* key, double& low, double& high, double least, double most);
  // Reads a list of texts, which must not be empty.
  void list(const char* key, std::vector<std::string>& into);
  // Reads a table of texts, and adds them to `into` by their key.
  void texts(const char* key, std::map<std::string, std::string>& into);
  // Reads a list of whole numbers, which must not be empty, and adds them to `into`.
  void numbers(const char* key, std::vector<std::int64_t>& into);
  // Returns a table within this one; null if there is none.
  const toml::table* table(const char* key);
  // Returns a list of tables within this one, in the file's order.
  std::vector<const toml::table*> tables(const char* key);

  // Adds an error for a value that was read and that does not fit the others.
  void reject(const char* key, const std::string& reason);

  bool has(const char* key) const;
  // Returns the line of the key, or of the table if it does not have the key.
  std::uint32_t line_of(const char* key) const;
  // Returns the line of the table; 0 if the file does not have it.
  std::uint32_t line() const;

 private:
  // Returns the value of a key, and marks the key as read.
  const toml::node* take(const char* key);
  std::optional<std::int64_t> whole_number(const char* key, std::int64_t least, std::int64_t most);
  void add_error(ErrorCode code, const toml::node& node, const std::string& key, std::string detail = {},
                 std::string value = {});
  void add_out_of_range(const toml::node& node, const char* key, double least, double most);

  const toml::table* table_;
  std::string name_;
  Errors& errors_;
  std::vector<std::string> known_keys_;
};

// The tables of a file. The destructor adds an error for each table that was not read.
class Root {
 public:
  // Both have to outlive the object.
  Root(const toml::table& root, Errors& errors) : root_(root), errors_(errors) {}
  ~Root();
  Root(const Root&) = delete;
  Root& operator=(const Root&) = delete;

  // Returns [name]; null if there is none or, with an error added, if it is not a table.
  const toml::table* table(const char* name);
  // Returns the tables of [[name]], in the file's order.
  std::vector<const toml::table*> tables(const char* name);

 private:
  const toml::node* take(const char* name);

  const toml::table& root_;
  Errors& errors_;
  std::vector<std::string> known_names_;
};

}  // namespace thornwick::settings
