// Clients that audit every answer: they send requests to each router at a fixed rate and record the outcome
// of each.
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

enum class Outcome { open, served, rejected, broken, silent, not_connected, answered_twice };
const char* name_of(Outcome outcome);

struct AuditedRequest {
  std::size_t router = 0;
  std::string id;
  Time sent_at = 0, ended_at = 0;
  Outcome outcome = Outcome::open;
};

class RequestAudit {
 public:
  struct Options {
    double rate = 10;  // requests per second and router
    Time time_limit =
        seconds(2);  // time limit of a request; its answer must have arrived half a second after the limit
    std::string priority_class = "chat", tenant = "acme";
  };
  RequestAudit(Options options, std::size_t routers);
  ~RequestAudit();

  // Sends this router's requests to this address from now on. An empty address stops them.
  void send_to(std::size_t router, const std::string& address);
  void finish();  // stops sending requests
  std::size_t open_requests() const { return open_requests_; }
  const std::vector<std::unique_ptr<AuditedRequest>>& requests() const { return requests_; }

 private:
  struct Connection;
  void send(std::size_t router);
  void end(Connection& connection, Outcome outcome);

  Options options_;
  std::vector<std::string> addresses_;
  std::vector<net::Timer> send_timers_;
  std::vector<std::unique_ptr<AuditedRequest>> requests_;
  std::list<std::unique_ptr<Connection>> connections_;
  std::size_t open_requests_ = 0;
  std::uint64_t last_number_ = 0;
};

}  // namespace thornwick::testbed
