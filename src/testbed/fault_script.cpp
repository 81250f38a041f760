#include "testbed/fault_script.hpp"

#include <fmt/format.h>

#include <algorithm>
#include <map>

#include "settings/file.hpp"
#include "settings/section.hpp"

namespace thornwick::testbed {
namespace {

using settings::Errors, settings::Root, settings::Section;

constexpr std::size_t kMaxRouters = 300;
constexpr double kMaxSeconds = 36'000;

const std::vector<std::string> kKindNames = {"kill",    "start",      "stop",  "go",      "end",  "clock",
                                             "network", "half-close", "reset", "isolate", "join", "halves",
                                             "bridge",  "flap",       "drain", "box",     "heal"};
const std::vector<std::string> kDiskNames = {"kept", "empty", "older", "full", "slow"};

template <typename Kind>
Kind value_of(const std::vector<std::string>& names, const std::string& name) {
  return static_cast<Kind>(std::find(names.begin(), names.end(), name) - names.begin());
}

void read_routers(Section& section, const char* key, std::size_t count, std::vector<std::size_t>& routers) {
  std::vector<std::int64_t> numbers;
  section.numbers(key, numbers);
  for (const auto number : numbers) {
    if (number < 0 || static_cast<std::size_t>(number) >= count) {
      section.reject(key, "there is no number " + std::to_string(number));
    } else {
      routers.push_back(static_cast<std::size_t>(number));
    }
  }
}

void read_fault(const toml::table* table, FaultScript& script, Errors& errors) {
  Section section(table, "fault", errors);
  ScriptedFault& fault = script.faults.emplace_back();
  std::string kind = "heal", disk = "kept";
  section.number("at_s", fault.at_s, 0, kMaxSeconds);
  section.one_of("kind", kind, kKindNames);
  section.one_of("disk", disk, kDiskNames);
  fault.kind = value_of<ScriptedFaultKind>(kKindNames, kind);
  fault.disk = value_of<DiskState>(kDiskNames, disk);
  const bool names_replicas =
      fault.kind == ScriptedFaultKind::drain || fault.kind == ScriptedFaultKind::replica;
  const std::size_t max_number = names_replicas ? 1'000 : script.routers;
  read_routers(section, "routers", max_number, fault.from);
  read_routers(section, "to", max_number, fault.to);
  section.flag("both", fault.both_ways);
  section.number("seconds", fault.seconds, 0, kMaxSeconds);
  section.number("lose", fault.link_faults.loss_fraction, 0, 1);
  section.number("repeat", fault.link_faults.repeat_fraction, 0, 1);
  section.number("garble", fault.link_faults.garble_fraction, 0, 1);
  double min_delay_ms = 0, max_delay_ms = 0;
  section.range("delay_ms", min_delay_ms, max_delay_ms, 0, 60'000);
  fault.link_faults.min_delay = static_cast<Time>(1000 * min_delay_ms),
  fault.link_faults.max_delay = static_cast<Time>(1000 * max_delay_ms);
  section.flag("cut", fault.link_faults.cut);
  section.flag("hold", fault.link_faults.hold);
  section.number("ahead_ms", fault.ahead_ms, -1e12, 1e12);
  section.number("rate", fault.rate, 0.5, 2);
  const bool needs_no_routers =
      fault.kind == ScriptedFaultKind::split_halves || fault.kind == ScriptedFaultKind::heal;
  if (!section.has("kind")) section.reject("kind", "there is none");
  if (fault.from.empty() && !needs_no_routers) section.reject("routers", "this kind needs at least one");
}

std::vector<std::size_t> targets_or_all_others(const std::vector<std::size_t>& given, std::size_t self,
                                               std::size_t count) {
  if (!given.empty()) return given;
  std::vector<std::size_t> all;
  for (std::size_t i = 0; i < count; ++i) {
    if (i != self) all.push_back(i);
  }
  return all;
}

// Plays one script on one harness.
class ScriptPlayer {
 public:
  ScriptPlayer(const FaultScript& script, FaultHarness& harness,
               std::function<void(const std::string&)> write_log)
      : script_(script), harness_(harness), write_log_(std::move(write_log)) {}

  // Returns the first violation, or an empty string.
  std::string run() {
    for (std::size_t i = 0; i < harness_.size(); ++i) harness_.start(i);
    const auto all_serving = [this] {
      for (std::size_t i = 0; i < harness_.size(); ++i) {
        if (!harness_.is_serving(i)) return false;
      }
      return true;
    };
    if (!harness_.run_until([&] { return all_serving() && harness_.disagreement().empty(); },
                            harness_.agreement_timeout()))
      return "the routers do not agree at the start: " + harness_.disagreement();
    write_log_("all routers agree at the start");
    for (const auto& fault : script_.faults) {
      timers_.emplace_back();
      timers_.back().start(static_cast<Time>(1e6 * fault.at_s), [this, &fault] { inject(fault); });
    }
    harness_.run_for(static_cast<Time>(1e6 * script_.seconds));
    timers_.clear();
    for (std::size_t i = 0; i < harness_.installation().replicas().size(); ++i)
      harness_.installation().drain(i, false), harness_.start_replica(i);
    return harness_.recover_and_verify();
  }

 private:
  void run_after(double seconds, std::function<void()> action) {
    if (seconds <= 0) return;
    timers_.emplace_back();
    timers_.back().start(static_cast<Time>(1e6 * seconds), std::move(action));
  }

  void for_each_router(const ScriptedFault& fault, void (FaultHarness::*what)(std::size_t)) {
    for (const auto router : fault.from) (harness_.*what)(router);
  }

  void inject(const ScriptedFault& fault) {
    write_log_("-- " + describe(fault));
    switch (fault.kind) {
      case ScriptedFaultKind::kill: return for_each_router(fault, &FaultHarness::kill);
      case ScriptedFaultKind::resume: return for_each_router(fault, &FaultHarness::resume);
      case ScriptedFaultKind::terminate: return for_each_router(fault, &FaultHarness::terminate);
      case ScriptedFaultKind::start:
        for (const auto router : fault.from) start(router, fault.disk);
        return;
      case ScriptedFaultKind::stop:
        for_each_router(fault, &FaultHarness::stop);
        return run_after(fault.seconds, [this, &fault] { for_each_router(fault, &FaultHarness::resume); });
      case ScriptedFaultKind::clock:
        for (const auto router : fault.from) harness_.set_clock(router, fault.ahead_ms, fault.rate);
        return;
      case ScriptedFaultKind::link_faults: return set_link_faults(fault, fault.link_faults);
      case ScriptedFaultKind::half_close:
      case ScriptedFaultKind::reset: return end_connections(fault);
      case ScriptedFaultKind::isolate:
        for (const auto router : fault.from) harness_.isolate(router, true);
        return run_after(fault.seconds, [this, &fault] {
          for (const auto router : fault.from) harness_.isolate(router, false);
        });
      case ScriptedFaultKind::rejoin:
        for (const auto router : fault.from) harness_.isolate(router, false);
        return;
      case ScriptedFaultKind::split_halves:
        split_halves(true);
        return run_after(fault.seconds, [this] { split_halves(false); });
      case ScriptedFaultKind::cut_pair: return cut_links(fault);
      case ScriptedFaultKind::flap: return flap(fault, fault.seconds);
      case ScriptedFaultKind::drain:
        for (const auto replica : fault.from) drain(replica, true);
        return run_after(fault.seconds, [this, &fault] {
          for (const auto replica : fault.from) drain(replica, false);
        });
      case ScriptedFaultKind::replica:
        for (const auto replica : fault.from) harness_.stop_replica(replica);
        return run_after(fault.seconds, [this, &fault] {
          for (const auto replica : fault.from) harness_.start_replica(replica);
        });
      case ScriptedFaultKind::heal: return harness_.heal();
    }
  }

  // Starts a router as soon as the exit of its previous process has been noticed, which is a moment after the
  // process ended.
  void start(std::size_t router, DiskState disk) {
    if (harness_.state(router) == FaultHarness::State::down) return harness_.start(router, disk);
    if (harness_.is_serving(router)) return;
    run_after(0.05, [this, router, disk] { start(router, disk); });
  }

  void set_link_faults(const ScriptedFault& fault, const LinkFaults& faults) {
    for (const auto a : fault.from) {
      for (const auto b : targets_or_all_others(fault.to, a, harness_.size())) {
        harness_.set_faults(a, b, faults);
        if (fault.both_ways) harness_.set_faults(b, a, faults);
      }
    }
  }
  void end_connections(const ScriptedFault& fault) {
    for (const auto a : fault.from) {
      for (const auto b : targets_or_all_others(fault.to, a, harness_.size()))
        fault.kind == ScriptedFaultKind::reset ? harness_.reset(a, b) : harness_.half_close(a, b);
    }
  }
  void cut_links(const ScriptedFault& fault) {
    LinkFaults cut;
    cut.cut = true;
    ScriptedFault pair = fault;
    pair.both_ways = true;
    set_link_faults(pair, cut);
    run_after(fault.seconds, [this, pair] { set_link_faults(pair, {}); });
  }
  // Cuts and restores links three times a second.
  void flap(const ScriptedFault& fault, double remaining_s) {
    LinkFaults faults;
    faults.cut = static_cast<int>(remaining_s * 6) % 2 == 1;
    set_link_faults(fault, remaining_s <= 0 ? LinkFaults{} : faults);
    if (remaining_s > 0)
      run_after(1.0 / 6, [this, &fault, remaining_s] { flap(fault, remaining_s - 1.0 / 6); });
  }
  void split_halves(bool on) {
    LinkFaults faults;
    faults.cut = on;
    for (std::size_t a = 0; a < harness_.size() / 2; ++a) {
      for (std::size_t b = harness_.size() / 2; b < harness_.size(); ++b)
        harness_.set_faults(a, b, faults), harness_.set_faults(b, a, faults);
    }
  }
  void drain(std::size_t replica, bool on) {
    if (replica < harness_.installation().replicas().size()) harness_.installation().drain(replica, on);
  }

  const FaultScript& script_;
  FaultHarness& harness_;
  std::function<void(const std::string&)> write_log_;
  std::list<net::Timer> timers_;
};

}  // namespace

FaultScript read_fault_script(const std::string& path) {
  FaultScript script;
  settings::read_file(path, [&](toml::table& root, Errors& errors) {
    Root file(root, errors);
    {
      Section harness(file.table("rig"), "rig", errors);
      harness.count("routers", script.routers, 1, kMaxRouters);
      harness.count("sites", script.sites, 1, 16);
      harness.number("seconds", script.seconds, 0, kMaxSeconds);
      harness.number("period_s", script.period_s, 0.05, 60);
      harness.number("rate", script.rate, 0, 1'000);
      harness.text("scenario", script.scenario);
      harness.count("seed", script.seed, 0, std::int64_t{1} << 60);
      if (script.sites > script.routers) harness.reject("sites", "there are more than routers");
    }
    for (const auto* table : file.tables("fault")) read_fault(table, script, errors);
  });
  std::stable_sort(script.faults.begin(), script.faults.end(),
                   [](const auto& a, const auto& b) { return a.at_s < b.at_s; });
  return script;
}

FaultScript random_fault_script(std::uint64_t seed, double seconds, std::size_t min_routers,
                                std::size_t max_routers) {
  emulator::RandomStream random(seed, emulator::Concern::faults);
  FaultScript script;
  script.seed = seed;
  script.seconds = seconds;
  script.routers = min_routers + random.below(max_routers - min_routers + 1);
  script.sites = 1 + random.below(std::min<std::size_t>(3, script.routers));
  const std::size_t count = 3 + random.below(6);
  const auto add = [&](ScriptedFault fault) { script.faults.push_back(std::move(fault)); };
  for (std::size_t i = 0; i < count; ++i) {
    ScriptedFault fault;
    fault.at_s = random.between(0, 0.7 * seconds);
    fault.kind = static_cast<ScriptedFaultKind>(random.below(kKindNames.size()));
    fault.from = {random.below(script.routers)};
    fault.both_ways = random.happens(0.5);
    fault.seconds = random.between(0.2, 0.4 * seconds);
    fault.disk = static_cast<DiskState>(random.below(kDiskNames.size()));
    if (fault.kind == ScriptedFaultKind::cut_pair || random.happens(0.3))
      fault.to = {(fault.from[0] + 1 + random.below(script.routers - 1)) % script.routers};
    if (random.happens(0.4)) fault.link_faults.loss_fraction = random.between(0, 0.4);
    if (random.happens(0.3)) fault.link_faults.repeat_fraction = random.between(0, 0.5);
    if (random.happens(0.3)) fault.link_faults.garble_fraction = random.between(0, 0.2);
    if (random.happens(0.3)) fault.link_faults.max_delay = static_cast<Time>(random.between(0, 300'000));
    fault.link_faults.cut = random.happens(0.2), fault.link_faults.hold = random.happens(0.1);
    fault.ahead_ms = random.between(-1e7, 1e7);
    fault.rate = random.between(0.99, 1.01);
    if (fault.kind == ScriptedFaultKind::drain || fault.kind == ScriptedFaultKind::replica)
      fault.from = {random.below(3)};
    if (fault.kind == ScriptedFaultKind::start)
      fault.kind = ScriptedFaultKind::kill;  // a start follows a kill or a termination
    if (fault.kind == ScriptedFaultKind::kill || fault.kind == ScriptedFaultKind::terminate) {
      ScriptedFault restart = fault;
      restart.kind = ScriptedFaultKind::start;
      restart.at_s += random.between(0.1, 0.3 * seconds);
      add(restart);
    }
    add(fault);
  }
  std::stable_sort(script.faults.begin(), script.faults.end(),
                   [](const auto& a, const auto& b) { return a.at_s < b.at_s; });
  return script;
}

std::string describe(const ScriptedFault& fault) {
  const auto list = [](const std::vector<std::size_t>& all) {
    return fmt::format("{}", fmt::join(all, ","));
  };
  std::string text = kKindNames[static_cast<std::size_t>(fault.kind)] + " " + list(fault.from);
  if (!fault.to.empty()) text += " to " + list(fault.to);
  if (fault.kind == ScriptedFaultKind::start) text += fmt::format(" disk {}", name_of(fault.disk));
  if (fault.seconds > 0) text += fmt::format(" for {:.1f} s", fault.seconds);
  if (fault.kind == ScriptedFaultKind::link_faults) {
    text += fmt::format("{} lose {:.2f} repeat {:.2f} garble {:.2f} delay {}..{} ms{}{}",
                        fault.both_ways ? " both ways" : "", fault.link_faults.loss_fraction,
                        fault.link_faults.repeat_fraction, fault.link_faults.garble_fraction,
                        fault.link_faults.min_delay / 1000, fault.link_faults.max_delay / 1000,
                        fault.link_faults.cut ? " cut" : "", fault.link_faults.hold ? " hold" : "");
  }
  return text;
}

FaultScriptResult play(const FaultScript& script, FaultHarnessOptions options) {
  options.routers = script.routers, options.sites = script.sites;
  options.period_s = script.period_s, options.request_rate = script.rate;
  options.seed = script.seed;
  const auto started_at = net::now_us();
  const auto write_log = options.write_log;
  FaultHarness harness(std::move(options));
  ScriptPlayer player(script, harness, [&](const std::string& what) {
    write_log(static_cast<double>(net::now_us() - started_at) / 1e6, what);
  });
  FaultScriptResult result;
  result.violation = player.run();
  result.metrics = harness.metrics();
  return result;
}

}  // namespace thornwick::testbed
