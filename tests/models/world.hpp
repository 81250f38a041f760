// Simulates a router's core in virtual time among replicas that serve different models, fail in all ways, and
// count their own charges. There are no sockets, so that many requests can be played. All random numbers
// derive from one seed.
#pragma once

#include <algorithm>
#include <boost/random/mersenne_twister.hpp>
#include <boost/random/uniform_int_distribution.hpp>
#include <map>
#include <memory>
#include <optional>
#include <queue>
#include <string>
#include <vector>

#include "../support/effect_oracle.hpp"
#include "core/request_manager.hpp"
#include "core/slow_start_budget.hpp"
#include "models/pools.hpp"

namespace thornwick::testing {

using budgets::Units;

// How many of 1,000 attempts end in each way; the others are served.
struct Faults {
  int full = 0, rejected = 0, error = 0, reset = 0, broken = 0, silent = 0;
  int gone = 0;       // of 1,000 requests, those whose client disconnects
  int unwritten = 0;  // of 1,000 abandoned attempts, those whose request was not written completely
};

class Simulation : core::Clock, core::UpstreamTransport, core::Discovery, core::PeerTransport {
 public:
  struct Replica {
    models::ReplicaIdentity names;
    Endpoint listing;
    Units counted = 0;  // units charged by its own count and the rules of pricing.hpp
    std::uint64_t attempts = 0;
    std::vector<std::pair<Time, double>> sent;  // tokens, by time
    std::optional<Faults> faults;               // of this replica; otherwise the common ones apply
  };

  Simulation(const Settings& settings, const models::Catalogue& catalogue, const budgets::Options& budgets,
             budgets::Journal* journal, std::uint64_t seed)
      : settings_(settings), catalogue_(catalogue), budgets_(budgets), journal_(journal), random_(seed) {}

  Faults faults;
  Time answer_time = milliseconds(20);
  Time reset_after = 0;  // time from the launch of an attempt to its reset; 0: some milliseconds
  // What further limits the requests; all off unless set before start(). The quota store is not owned.
  budgets::QuotaStore* quota_store = nullptr;
  std::optional<budgets::FairShareOptions> fair_share_options;
  bool slow_start = false;
  std::vector<Replica> replicas;

  Replica& add_replica(const std::string& uid, const std::string& model, Time started = 0) {
    Replica replica;
    replica.names = {uid, model, 0};
    replica.listing.id = static_cast<ReplicaId>(replicas.size() + 1);
    replica.listing.started_at = started;
    replicas.push_back(replica);
    return replicas.back();
  }

  // Starts a router that does not know the requests of its predecessor; the records of the journal are
  // loaded.
  void start(const std::map<std::string, budgets::LimitState>& stored = {}) {
    kill();
    quota_service = std::make_unique<budgets::QuotaService>(budgets_, journal_, quota_store);
    if (fair_share_options) fair_share_ = std::make_unique<budgets::FairShare>(*fair_share_options);
    for (const auto& m : catalogue_.models) quota_service->prices.push_back(m.price);
    quota_service->on_charge = [this](const budgets::Charge& c) {
      charged += c.units;
      charged_by_replica[c.replica] += c.units;
      ++charges[{incarnation_, c.request_id, c.attempt}];
    };
    for (const auto& [key, state] : stored) quota_service->accounts.restore(key, state);
    models::Pools::Options options;
    options.settings = settings_;
    options.catalogue = catalogue_;
    options.identity_of = [this](ReplicaId id) { return replicas.at(id - 1).names; };
    options.make_decider = [this](const Settings& s, Time now,
                                  models::ModelId) -> std::unique_ptr<core::Decider> {
      return std::make_unique<budgets::AdmissionController>(core::make_routing_policy(s, now), *quota_service,
                                                            fair_share_.get());
    };
    auto all_pools = std::make_unique<models::Pools>(options, now_);
    pools = all_pools.get();
    std::unique_ptr<core::Decider> decider = std::move(all_pools);
    if (slow_start)
      decider = std::make_unique<core::SlowStartBudget>(std::move(decider), settings_, now_ - seconds(60));
    core::Dependencies dependencies{*this, *this, *this, *this};
    dependencies.on_request_end = [this](const core::RequestSummary& summary) {
      summaries.push_back(summary);
    };
    core_ = std::make_unique<core::RequestManager>(settings_, dependencies, std::move(decider));
    list();
  }

