#include "emulator/group_faults.hpp"

#include <fmt/format.h>

#include <algorithm>
#include <iterator>
#include <optional>

namespace thornwick::emulator {
namespace {

constexpr Time kFaultDuration = seconds(120);
constexpr Time kStep = milliseconds(250);
// A member may not be reported as failed by an observer if the pair has been undisturbed for longer.
constexpr Time kUndisturbed = seconds(20);
constexpr Time kAgreementTimeout = seconds(180);
constexpr double kMaxLoss = 0.3;          // maximum loss at which no running member may be reported as failed
constexpr double kMaxIndirectLoss = 0.1;  // the same for a pair that is only connected through another router

double in_seconds(Time time) { return static_cast<double>(time) / 1e6; }

class ScriptRunner {
 public:
  ScriptRunner(const GroupScript& script, const std::function<void(const std::string&)>& write_log)
      : script_(script),
        write_log_(write_log),
        group_(script.options),
        disturbed_at_(group_.size() * group_.size(), 0) {
    group_.on_change = [this](std::size_t router, const membership::Change& change) {
      on_change(router, change);
    };
  }

  GroupScriptResult run() {
    while (group_.now() < script_.ends && result_.violation.empty()) {
      apply_due_faults();
      check();
      group_.run_until(group_.now() + kStep);
    }
    if (result_.violation.empty()) settle();
    return result_;
  }

 private:
  void fail(const std::string& what) {
    if (result_.violation.empty())
      result_.violation = fmt::format("at {:.2f} s: {}", in_seconds(group_.now()), what);
  }

  Time& disturbed_at(std::size_t a, std::size_t b) { return disturbed_at_[a * group_.size() + b]; }

  void on_change(std::size_t router, const membership::Change& change) {
    const bool about_itself = router == change.member;
    write_log_(fmt::format("{:9.3f}  r{:03}: {}{}", in_seconds(group_.now()), router,
                           about_itself ? "" : fmt::format("r{:03} ", change.member), change.text));
    if (!change.text.starts_with("gone") || about_itself) return;
    ++result_.failure_reports;
    if (group_.at(router).is_cut_off())
      fail(fmt::format("r{:03} is cut off and calls r{:03} gone", router, change.member));
    if (group_.now() - disturbed_at(router, change.member) > kUndisturbed) {
      fail(fmt::format("r{:03} calls r{:03} gone, which has run and been reached all the time", router,
                       change.member));
    }
  }

  bool connected(std::size_t a, std::size_t b) const {
    return !group_.is_blocked(a, b) && !group_.is_blocked(b, a);
  }

  // Whether two routers can reach each other directly or through one other router.
  bool reachable(std::size_t a, std::size_t b) const {
    if (connected(a, b)) return true;
    for (std::size_t i = 0; i < group_.size(); ++i) {
      if (i != a && i != b && group_.running(i) && connected(a, i) && connected(i, b)) return true;
    }
    return false;
  }

  bool disturbed(std::size_t a, std::size_t b) const {
    const double max_loss = connected(a, b) ? kMaxLoss : kMaxIndirectLoss;
    return !group_.running(a) || !group_.running(b) || !reachable(a, b) || loss_ > max_loss;
  }

  void check() {
    for (std::size_t i = 0; i < group_.size(); ++i) {
      for (std::size_t j = 0; j < group_.size(); ++j) {
        if (i == j) continue;
        if (disturbed(i, j)) disturbed_at(i, j) = group_.now();
        check_incarnation(i, j);
      }
    }
  }

  void check_incarnation(std::size_t observer, std::size_t member) {
    if (!group_.up(observer) || !group_.up(member)) return;
    const auto& view = group_.at(observer).view(member);
    const bool same_process = view.identity.instance_id == group_.identity(member).instance_id;
    if (same_process && view.incarnation > group_.at(member).incarnation())
      fail(fmt::format("r{:03} knows an incarnation of r{:03} that it never had", observer, member));
  }

  // Ends all faults, and waits until the group agrees.
  void settle() {
    write_log_("          all faults are over");
    group_.unblock_all();
    group_.set_network(0, 0, script_.options.delay_ms);
    for (std::size_t i = 0; i < group_.size(); ++i) {
      group_.resume(i);
      group_.start(i, Disk::same);
    }
    const Time from = group_.now();
    while (!settled() && result_.violation.empty()) {
      group_.run_until(group_.now() + kStep);
      if (group_.now() - from > kAgreementTimeout)
        fail("they do not agree, or one is not sure: " + group_.disagreement());
    }
    result_.agreement_time = group_.now() - from;
  }

  bool settled() const {
    for (std::size_t i = 0; i < group_.size(); ++i) {
      if (group_.at(i).is_cut_off() || !group_.at(i).is_view_reliable()) return false;
    }
    return group_.agree();
  }

  void apply_due_faults() {
    std::size_t& next = result_.faults;
    for (; next < script_.faults.size() && script_.faults[next].at <= group_.now(); ++next)
      apply(script_.faults[next]);
  }

  void apply(const GroupFault& fault) {
    write_log_(fmt::format("{:9.3f}  -- {}", in_seconds(group_.now()), describe(fault)));
    switch (fault.kind) {
      case GroupFaultKind::kill: return group_.kill(fault.router);
      case GroupFaultKind::start_same_disk: return group_.start(fault.router, Disk::same);
      case GroupFaultKind::start_empty_disk: return group_.start(fault.router, Disk::empty);
      case GroupFaultKind::start_older_disk: return group_.start(fault.router, Disk::older);
      case GroupFaultKind::suspend: return group_.suspend(fault.router);
      case GroupFaultKind::resume: return group_.resume(fault.router);
      case GroupFaultKind::shut_down: return group_.shut_down(fault.router);
      case GroupFaultKind::cut_one_way: return group_.block(fault.router, fault.peer);
      case GroupFaultKind::cut_pair: return disconnect(fault.router, fault.peer);
      case GroupFaultKind::isolate: return isolate(fault.router);
      case GroupFaultKind::split_into_halves: return split_into_halves();
      case GroupFaultKind::heal_all: return group_.unblock_all();
      case GroupFaultKind::network: return set_loss(fault.amount);
    }
  }

