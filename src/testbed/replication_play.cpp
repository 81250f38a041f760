#include "testbed/replication_play.hpp"

#include <fmt/format.h>

#include <algorithm>
#include <set>

#include "emulator/random_stream.hpp"

namespace thornwick::testbed {
namespace {

using Json = nlohmann::json;

constexpr const char* kAccount = "day|*|*|*";
constexpr double kCorrectionTokens = 50;  // tokens that each correction takes from the budget
constexpr Time kFillTimeout = seconds(60), kFoundTimeout = seconds(60), kDecisionTimeout = seconds(40),
               kBudgetUseTimeout = seconds(60);
constexpr Time kNoAnswerTime = seconds(3);  // without a new answer, after which the budget counts as used up

class Play {
 public:
  Play(const ReplicationPlayOptions& script, FaultHarnessOptions options)
      : script_(script),
        random_(script.seed, emulator::Concern::faults),
        harness_(harness_options(script, std::move(options))) {}

  ReplicationPlayResult run() {
    if (const std::string violation = play(); !violation.empty()) result_.violation = violation;
    result_.tokens = harness_.counted_tokens();
    const auto metrics = harness_.metrics();
    result_.served = metrics.served, result_.rejected = metrics.rejected;
    return result_;
  }

 private:
  struct Correction {
    std::uint64_t id = 0;
    std::size_t router = 0;
    bool confirmed = false;
  };

  static FaultHarnessOptions harness_options(const ReplicationPlayOptions& script,
                                             FaultHarnessOptions options) {
    options.routers = script.routers, options.sites = script.sites, options.seed = script.seed;
    options.request_rate = 12;
    options.extra_config = fmt::format(
        "[copies]\nenabled = true\nfile = \"{{disk}}/copies\"\nholders = {}\nlease_s = 1.5\nheartbeat_s = "
        "0.1\n"
        "[[budget]]\nname = \"day\"\nmember = \"all\"\nper = \"day\"\ntokens = {}\n",
        script.replicas, script.tokens);
    return options;
  }

  std::string play() {
    for (std::size_t i = 0; i < harness_.size(); ++i) harness_.start(i);
    if (!harness_.run_until([this] { return unfilled_ledger().empty(); }, kFoundTimeout))
      return "the ledger was not founded: " + unfilled_ledger();
    for (int loss = 0; loss < 2; ++loss) {
      run_for_seconds(random_.between(0.2, 1.2));
      if (const auto violation = lose_machines(); !violation.empty()) return violation;
    }
    if (!use_up_budget()) return "the budget is not used up";
    await_corrections();
    if (const auto violation = first_violation(); !violation.empty()) return violation;
    return harness_.recover_and_verify();
  }

  void run_for_seconds(double seconds) { harness_.run_for(static_cast<Time>(1e6 * seconds)); }

  // Chooses as many machines as the ledger replicas tolerate, or those of one site.
  std::set<std::size_t> choose_machines() {
    std::set<std::size_t> chosen;
    if (script_.lose_site) {
      const std::size_t site = random_.below(script_.sites);
      for (std::size_t i = site; i < harness_.size(); i += script_.sites) chosen.insert(i);
      return chosen;
    }
    const std::size_t count = 1 + random_.below(script_.replicas / 2);
    while (chosen.size() < count) chosen.insert(random_.below(harness_.size()));
    return chosen;
  }

  std::string lose_machines() {
    const auto lost = choose_machines();
    for (const std::size_t r : lost) harness_.kill(r), ++result_.kills;
    request_correction();
    const double tokens_before = harness_.counted_tokens();
    const Time lost_at = net::now_us();
    harness_.run_until([&] { return harness_.counted_tokens() > tokens_before + 60; }, seconds(5));
    result_.leader_after_s =
        std::max(result_.leader_after_s, static_cast<double>(net::now_us() - lost_at) / 1e6);
    if (script_.other_faults) inject_fault(lost);
    run_for_seconds(random_.between(0.1, 1.5));
    request_correction();
    const Time restarted_at = net::now_us();
    if (!harness_.run_until([&] {
          return std::all_of(lost.begin(), lost.end(),
                             [&](auto r) { return harness_.state(r) == FaultHarness::State::down; });
        }))
      return "a killed router did not end";
    for (const std::size_t r : lost) harness_.start(r, DiskState::empty);
    harness_.heal();
    for (std::size_t i = 0; i < harness_.size(); ++i) harness_.resume(i);
    if (!harness_.run_until([this] { return unfilled_ledger().empty(); }, kFillTimeout))
      return "a ledger replica was not filled again: " + unfilled_ledger();
    result_.filled_after_s =
        std::max(result_.filled_after_s, static_cast<double>(net::now_us() - restarted_at) / 1e6);
    return {};
  }

  // Injects a fault into one of the other routers, for a shorter time than it takes to be replaced as failed
  // for good.
  void inject_fault(const std::set<std::size_t>& lost) {
    std::size_t other = random_.below(harness_.size());
    while (lost.contains(other)) other = (other + 1) % harness_.size();
    switch (random_.below(4)) {
      case 0: return harness_.stop(other);  // lasts longer than a lease
      case 1: return harness_.isolate(other, true);
      case 2:
        for (std::size_t i = 0; i < harness_.size(); ++i) {
          if (i != other) harness_.reset(i, other);
        }
        return;
      default: {
        LinkFaults faults;
        faults.loss_fraction = 0.2, faults.repeat_fraction = 0.2;
        faults.min_delay = 0, faults.max_delay = 60'000;
        for (std::size_t i = 0; i < harness_.size(); ++i) {
          if (i != other) harness_.set_faults(i, other, faults), harness_.set_faults(other, i, faults);
        }
      }
    }
  }

