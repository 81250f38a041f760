#include "testbed/replication_play.hpp"

#include <fmt/format.h>

#include <algorithm>
#include <set>

#include "emulator/random_stream.hpp"

namespace thornwick::testbed {
namespace {

using Json = nlohmann::json;

constexpr const char* kAccount = "day|*|*|*";
constexpr double kCorrection = 50;  // tokens that each takes
constexpr Time kFills = seconds(60), kFounds = seconds(60), kDecides = seconds(40), kUsesUp = seconds(60);
constexpr Time kQuiet = seconds(3);  // without an answer: the budget is used up

class Play {
 public:
  Play(const ReplicationPlayOptions& script, FaultHarnessOptions options)
      : script_(script),
        chance_(script.seed, emulator::Concern::faults),
        rig_(with(script, std::move(options))) {}

  ReplicationPlayResult run() {
    if (const std::string broken = all(); !broken.empty()) played_.violation = broken;
    played_.tokens = rig_.tokens();
    const auto metrics = rig_.metrics();
    played_.served = metrics.served, played_.rejected = metrics.rejected;
    return played_;
  }

 private:
  struct Asked {
    std::uint64_t id = 0;
    std::size_t router = 0;
    bool yes = false;
  };

  static FaultHarnessOptions with(const ReplicationPlayOptions& script, FaultHarnessOptions options) {
    options.routers = script.routers, options.sites = script.sites, options.seed = script.seed;
    options.rate = 12;
    options.more = fmt::format(
        "[copies]\nenabled = true\nfile = \"{{disk}}/copies\"\nholders = {}\nlease_s = 1.5\nheartbeat_s = "
        "0.1\n"
        "[[budget]]\nname = \"day\"\nmember = \"all\"\nper = \"day\"\ntokens = {}\n",
        script.replicas, script.tokens);
    return options;
  }

  std::string all() {
    for (std::size_t i = 0; i < rig_.size(); ++i) rig_.start(i);
    if (!rig_.run_until([this] { return unfilled().empty(); }, kFounds))
      return "the ledger is not founded: " + unfilled();
    for (int loss = 0; loss < 2; ++loss) {
      pass(chance_.between(0.2, 1.2));
      if (const auto broken = lose(); !broken.empty()) return broken;
    }
    if (!use_up()) return "the budget is not used up";
    decide();
    if (const auto broken = judge(); !broken.empty()) return broken;
    return rig_.recover_and_verify();
  }

  void pass(double seconds) { rig_.run_for(static_cast<Time>(1e6 * seconds)); }

  // ------------------------------------------------------------ losses

  // As many machines as the copies bear, or a site's.
  std::set<std::size_t> victims() {
    std::set<std::size_t> chosen;
    if (script_.lose_site) {
      const std::size_t site = chance_.below(script_.sites);
      for (std::size_t i = site; i < rig_.size(); i += script_.sites) chosen.insert(i);
      return chosen;
    }
    const std::size_t most = 1 + chance_.below(script_.replicas / 2);
    while (chosen.size() < most) chosen.insert(chance_.below(rig_.size()));
    return chosen;
  }

  std::string lose() {
    const auto lost = victims();
    for (const std::size_t r : lost) rig_.kill(r), ++played_.kills;
    correct();
    const double before = rig_.tokens();
    const Time at = net::now_us();
    rig_.run_until([&] { return rig_.tokens() > before + 60; }, seconds(5));
    played_.leader_after_s = std::max(played_.leader_after_s, static_cast<double>(net::now_us() - at) / 1e6);
    if (script_.other_faults) fault(lost);
    pass(chance_.between(0.1, 1.5));
    correct();
    const Time started = net::now_us();
    if (!rig_.run_until([&] {
          return std::all_of(lost.begin(), lost.end(),
                             [&](auto r) { return rig_.state(r) == FaultHarness::State::down; });
        }))
      return "a killed router does not end";
    for (const std::size_t r : lost) rig_.start(r, DiskState::empty);
    rig_.heal();
    for (std::size_t i = 0; i < rig_.size(); ++i) rig_.resume(i);
    if (!rig_.run_until([this] { return unfilled().empty(); }, kFills))
      return "a copy is not filled again: " + unfilled();
    played_.filled_after_s =
        std::max(played_.filled_after_s, static_cast<double>(net::now_us() - started) / 1e6);
    return {};
  }

  // Something else that happens to one of the others meanwhile, for less than it takes to be called gone for
  // good.
  void fault(const std::set<std::size_t>& lost) {
    std::size_t other = chance_.below(rig_.size());
    while (lost.contains(other)) other = (other + 1) % rig_.size();
    switch (chance_.below(4)) {
      case 0: return rig_.stop(other);  // for longer than a lease
      case 1: return rig_.isolate(other, true);
      case 2:
        for (std::size_t i = 0; i < rig_.size(); ++i) {
          if (i != other) rig_.reset(i, other);
        }
        return;
      default: {
        LinkFaults faults;
        faults.loss_fraction = 0.2, faults.repeat_fraction = 0.2;
        faults.min_delay = 0, faults.max_delay = 60'000;
        for (std::size_t i = 0; i < rig_.size(); ++i) {
          if (i != other) rig_.set_faults(i, other, faults), rig_.set_faults(other, i, faults);
        }
      }
    }
  }

