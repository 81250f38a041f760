// A complete installation on the loopback interface: replicas that cache prompts, discovery, clients with
// sessions, and a router in this process that can be restarted. Everything runs on one loop in one thread.
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

// Listens on a separate port and calls `on_request` for each complete request.
class HttpServer {
 public:
  struct Connection;
  explicit HttpServer(std::function<void(Connection&)> on_request);
  ~HttpServer();
  std::string address() const { return listener_->address(); }

  std::list<std::unique_ptr<Connection>> connections;

 private:
  std::unique_ptr<net::Listener> listener_;
};

// A replica that caches the prompts of sessions and shared prefixes, and evicts the least recently used
// prompts. The replica reads the tokens that are not cached, one request after the other, and answers a
// request when it has read its tokens.
class CachingReplica {
 public:
  CachingReplica(std::string uid, double memory_tokens, double tokens_per_s);

  const std::string& uid() const { return uid_; }
  std::string entry() const;  // the replica's entry in discovery's list
  // Evicts this fraction of the cached prompts, chosen at random.
  void flush(double fraction, boost::random::mt19937_64& random);

  // A request that the replica answers. Amounts are in tokens.
  struct Answer {
    std::uint64_t session;
    double prompt;
    double cached;
  };
  std::function<void(const Answer&)> on_answer;

 private:
  struct CachedPrompt {
    std::uint64_t key;  // of a session or prefix
    double tokens;
  };
  void answer(HttpServer::Connection& connection, const http::Head& head);
  double find(std::uint64_t key, double max_tokens);
  void cache(std::uint64_t key, double tokens);

  std::string uid_;
  double memory_tokens_;
  double tokens_per_s_;
  double cached_tokens_ = 0;
  Time free_at_ = 0;
  std::list<CachedPrompt> order_;  // the least recently used prompt comes first
  std::map<std::uint64_t, std::list<CachedPrompt>::iterator> prompts_;
  HttpServer server_;
};

class SimulatedFleet {
 public:
  struct Options {
    int replicas = 10;
    double memory_tokens = 700'000;   // of each replica
    double tokens_per_s = 1'000'000;  // of each replica
    int sessions = 400;
    int prefixes = 20;
    int clients = 48;
    config::AffinityFile affinity;
    config::StoreFile store;
  };
  explicit SimulatedFleet(const Options& options);
  ~SimulatedFleet();

  // A request that a replica has answered. Amounts are in tokens.
  struct AnsweredRequest {
    int replica;  // replicas are numbered in the order of their creation
    double prompt;
    double cached;
  };
  // Runs until `count` requests are answered. Returns the requests that replicas have answered, in order.
  std::vector<AnsweredRequest> run_requests(int count);

  // Both functions restart the router, which uses the same file of its store.
  void restart_after_saving();
  void restart_without_saving();
  // Replaces the oldest replicas by new ones.
  void replace(int count);
  // Evicts this fraction of the prompts that each replica has cached.
  void flush(double fraction);
  const node::Node& node() const { return *node_; }
  int rejected() const { return rejected_; }

 private:
  struct Session {
    std::uint64_t id;
    std::uint64_t prefix;
    double prefix_tokens;
    double prompt;
    int requests;
    bool busy = false;
  };
  struct Client;

  void add_replica();
  void start_router();
  std::string list_json() const;
  void restart();
  void connect_client();
  void on_client_bytes(Client& client, std::string_view bytes);
  void answer_watches();
  void send_request(Client& client);
  Session new_session();
  std::uint64_t random_below(std::uint64_t bound);
  bool wait_for(Time timeout, const std::function<bool()>& done);
  double counter(const std::string& name) const;  // the router's counter of this name

  Options options_;
  boost::random::mt19937_64 random_{4711};
  std::vector<std::unique_ptr<CachingReplica>> replicas_;
  int created_replicas_ = 0;
  int revision_ = 1;  // of the endpoint list
  int rejected_ = 0;
  int requests_to_send_ = 0;
  std::uint64_t last_id_ = 0;
  std::vector<AnsweredRequest> answered_requests_;
  std::vector<Session> sessions_;
  std::unique_ptr<HttpServer> discovery_;
  config::Config config_;
  std::unique_ptr<node::Node> node_;
  std::list<std::unique_ptr<Client>> clients_;
};

}  // namespace thornwick::testing
