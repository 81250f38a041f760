// An operator's word to a running router: said at its local socket, and asked after until it is decided.
#pragma once

#include <cstdint>
#include <string>

namespace sprucecourse::tools {

// GRANT, SET or REPLACE with the rest of its line. `id` 0: one is drawn. Prints what became of it; 0: yes, 1: no, 3: it is
// not known whether it holds, and the same id asks again without doubling it. Throws net::NetError.
int ask_running(const std::string& socket, const std::string& call, std::uint64_t id, const std::string& rest);

}  // namespace sprucecourse::tools