  // ------------------------------------------------------------ operators

  void correct() {
    std::vector<std::size_t> running;
    for (std::size_t i = 0; i < rig_.size(); ++i) {
      if (rig_.runs(i)) running.push_back(i);
    }
    if (running.empty()) return;
    Asked asked{chance_.bits() | 1, running[chance_.below(running.size())], false};
    if (!rig_.call(asked.router, fmt::format("GRANT {} {} {}", asked.id, -kCorrection, kAccount))
             .starts_with("+OK"))
      return;
    asked_.push_back(asked);
  }
  // Until each correction has its word, or its router died with it.
  void decide() {
    rig_.run_until(
        [this] {
          bool open = false;
          for (auto& a : asked_) {
            const std::string said = rig_.call(a.router, fmt::format("CORRECTION {}", a.id));
            a.yes = a.yes || said.starts_with("+OK yes");
            open = open || said.starts_with("+OK pending");
          }
          return !open;
        },
        kDecides);
    played_.corrections = asked_.size();
    played_.confirmed = static_cast<std::size_t>(
        std::count_if(asked_.begin(), asked_.end(), [](const auto& a) { return a.yes; }));
  }

  // ------------------------------------------------------------ looking

  Json copies(std::size_t router) const { return rig_.ask(router, "COPIES JSON"); }
  // Why not all copies are whole and vote; empty: they do.
  std::string unfilled() const {
    Json leader;
    std::map<std::string, std::uint64_t> there;
    for (std::size_t i = 0; i < rig_.size(); ++i) {
      const Json own = copies(i);
      if (!own.is_object()) return rig_.name(i) + " does not tell its copies";
      for (const auto& l : own.at("ledgers")) {
        there[rig_.name(i)] = l.at("copy").get<std::uint64_t>();
        if (l.at("stage") != "member") return rig_.name(i) + " is " + l.at("stage").get<std::string>();
        if (l.at("leads").get<bool>()) leader = l;
      }
    }
    if (!leader.is_object()) return "nobody leads";
    if (leader.at("members").size() != script_.replicas)
      return fmt::format("{} members", leader.at("members").size());
    for (const auto& m : leader.at("members")) {
      if (!m.at("votes").get<bool>() ||
          there[m.at("router").get<std::string>()] != m.at("copy").get<std::uint64_t>())
        return m.at("router").get<std::string>() + " does not vote";
    }
    return {};
  }

  bool use_up() {
    double seen = -1;
    Time since = net::now_us();
    return rig_.run_until(
        [&] {
          if (rig_.tokens() != seen) seen = rig_.tokens(), since = net::now_us();
          return net::now_us() - since > kQuiet;
        },
        kUsesUp);
  }

  std::string judge() {
    Json books;
    for (std::size_t i = 0; i < rig_.size(); ++i) {
      const Json own = copies(i);
      if (!own.is_object()) continue;
      for (const auto& l : own.at("ledgers")) {
        if (l.at("leads").get<bool>()) books = own.at("books");
      }
    }
    if (!books.is_array() || books.empty()) return "nobody has the books";
    double limit = 0, charged = 0, in_hand = 0, corrected = 0;
    std::size_t windows = 0;
    for (const auto& b : books) {
      if (b.at("charged").get<double>() + b.at("corrected").get<double>() == 0)
        continue;  // a window that has not begun, or has just
      ++windows;
      limit += b.at("limit").get<double>(), charged += b.at("charged").get<double>(),
          in_hand += b.at("in_hand").get<double>();
      corrected += b.at("corrected").get<double>();
    }
    const double used = rig_.tokens();
    played_.limit = limit + corrected;
    if (used > limit + corrected + 1e-6)
      return fmt::format("the boxes tallied {}, the limit with its corrections is {}", used,
                         limit + corrected);
    if (charged + in_hand + 1e-6 < used)
      return fmt::format("the boxes tallied {}, the books have {} and {} open", used, charged, in_hand);
    const auto times = static_cast<std::size_t>(-corrected / kCorrection + 0.5);
    if (times < played_.confirmed || times > played_.corrections) {
      return fmt::format("{} corrections asked for, {} answered with yes, {} hold", played_.corrections,
                         played_.confirmed, times);
    }
    // Left unused: what was in hand of those that were lost, a block and open requests each, and of those
    // that run.
    if (windows == 1 && used < 0.75 * (limit + corrected))
      return fmt::format("only {} of {} could be used", used, limit + corrected);
    return {};
  }

  ReplicationPlayOptions script_;
  emulator::RandomStream chance_;
  std::vector<Asked> asked_;
  ReplicationPlayResult played_;
  FaultHarness rig_;
};

}  // namespace

ReplicationPlayResult play_machine_losses(const ReplicationPlayOptions& script, FaultHarnessOptions options) {
  return Play(script, std::move(options)).run();
}

}  // namespace thornwick::testbed
