// Clients that keep account of every answer: each sends a request at its time to one router, and notes what
// became of it.
#pragma once

#include <functional>
#include <list>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "http/http.hpp"
#include "net/loop.hpp"

namespace thornwick::testbed {

enum class Outcome { open, served, rejected, broken, silent, not_connected, twice };
const char* name_of(Outcome outcome);

struct Entry {
  std::size_t router = 0;
  std::string id;
  Time asked = 0, ended = 0;
  Outcome outcome = Outcome::open;
};

class RequestAudit {
 public:
  struct Options {
    double rate = 10;         // requests a second and router
    Time limit = seconds(2);  // a request's own; it has to have its answer half a second after it
    std::string cls = "chat", member = "acme";
  };
  RequestAudit(Options options, std::size_t routers);
  ~RequestAudit();

  // From now on this router gets requests at this address; empty: none.
  void send_to(std::size_t router, const std::string& address);
  void finish();  // no more requests
  std::size_t open() const { return open_; }
  const std::vector<std::unique_ptr<Entry>>& entries() const { return entries_; }

 private:
  struct Connection;
  void ask(std::size_t router);
  void end(Connection& line, Outcome outcome);

  Options options_;
  std::vector<std::string> addresses_;
  std::vector<net::Timer> pacers_;
  std::vector<std::unique_ptr<Entry>> entries_;
  std::list<std::unique_ptr<Connection>> lines_;
  std::size_t open_ = 0;
  std::uint64_t last_ = 0;
};

}  // namespace thornwick::testbed
