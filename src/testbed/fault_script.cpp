#include "testbed/fault_script.hpp"

#include <fmt/format.h>

#include <algorithm>
#include <map>

#include "settings/file.hpp"
#include "settings/section.hpp"

namespace thornwick::testbed {
namespace {

using settings::Errors, settings::Root, settings::Section;

constexpr std::size_t kMostRouters = 300;
constexpr double kMostSeconds = 36'000;

const std::vector<std::string> kKinds = {"kill",    "start",      "stop",  "go",      "end",  "clock",
                                         "network", "half-close", "reset", "isolate", "join", "halves",
                                         "bridge",  "flap",       "drain", "box",     "heal"};
const std::vector<std::string> kDisks = {"kept", "empty", "older", "full", "slow"};

template <typename Kind>
Kind named(const std::vector<std::string>& names, const std::string& name) {
  return static_cast<Kind>(std::find(names.begin(), names.end(), name) - names.begin());
}

void read_routers(Section& section, const char* key, std::size_t most, std::vector<std::size_t>& into) {
  std::vector<std::int64_t> numbers;
  section.numbers(key, numbers);
  for (const auto number : numbers) {
    if (number < 0 || static_cast<std::size_t>(number) >= most) {
      section.reject(key, "there is no number " + std::to_string(number));
    } else {
      into.push_back(static_cast<std::size_t>(number));
    }
  }
}

void read_fault(const toml::table* table, FaultScript& script, Errors& problems) {
  Section section(table, "fault", problems);
  ScriptedFault& fault = script.faults.emplace_back();
  std::string kind = "heal", disk = "kept";
  section.number("at_s", fault.at_s, 0, kMostSeconds);
  section.one_of("kind", kind, kKinds);
  section.one_of("disk", disk, kDisks);
  fault.kind = named<ScriptedFaultKind>(kKinds, kind);
  fault.disk = named<DiskState>(kDisks, disk);
  const bool replicas = fault.kind == ScriptedFaultKind::drain || fault.kind == ScriptedFaultKind::replica;
  const std::size_t most = replicas ? 1'000 : script.routers;
  read_routers(section, "routers", most, fault.from);
  read_routers(section, "to", most, fault.to);
  section.flag("both", fault.both);
  section.number("seconds", fault.seconds, 0, kMostSeconds);
  section.number("lose", fault.wire.loss_fraction, 0, 1);
  section.number("repeat", fault.wire.repeat_fraction, 0, 1);
  section.number("garble", fault.wire.garble_fraction, 0, 1);
  double least = 0, longest = 0;
  section.range("delay_ms", least, longest, 0, 60'000);
  fault.wire.min_delay = static_cast<Time>(1000 * least),
  fault.wire.max_delay = static_cast<Time>(1000 * longest);
  section.flag("cut", fault.wire.cut);
  section.flag("hold", fault.wire.hold);
  section.number("ahead_ms", fault.ahead_ms, -1e12, 1e12);
  section.number("rate", fault.rate, 0.5, 2);
  const bool wide = fault.kind == ScriptedFaultKind::halves || fault.kind == ScriptedFaultKind::heal;
  if (!section.has("kind")) section.reject("kind", "there is none");
  if (fault.from.empty() && !wide) section.reject("routers", "this kind wants some");
}

std::vector<std::size_t> others_of(const std::vector<std::size_t>& given, std::size_t self,
                                   std::size_t count) {
  if (!given.empty()) return given;
  std::vector<std::size_t> all;
  for (std::size_t i = 0; i < count; ++i) {
    if (i != self) all.push_back(i);
  }
  return all;
}

// Plays one script on one rig.
class Player {
 public:
  Player(const FaultScript& script, FaultHarness& rig, std::function<void(const std::string&)> write_log)
      : script_(script), rig_(rig), write_log_(std::move(write_log)) {}

  // Empty if all held.
  std::string run() {
    for (std::size_t i = 0; i < rig_.size(); ++i) rig_.start(i);
    const auto all_run = [this] {
      for (std::size_t i = 0; i < rig_.size(); ++i) {
        if (!rig_.runs(i)) return false;
      }
      return true;
    };
    if (!rig_.run_until([&] { return all_run() && rig_.disagreement().empty(); }, rig_.agree_within()))
      return "they do not find each other at the start: " + rig_.disagreement();
    write_log_("the group has found itself");
    for (const auto& fault : script_.faults) {
      timers_.emplace_back();
      timers_.back().start(static_cast<Time>(1e6 * fault.at_s), [this, &fault] { befall(fault); });
    }
    rig_.run_for(static_cast<Time>(1e6 * script_.seconds));
    timers_.clear();
    for (std::size_t b = 0; b < rig_.replicas().replicas().size(); ++b)
      rig_.replicas().drain(b, false), rig_.start_replica(b);
    return rig_.recover_and_verify();
  }

 private:
  void later(double seconds, std::function<void()> act) {
    if (seconds <= 0) return;
    timers_.emplace_back();
    timers_.back().start(static_cast<Time>(1e6 * seconds), std::move(act));
  }

  void each(const ScriptedFault& f, void (FaultHarness::*what)(std::size_t)) {
    for (const auto router : f.from) (rig_.*what)(router);
  }

  void befall(const ScriptedFault& f) {
    write_log_("-- " + describe(f));
    switch (f.kind) {
      case ScriptedFaultKind::kill: return each(f, &FaultHarness::kill);
      case ScriptedFaultKind::go: return each(f, &FaultHarness::resume);
      case ScriptedFaultKind::end: return each(f, &FaultHarness::terminate);
      case ScriptedFaultKind::start:
        for (const auto router : f.from) start(router, f.disk);
        return;
      case ScriptedFaultKind::stop:
        each(f, &FaultHarness::stop);
        return later(f.seconds, [this, &f] { each(f, &FaultHarness::resume); });
      case ScriptedFaultKind::clock:
        for (const auto router : f.from) rig_.set_clock(router, f.ahead_ms, f.rate);
        return;
      case ScriptedFaultKind::network: return network(f, f.wire);
      case ScriptedFaultKind::half_close:
      case ScriptedFaultKind::reset: return connections(f);
      case ScriptedFaultKind::isolate:
        for (const auto router : f.from) rig_.isolate(router, true);
        return later(f.seconds, [this, &f] {
          for (const auto router : f.from) rig_.isolate(router, false);
        });
      case ScriptedFaultKind::join:
        for (const auto router : f.from) rig_.isolate(router, false);
        return;
      case ScriptedFaultKind::halves: halves(true); return later(f.seconds, [this] { halves(false); });
      case ScriptedFaultKind::bridge: return for_a_while(f);
      case ScriptedFaultKind::flap: return flap(f, f.seconds);
      case ScriptedFaultKind::drain:
        for (const auto replica : f.from) drain(replica, true);
        return later(f.seconds, [this, &f] {
          for (const auto replica : f.from) drain(replica, false);
        });
      case ScriptedFaultKind::replica:
        for (const auto replica : f.from) rig_.stop_replica(replica);
        return later(f.seconds, [this, &f] {
          for (const auto replica : f.from) rig_.start_replica(replica);
        });
      case ScriptedFaultKind::heal: return rig_.heal();
    }
  }

  // A dead process's exit is heard a moment after its death.
  void start(std::size_t router, DiskState disk) {
    if (rig_.state(router) == FaultHarness::State::down) return rig_.start(router, disk);
    if (rig_.runs(router)) return;
    later(0.05, [this, router, disk] { start(router, disk); });
  }

  void network(const ScriptedFault& f, const LinkFaults& faults) {
    for (const auto a : f.from) {
      for (const auto b : others_of(f.to, a, rig_.size())) {
        rig_.set_faults(a, b, faults);
        if (f.both) rig_.set_faults(b, a, faults);
      }
    }
  }
  void connections(const ScriptedFault& f) {
    for (const auto a : f.from) {
      for (const auto b : others_of(f.to, a, rig_.size()))
        f.kind == ScriptedFaultKind::reset ? rig_.reset(a, b) : rig_.half_close(a, b);
    }
  }
  void for_a_while(const ScriptedFault& f) {
    LinkFaults cut;
    cut.cut = true;
    ScriptedFault pair = f;
    pair.both = true;
    network(pair, cut);
    later(f.seconds, [this, pair] { network(pair, {}); });
  }
  // On and off, three times a second.
  void flap(const ScriptedFault& f, double left) {
    LinkFaults faults;
    faults.cut = static_cast<int>(left * 6) % 2 == 1;
    network(f, left <= 0 ? LinkFaults{} : faults);
    if (left > 0) later(1.0 / 6, [this, &f, left] { flap(f, left - 1.0 / 6); });
  }
  void halves(bool on) {
    LinkFaults faults;
    faults.cut = on;
    for (std::size_t a = 0; a < rig_.size() / 2; ++a) {
      for (std::size_t b = rig_.size() / 2; b < rig_.size(); ++b)
        rig_.set_faults(a, b, faults), rig_.set_faults(b, a, faults);
    }
  }
  void drain(std::size_t replica, bool on) {
    if (replica < rig_.replicas().replicas().size()) rig_.replicas().drain(replica, on);
  }

  const FaultScript& script_;
  FaultHarness& rig_;
  std::function<void(const std::string&)> write_log_;
  std::list<net::Timer> timers_;
};

}  // namespace

FaultScript read_fault_script(const std::string& path) {
  FaultScript script;
  settings::read_file(path, [&](toml::table& root, Errors& problems) {
    Root all(root, problems);
    {
      Section rig(all.table("rig"), "rig", problems);
      rig.count("routers", script.routers, 1, kMostRouters);
      rig.count("sites", script.sites, 1, 16);
      rig.number("seconds", script.seconds, 0, kMostSeconds);
      rig.number("period_s", script.period_s, 0.05, 60);
      rig.number("rate", script.rate, 0, 1'000);
      rig.text("scenario", script.scenario);
      rig.count("seed", script.seed, 0, std::int64_t{1} << 60);
      if (script.sites > script.routers) rig.reject("sites", "there are more than routers");
    }
    for (const auto* table : all.tables("fault")) read_fault(table, script, problems);
  });
  std::stable_sort(script.faults.begin(), script.faults.end(),
                   [](const auto& a, const auto& b) { return a.at_s < b.at_s; });
  return script;
}

FaultScript random_fault_script(std::uint64_t seed, double seconds, std::size_t least_routers,
                                std::size_t most_routers) {
  emulator::RandomStream chance(seed, emulator::Concern::faults);
  FaultScript script;
  script.seed = seed;
  script.seconds = seconds;
  script.routers = least_routers + chance.below(most_routers - least_routers + 1);
  script.sites = 1 + chance.below(std::min<std::size_t>(3, script.routers));
  const std::size_t count = 3 + chance.below(6);
  const auto add = [&](ScriptedFault fault) { script.faults.push_back(std::move(fault)); };
  for (std::size_t i = 0; i < count; ++i) {
    ScriptedFault f;
    f.at_s = chance.between(0, 0.7 * seconds);
    f.kind = static_cast<ScriptedFaultKind>(chance.below(kKinds.size()));
    f.from = {chance.below(script.routers)};
    f.both = chance.happens(0.5);
    f.seconds = chance.between(0.2, 0.4 * seconds);
    f.disk = static_cast<DiskState>(chance.below(kDisks.size()));
    if (f.kind == ScriptedFaultKind::bridge || chance.happens(0.3))
      f.to = {(f.from[0] + 1 + chance.below(script.routers - 1)) % script.routers};
    if (chance.happens(0.4)) f.wire.loss_fraction = chance.between(0, 0.4);
    if (chance.happens(0.3)) f.wire.repeat_fraction = chance.between(0, 0.5);
    if (chance.happens(0.3)) f.wire.garble_fraction = chance.between(0, 0.2);
    if (chance.happens(0.3)) f.wire.max_delay = static_cast<Time>(chance.between(0, 300'000));
    f.wire.cut = chance.happens(0.2), f.wire.hold = chance.happens(0.1);
    f.ahead_ms = chance.between(-1e7, 1e7);
    f.rate = chance.between(0.99, 1.01);
    if (f.kind == ScriptedFaultKind::drain || f.kind == ScriptedFaultKind::replica)
      f.from = {chance.below(3)};
    if (f.kind == ScriptedFaultKind::start)
      f.kind = ScriptedFaultKind::kill;  // those that start have died before
    if (f.kind == ScriptedFaultKind::kill || f.kind == ScriptedFaultKind::end) {
      ScriptedFault back = f;
      back.kind = ScriptedFaultKind::start;
      back.at_s += chance.between(0.1, 0.3 * seconds);
      add(back);
    }
    add(f);
  }
  std::stable_sort(script.faults.begin(), script.faults.end(),
                   [](const auto& a, const auto& b) { return a.at_s < b.at_s; });
  return script;
}

std::string describe(const ScriptedFault& f) {
  const auto list = [](const std::vector<std::size_t>& all) {
    return fmt::format("{}", fmt::join(all, ","));
  };
  std::string text = kKinds[static_cast<std::size_t>(f.kind)] + " " + list(f.from);
  if (!f.to.empty()) text += " to " + list(f.to);
  if (f.kind == ScriptedFaultKind::start) text += fmt::format(" disk {}", name_of(f.disk));
  if (f.seconds > 0) text += fmt::format(" for {:.1f} s", f.seconds);
  if (f.kind == ScriptedFaultKind::network) {
    text += fmt::format("{} lose {:.2f} repeat {:.2f} garble {:.2f} delay {}..{} ms{}{}",
                        f.both ? " both ways" : "", f.wire.loss_fraction, f.wire.repeat_fraction,
                        f.wire.garble_fraction, f.wire.min_delay / 1000, f.wire.max_delay / 1000,
                        f.wire.cut ? " cut" : "", f.wire.hold ? " hold" : "");
  }
  return text;
}

FaultScriptResult play(const FaultScript& script, FaultHarnessOptions options) {
  options.routers = script.routers, options.sites = script.sites;
  options.period_s = script.period_s, options.rate = script.rate;
  options.seed = script.seed;
  const auto began = net::now_us();
  const auto write_log = options.write_log;
  FaultHarness rig(std::move(options));
  Player player(script, rig, [&](const std::string& what) {
    write_log(static_cast<double>(net::now_us() - began) / 1e6, what);
  });
  FaultScriptResult played;
  played.violation = player.run();
  played.metrics = rig.metrics();
  return played;
}

}  // namespace thornwick::testbed
