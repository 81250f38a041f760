// A whole little installation on loopback: replicas that keep prompts, a discovery that is asked and watched,
// clients that hold sessions, and a router of this process that can be restarted. One thread, one loop.
#pragma once

#include <boost/random/mersenne_twister.hpp>
#include <deque>
#include <list>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "node/node.hpp"

namespace thornwick::testing {

// Reads requests on a port of its own and calls `asked` with each whole one.
class HttpServer {
 public:
  struct Line;
  explicit HttpServer(std::function<void(Line&)> asked);
  ~HttpServer();
  std::string address() const { return listener_->address(); }

  std::list<std::unique_ptr<Line>> lines;

 private:
  std::unique_ptr<net::Listener> listener_;
};

// Keeps sessions' prompts and shared beginnings until it needs the room. Reads what it does not have, one
// request after the other, at this pace; each answer is then there at once.
class KeepingBox {
 public:
  KeepingBox(std::string uid, double memory_tokens, double read_per_s);

  const std::string& uid() const { return uid_; }
  std::string entry() const;  // as discovery lists it
  // This part of what it keeps goes void.
  void flush(double part, boost::random::mt19937_64& dice);

  struct Done {
    std::uint64_t session;
    double prompt, found;
  };
  std::function<void(const Done&)> done;

 private:
  struct Kept {
    std::uint64_t name;
    double tokens;
  };
  void answer(HttpServer::Line& line, const http::Head& head);
  double find(std::uint64_t name, double most);
  void keep(std::uint64_t name, double tokens);

  std::string uid_;
  double memory_, read_per_s_, held_ = 0;
  Time free_at_ = 0;
  std::list<Kept> order_;  // last used at the back
  std::map<std::uint64_t, std::list<Kept>::iterator> kept_;
  HttpServer server_;
};

class Fleet {
 public:
  struct Options {
    int replicas = 10;
    double memory_tokens = 700'000, read_per_s = 1'000'000;
    int sessions = 400, prefixes = 20, clients = 48;
    config::AffinityFile affinity;
    config::StoreFile store;
  };
  explicit Fleet(const Options& options);
  ~Fleet();

  // So many whole answers; then what the replicas did of them, in order.
  struct Work {
    int replica;  // by the order of its coming
    double prompt, found;
  };
  std::vector<Work> play(int answers);

  void restart(bool saved);  // the router only; its successor finds the same file
  void replace(int count);   // the first replicas go, new ones come
  void flush(double part);
  const node::Node& node() const { return *node_; }
  int rejected() const { return rejected_; }

 private:
  struct Session {
    std::uint64_t id, prefix;
    double beginning, prompt;
    int turns;
    bool busy = false;
  };
  struct Client;

  void add_replica();
  void start_router();
  std::string list_json() const;
  void tell();
  void ask(Client& client);
  Session fresh();
  std::uint64_t draw(std::uint64_t below);
  double counted(const std::string& name) const;  // one of the router's counters

  Options options_;
  boost::random::mt19937_64 dice_{4711};
  std::vector<std::unique_ptr<KeepingBox>> replicas_;
  int born_ = 0, rev_ = 1, rejected_ = 0, wanted_ = 0;
  std::uint64_t last_id_ = 0;
  std::vector<Work> works_;
  std::vector<Session> sessions_;
  std::unique_ptr<HttpServer> discovery_;
  config::Config config_;
  std::unique_ptr<node::Node> node_;
  std::list<std::unique_ptr<Client>> clients_;
};

}  // namespace thornwick::testing
