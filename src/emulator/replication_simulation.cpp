#include "emulator/replication_simulation.hpp"

#include <fmt/format.h>

#include <algorithm>
#include <functional>

#include "replication/replication_node.hpp"

namespace thornwick::emulator {
namespace {

using budgets::Units;

constexpr Time kSecond = seconds(1), kTick = milliseconds(20);
constexpr Time kBase = seconds(1'800'000'000);  // a whole minute
constexpr Units kLimit = 3'000'000, kBurst = 300'000, kPerSecond = 50'000;
constexpr double kBlock = 0.02;
constexpr Time kLease = seconds(2);

struct Account {
  std::string key;
  budgets::Rule rule;
};

class World {
 public:
  explicit World(const CopiesOptions& options)
      : options_(options),
        chance_(options.seed, Concern::faults),
        demand_(options.seed, Concern::arrivals),
        routers_(options.routers) {
    std::vector<std::string> sites;
    for (std::size_t s = 0; s < options.sites; ++s) sites.push_back("s" + std::to_string(s));
    std::vector<membership::RouterEntry> entries;
    for (std::size_t r = 0; r < options.routers; ++r)
      entries.push_back({fmt::format("r{}", r), sites[r % options.sites],
                         fmt::format("127.0.0.1:{}", 1000 + r), "router", 0});
    roster_ = std::make_shared<membership::Roster>("virtual", sites, entries);
    accounts_ = {{"minute|a", {budgets::Span::minute, kLimit, 0}},
                 {"minute|b", {budgets::Span::minute, kLimit, 0}},
                 {"second|a", {budgets::Span::bucket, kBurst, kPerSecond}},
                 {"day|c", {budgets::Span::day, kLimit, 0}}};
    for (auto& router : routers_) {
      router.rate = 1 + 0.008 * (2 * chance_.unit() - 1);
      router.ahead = static_cast<Time>(kSecond * (chance_.unit() - 0.5));
    }
    lost_.assign(options.routers, std::vector<bool>(options.routers, false));
  }

  CopiesResult run() {
    for (std::size_t r = 0; r < routers_.size(); ++r) start(r, "kept");
    every(kTick, [this] { tick(); });
    for (std::size_t r = 0; r < routers_.size(); ++r) ask_later(r);
    const auto faults_end = static_cast<Time>(options_.seconds * kSecond);
    pass(seconds(10));
    if (options_.faults) trouble_later();
    pass(std::max<Time>(0, faults_end - now_));
    calm_ = true;
    for (std::size_t a = 0; a < routers_.size(); ++a) {
      for (std::size_t b = 0; b < routers_.size(); ++b) lost_[a][b] = false;
      if (routers_[a].stopped) go(a);
      routers_[a].disk_full = false, routers_[a].disk_slow = false;
      if (!routers_[a].alive) start(a, "kept");
    }
    loss_ = 0;
    write_log("all is mended");
    pass(seconds(40));
    // A whole window without a fault: what can be used of it.
    const std::int64_t window = (local(0) + seconds(60)) / (seconds(60));
    pass((window + 1) * seconds(60) - local(0) - seconds(2));
    if (result_.broken.empty()) result_.broken = judge(window);
    for (std::size_t r = 0; r < routers_.size(); ++r) {
      if (!routers_[r].copies) continue;
      for (const auto& [l, holder] : routers_[r].copies->replicas()) {
        write_log(fmt::format("r{}   ledger {}: copy {}, stage {}, {}", r, l, holder->process().id % 1000,
                              static_cast<int>(holder->stage()),
                              holder->consensus() != nullptr ? holder->consensus()->digest() : "no log"));
      }
    }
    result_.timeline = std::move(timeline_);
    return result_;
  }

 private:
  struct Router;
  // One ledger's records on one router's disk.
  struct Disk final : replication::Records {
    Disk(World& w, std::size_t r, std::size_t l) : world(w), router(r), ledger(l) {}
    void write(std::string key, std::optional<std::string> value) override {
      world.put(router, ledger, std::move(key), std::move(value));
    }
    std::uint64_t mark() override { return world.routers_[router].written; }
    World& world;
    std::size_t router, ledger;
  };
  using Records = std::map<std::pair<std::size_t, std::string>, std::string>;
  struct Pending {
    std::uint64_t number;
    std::size_t ledger;
    std::string key;
    std::optional<std::string> value;
  };
  struct Router {
    bool alive = false, stopped = false, disk_full = false, disk_slow = false, flushing = false;
    double rate = 1;
    Time ahead = 0;
    std::uint64_t epoch = 0, written = 0;
    Records disk, older;
    std::vector<Pending> pending;
    std::map<std::size_t, std::unique_ptr<Disk>> disks;
    std::unique_ptr<replication::ReplicationNode> copies;
    std::vector<std::function<void()>> frozen;
    std::set<std::size_t> unfilled;  // ledgers whose copy here was lost and has no vote yet
  };

  // ------------------------------------------------------------ time

  void at(Time when, std::function<void()> what) { events_.emplace(when, std::move(what)); }
  void every(Time period, std::function<void()> what) {
    at(now_ + period, [this, period, what] {
      what();
      every(period, what);
    });
  }
  void pass(Time time) {
    const Time until = now_ + time;
    while (!events_.empty() && events_.begin()->first <= until && result_.broken.empty()) {
      auto node = events_.extract(events_.begin());
      now_ = node.key();
      node.mapped()();
    }
    now_ = until;
  }
  Time local(std::size_t r) const {
    return kBase + routers_[r].ahead + static_cast<Time>(static_cast<double>(now_) * routers_[r].rate);
  }
  void write_log(const std::string& what) {
    timeline_ += fmt::format("{:8.3f}  {}\n", static_cast<double>(now_) / 1e6, what);
  }

  // ------------------------------------------------------------ disks and processes

  void put(std::size_t r, std::size_t ledger, std::string key, std::optional<std::string> value) {
    Router& router = routers_[r];
    router.pending.push_back({++router.written, ledger, std::move(key), std::move(value)});
    if (!std::exchange(router.flushing, true)) flush_later(r);
  }
  void flush_later(std::size_t r) {
    Router& router = routers_[r];
    const double ms = router.disk_slow ? chance_.between(100, 500) : chance_.between(1, 8);
    at(now_ + static_cast<Time>(1000 * ms), [this, r, epoch = router.epoch] {
      Router& one = routers_[r];
      if (one.epoch != epoch) return;
      if (one.stopped) return void(one.frozen.push_back([this, r] { flush(r); }));
      flush(r);
    });
  }
  void flush(std::size_t r) {
    Router& router = routers_[r];
    if (router.disk_full) return flush_later(r);
    const std::uint64_t number = router.written;
    for (auto& p : router.pending) {
      if (p.value)
        router.disk[{p.ledger, p.key}] = *p.value;
      else
        router.disk.erase({p.ledger, p.key});
    }
    router.pending.clear();
    router.flushing = false;
    router.copies->durable(local(r), number);
  }

  void start(std::size_t r, const std::string& disk) {
    Router& router = routers_[r];
    if (router.alive) return;
    write_log(fmt::format("r{} starts, disk {}", r, disk));
    if (disk != "kept") {
      for (std::size_t l = 0; l < options_.ledgers; ++l) {
        const auto holders = replication::place_replicas(*roster_, l, options_.copies);
        if (std::find(holders.begin(), holders.end(), r) != holders.end()) router.unfilled.insert(l);
      }
    }
    if (disk == "empty") router.disk.clear(), ++result_.lost_disks;
    if (disk == "older")
      router.disk = router.older, ++result_.older_disks;
    else
      router.older = router.disk;
    router.alive = true, router.stopped = false;
    ++router.epoch;
    router.written = 0, router.flushing = false;
    router.pending.clear(), router.frozen.clear();
    replication::Options options;
    options.replica.self = options.quota_client.self = r;
    options.replica.replica_count = options.quota_client.replica_count = options_.copies;
    options.replica.roster = options.quota_client.roster = roster_;
    options.replica.lease = options.quota_client.lease = kLease;
    options.replica.entry_timeout = seconds(25);
    options.replica.snapshot_every = 64, options.replica.trailing = 16;
    options.replica.trust_any_disk = options_.trust_any_disk;
    options.replica.answer_before_majority = options_.answer_before_majority;
    options.quota_client.ledgers = options_.ledgers;
    options.quota_client.run = static_cast<std::uint32_t>(chance_.bits());
    options.quota_client.block = kBlock;
    options.quota_client.response_timeout = 300'000;
    options.quota_client.overdraft = options_.overdraft;
    options.quota_client.outlive_lease = options_.outlive_lease;
    router.copies = std::make_unique<replication::ReplicationNode>(
        options,
        replication::ReplicationNode::Dependencies{
            .records = [this, r](std::size_t l) -> replication::Records& {
              auto& disk_of = routers_[r].disks[l];
              if (!disk_of) disk_of = std::make_unique<Disk>(*this, r, l);
              return *disk_of;
            },
            .stored =
                [this, r](std::size_t l, const replication::RecordVisitor& visit) {
                  for (const auto& [key, value] : routers_[r].disk) {
                    if (key.first == l) visit(key.second, value);
                  }
                },
            .random_number = [this] { return chance_.bits(); },
            .send = [this, r](std::size_t to, std::string bytes) { send(r, to, std::move(bytes)); },
            .write_log = [this, r](replication::Severity,
                                   const std::string& text) { write_log(fmt::format("r{}   {}", r, text)); }},
        local(r));
    for (const auto& account : accounts_) router.copies->quota_client().open(account.key, account.rule);
  }

  void kill(std::size_t r) {
    Router& router = routers_[r];
    if (!router.alive || now_ < no_kill_until_) return;
    write_log(fmt::format("r{} is killed", r));
    ++result_.kills, ++router.epoch;
    router.alive = router.stopped = false;
    router.pending.clear();
    router.copies.reset();
  }
  void stop(std::size_t r) {
    if (!routers_[r].alive || routers_[r].stopped) return;
    write_log(fmt::format("r{} is stopped", r));
    ++result_.stops;
    routers_[r].stopped = true;
  }
  void go(std::size_t r) {
    Router& router = routers_[r];
    if (!router.stopped) return;
    write_log(fmt::format("r{} goes on", r));
    router.stopped = false;
    for (auto& one : std::exchange(router.frozen, {})) one();
  }

  void tick() {
    for (std::size_t r = 0; r < routers_.size(); ++r) {
      Router& router = routers_[r];
      if (!router.alive || router.stopped) continue;
      router.copies->tick(local(r));
      for (const auto& [number, holder] : router.copies->replicas()) {
        if (!holder->leads()) continue;
        for (const auto& m : holder->consensus()->members()) {
          const std::size_t member = roster_->find(m.name);
          Router& other = routers_[member];
          if (!m.votes || !other.alive || holder->consensus()->changing() ||
              !other.copies->replicas().contains(number))
            continue;
          const auto& copy = *other.copies->replicas().at(number);
          if (copy.process().id != m.id || copy.stage() != replication::Stage::member ||
              copy.consensus() == nullptr)
            continue;
          // Its disk has all that was committed a moment ago.
          if (copy.consensus()->position().last + 1 >= holder->consensus()->committed() &&
              copy.consensus()->committed() > 0)
            other.unfilled.erase(number);
        }
      }
    }
  }

  // ------------------------------------------------------------ network

  void send(std::size_t from, std::size_t to, std::string bytes) {
    if (lost_[from][to] || chance_.happens(loss_)) return;
    const int times = chance_.happens(loss_ / 2) ? 2 : 1;
    for (int i = 0; i < times; ++i) {
      const double ms = chance_.happens(loss_) ? chance_.between(0, 400) : chance_.between(0.2, 3);
      at(now_ + static_cast<Time>(1000 * ms), [this, from, to, bytes] { arrive(from, to, bytes); });
    }
  }
  void arrive(std::size_t from, std::size_t to, const std::string& bytes) {
    Router& router = routers_[to];
    if (!router.alive || lost_[from][to]) return;
    if (router.stopped)
      return void(router.frozen.push_back([this, from, to, bytes] { arrive(from, to, bytes); }));
    router.copies->on_message(local(to), from, bytes);
  }

  // ------------------------------------------------------------ clients

  void ask_later(std::size_t r) {
    const double all =
        options_.demand * static_cast<double>(kLimit) * 3 / 60;  // units a second, over the accounts
    const double mean = 6600.0 * static_cast<double>(routers_.size()) / all;
    at(now_ + static_cast<Time>(1e6 * demand_.exponential(mean)), [this, r] {
      ask(r);
      ask_later(r);
    });
  }
  void ask(std::size_t r) {
    Router& router = routers_[r];
    if (!router.alive || router.stopped) return;
    const std::size_t which = demand_.below(accounts_.size() - 1);  // the last one is for corrections
    const Account& account = accounts_[which];
    const Units amount = 4000 + static_cast<Units>(demand_.below(14'000)),
                used = static_cast<Units>(static_cast<double>(amount) * demand_.between(0.2, 1));
    const Time wall = local(r);
    if (!router.copies->quota_client().reserve(static_cast<replication::QuotaLeaseClient::Place>(which),
                                               amount, wall)) {
      router.copies->pump(wall);
      return void(++result_.rejected);
    }
    router.copies->pump(wall);
    ++result_.granted;
    const std::int64_t window = account.rule.span == budgets::Span::bucket ? 0 : wall / (seconds(60));
    grant(account, window, used);
    at(now_ + static_cast<Time>(1e6 * demand_.between(0.05, 4)),
       [this, r, epoch = router.epoch, which, amount, used, wall] {
         settle(r, epoch, which, amount, used, wall);
       });
  }
  void settle(std::size_t r, std::uint64_t epoch, std::size_t which, Units amount, Units used, Time wall) {
    Router& router = routers_[r];
    if (router.epoch != epoch) return;
    if (router.stopped)
      return void(router.frozen.push_back([=, this] { settle(r, epoch, which, amount, used, wall); }));
    router.copies->quota_client().settle(static_cast<replication::QuotaLeaseClient::Place>(which), amount,
                                         used, wall, local(r));
  }
  // Counted as the replicas would: what each request used, whatever became of its router.
  void grant(const Account& account, std::int64_t window, Units used) {
    Units& all = truth_[{account.key, window}];
    all += used;
    if (account.rule.span == budgets::Span::bucket) {
      // A pail that fills as fast as the fastest clock says.
      pail_ =
          std::min<double>(kBurst, pail_ + static_cast<double>(now_ - pail_at_) / 1e6 * kPerSecond * 1.01);
      pail_at_ = now_;
      pail_ -= static_cast<double>(used);
      const double most = options_.overdraft * kBurst * static_cast<double>(routers_.size());
      if (pail_ < -1 - most) broken(fmt::format("{}: {:.0f} beyond burst and refill", account.key, -pail_));
      return;
    }
    const Units most =
        kLimit + static_cast<Units>(options_.overdraft * kLimit) * static_cast<Units>(routers_.size());
    if (all > most)
      broken(fmt::format("{}, window {}: {} granted, the limit is {}", account.key, window, all, most));
  }
  void broken(const std::string& what) {
    if (!result_.broken.empty()) return;
    result_.broken = what;
    write_log("BROKEN: " + what);
  }

  // Takes 1,000 units and a little that names it: no cap hides whether it held once.
  void correct(std::size_t r) {
    Router& router = routers_[r];
    if (!router.alive || router.stopped) return;
    const auto line = router.copies->quota_client().account("day|c", local(r));
    replication::Correction correction{chance_.bits() | 1, false, -1000, *line};
    ++result_.corrections;
    router.copies->quota_client().correct(
        local(r), correction, [this, id = correction.id](const replication::OperatorOutcome& outcome) {
          const bool yes = outcome.status == replication::OperatorOutcome::Status::accepted;
          write_log(fmt::format("correction {}: {} {}", id % 1000, yes ? "yes" : "no", outcome.reason));
          if (yes) confirmed_.insert(id), ++result_.confirmed;
        });
  }

  // ------------------------------------------------------------ faults

  std::size_t unfilled() const {
    return static_cast<std::size_t>(
        std::count_if(routers_.begin(), routers_.end(), [](const auto& r) { return !r.unfilled.empty(); }));
  }
  // A leader of each ledger, and all of its holders voting: before the first loss.
  bool founded() const {
    std::set<std::size_t> led;
    for (const auto& router : routers_) {
      if (!router.alive) continue;
      for (const auto& [number, holder] : router.copies->replicas()) {
        if (holder->leads()) led.insert(number);
      }
    }
    return led.size() == options_.ledgers;
  }

  void trouble_later() {
    at(now_ + static_cast<Time>(1e6 * chance_.exponential(2.5)), [this] {
      if (calm_) return;
      fault();
      trouble_later();
    });
  }
  void fault() {
    const std::size_t r = chance_.below(routers_.size());
    const Time lasts = static_cast<Time>(1e6 * chance_.between(0.2, 8));
    // As many disks as the promise names are lost at a time; the next one when they are filled again.
    const bool may_lose = founded() && unfilled() < options_.copies / 2 && routers_[r].unfilled.empty();
    switch (chance_.below(12)) {
      case 0:
      case 1: {
        const std::string disk =
            may_lose && chance_.happens(0.6) ? chance_.happens(0.7) ? "empty" : "older" : "kept";
        kill(r);
        at(now_ + lasts, [this, r, disk] {
          // Another one may have gone meanwhile.
          const bool still = founded() && unfilled() < options_.copies / 2;
          if (!calm_) start(r, still ? disk : "kept");
        });
        return;
      }
      case 2: stop(r); return at(now_ + lasts, [this, r] { go(r); });
      case 3: return cut({r}, lasts);
      case 4: {
        std::set<std::size_t> half;
        for (std::size_t i = 0; i < routers_.size(); ++i) {
          if (chance_.happens(0.5)) half.insert(i);
        }
        return cut(half, lasts);
      }
      case 5: {
        loss_ = chance_.between(0, 0.3);
        write_log(fmt::format("{:.0f} % are lost, some repeated and late", 100 * loss_));
        return at(now_ + lasts, [this] { loss_ = 0; });
      }
      case 6:
        routers_[r].disk_slow = true;
        return at(now_ + lasts, [this, r] { routers_[r].disk_slow = false; });
      case 7:
        routers_[r].disk_full = true;
        write_log(fmt::format("r{}'s disk is full", r));
        return at(now_ + lasts, [this, r] { routers_[r].disk_full = false; });
      case 8: return amnesia(may_lose);
      case 9: {
        // The leader is alone, and is asked for a yes.
        const std::size_t alone = leader_of(0);
        cut({alone}, lasts);
        return at(now_ + 50'000, [this, alone] { correct(alone); });
      }
      case 10:
        // Stopped for longer than a lease; clients are there as it goes on.
        stop(r);
        return at(now_ + 3 * kLease, [this, r] {
          go(r);
          for (int i = 0; i < 20; ++i) ask(r);
        });
      default: return correct(r);
    }
  }
  std::size_t leader_of(std::size_t ledger) const {
    for (std::size_t r = 0; r < routers_.size(); ++r) {
      if (!routers_[r].alive) continue;
      const auto at_router = routers_[r].copies->replicas().find(ledger);
      if (at_router != routers_[r].copies->replicas().end() && at_router->second->leads()) return r;
    }
    return 0;
  }
  // One has a leader's entries and loses them with an older disk, while the one that lacks them can be
  // reached and the leader cannot: for less time than a holder's patience.
  void amnesia(bool may_lose) {
    if (!may_lose || options_.copies != 3) return;
    const std::size_t leader = leader_of(0);
    auto others = replication::place_replicas(*roster_, 0, 3);
    if (std::erase(others, leader) == 0) return;
    const std::size_t lagging = others[chance_.below(2)], older = others[others[0] == lagging ? 1 : 0];
    if (!routers_[older].alive || !routers_[leader].alive) return;
    routers_[older].older = routers_[older].disk;
    cut({lagging}, seconds(2));
    at(now_ + 1'900'000, [this, leader, older] {
      if (calm_ || unfilled() > 0) return;
      kill(older);
      start(older, "older");
      cut({leader}, seconds(5));
      // A copy so young, and nobody left who heard more of it, is not covered.
      no_kill_until_ = now_ + seconds(10);
    });
  }
  void cut(const std::set<std::size_t>& apart, Time lasts) {
    ++result_.cuts;
    write_log(fmt::format("cut off: {}", fmt::join(apart, " ")));
    const bool one_way = chance_.happens(0.2);
    std::vector<std::pair<std::size_t, std::size_t>> pairs;
    for (std::size_t a = 0; a < routers_.size(); ++a) {
      for (std::size_t b = 0; b < routers_.size(); ++b) {
        if (apart.contains(a) != apart.contains(b) && (!one_way || apart.contains(a)))
          pairs.emplace_back(a, b);
      }
    }
    for (const auto& [a, b] : pairs) lost_[a][b] = true;
    at(now_ + lasts, [this, pairs] {
      for (const auto& [a, b] : pairs) lost_[a][b] = false;
    });
  }

  // ------------------------------------------------------------ judgement

  std::string judge(std::int64_t window) {
    for (std::size_t l = 0; l < options_.ledgers; ++l) {
      const replication::LedgerReplica* leader = nullptr;
      for (const auto& router : routers_) {
        const auto at_router = router.copies->replicas().find(l);
        if (at_router != router.copies->replicas().end() && at_router->second->leads())
          leader = at_router->second.get();
      }
      if (leader == nullptr) return fmt::format("ledger {} has no leader at the end", l);
      for (const auto& m : leader->consensus()->members()) {
        const auto& holder = routers_[roster_->find(m.name)].copies->replicas().at(l);
        if (!m.votes || holder->process().id != m.id)
          return fmt::format("ledger {}: {} is not filled", l, m.name);
        if (holder->consensus()->committed() + 50 < leader->consensus()->committed())
          return fmt::format("ledger {}: {} lags", l, m.name);
      }
      if (leader->consensus()->members().size() != options_.copies)
        return fmt::format("ledger {} has {} members", l, leader->consensus()->members().size());
      if (const auto fault = leader->ledger().fault(); !fault.empty()) return fault;
      for (const auto& [key, account] : leader->ledger().accounts()) {
        for (const auto& [w, book] : account.windows) {
          const auto used = truth_.find({key, w});
          if (account.span == 0 || used == truth_.end()) continue;
          if (book.charged + book.in_hand() < used->second)
            return fmt::format("{}, window {}: {} used, {} in the books", key, w, used->second,
                               book.charged + book.in_hand());
        }
        if (key != "day|c" || account.windows.empty()) continue;
        const auto times = static_cast<std::size_t>(-account.windows.begin()->second.corrected / 1000);
        if (times < confirmed_.size() || times > result_.corrections) {
          return fmt::format("{} corrections were confirmed, {} asked for, {} hold", confirmed_.size(),
                             result_.corrections, times);
        }
      }
      for (const auto id : confirmed_) {
        if (l == replication::ledger_of("day|c", options_.ledgers) && !leader->ledger().has_corrected(id))
          return "a confirmed correction is gone";
      }
    }
    if (options_.demand > 1.2) {
      for (const auto* key : {"minute|a", "minute|b"})
        result_.usable = std::min(result_.usable, static_cast<double>(truth_[{key, window}]) / kLimit);
      if (result_.usable < 0.8)
        return fmt::format("{:.2f} of a limit could be used in a window without faults", result_.usable);
    }
    return {};
  }

  CopiesOptions options_;
  RandomStream chance_, demand_;
  std::shared_ptr<membership::Roster> roster_;
  std::vector<Account> accounts_;
  Time now_ = 0;
  std::multimap<Time, std::function<void()>> events_;
  std::vector<std::vector<bool>> lost_;
  double loss_ = 0, pail_ = kBurst;
  Time pail_at_ = 0;
  Time no_kill_until_ = 0;
  bool calm_ = false;
  std::map<std::pair<std::string, std::int64_t>, Units> truth_;
  std::set<std::uint64_t> confirmed_;
  std::string timeline_;
  CopiesResult result_;
  std::vector<Router> routers_;  // last: what it holds calls back
};

}  // namespace

CopiesResult play_copies(const CopiesOptions& options) { return World(options).run(); }

}  // namespace thornwick::emulator