  void disconnect(std::size_t a, std::size_t b) {
    group_.block(a, b);
    group_.block(b, a);
  }

  void isolate(std::size_t router) {
    for (std::size_t i = 0; i < group_.size(); ++i) disconnect(router, i);
  }

  void split_into_halves() {
    const std::size_t half = group_.size() / 2;
    for (std::size_t i = 0; i < half; ++i) {
      for (std::size_t j = half; j < group_.size(); ++j) disconnect(i, j);
    }
  }

  void set_loss(double loss) {
    loss_ = loss;
    group_.set_network(loss, loss / 2, {0.2, 400 * loss + 2});
  }

  const GroupScript& script_;
  const std::function<void(const std::string&)>& write_log_;
  Group group_;
  std::vector<Time> disturbed_at_;  // time of the last disturbance, indexed by observer * size() + member
  double loss_ = 0;
  GroupScriptResult result_;
};

// Draws a fault of any kind at any time.
GroupFault random_fault(RandomStream& random, std::size_t routers) {
  constexpr auto kKinds = static_cast<std::size_t>(GroupFaultKind::network) + 1;
  GroupFault fault;
  fault.at = seconds(20) + static_cast<Time>(random.unit() * static_cast<double>(kFaultDuration));
  fault.kind = static_cast<GroupFaultKind>(random.below(kKinds));
  fault.router = random.below(routers);
  fault.peer = (fault.router + 1 + random.below(routers - 1)) % routers;
  fault.amount = random.happens(0.5) ? 0 : random.between(0, kMaxLoss);
  return fault;
}

// Draws the fault that ends another one; none for kinds that may last until the end of the script. The time
// is always drawn, so that every fault draws as many numbers.
std::optional<GroupFault> random_recovery(RandomStream& random, const GroupFault& fault) {
  constexpr double kMeanSeconds = 15;
  GroupFault recovery = fault;
  recovery.at += static_cast<Time>(random.exponential(kMeanSeconds) * 1e6);
  switch (fault.kind) {
    case GroupFaultKind::suspend: recovery.kind = GroupFaultKind::resume; return recovery;
    case GroupFaultKind::kill:
    case GroupFaultKind::shut_down: {
      static constexpr GroupFaultKind starts[] = {GroupFaultKind::start_same_disk,
                                                  GroupFaultKind::start_empty_disk,
                                                  GroupFaultKind::start_older_disk};
      recovery.kind = starts[random.below(std::size(starts))];
      return recovery;
    }
    case GroupFaultKind::isolate:
    case GroupFaultKind::split_into_halves: recovery.kind = GroupFaultKind::heal_all; return recovery;
    default: return std::nullopt;
  }
}

}  // namespace

std::string describe(const GroupFault& fault) {
  const std::string router = fmt::format("r{:03}", fault.router);
  switch (fault.kind) {
    case GroupFaultKind::kill: return router + " is killed";
    case GroupFaultKind::start_same_disk: return router + " starts with its disk";
    case GroupFaultKind::start_empty_disk: return router + " starts with an empty disk";
    case GroupFaultKind::start_older_disk: return router + " starts with an older disk";
    case GroupFaultKind::suspend: return router + " is stopped";
    case GroupFaultKind::resume: return router + " goes on";
    case GroupFaultKind::shut_down: return router + " is told to end";
    case GroupFaultKind::cut_one_way:
      return fmt::format("nothing passes from {} to r{:03}", router, fault.peer);
    case GroupFaultKind::cut_pair:
      return fmt::format("{} and r{:03} do not see each other", router, fault.peer);
    case GroupFaultKind::isolate: return router + " is cut off";
    case GroupFaultKind::split_into_halves: return "cut into halves";
    case GroupFaultKind::network:
      return fmt::format("{:.0f} % of the datagrams are lost, half as many repeated", 100 * fault.amount);
    case GroupFaultKind::heal_all: break;
  }
  return "all cuts are healed";
}

GroupScript random_script(std::uint64_t seed) {
  RandomStream random(seed, StreamPurpose::faults);
  GroupScript script;
  script.options.seed = seed;
  script.options.routers = 3 + random.below(7);
  script.options.sites = 1 + random.below(3);
  script.options.share_views = random.happens(0.7);
  const std::size_t count = 4 + random.below(13);
  for (std::size_t i = 0; i < count; ++i) {
    const GroupFault fault = random_fault(random, script.options.routers);
    script.faults.push_back(fault);
    if (const auto recovery = random_recovery(random, fault)) script.faults.push_back(*recovery);
  }
  std::stable_sort(script.faults.begin(), script.faults.end(),
                   [](const GroupFault& a, const GroupFault& b) { return a.at < b.at; });
  // The margin is longer than a shutdown, so that processes that were shutting down have ended.
  script.ends = std::max(kFaultDuration, script.faults.back().at) + seconds(3);
  return script;
}

GroupScriptResult play_script(const GroupScript& script,
                              const std::function<void(const std::string&)>& write_log) {
  return ScriptRunner(script, write_log).run();
}

}  // namespace thornwick::emulator
