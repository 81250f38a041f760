#include "affinity/copy_lookup.hpp"

#include <cmath>
#include <limits>

#include "affinity/odometer.hpp"
#include "random/hashing.hpp"

namespace thornwick::affinity {
namespace {

constexpr float kPopularityWindow = 1024;  // requests over which the count of a prefix's requests decays
constexpr double kCopiesPerShare = 2;      // target copies for each replica's fair share of the requests
// The prefix is looked up unless the expected tokens of the session's copy reach this fraction of the
// prefix's tokens: a likely copy of the prefix is better than an unlikely one of the session.
constexpr double kSessionCopySuffices = 0.5;

}  // namespace

bool CopyLookup::is_valid(const Copy& copy, std::uint32_t now_s) const {
  if (copy.replica >= replicas_.slots()) return false;
  const Replica& replica = replicas_.at(copy.replica);
  // If the last use is in the future, the clock was set back after it: the copy is not old.
  const std::uint32_t idle_s = now_s > copy.last_used_s ? now_s - copy.last_used_s : 0;
  return replica.in_use && replica.epoch == copy.epoch && idle_s <= lifetime_ / 1'000'000;
}

double CopyLookup::age_in_tokens(const Copy& copy) const {
  // Both readings wrap. Their difference is correct as long as copies age out before their replica has read
  // 137 billion tokens.
  const std::uint32_t reading = odometer_reading(replicas_.at(copy.replica).sent_tokens);
  const auto units = static_cast<std::int32_t>(reading - copy.odometer);
  return kTokensPerOdometerUnit * std::max(0, units);
}

double CopyLookup::survival_probability(const Copy& copy) const {
  const Replica& replica = replicas_.at(copy.replica);
  return replica.survival.probability_after(age_in_tokens(copy)) * replica.calibration.factor();
}

// Returns an empty match if the copy is not valid or its replica accepts no new requests.
CopyMatch CopyLookup::match(const Copy& copy, double max_tokens, std::uint32_t now_s) const {
  if (!is_valid(copy, now_s) || replicas_.at(copy.replica).state != EndpointState::ready) return {};
  return {&copy, std::min<double>(copy.tokens, max_tokens), survival_probability(copy)};
}

CopyMatch CopyLookup::best_session_copy(const Session& session, const Request& request,
                                        std::uint32_t now_s) const {
  CopyMatch best;
  for (const Copy& copy : session.copies.all()) {
    const CopyMatch candidate = match(copy, request.prompt_tokens, now_s);
    if (candidate.expected_tokens() > best.expected_tokens()) best = candidate;
  }
  return best;
}

// Counts a request with this prefix, and returns how many replicas should hold the prefix before requests are
// drawn to them: in proportion to its share of the recent requests.
double CopyLookup::target_prefix_copies(Prefix& prefix) {
  const auto requests_since = static_cast<float>(request_number_ - prefix.last_request);
  prefix.recent_requests = prefix.recent_requests * std::exp(-requests_since / kPopularityWindow) + 1;
  prefix.last_request = request_number_;
  const float all_requests = std::min(static_cast<float>(request_number_), kPopularityWindow);
  return kCopiesPerShare * prefix.recent_requests / all_requests * static_cast<double>(replicas_.size());
}

// Selects one of the replicas that hold the prefix, by weighted rendezvous hashing of the session. Returns no
// match while too few replicas hold a popular prefix: otherwise all requests would go to the first replica
// that has it, above all after every copy was lost. Until then the routing policy distributes the requests by
// their keys.
CopyMatch CopyLookup::select_prefix_copy(Prefix& prefix, const Request& request, std::uint32_t now_s) {
  const double target_copies = target_prefix_copies(prefix);
  CopyMatch selected;
  double best_score = std::numeric_limits<double>::infinity();
  std::size_t available = 0;
  for (const Copy& copy : prefix.copies.all()) {
    const CopyMatch candidate = match(copy, request.prefix_tokens, now_s);
    const double weight = candidate.expected_tokens();
    if (weight < kMinCachedTokens) continue;
    ++available;
    const std::uint64_t hash = seeded_hash(request.session, replicas_.at(copy.replica).id);
    const double score = -std::log(unit_interval(hash)) / weight;
    if (score < best_score) {
      best_score = score;
      selected = candidate;
    }
  }
  const std::size_t max_copies = std::min<std::size_t>(kPrefixCopies, replicas_.size());
  const double required_copies = std::min(target_copies, static_cast<double>(max_copies));
  return static_cast<double>(available) < required_copies ? CopyMatch{} : selected;
}

LookupResult CopyLookup::find(const Request& request, std::uint32_t now_s) {
  LookupResult result;
  Session* session = request.session == 0 ? nullptr : table_.sessions().use(request.session);
  if (session != nullptr) {
    result.match = best_session_copy(*session, request, now_s);
    if (result.match.copy != nullptr) result.cached_size = session->cached_size;
  }
  ++request_number_;
  Prefix* prefix = request.prefix == 0 ? nullptr : table_.prefixes().use(request.prefix);
  const double sufficient = kSessionCopySuffices * request.prefix_tokens;
  if (prefix != nullptr && result.match.expected_tokens() < sufficient) {
    const CopyMatch prefix_match = select_prefix_copy(*prefix, request, now_s);
    if (prefix_match.expected_tokens() > result.match.expected_tokens()) result.match = prefix_match;
  }
  return result;
}

Expectation CopyLookup::expectation(const Request& request, Slot slot, std::uint32_t now_s) const {
  const Epoch epoch = replicas_.at(slot).epoch;
  Expectation result;
  const auto consider = [&](const Copy* copy, double max_tokens) {
    if (copy == nullptr || !is_valid(*copy, now_s)) return;
    const double tokens = std::min<double>(copy->tokens, max_tokens);
    if (tokens < result.tokens + kMinCachedTokens) return;
    // Cached tokens of the prefix alone do not prove that the session's own copy is there.
    const double min_hit_tokens = result.tokens + (tokens - result.tokens) / 2;
    result = {.tokens = tokens,
              .confidence = clamp_prediction(survival_probability(*copy)),
              .min_hit_tokens = min_hit_tokens,
              .age_tokens = age_in_tokens(*copy),
              .epoch = epoch};
  };
  if (Prefix* prefix = request.prefix == 0 ? nullptr : table_.prefixes().find(request.prefix)) {
    consider(prefix->copies.find(slot, epoch), request.prefix_tokens);
  }
  if (Session* session = request.session == 0 ? nullptr : table_.sessions().find(request.session)) {
    consider(session->copies.find(slot, epoch), request.prompt_tokens);
  }
  return result;
}

}  // namespace thornwick::affinity