  void request_correction() {
    std::vector<std::size_t> running;
    for (std::size_t i = 0; i < harness_.size(); ++i) {
      if (harness_.is_serving(i)) running.push_back(i);
    }
    if (running.empty()) return;
    Correction correction{random_.bits() | 1, running[random_.below(running.size())], false};
    if (!harness_
             .call(correction.router,
                   fmt::format("GRANT {} {} {}", correction.id, -kCorrectionTokens, kAccount))
             .starts_with("+OK"))
      return;
    corrections_.push_back(correction);
  }
  // Waits until each correction is decided, or its router has ended before.
  void await_corrections() {
    harness_.run_until(
        [this] {
          bool open = false;
          for (auto& a : corrections_) {
            const std::string reply = harness_.call(a.router, fmt::format("CORRECTION {}", a.id));
            a.confirmed = a.confirmed || reply.starts_with("+OK yes");
            open = open || reply.starts_with("+OK pending");
          }
          return !open;
        },
        kDecisionTimeout);
    result_.corrections = corrections_.size();
    result_.confirmed = static_cast<std::size_t>(
        std::count_if(corrections_.begin(), corrections_.end(), [](const auto& a) { return a.confirmed; }));
  }

  Json ledger_status(std::size_t router) const { return harness_.call_json(router, "COPIES JSON"); }
  // Returns why not all ledger replicas are filled and voting. Empty if they are.
  std::string unfilled_ledger() const {
    Json leader;
    std::map<std::string, std::uint64_t> copy_numbers;
    for (std::size_t i = 0; i < harness_.size(); ++i) {
      const Json status = ledger_status(i);
      if (!status.is_object()) return harness_.name(i) + " does not answer the COPIES command";
      for (const auto& l : status.at("ledgers")) {
        copy_numbers[harness_.name(i)] = l.at("copy").get<std::uint64_t>();
        if (l.at("stage") != "member") return harness_.name(i) + " is " + l.at("stage").get<std::string>();
        if (l.at("leads").get<bool>()) leader = l;
      }
    }
    if (!leader.is_object()) return "no router leads the ledger";
    if (leader.at("members").size() != script_.replicas)
      return fmt::format("the ledger has {} members", leader.at("members").size());
    for (const auto& m : leader.at("members")) {
      if (!m.at("votes").get<bool>() ||
          copy_numbers[m.at("router").get<std::string>()] != m.at("copy").get<std::uint64_t>())
        return m.at("router").get<std::string>() + " does not vote";
    }
    return {};
  }

  bool use_up_budget() {
    double last_tokens = -1;
    Time changed_at = net::now_us();
    return harness_.run_until(
        [&] {
          if (harness_.counted_tokens() != last_tokens)
            last_tokens = harness_.counted_tokens(), changed_at = net::now_us();
          return net::now_us() - changed_at > kNoAnswerTime;
        },
        kBudgetUseTimeout);
  }

  std::string first_violation() {
    Json accounts;
    for (std::size_t i = 0; i < harness_.size(); ++i) {
      const Json status = ledger_status(i);
      if (!status.is_object()) continue;
      for (const auto& l : status.at("ledgers")) {
        if (l.at("leads").get<bool>()) accounts = status.at("books");
      }
    }
    if (!accounts.is_array() || accounts.empty()) return "no leader reports the accounts";
    double limit = 0, charged = 0, leased = 0, corrected = 0;
    std::size_t windows = 0;
    for (const auto& b : accounts) {
      if (b.at("charged").get<double>() + b.at("corrected").get<double>() == 0)
        continue;  // a window that has not begun or has only just begun
      ++windows;
      limit += b.at("limit").get<double>(), charged += b.at("charged").get<double>(),
          leased += b.at("in_hand").get<double>();
      corrected += b.at("corrected").get<double>();
    }
    const double used = harness_.counted_tokens();
    result_.limit = limit + corrected;
    if (used > limit + corrected + 1e-6)
      return fmt::format("the replicas counted {} tokens, the limit with its corrections is {}", used,
                         limit + corrected);
    if (charged + leased + 1e-6 < used)
      return fmt::format("the replicas counted {} tokens, the ledger has {} charged and {} leased", used,
                         charged, leased);
    const auto applied = static_cast<std::size_t>(-corrected / kCorrectionTokens + 0.5);
    if (applied < result_.confirmed || applied > result_.corrections) {
      return fmt::format("{} corrections requested, {} confirmed, {} applied", result_.corrections,
                         result_.confirmed, applied);
    }
    // Unused tokens are those leased by the lost routers, a block and the open requests of each, and by the
    // running ones.
    if (windows == 1 && used < 0.75 * (limit + corrected))
      return fmt::format("only {} of {} tokens were used", used, limit + corrected);
    return {};
  }

  ReplicationPlayOptions script_;
  emulator::RandomStream random_;
  std::vector<Correction> corrections_;
  ReplicationPlayResult result_;
  FaultHarness harness_;
};

}  // namespace

ReplicationPlayResult play_machine_losses(const ReplicationPlayOptions& script, FaultHarnessOptions options) {
  return Play(script, std::move(options)).run();
}

}  // namespace thornwick::testbed
