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

#include "core/request_manager.hpp"
#include "models/pools.hpp"

namespace thornwick::testing {

using budgets::Units;

// How many of 1,000 attempts end in each way; the others are served.
struct Faults {
  int full = 0, rejected = 0, error = 0, reset = 0, broken = 0, silent = 0;
  int gone = 0;  // of 1,000 requests, those whose client disconnects
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
    quota_service = std::make_unique<budgets::QuotaService>(budgets_, journal_);
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
      return std::make_unique<budgets::AdmissionController>(core::make_routing_policy(s, now),
                                                            *quota_service);
    };
    auto decider = std::make_unique<models::Pools>(options, now_);
    pools = decider.get();
    core_ = std::make_unique<core::RequestManager>(settings_, core::Dependencies{*this, *this, *this, *this},
                                                   std::move(decider));
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
    auto reply = std::make_unique<Reply>(*this, answer_index);
    Reply& its = *reply;
    replies_.push_back(std::move(reply));
    // The core numbers the requests of each start from 1, and may launch an attempt before admit() returns.
    class_of_[{incarnation_, ++last_request_[incarnation_]}] = request.priority_class;
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
  std::size_t open() const { return core_->open_requests(); }
  int draw(int below) { return boost::random::uniform_int_distribution<int>(0, below - 1)(random_); }
  Units counted_units() const {
    Units sum = 0;
    for (const auto& replica : replicas) sum += replica.counted;
    return sum;
  }

  std::vector<Answer> answers;
  std::unique_ptr<budgets::QuotaService> quota_service;
  models::Pools* pools = nullptr;
  Units charged = 0, units_in_flight_at_kill = 0;
  std::map<ReplicaId, Units> charged_by_replica;
  std::map<std::tuple<int, RequestId, int>, int> charges;
  std::uint64_t watch_calls = 0;  // calls to watch discovery
  std::uint64_t concurrent_attempts = 0, after_first = 0,
                excess_attempts = 0;  // violations of the guarantees
  std::uint64_t repeats = 0;          // attempts at requests of which an earlier attempt may have run
  std::uint64_t harmful_repeats = 0;  // those that no replica discards, by the rule of is_harmful()

 private:
  struct Reply final : core::Reply {
    Reply(Simulation& its, std::size_t at) : simulation(its), answer_index(at) {}
    Answer& answer() { return simulation.answers[answer_index]; }
    void begin_answer(std::uint16_t model, const Allowance*) override { answer().model = model; }
    void send_event(const core::StreamEvent&) override { ++answer().events; }
    void finish() override { answer().over = answer().served = true; }
    void abort_answer() override { answer().over = answer().broken = true; }
    void reject(Time retry_after) override {
      answer().over = answer().overload_rejected = true, answer().retry_after = retry_after;
    }
    void fail(core::FailureReason, Time) override { answer().over = answer().failed = true; }
    void reject_over_limit(const Allowance& reason, Time retry_after) override {
      answer().over = true, answer().rejected = reason, answer().retry_after = retry_after;
    }
    Simulation& simulation;
    std::size_t answer_index;
  };
  struct Attempt {
    ReplicaId replica = 0;
    std::uint16_t model = 0;
    Units counted = 0;  // units that the replica has counted for it so far
    double prompt = 0;
    std::uint64_t answer_characters = 0;
  };

  // An attempt that may have run.
  struct PossibleRun {
    core::AttemptId id;
    Endpoint replica;
    Time launched_at = 0;
  };

  // Rule 2 of the protocol: after an attempt that may have run, a request of an unsafe class must not be sent
  // again, and one of a keyed class only within the window of that attempt and among replicas of its group.
  bool is_harmful(const ClassSettings& of, const PossibleRun& earlier, const Endpoint& next) const {
    if (of.effect != Effect::keyed) return of.effect == Effect::unsafe;
    if (now_ >= earlier.launched_at + of.dedup_window) return true;
    if (of.dedup_scope == DedupScope::all) return false;
    if (earlier.replica.zone != next.zone) return true;
    return of.dedup_scope == DedupScope::cell && earlier.replica.cell != next.cell;
  }
  void check_repeat(core::AttemptId id, const Endpoint& next) {
    auto& earlier = possible_runs_[{incarnation_, id.request_id}];
    const ClassSettings& of = settings_.classes.at(class_of_.at({incarnation_, id.request_id}));
    repeats += earlier.empty() ? 0 : 1;
    const bool harmful = std::any_of(earlier.begin(), earlier.end(),
                                     [&](const PossibleRun& run) { return is_harmful(of, run, next); });
    harmful_repeats += harmful ? 1 : 0;
    earlier.push_back({id, next, now_});
  }
  void note_never_ran(core::AttemptId id) {
    std::erase_if(possible_runs_[{incarnation_, id.request_id}],
                  [&](const PossibleRun& run) { return run.id == id; });
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
        if (attempts_in_flight_.contains(id)) {
          count(id, 0);
          note_never_ran(id);
        }
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
  bool abandon(core::AttemptId id) override { return attempts_in_flight_.erase(id) > 0; }

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
  std::map<std::pair<int, RequestId>, std::vector<PossibleRun>> possible_runs_;
  std::map<std::pair<int, RequestId>, std::uint8_t> class_of_;
  std::map<int, RequestId> last_request_;
  std::unique_ptr<core::RequestManager> core_;
  Time now_ = seconds(1'800'000'000);
  int incarnation_ = 0;
};

}  // namespace thornwick::testing
