// Parses a TOML file, with overrides from the command line.
#pragma once

#include <functional>
#include <string>

#include "settings/section.hpp"

namespace thornwick::settings {

// Parses the file and calls `read` with its tables. `read` adds what it finds wrong to the errors. Throws
// InvalidFile if there are errors, in the order of their lines.
void read_file(const std::string& path, const std::function<void(toml::table&, Errors&)>& read);

// Replaces the value of "table.key" or "list.INDEX.key", as if the file had it; INDEX begins with 0. Tables
// that do not exist are made, entries of lists are not. `value` is TOML. Adds an error if the key or the
// value is wrong.
void set_value(toml::table& root, const std::string& key, const std::string& value, Errors& errors);

}  // namespace thornwick::settings
