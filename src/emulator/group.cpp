#include "emulator/group.hpp"

#include <fmt/format.h>

#include <algorithm>
#include <utility>

namespace thornwick::emulator {
namespace {

constexpr std::size_t kMaxWaiting = 256;  // maximum number of datagrams in the socket of a suspended process
constexpr Time kShutdownDuration = seconds(2);  // time from SIGTERM to the end of the process
constexpr std::size_t kResumeSpread =
    1000;                               // microseconds over which the events of a resumed process are spread
constexpr std::size_t kNeighbours = 2;  // number of neighbours that a router shares full views with
constexpr Time kViewPeriods = 10;       // protocol periods after which views are shared again
constexpr double kMicrosecondsPerMillisecond = 1000;

}  // namespace

std::shared_ptr<const membership::Roster> make_roster(std::size_t routers, std::size_t sites) {
  std::vector<std::string> names;
  std::vector<membership::RouterEntry> entries;
  for (std::size_t i = 0; i < sites; ++i) names.push_back(fmt::format("s{}", i));
  for (std::size_t i = 0; i < routers; ++i)
    entries.push_back({fmt::format("r{:03}", i), names[i % sites], {}, "router", 0});
  return std::make_shared<const membership::Roster>("emulated", names, entries);
}

Group::Group(const GroupOptions& options)
    : options_(options),
      roster_(make_roster(options.routers, options.sites)),
      random_(options.seed, StreamPurpose::peers),
      nodes_(options.routers),
      blocked_(options.routers * options.routers, false) {
  for (std::size_t i = 0; i < size(); ++i) start(i, Disk::empty);
}

void Group::schedule(Time at, EventKind kind, std::size_t router, std::uint64_t version, std::string bytes) {
  events_.push({at, ++last_event_, kind, router, version, std::move(bytes)});
}

void Group::run_until(Time until) {
  while (!events_.empty() && events_.top().at <= until) {
    Event event = events_.top();
    events_.pop();
    now_ = event.at;
    process(std::move(event));
  }
  now_ = until;
}

void Group::process(Event event) {
  if (event.kind == EventKind::view) return exchange_views(event.router);
  Node& node = nodes_[event.router];
  if (!node.swim) return;
  switch (event.kind) {
    case EventKind::timer:
      if (event.version != node.timer_version || node.suspended) return;
      node.swim->tick(now_);
      return flush(event.router);
    case EventKind::datagram:
      deliver(node, std::move(event.bytes));
      if (!node.suspended) flush(event.router);
      return;
    case EventKind::end:
      if (event.version == node.identity.instance_id) kill(event.router);
      return;
    case EventKind::view: return;
  }
}

void Group::deliver(Node& node, std::string bytes) {
  if (!node.suspended)
    return node.swim->on_message(now_, {reinterpret_cast<const std::uint8_t*>(bytes.data()), bytes.size()});
  if (node.waiting.size() < kMaxWaiting) node.waiting.push_back(std::move(bytes));
}

void Group::flush(std::size_t router) {
  Node& node = nodes_[router];
  for (const auto& change : node.swim->take_changes()) on_change(router, change);
  for (const auto& sending : node.swim->take_datagrams()) transmit(router, sending);
  const Time timer_at = std::max(now_ + 1, node.swim->next_tick());
  if (timer_at == node.timer_at) return;
  node.timer_at = timer_at;
  schedule(timer_at, EventKind::timer, router, ++node.timer_version);
}

void Group::transmit(std::size_t from, const membership::OutgoingDatagram& sending) {
  const int copies = random_.happens(options_.repeat) ? 2 : 1;
  for (int i = 0; i < copies; ++i) {
    if (is_blocked(from, sending.to) || random_.happens(options_.loss)) continue;
    const auto delay = static_cast<Time>(kMicrosecondsPerMillisecond *
                                         random_.between(options_.delay_ms.low, options_.delay_ms.high));
    schedule(now_ + delay, EventKind::datagram, sending.to, 0, sending.bytes);
  }
}

void Group::exchange_views(std::size_t router) {
  schedule(now_ + kViewPeriods * options_.swim.period, EventKind::view, router);
  for (std::size_t i = 1; i <= kNeighbours && i < size(); ++i) {
    const std::size_t other = (router + i) % size();
    if (!running(router) || !running(other) || is_blocked(router, other) || is_blocked(other, router))
      continue;
    nodes_[other].swim->on_claims(now_, router, at(router).claims());
    nodes_[router].swim->on_claims(now_, other, at(other).claims());
    flush(other);
    flush(router);
  }
}

void Group::kill(std::size_t router) {
  Node& node = nodes_[router];
  node.swim.reset();
  node.suspended = false;
  node.waiting.clear();
}

membership::Identity Group::next_identity(const Node& node, Disk disk) {
  membership::Identity identity = node.identity;
  if (disk == Disk::older && node.older.disk_id != 0) identity = node.older;
  const bool first = node.identity.disk_id == 0;
  if (disk == Disk::empty || first) {
    identity.disk_id = static_cast<std::uint32_t>(random_.bits()) | 1;
    identity.start_number = 0;
  }
  ++identity.start_number;
  identity.instance_id = static_cast<std::uint32_t>(random_.bits()) | 1;
  return identity;
}

void Group::start(std::size_t router, Disk disk) {
  Node& node = nodes_[router];
  if (node.swim) return;
  const bool first = node.identity.disk_id == 0;
  const membership::Identity identity = next_identity(node, disk);
  // The older copy of the disk has the state from before the last start.
  node.older = disk == Disk::same && !first ? node.identity : membership::Identity{};
  node.identity = identity;
  node.swim =
      std::make_unique<membership::Swim>(roster_, router, identity, options_.swim, random_.bits(), now_);
  if (options_.share_views && first) {
    const auto interval = static_cast<double>(kViewPeriods * options_.swim.period);
    schedule(now_ + static_cast<Time>(random_.unit() * interval), EventKind::view, router);
  }
  flush(router);
}

void Group::suspend(std::size_t router) {
  if (running(router)) nodes_[router].suspended = true;
}

// Resumes a suspended process. The waiting datagrams and the timer event come in a random order.
void Group::resume(std::size_t router) {
  Node& node = nodes_[router];
  if (!node.swim || !node.suspended) return;
  node.suspended = false;
  const auto soon = [this] { return now_ + static_cast<Time>(random_.below(kResumeSpread)); };
  for (auto& bytes : std::exchange(node.waiting, {}))
    schedule(soon(), EventKind::datagram, router, 0, std::move(bytes));
  schedule(soon(), EventKind::timer, router, ++node.timer_version);
}

void Group::shut_down(std::size_t router) {
  if (!running(router)) return;
  nodes_[router].swim->leave(now_);
  schedule(now_ + kShutdownDuration, EventKind::end, router, nodes_[router].identity.instance_id);
  flush(router);
}

void Group::block(std::size_t from, std::size_t to) { blocked_[from * size() + to] = true; }

void Group::unblock_all() { std::fill(blocked_.begin(), blocked_.end(), false); }

void Group::set_network(double loss, double repeat, Range delay_ms) {
  options_.loss = loss;
  options_.repeat = repeat;
  options_.delay_ms = delay_ms;
}

bool Group::believes_truth(std::size_t observer, std::size_t member) const {
  using membership::MemberState;
  const membership::MemberView& view = at(observer).view(member);
  if (running(member)) return view.state == MemberState::alive && view.identity == identity(member);
  return view.state == MemberState::failed || view.state == MemberState::left;
}

std::string Group::disagreement() const {
  for (std::size_t i = 0; i < size(); ++i) {
    if (!running(i)) continue;
    for (std::size_t j = 0; j < size(); ++j) {
      if (i == j || believes_truth(i, j)) continue;
      return fmt::format("r{:03} holds r{:03} to be {}, which {}", i, j, name_of(at(i).view(j).state),
                         running(j) ? "runs" : "does not run");
    }
  }
  return {};
}

bool Group::agree() const { return disagreement().empty(); }

}  // namespace thornwick::emulator
