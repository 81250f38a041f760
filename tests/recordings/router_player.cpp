#include "router_player.hpp"

#include <fmt/format.h>
#include <fmt/ranges.h>

#include <algorithm>
#include <limits>

namespace thornwick::recordings {
namespace {

constexpr Time kMillisecond = milliseconds(1);
constexpr Time kSecond = seconds(1);
constexpr Time kTimeStep = 100;  // coarser than what another math library changes in a computed time
constexpr std::size_t kEventsPerBlock = 2000;
constexpr std::size_t kEventsPerLeftOut = 25;
constexpr std::size_t kEventsPerRestart = 3500;
constexpr Time kPeriod = seconds(8);  // a slow period is the end of each
constexpr std::uint64_t kSessions = 300, kPrefixes = 40, kRarePrefixes = 3000;
constexpr std::uint32_t kTooHighRank = 5000;
constexpr char kMessageMark = 0x54, kMessageVersion = 1;
constexpr std::size_t kMostNotes = 50;

std::uint64_t coarse(Time time) { return static_cast<std::uint64_t>(time / kTimeStep); }

Time to_next_step(Time time) { return (time + kTimeStep - 1) / kTimeStep * kTimeStep; }

std::span<const std::uint8_t> as_bytes(const std::string& text) {
  return {reinterpret_cast<const std::uint8_t*>(text.data()), text.size()};
}

}  // namespace

std::string describe(const Recording& r) {
  return fmt::format("{{.digests = {{{:#018x}}},\n .actions = {{{}}},\n .outcomes = {{{}}},\n",
                     fmt::join(r.digests, ", "), fmt::join(r.actions, ", "), fmt::join(r.outcomes, ", ")) +
         fmt::format(" .timers_fired = {}, .restarts = {}, .left_out = {}}}", r.timers_fired, r.restarts,
                     r.ejected);
}

RouterPlayer::RouterPlayer(const Settings& settings, const PlayOptions& options)
    : settings_(settings), options_(options), random_(options.seed), now_(seconds(1000)) {
  for (std::size_t i = 0; i < options_.replicas; ++i) {
    listings_.push_back({.id = static_cast<ReplicaId>(10 * (i + 1)),
                         .started = options_.all_cold ? now_ : 0,
                         .zone = static_cast<std::uint16_t>(i % options_.zones),
                         .cell = static_cast<std::uint16_t>(i / options_.zones % options_.cells),
                         .kind = static_cast<std::uint16_t>(i % options_.kinds),
                         .weight = static_cast<float>(2 + i % 3) / 2});
  }
  router_ = std::make_unique<RoutingPolicy>(settings_, now_);
  take_actions();
  if (!settings_.discovery_by_polling) tell_full_list(EndpointUpdate::full);
}

Recording RouterPlayer::play() {
  for (std::size_t event = 1; event <= options_.events; ++event) {
    advance();
    play_event();
    if (event % kEventsPerLeftOut == 0) record_left_out();
    if (event % kEventsPerRestart == 0) restart();
    if (event % kEventsPerBlock == 0) recording_.digests.push_back(digest_.value());
  }
  record_learned(router_->learned_state());
  recording_.digests.push_back(digest_.value());
  return recording_;
}

// ---------------------------------------------------------------- clock and timers

void RouterPlayer::advance() {
  const Time until = now_ + kTimeStep * random_.between(1, options_.longest_gap / kTimeStep);
  fire_timers_until(until);
  now_ = until;
}

void RouterPlayer::fire_timers_until(Time until) {
  while (!timers_.empty() && timers_.begin()->first <= until) {
    const auto [when, token] = *timers_.begin();
    timers_.erase(timers_.begin());
    now_ = std::max(now_, when);
    ++recording_.timers_fired;
    router_->on_timer(now_, token);
    take_actions();
  }
}

bool RouterPlayer::slow_period() const {
  const Time slow = kPeriod * static_cast<Time>(options_.slow_part) / 100;
  return now_ % kPeriod >= kPeriod - slow;
}

// ---------------------------------------------------------------- events

void RouterPlayer::play_event() {
  if (list_wanted_) {
    list_wanted_ = false;
    return random_.percent(30) ? fail_directory() : tell_full_list(EndpointUpdate::full);
  }
  const std::uint64_t kind = random_.below(100);
  const std::uint64_t arrivals = slow_period() ? 60 : 30;
  const std::uint64_t first_tokens = slow_period() ? 70 : 58;
  if (kind < arrivals) return arrive();
  if (kind < first_tokens) return tell_first_token();
  if (kind < 92) return tell_result();
  play_rare_event();
}

void RouterPlayer::play_rare_event() {
  switch (random_.below(14)) {
    case 0:
    case 1:
    case 2: return change_listing();
    case 3: return tell_full_list(random_.percent(50) ? EndpointUpdate::full : EndpointUpdate::cached);
    case 4: return random_.percent(30) ? fail_directory() : tell_probe();
    case 5: return tell_probe();
    case 6: return tell_shared_send();
    case 7:
    case 8: return leave_client();
    default: return hear_peer();
  }
}

void RouterPlayer::arrive() {
  router_->on_request(now_, make_request());
  take_actions();
}

Request RouterPlayer::make_request() {
  Request request;
  const bool known = random_.percent(2) && last_id_ > 0;
  request.id = known ? last_id_ : ++last_id_;
  // One class and one tenant more than there are.
  request.cls = static_cast<std::uint8_t>(random_.percent(1) ? settings_.classes.size()
                                                             : random_.below(settings_.classes.size()));
  request.tenant = static_cast<std::uint16_t>(random_.below(settings_.tenants.size() + 1));
  const Time deadline =
      request.cls < settings_.classes.size() ? settings_.classes[request.cls].deadline : kSecond;
  request.due = now_ + kTimeStep * random_.between(deadline / 2 / kTimeStep, deadline / kTimeStep);
  request.prompt_tokens = static_cast<double>(random_.between(10, 400) * random_.between(1, 20));
  request.max_tokens = static_cast<double>(random_.between(16, 1024));
  if (random_.percent(40)) request.work_hint = static_cast<double>(random_.between(1000, 900'000));
  if (random_.percent(70)) request.session = 1 + random_.below(kSessions);
  if (random_.percent(60)) {
    request.prefix = 1 + random_.below(random_.percent(90) ? kPrefixes : kRarePrefixes);
    request.prefix_tokens = request.prompt_tokens * static_cast<double>(random_.below(5)) / 4;
  }
  request.client_repeat = random_.percent(8);
  request.resumed = random_.percent(3);
  request.cache_hint = make_belief();
  request.attempts_before = random_.percent(3) ? 1 : 0;
  if (random_.percent(10)) request.weight_factor = 0.5;
  return request;
}

CacheHint RouterPlayer::make_belief() {
  if (!random_.percent(35)) return {};
  return {.known = random_.percent(90),
          .replica = any_replica(),
          .tokens = static_cast<double>(random_.below(4000)),
          .confidence = static_cast<double>(random_.below(5)) / 4,
          .cached_size = static_cast<double>(random_.below(3) * random_.below(3000))};
}

ReplicaId RouterPlayer::any_replica() {
  if (random_.percent(3)) return 7;  // never listed
  return listings_[random_.below(listings_.size())].id;
}

void RouterPlayer::tell_first_token() {
  if (open_.empty()) return router_->on_first_token(now_, last_id_ + 1, 0, any_replica(), kMillisecond);
  OpenAttempt& attempt = open_[random_.below(open_.size())];
  attempt.started = true;
  router_->on_first_token(now_, attempt.id, attempt.attempt, attempt.replica, now_ - attempt.sent);
  take_actions();
}

void RouterPlayer::tell_result() {
  AttemptResult result;
  if (open_.empty()) {
    result.replica = any_replica();  // of another module's request
    result.outcome = random_.percent(80) ? Outcome::served : Outcome::reset;
  } else {
    // The oldest ones end first, most of the time.
    const std::size_t at = random_.percent(60) ? 0 : random_.below(open_.size());
    const OpenAttempt attempt = open_[at];
    open_.erase(open_.begin() + static_cast<std::ptrdiff_t>(at));
    result.id = attempt.id;
    result.attempt = attempt.attempt;
    result.replica = attempt.replica;
    result.outcome = draw_outcome(attempt);
    result.elapsed = random_.percent(30) ? std::min(now_ - attempt.sent, kMillisecond) : now_ - attempt.sent;
    result.concluded = attempt.started || (result.outcome == Outcome::served && random_.percent(95));
  }
  result.cached_tokens = static_cast<double>(random_.below(2000));
  result.has_usage = random_.percent(50);
  result.prompt_tokens = static_cast<double>(random_.below(4000));
  result.generated_tokens = static_cast<double>(random_.below(500));
  result.answer_characters = static_cast<double>(random_.below(2000));
  const std::vector<float> report = make_report();
  result.report = report;
  ++recording_.outcomes[static_cast<std::size_t>(result.outcome)];
  if (result.concluded) attempts_.erase(result.id);
  router_->on_attempt_result(now_, result);
  take_actions();
}

Outcome RouterPlayer::draw_outcome(const OpenAttempt& attempt) {
  if (attempt.cancelled) return Outcome::cancelled;
  if (random_.percent(slow_period() ? 50 : 80)) return Outcome::served;
  if (attempt.started) return random_.percent(50) ? Outcome::reset : Outcome::error;
  constexpr std::array kUnserved = {Outcome::error,     Outcome::full,           Outcome::full,
                                    Outcome::timed_out, Outcome::connect_failed, Outcome::reset,
                                    Outcome::not_sent};
  return kUnserved[random_.below(kUnserved.size())];
}

std::vector<float> RouterPlayer::make_report() {
  if (random_.percent(50)) return {};
  std::vector<float> report;
  for (std::size_t i = 0; i < settings_.report_fields.size(); ++i) {
    report.push_back(static_cast<float>(random_.below(100)));
  }
  return report;
}

void RouterPlayer::tell_shared_send() {
  router_->on_shared_send(any_replica());
  take_actions();
}

void RouterPlayer::tell_probe() {
  const std::vector<float> report = make_report();
  router_->on_probe_result(now_, any_replica(), random_.percent(70), report);
  take_actions();
}

void RouterPlayer::leave_client() {
  const RequestId id = open_.empty() ? last_id_ : open_[random_.below(open_.size())].id;
  attempts_.erase(id);
  router_->on_client_disconnected(now_, id);
  take_actions();
}

// ---------------------------------------------------------------- peers

void RouterPlayer::hear_peer() {
  auto peer = static_cast<std::uint32_t>(random_.below(settings_.group_size + 1));
  if (random_.percent(3)) peer = kTooHighRank;
  // One that is out of its mind sends far more than is believed.
  const int times = random_.percent(4) ? 6 : 1;
  for (int i = 0; i < times; ++i) {
    const std::string message = make_peer_message();
    router_->on_peer_message(now_, peer, as_bytes(message));
    take_actions();
  }
}

std::string RouterPlayer::make_peer_message() {
  if (!last_message_.empty() && random_.percent(20)) return last_message_;
  const std::size_t notes = random_.percent(10) ? kMostNotes : 1 + random_.below(4);
  std::string message{kMessageMark, kMessageVersion};
  for (std::size_t note = 0; note < notes; ++note) {
    const ReplicaId id = any_replica();
    for (int shift = 0; shift < 32; shift += 8) message += static_cast<char>(id >> shift & 0xff);
    message += static_cast<char>(random_.below(4));
  }
  return random_.percent(15) ? damage(std::move(message)) : message;
}

std::string RouterPlayer::damage(std::string message) {
  switch (random_.below(6)) {
    case 0: return {};
    case 1: message.pop_back(); break;
    case 2: message.front() = 0; break;
    case 3: message[1] = 2; break;
    case 4: message.back() = 9; break;
    default: message.resize(2 + 5 * (kMostNotes + 1)); break;
  }
  return message;
}

// ---------------------------------------------------------------- the directory

void RouterPlayer::change_listing() {
  Endpoint& listing = listings_[random_.below(listings_.size())];
  advance_state(listing);
  router_->on_endpoints(now_, EndpointUpdate::delta, {&listing, 1});
  take_actions();
}

// Ready, draining, gone, and ready again as a new start; some restart at once, or change their weight.
void RouterPlayer::advance_state(Endpoint& listing) {
  if (listing.state == EndpointState::ready && random_.percent(50)) {
    listing.weight = static_cast<float>(random_.between(1, 8)) / 4;
    return;
  }
  if (listing.state == EndpointState::ready && random_.percent(60)) {
    listing.state = EndpointState::draining;
  } else if (listing.state == EndpointState::draining) {
    listing.state = EndpointState::gone;
  } else {
    listing.state = EndpointState::ready;
    listing.started = now_;
  }
}

void RouterPlayer::tell_full_list(EndpointUpdate scope) {
  std::vector<Endpoint> entries = listings_;
  if (random_.percent(40))
    entries.erase(entries.begin() + static_cast<std::ptrdiff_t>(random_.below(entries.size())));
  router_->on_endpoints(now_, scope, entries);
  take_actions();
}

void RouterPlayer::fail_directory() {
  router_->on_endpoints(now_, EndpointUpdate::failed, {});
  take_actions();
}

// ---------------------------------------------------------------- restarts

// A successor in the router's place: it knows what was learned, and nothing of the requests in work.
void RouterPlayer::restart() {
  LearnedState learned_state = router_->learned_state();
  record_learned(learned_state);
  ++recording_.restarts;
  ++settings_.seed;
  router_ = std::make_unique<RoutingPolicy>(settings_, now_);
  open_.clear();
  attempts_.clear();
  timers_.clear();
  list_wanted_ = false;
  take_actions();
  tell_full_list(EndpointUpdate::full);
  if (recording_.restarts % 2 == 0) add_senseless(learned_state);
  router_->learn(learned_state);
  take_actions();
}

// What a successor has to pass over.
void RouterPlayer::add_senseless(LearnedState& learned_state) {
  learned_state.samples.push_back({.size = std::numeric_limits<double>::infinity(), .work = 5});
  learned_state.samples.push_back({.size = 100, .work = -1});
  learned_state.prefixes.push_back({.prefix = kRarePrefixes + 1, .work = -3});
  learned_state.replicas.push_back({.id = 7, .failure_points = 3});
  if (!learned_state.replicas.empty()) learned_state.replicas.front().pace = 9;
  learned_state.tenant_usage.push_back(1);
  learned_state.zone_overflow = -1;
}

// ---------------------------------------------------------------- what the module decides

void RouterPlayer::take_actions() {
  for (const Action& action : router_->take_actions()) {
    record(action);
    carry_out(action);
  }
}

void RouterPlayer::carry_out(const Action& action) {
  switch (action.kind) {
    case ActionKind::send:
      open_.push_back(
          {.id = action.id, .attempt = attempts_[action.id]++, .replica = action.replica, .sent = now_});
      break;
    case ActionKind::cancel:
      for (OpenAttempt& attempt : open_) {
        if (attempt.id == action.id && attempt.attempt == action.attempt) attempt.cancelled = true;
      }
      break;
    case ActionKind::set_timer:
      timers_.emplace(to_next_step(std::max(action.time, now_ + 1)), action.token);
      break;
    case ActionKind::watch_endpoints: list_wanted_ = true; break;
    case ActionKind::message_peer: last_message_ = action.message; break;
    case ActionKind::reject:
    case ActionKind::fail: attempts_.erase(action.id); break;
    case ActionKind::fetch_endpoints:
    case ActionKind::probe: break;
  }
}

void RouterPlayer::record(const Action& action) {
  ++recording_.actions[static_cast<std::size_t>(action.kind)];
  digest_.add(static_cast<std::uint64_t>(action.kind));
  digest_.add(action.id);
  digest_.add(std::uint64_t{action.replica});
  digest_.add(std::uint64_t{action.attempt});
  digest_.add(coarse(action.time));
  digest_.add(std::uint64_t{action.token});
  digest_.add(std::string_view{action.message});
  digest_.add(std::uint64_t{action.model});
  digest_.add(std::uint64_t{action.allowance != nullptr});
}

void RouterPlayer::record_left_out() {
  const std::vector<ReplicaId> ids = router_->ejected(now_);
  recording_.ejected += ids.size();
  digest_.add(std::uint64_t{ids.size()});
  for (const ReplicaId id : ids) digest_.add(std::uint64_t{id});
}

void RouterPlayer::record_learned(const LearnedState& learned_state) {
  digest_.add(std::uint64_t{learned_state.samples.size()});
  for (const auto& [size, work] : learned_state.samples) {
    digest_.add_rounded(size);
    digest_.add_rounded(work);
  }
  digest_.add(std::uint64_t{learned_state.prefixes.size()});
  for (const auto& [prefix, work] : learned_state.prefixes) {
    digest_.add(prefix);
    digest_.add_rounded(work);
  }
  digest_.add(std::uint64_t{learned_state.replicas.size()});
  for (const auto& replica : learned_state.replicas) {
    digest_.add(std::uint64_t{replica.id});
    digest_.add(coarse(replica.started));
    digest_.add(static_cast<std::uint64_t>(replica.failure_points));
    digest_.add(coarse(replica.ejected_until));
    digest_.add_rounded(replica.pace);
  }
  digest_.add(std::uint64_t{learned_state.kind_paces.size()});
  for (const auto& [kind, pace] : learned_state.kind_paces) {
    digest_.add(std::uint64_t{kind});
    digest_.add_rounded(pace);
  }
  for (const double used : learned_state.tenant_usage) digest_.add_rounded(used);
  digest_.add_rounded(learned_state.zone_overflow);
  digest_.add_rounded(learned_state.load_shedding);
}

}  // namespace thornwick::recordings