  // Ends the router as SIGKILL does: only the replicas know the attempts in flight.
  void kill() {
    for (const auto& [id, attempt] : attempts_in_flight_) units_in_flight_at_kill += attempt.counted;
    attempts_in_flight_.clear();
    replies_.clear();
    ++incarnation_;
    core_.reset();
    quota_service.reset();
    pools = nullptr;
  }

  // Passes the endpoint list to the router, with the scope of discovery or as it was cached before the start.
  void list(EndpointUpdate scope = EndpointUpdate::full) {
    std::vector<Endpoint> all;
    for (const auto& replica : replicas) all.push_back(replica.listing);
    core_->on_endpoints(scope, all);
  }
  void change(const models::Catalogue& fresh) {
    catalogue_ = models::with_stable_ids(catalogue_, fresh);
    pools->replace_catalogue(now_, catalogue_);
    quota_service->prices.clear();
    for (const auto& m : catalogue_.models) quota_service->prices.push_back(m.price);
  }

  struct Answer {
    bool over = false, served = false, overload_rejected = false, failed = false, broken = false;
    bool may_have_run = false;  // when the request was rejected or failed
    std::optional<Allowance> rejected;
    Time retry_after = 0;
    std::uint16_t model = 0;
    unsigned attempts = 0;
    std::size_t events = 0;
  };

