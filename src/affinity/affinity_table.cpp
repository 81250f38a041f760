#include "affinity/affinity_table.hpp"

#include <algorithm>
#include <cmath>
#include <limits>

#include "random/hashing.hpp"

namespace thornwick::affinity {
namespace {

constexpr double kUnit = 64;         // tokens of one step of a copy's odometer
constexpr double kLeastTokens = 64;  // less is within a replica's block size, and nothing to expect
constexpr std::size_t kSweep = 4;    // places of each table looked at with every answer
constexpr std::uint64_t kProbeEvery =
    4;                                // cache estimates about a replica on probation that the module is told
constexpr double kPaceWindow = 30e6;  // microseconds over which a replica's pace is smoothed
constexpr std::uint64_t kSaveBoxEvery = 64;  // answers between two saves of a replica's odometer
constexpr float kHeatWindow = 1024;          // requests over which a beginning's heat fades
constexpr double kHoldersPerShare = 2;       // holders wanted for each replica's fair share of the requests
constexpr double kWorthASession = 0.5;  // of the prefix' tokens: a surer beginning beats a doubtful session

std::uint32_t whole_seconds(Time now) {
  return static_cast<std::uint32_t>(std::max<Time>(0, now) / 1'000'000);
}
std::uint32_t whole(double tokens) { return static_cast<std::uint32_t>(std::clamp(tokens, 0.0, 4e9)); }
std::uint32_t odometer(double sent) {
  return static_cast<std::uint32_t>(static_cast<std::uint64_t>(std::max(0.0, sent) / kUnit));
}

}  // namespace

AffinityTable::AffinityTable(const Options& options, Observer* observer)
    : options_(options),
      observer_(observer),
      table_(options.table),
      replicas_(options.max_replicas, options.answers_per_false_alarm),
      fleet_loss_(options.answers_per_false_alarm) {
  if (options.lifetime <= 0) throw std::invalid_argument("affinity table: a lifetime that is not positive");
  if (options.max_replicas == 0) throw std::invalid_argument("affinity table: no box allowed");
}

// ---------------------------------------------------------------- what a copy is worth

bool AffinityTable::living(const Copy& copy, std::uint32_t now) const {
  if (copy.replica >= replicas_.slots()) return false;
  const Replica& replica = replicas_.at(copy.replica);
  // A copy from the future is one from before the clock went back: it is not old.
  const std::uint32_t idle = now > copy.seen ? now - copy.seen : 0;
  return replica.used && replica.epoch == copy.epoch && idle <= options_.lifetime / 1'000'000;
}

double AffinityTable::age_of(const Copy& copy) const {
  // Both wrap; the difference does not, as long as copies age out before their replica has read 137 billion
  // tokens.
  const auto units = static_cast<std::int32_t>(odometer(replicas_.at(copy.replica).sent) - copy.odometer);
  return kUnit * std::max(0, units);
}

double AffinityTable::sure_of(const Copy& copy) const {
  const Replica& replica = replicas_.at(copy.replica);
  return replica.survival.after(age_of(copy)) * replica.calibration.factor();
}

template <std::size_t N>
bool AffinityTable::any_living(const Copies<N>& copies, std::uint32_t now) const {
  const auto all = copies.all();
  return std::any_of(all.begin(), all.end(), [&](const Copy& copy) { return living(copy, now); });
}

// What this copy promises; nothing if it is void or its replica takes no new work.
AffinityTable::Found AffinityTable::usable(const Copy& copy, double most_tokens, std::uint32_t now) const {
  if (!living(copy, now) || replicas_.at(copy.replica).state != EndpointState::ready) return {};
  return {&copy, std::min<double>(copy.tokens, most_tokens), sure_of(copy)};
}

template <std::size_t N>
AffinityTable::Found AffinityTable::best(const Copies<N>& copies, double most_tokens,
                                         std::uint32_t now) const {
  Found found;
  for (const Copy& copy : copies.all()) {
    const Found other = usable(copy, most_tokens, now);
    if (other.tokens * other.confidence > found.tokens * found.confidence) found = other;
  }
  return found;
}

// One of the replicas that hold a beginning, by the session's name. Guards against a herd onto the first
// replica that holds a hot one (after all copies vanished above all): it is not told before enough replicas
// hold it, and until then the module spreads it by name.
AffinityTable::Found AffinityTable::spread(Prefix& prefix, const Request& request, std::uint32_t now) {
  prefix.heat = prefix.heat * std::exp(-static_cast<float>(asked_ - prefix.asked) / kHeatWindow) + 1;
  prefix.asked = asked_;
  const float all = std::min(static_cast<float>(asked_), kHeatWindow);
  const double wanted = kHoldersPerShare * prefix.heat / all * static_cast<double>(replicas_.size());
  Found found;
  double best_score = std::numeric_limits<double>::infinity();
  std::size_t holders = 0;
  for (const Copy& copy : prefix.copies.all()) {
    const Found holder = usable(copy, request.prefix_tokens, now);
    const double priority_weight = holder.tokens * holder.confidence;
    if (priority_weight < kLeastTokens) continue;
    ++holders;
    const double score =
        -std::log(unit(affinity::spread(request.session, replicas_.at(copy.replica).id))) / priority_weight;
    if (score < best_score) best_score = score, found = holder;
  }
  const std::size_t possible = std::min<std::size_t>(kPrefixCopies, replicas_.size());
  return static_cast<double>(holders) < std::min(wanted, static_cast<double>(possible)) ? Found{} : found;
}

// A replica on probation is believed in now and then only, or nothing would be learned of it.
bool AffinityTable::shown(Slot slot) {
  Replica& replica = replicas_.at(slot);
  return replica.trust_state == TrustState::trusted || ++replica.probes % kProbeEvery == 0;
}

CacheHint AffinityTable::recall(Time now, const Request& request) {
  const std::uint32_t second = whole_seconds(now);
  CacheHint cache_hint;
  Found found;
  Session* session = request.session == 0 ? nullptr : table_.sessions().use(request.session);
  if (session != nullptr) {
    found = best(session->copies, request.prompt_tokens, second);
    if (found.copy != nullptr) cache_hint.cached_size = session->cached_size;
  }
  ++asked_;
  Prefix* prefix = request.prefix == 0 ? nullptr : table_.prefixes().use(request.prefix);
  if (prefix != nullptr && found.tokens * found.confidence < kWorthASession * request.prefix_tokens) {
    const Found beginning = spread(*prefix, request, second);
    if (beginning.tokens * beginning.confidence > found.tokens * found.confidence) found = beginning;
  }
  if (found.copy == nullptr || found.tokens * found.confidence < kLeastTokens || !shown(found.copy->replica))
    return cache_hint;
  cache_hint.replica = replicas_.at(found.copy->replica).id;
  cache_hint.tokens = found.tokens * found.confidence;
  cache_hint.confidence = found.confidence;
  cache_hint.known = true;
  ++metrics_.recalled;
  return cache_hint;
}

// ---------------------------------------------------------------- what answers teach

// What this replica was expected to hold of this prompt, whatever made the module choose it.
Expectation AffinityTable::expected(const Request& request, Slot slot, std::uint32_t now) {
  const Epoch epoch = replicas_.at(slot).epoch;
  Expectation result;
  const auto take = [&](const Copy* copy, double most) {
    if (copy == nullptr || !living(*copy, now)) return;
    const double tokens = std::min<double>(copy->tokens, most);
    if (tokens < result.tokens + kLeastTokens) return;
    // What the beginning alone would bring proves nothing of the session's own copy.
    result = {tokens, held(sure_of(*copy)), result.tokens + (tokens - result.tokens) / 2, age_of(*copy),
              epoch};
  };
  if (Prefix* prefix = request.prefix == 0 ? nullptr : table_.prefixes().find(request.prefix)) {
    take(prefix->copies.on(slot, epoch), request.prefix_tokens);
  }
  if (Session* session = request.session == 0 ? nullptr : table_.sessions().find(request.session)) {
    take(session->copies.on(slot, epoch), request.prompt_tokens);
  }
  return result;
}

Expectation AffinityTable::began(Time now, const Request& request, ReplicaId id) {
  const auto slot = replicas_.slot_of(id);
  if (!slot) return {};
  const Expectation was = expected(request, *slot, whole_seconds(now));
  believe(now, request, *slot);
  return was;
}

void AffinityTable::answered(Time now, const Request& request, ReplicaId id, const Expectation& was,
                             double kept, double generated) {
  const auto slot = replicas_.slot_of(id);
  if (!slot) return;
  Replica& replica = replicas_.at(*slot);
  metrics_.prompt_tokens += request.prompt_tokens;
  metrics_.found_tokens += kept;
  sent(now, replica, std::max(0.0, request.prompt_tokens - kept) + generated);
  if (was.tokens >= kLeastTokens) {
    metrics_.expected_tokens += was.tokens;
    learn(now, *slot, was, kept >= was.least);
  }
  believe(now, request, *slot);
  if (++replica.answers % kSaveBoxEvery == 0) save_replica(*slot);
  forget_some(whole_seconds(now));
}

void AffinityTable::sent(Time now, Replica& replica, double tokens) {
  const double gap = std::max(1.0, static_cast<double>(now - replica.sent_at));
  const double weight = replica.sent_at == 0 ? 0 : std::exp(-gap / kPaceWindow);
  replica.pace = replica.pace * weight + (1 - weight) * tokens / gap * 1e6;
  replica.sent += tokens;
  replica.sent_at = now;
}

void AffinityTable::learn(Time now, Slot slot, const Expectation& was, bool hit) {
  Replica& replica = replicas_.at(slot);
  // Guards against one loss that is noticed many times: answers that were under way when it was noticed were
  // expected of copies that are void by now.
  if (was.epoch != replica.epoch) return void(++metrics_.outdated);
  ++(hit ? metrics_.hits : metrics_.misses);
  ++(hit ? replica.hits : replica.misses);
  replica.survival.learn(was.age, hit);
  replica.calibration.learn(was.confidence, hit);
  if (fleet_loss_.add(was.confidence, hit)) return lose_fleet(now);
  if (replica.trust_state == TrustState::trusted) {
    if (replica.loss.add(was.confidence, hit)) lose_replica(now, slot);
    return;
  }
  const Verdict verdict = replica.recovery.add(was.confidence, hit);
  if (verdict == Verdict::lost) return lose_replica(now, slot);
  if (verdict == Verdict::open) return;
  replica.trust_state = TrustState::trusted;
  replica.loss.reset();
  ++metrics_.regained;
  bool doubted = false;
  replicas_.for_each([&](Slot, const Replica& b) { doubted |= b.trust_state == TrustState::probing; });
  if (!doubted) fleet_doubted_ = false;
  if (observer_ != nullptr) observer_->replica_regained(now, replica.id);
}

void AffinityTable::lose_fleet(Time now) {
  ++metrics_.fleet_losses;
  fleet_doubted_ = true;
  replicas_.for_each([&](Slot slot, const Replica&) {
    replicas_.distrust(slot);
    save_replica(slot);
  });
  if (observer_ != nullptr) observer_->fleet_lost(now);
}

void AffinityTable::lose_replica(Time now, Slot slot) {
  const bool news = replicas_.at(slot).trust_state == TrustState::trusted;
  replicas_.distrust(slot);
  save_replica(slot);
  if (!news) return;
  ++metrics_.replica_losses;
  if (observer_ != nullptr) observer_->replica_lost(now, replicas_.at(slot).id);
}

// The prompt is on this replica now, and its beginning with it.
void AffinityTable::believe(Time now, const Request& request, Slot slot) {
  const double prompt = request.prompt_tokens, beginning = std::min(request.prefix_tokens, prompt);
  const Replica& replica = replicas_.at(slot);
  const auto mark = [&](auto& copies, double tokens) {
    copies.place(slot) = {whole(tokens), odometer(replica.sent), whole_seconds(now), slot, replica.epoch};
  };
  if (request.session != 0 && prompt >= kLeastTokens) {
    Session& session = table_.sessions().put(request.session, [&](std::uint64_t key, const Session&) {
      if (journal_ != nullptr) journal_->session_gone(key);
    });
    if (!any_living(session.copies, whole_seconds(now)))
      session.cached_size = whole(request.prompt_tokens + request.max_tokens);
    session.prefix = request.prefix;
    mark(session.copies, prompt);
    save(request.session, session);
  }
  if (request.prefix != 0 && beginning >= kLeastTokens) {
    Prefix& prefix = table_.prefixes().put(request.prefix, [&](std::uint64_t key, const Prefix&) {
      if (journal_ != nullptr) journal_->prefix_gone(key);
    });
    mark(prefix.copies, beginning);
    save(request.prefix, prefix);
  }
}

// ---------------------------------------------------------------- ageing

// A few places of the tables with every answer: what died, goes; what a full store did not take, is offered
// again.
void AffinityTable::forget_some(std::uint32_t now) {
  const auto look = [&](auto& map, auto gone) {
    metrics_.expired += map.sweep(kSweep, [&](std::uint64_t key, auto& entry) {
      if (!any_living(entry.copies, now)) return journal_ == nullptr || gone(key);
      if (entry.unsaved) save(key, entry);
      return false;
    });
  };
  // An epoch that was raised and not kept would bring void copies back to life at the next start.
  if (replicas_.slots() > 0) {
    next_replica_ = (next_replica_ + 1) % replicas_.slots();
    const Slot slot = static_cast<Slot>(next_replica_);
    if (replicas_.at(slot).unsaved) save_replica(slot);
  }
  look(table_.sessions(), [this](std::uint64_t key) { return journal_->session_gone(key); });
  look(table_.prefixes(), [this](std::uint64_t key) { return journal_->prefix_gone(key); });
}

// ---------------------------------------------------------------- discovery

void AffinityTable::on_endpoints(EndpointUpdate scope, std::span<const Endpoint> entries) {
  if (scope == EndpointUpdate::failed) return;
  if (scope != EndpointUpdate::delta) {
    replicas_.for_each([](Slot, Replica& replica) { replica.listed = false; });
  }
  for (const auto& entry : entries) take_entry(entry);
  if (scope != EndpointUpdate::full) return;
  // A whole list drops what it omits; a remembered one may only be old.
  replicas_.for_each([&](Slot slot, const Replica& replica) {
    if (replica.listed) return;
    replicas_.release(slot);
    save_replica(slot);
  });
}

void AffinityTable::take_entry(const Endpoint& entry) {
  if (entry.state == EndpointState::gone) {
    const auto slot = replicas_.slot_of(entry.id);
    if (!slot) return;
    replicas_.release(*slot);
    return save_replica(*slot);
  }
  const bool known = replicas_.slot_of(entry.id).has_value();
  const auto slot = replicas_.admit(entry.id);
  if (!slot) return;
  Replica& replica = replicas_.at(*slot);
  replica.listed = true;
  replica.state = entry.state;
  // A replica that started anew holds nothing.
  if (known && entry.started > replica.started) replicas_.void_copies(*slot);
  const bool news = !known || entry.started > replica.started;
  replica.started = std::max(replica.started, entry.started);
  if (news) save_replica(*slot);
}

// ---------------------------------------------------------------- across a stop

void AffinityTable::save(std::uint64_t key, Session& session) {
  session.unsaved = journal_ != nullptr && !journal_->session(key, session);
}

void AffinityTable::save(std::uint64_t key, Prefix& prefix) {
  prefix.unsaved = journal_ != nullptr && !journal_->prefix(key, prefix);
}

void AffinityTable::save_replica(Slot slot) {
  replicas_.at(slot).unsaved = journal_ != nullptr && !journal_->replica(slot, replicas_.at(slot));
}

// A replica's odometer is kept now and then only; its copies tell of later readings.
template <std::size_t N>
void AffinityTable::catch_up(const Copies<N>& copies) {
  for (const Copy& copy : copies.all()) {
    if (copy.replica >= replicas_.slots()) continue;
    Replica& replica = replicas_.at(copy.replica);
    const auto ahead = static_cast<std::int32_t>(copy.odometer - odometer(replica.sent));
    if (replica.used && replica.epoch == copy.epoch && ahead > 0) replica.sent += kUnit * ahead;
  }
}

bool AffinityTable::restore_session(std::uint64_t key, const Session& session) {
  if (table_.sessions().size() == table_.sessions().capacity()) return false;
  catch_up(session.copies);
  table_.sessions().put(key) = session;
  return true;
}

bool AffinityTable::restore_prefix(std::uint64_t key, const Prefix& prefix) {
  if (table_.prefixes().size() == table_.prefixes().capacity()) return false;
  catch_up(prefix.copies);
  table_.prefixes().put(key) = prefix;
  return true;
}

void AffinityTable::restored(Time now) {
  replicas_.for_each([&](Slot, Replica& replica) {
    const double down = std::max(0.0, static_cast<double>(now - replica.sent_at)) / 1e6;
    replica.sent += replica.pace * down;  // the other routers did not stop
    replica.sent_at = now;
    replica.loss.head_start();  // whatever happened meanwhile, a few answers tell
  });
  if (table_.size() > 0) fleet_loss_.head_start();
}

}  // namespace thornwick::affinity