  // Returns the request's index in `answers`.
  std::size_t send_request(Request request) {
    const std::size_t answer_index = answers.size();
    answers.emplace_back();
    request.deadline = now_ + 5'000'000;
    // The core numbers the requests of each start from 1, and may launch an attempt before admit() returns.
    const RequestKey key{incarnation_, ++last_request_[incarnation_]};
    oracles_.emplace(key, EffectOracle(settings_.classes.at(request.priority_class)));
    auto reply = std::make_unique<Reply>(*this, answer_index, key);
    Reply& its = *reply;
    replies_.push_back(std::move(reply));
    const RequestId id = core_->admit({request, nullptr}, its);
    answer_index_of_[{incarnation_, id}] = answer_index;
    if (draw(1000) < faults.gone && !answers[answer_index].over) {
      const int incarnation = incarnation_;
      at(now_ + static_cast<Time>(draw(40'000)), [this, id, answer_index, incarnation] {
        if (incarnation != incarnation_ || answers[answer_index].over) return;
        answers[answer_index].over = true;
        core_->client_disconnected(id);
      });
    }
    return answer_index;
  }

  void run(Time time) {
    const Time end = now_ + time;
    while (!events_.empty() && events_.begin()->first <= end) {
      now_ = std::max(now_, events_.begin()->first);
      auto step = events_.extract(events_.begin());
      step.mapped()();
    }
    now_ = end;
  }
  Time clock() const { return now_; }
  const core::Counters& counters() const { return core_->counters(); }
  std::size_t open() const { return core_->open_requests(); }
  int draw(int below) { return boost::random::uniform_int_distribution<int>(0, below - 1)(random_); }
  Units counted_units() const {
    Units sum = 0;
    for (const auto& replica : replicas) sum += replica.counted;
    return sum;
  }

  std::vector<Answer> answers;
  std::vector<core::RequestSummary> summaries;  // of the requests that have ended, in that order
  std::unique_ptr<budgets::QuotaService> quota_service;
  models::Pools* pools = nullptr;
  Units charged = 0, units_in_flight_at_kill = 0;
  std::map<ReplicaId, Units> charged_by_replica;
  std::map<std::tuple<int, RequestId, int>, int> charges;
  std::uint64_t watch_calls = 0;  // calls to watch discovery
  std::uint64_t concurrent_attempts = 0, after_first = 0,
                excess_attempts = 0;       // violations of the guarantees
  std::uint64_t repeats = 0;               // attempts at requests of which an earlier attempt may have run
  std::uint64_t harmful_repeats = 0;       // those that rule 2 forbids
  std::uint64_t rejections_after_run = 0;  // requests that were rejected although an attempt may have run
  std::uint64_t harmful_rejections = 0;    // those that rule 2 forbids

 private:
  using RequestKey = std::pair<int, RequestId>;  // the router's start, and the core's number

  struct Reply final : core::Reply {
    Reply(Simulation& its, std::size_t at, RequestKey its_key)
        : simulation(its), answer_index(at), key(its_key) {}
    Answer& answer() { return simulation.answers[answer_index]; }
    void begin_answer(std::uint16_t model, const Allowance*) override { answer().model = model; }
    void send_event(const core::StreamEvent&) override { ++answer().events; }
    void finish() override { answer().over = answer().served = true; }
    void abort_answer() override { answer().over = answer().broken = true; }
    void reject(Time retry_after) override {
      answer().over = answer().overload_rejected = true, answer().retry_after = retry_after;
      simulation.check_rejection(*this);
    }
    void fail(core::FailureReason, Time) override {
      answer().over = answer().failed = true;
      answer().may_have_run = simulation.oracles_.at(key).may_have_executed();
    }
    void reject_over_limit(const Allowance& reason, Time retry_after) override {
      answer().over = true, answer().rejected = reason, answer().retry_after = retry_after;
      simulation.check_rejection(*this);
    }
    Simulation& simulation;
    std::size_t answer_index;
    RequestKey key;
  };
  struct Attempt {
    ReplicaId replica = 0;
    std::uint16_t model = 0;
    Units counted = 0;  // units that the replica has counted for it so far
    double prompt = 0;
    std::uint64_t answer_characters = 0;
  };

  EffectOracle& oracle_of(core::AttemptId id) { return oracles_.at({incarnation_, id.request_id}); }
  void check_repeat(core::AttemptId id, const Endpoint& next) {
    EffectOracle& oracle = oracle_of(id);
    repeats += oracle.may_have_executed() ? 1 : 0;
    harmful_repeats += oracle.on_send(id.number, next, now_) ? 0 : 1;
  }
  void check_rejection(Reply& reply) {
    const EffectOracle& oracle = oracles_.at(reply.key);
    reply.answer().may_have_run = oracle.may_have_executed();
    rejections_after_run += oracle.may_have_executed() ? 1 : 0;
    harmful_rejections += oracle.permits_rejection() ? 0 : 1;
  }

  void at(Time when, std::function<void()> step) { events_.emplace(when, std::move(step)); }

  Time now() const override { return now_; }
  void wake_at(Time when) override {
    const int incarnation = incarnation_;
    at(std::max(when, now_), [this, incarnation] {
      if (incarnation == incarnation_) core_->wake();
    });
  }
  void subscribe() override { ++watch_calls; }
  void fetch() override {}
  void send(std::uint32_t, const std::string&) override {}
  void probe(ReplicaId) override {}
  void pause_reading(core::AttemptId) override {}
  void resume_reading(core::AttemptId) override {}

  // Sets the units that the replica has counted for an attempt so far, by the rule for attempts without a
  // usage report.
  void count(core::AttemptId id, Units units) {
    Attempt& attempt = attempts_in_flight_.at(id);
    replicas[attempt.replica - 1].counted += units - attempt.counted;
    attempt.counted = units;
  }
  budgets::Price price_of(std::uint16_t model) const { return quota_service->price_of(model); }

  void launch(core::AttemptId id, ReplicaId target, std::shared_ptr<const core::Payload>, Time,
              std::uint16_t model) override {
    for (const auto& [other, attempt] : attempts_in_flight_)
      concurrent_attempts += other.request_id == id.request_id ? 1 : 0;
    excess_attempts += id.number >= 5 ? 1 : 0;
    Replica& replica = replicas.at(target - 1);
    check_repeat(id, replica.listing);
    ++replica.attempts;
    attempts_in_flight_[id] = {target, model, 0, 0, 0};
    const int fate = draw(1000);
    const Faults& f = replica.faults ? *replica.faults : faults;
    const auto ends = [this](core::AttemptId its, Outcome outcome) {
      if (!attempts_in_flight_.contains(its)) return;
      attempts_in_flight_.erase(its);
      oracle_of(its).on_outcome(its.number, outcome);
      core_->attempt_ended(its, outcome);
    };
    int sum = 0;
    const auto is = [&](int part) { return fate < (sum += part); };
    const Time soon = now_ + 1000 + draw(2000);
    // An attempt that is cut off before its replica has rejected it may have run, as far as the router knows.
    const double prompt = prompt_of_ ? prompt_of_(id) : 100;
    attempts_in_flight_[id].prompt = prompt;
    count(id, budgets::cost_of(static_cast<std::uint64_t>(prompt), 0, 0, price_of(model)));
    const auto never_runs = [=, this](Outcome outcome) {
      at(soon, [=, this] {
        if (attempts_in_flight_.contains(id)) count(id, 0);
        ends(id, outcome);
      });
    };
    if (is(f.full)) return never_runs(Outcome::full);
    if (is(f.rejected)) return never_runs(Outcome::connect_failed);
    replica.sent.emplace_back(now_, prompt);
    if (is(f.error)) return at(soon, [=] { ends(id, Outcome::error); });
    const Time reset_at = reset_after > 0 ? now_ + reset_after : soon;
    if (is(f.reset)) return at(reset_at, [=] { ends(id, Outcome::reset); });
    if (is(f.silent)) return;
    const bool breaks = is(f.broken);
    const int events = 1 + draw(5);
    const Time gap = std::max<Time>(1, answer_time / (events + 1));
    for (int i = 0; i < events; ++i) {
      const int answer_characters = 1 + draw(40);
      at(now_ + gap * (i + 1), [=, this] {
        if (!attempts_in_flight_.contains(id)) return;
        Attempt& attempt = attempts_in_flight_.at(id);
        attempt.answer_characters += static_cast<std::uint64_t>(answer_characters);
        count(id, budgets::cost_of(static_cast<std::uint64_t>(attempt.prompt), 0,
                                   (attempt.answer_characters + 3) / 4, price_of(attempt.model)));
        core::StreamEvent event;
        event.kind = core::EventKind::delta;
        event.text.assign(static_cast<std::size_t>(answer_characters), 'x');
        core_->attempt_event(id, event);
      });
    }
    const std::uint64_t real = static_cast<std::uint64_t>(prompt) + static_cast<std::uint64_t>(draw(5));
    const std::uint64_t kept = static_cast<std::uint64_t>(draw(static_cast<int>(prompt) + 1));
    const std::uint64_t generated = 1 + static_cast<std::uint64_t>(draw(80));
    at(now_ + gap * (events + 1), [=, this] {
      if (!attempts_in_flight_.contains(id)) return;
      if (breaks) return ends(id, Outcome::reset);
      core::StreamEvent usage, end;
      usage.kind = core::EventKind::usage, usage.usage = {real, generated, kept};
      end.kind = core::EventKind::end;
      count(id, budgets::cost_of(real, kept, generated, price_of(attempts_in_flight_.at(id).model)));
      core_->attempt_event(id, usage);
      if (!attempts_in_flight_.contains(id)) return;
      core_->attempt_event(id, end);
      ends(id, Outcome::served);
    });
  }
  bool abandon(core::AttemptId id) override {
    const auto found = attempts_in_flight_.find(id);
    if (found == attempts_in_flight_.end()) return false;
    const bool written = faults.unwritten == 0 || draw(1000) >= faults.unwritten;
    if (!written) count(id, 0);
    attempts_in_flight_.erase(found);
    oracle_of(id).on_outcome(id.number, written ? Outcome::cancelled : Outcome::not_sent);
    return written;
  }

 public:
  std::function<double(core::AttemptId)> prompt_of_;  // prompt tokens of an attempt's request
  std::size_t answer_index_of(RequestId id) const { return answer_index_of_.at({incarnation_, id}); }

 private:
  Settings settings_;
  models::Catalogue catalogue_;
  budgets::Options budgets_;
  budgets::Journal* journal_;
  boost::random::mt19937_64 random_;
  std::multimap<Time, std::function<void()>> events_;
  std::map<core::AttemptId, Attempt> attempts_in_flight_;
  std::vector<std::unique_ptr<Reply>> replies_;
  std::map<std::pair<int, RequestId>, std::size_t> answer_index_of_;
  std::map<RequestKey, EffectOracle> oracles_;
  std::map<int, RequestId> last_request_;
  std::unique_ptr<budgets::FairShare> fair_share_;
  std::unique_ptr<core::RequestManager> core_;
  Time now_ = seconds(1'800'000'000);
  int incarnation_ = 0;
};

}  // namespace thornwick::testing
