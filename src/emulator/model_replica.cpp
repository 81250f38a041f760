// A replica that runs a language model in steps. Each step reads up to a set number of prompt tokens, first
// come first served, and generates one token for every request whose prompt is read. A step takes longer the
// more requests run, the longer their contexts are and the more it reads.
//
// The durations of steps in which nothing is read follow from each other by a closed form. A run of such
// steps is one event, until a request ends, a new one arrives, or memory runs out: the cost of an emulated
// request does not grow with the length of its answer.
#include <algorithm>
#include <cmath>
#include <deque>
#include <utility>

#include "emulator/engine.hpp"
#include "emulator/prompt_cache.hpp"
#include "random/hashing.hpp"

namespace thornwick::emulator {
namespace {

constexpr double kMaxSteps = 1e6;  // maximum number of steps that are planned at once

class ModelReplica final : public Engine {
 public:
  ModelReplica(const ModelLimits& limits, double speed) : limits_(limits), speed_(speed) {}

  bool offer(Time now, const Work& work) override {
    if (running_.size() + waiting_.size() >= limits_.slots + limits_.queue) return false;
    waiting_.push_back({.work = work});
    unread_ += work.prompt;
    if (run_end_ == kNever) {
      plan_run(now, nullptr);
      return true;
    }
    // The run ends with the current step, so that the new request is admitted then.
    if (steps_ > 1 && running_.size() < limits_.slots) cut_run(now);
    return true;
  }

  Time next_event_at() const override { return run_end_; }

  void advance(Time now, std::vector<Report>& reports) override {
    while (run_end_ <= now) {
      const Time end = run_end_;
      finish_run(reports);
      plan_run(end, &reports);
    }
  }

  void set_speed_factor(Time now, double speed_factor) override {
    speed_factor_ = speed_factor;
    if (run_end_ != kNever && steps_ > 1) cut_run(now);  // the current step keeps its speed
  }

  void clear() override {
    running_.clear();
    waiting_.clear();
    cache_.clear();
    held_ = 0;
    unread_ = 0;
    run_end_ = kNever;
  }

  double generated_by(Time now, Job job) const override {
    for (const auto& sequence : running_) {
      if (sequence.work.job != job) continue;
      if (sequence.unread > 0) return 0;
      return sequence.generated + (now >= run_end_ ? steps_ : std::floor(steps_by(now)));
    }
    return 0;
  }

  void evict_cached(double fraction) override {
    cache_.erase_if([fraction](std::uint64_t key) { return unit_interval(mix(key)) < fraction; });
  }

  EngineLoad load() const override {
    return {running_.size(), waiting_.size(), unread_, cache_.tokens(), held_, finished_};
  }

 private:
  struct Sequence {
    Work work;
    double unread = 0;     // prompt tokens that have not been read yet
    double generated = 0;  // tokens of the answer so far
    double context = 0;    // tokens of the context in memory
    double cached = 0;     // prompt tokens that were found in the cache at the first admission
    bool first_token_reported = false;
  };
  // A request that waits. Only a preempted one has values other than 0 and false next to its work.
  struct Waiting {
    Work work;
    double generated = 0;
    double cached = 0;
    bool first_token_reported = false;
  };

  // Plans the next run of steps, at whose end the running requests may change. `reports` is null when offer()
  // calls, in which case no work expires.
  void plan_run(Time now, std::vector<Report>* reports) {
    admit(now, reports);
    run_start_ = now;
    if (running_.empty()) {
      run_end_ = kNever;
      return;
    }
    read_ = 0;
    for (const auto& sequence : running_) read_ += std::min(sequence.unread, limits_.chunk - read_);
    steps_ = read_ > 0 ? 1 : steps_ahead();
    first_us_ = (limits_.step_us + limits_.per_sequence_us * static_cast<double>(running_.size()) +
                 limits_.context_us_per_k * held_ / 1000 + 1e6 * read_ / limits_.read_per_s) /
                (speed_ * speed_factor_);
    growth_us_ =
        limits_.context_us_per_k * static_cast<double>(running_.size()) / 1000 / (speed_ * speed_factor_);
    run_end_ = now + std::max<Time>(1, std::llround(duration_of(steps_)));
  }

  // Returns the number of steps until the first request ends or the memory is full.
  double steps_ahead() const {
    double steps = kMaxSteps;
    for (const auto& sequence : running_)
      steps = std::min(steps, sequence.work.generated - sequence.generated);
    const double free_steps = (limits_.memory_tokens - held_) / static_cast<double>(running_.size());
    return std::max(1.0, std::floor(std::min(steps, free_steps)));
  }

  // Returns the duration of a number of steps in microseconds. Each step is longer than the previous one,
  // because every context has grown by a token.
  double duration_of(double steps) const { return steps * first_us_ + growth_us_ * steps * (steps - 1) / 2; }

  // Returns the inverse of duration_of(): the number of steps that are done at `now`, including the fraction
  // of the current one.
  double steps_by(Time now) const {
    const auto elapsed = static_cast<double>(now - run_start_);
    const double half_growth = growth_us_ / 2;
    const double linear = first_us_ - half_growth;
    if (half_growth < 1e-9) return elapsed / linear;
    return (std::sqrt(linear * linear + 4 * half_growth * elapsed) - linear) / (2 * half_growth);
  }

  // Shortens the run so that it ends with the step that is current at `now`.
  void cut_run(Time now) {
    const double steps = std::clamp(std::ceil(steps_by(now)), 1.0, steps_);
    if (steps >= steps_) return;
    steps_ = steps;
    run_end_ = std::max(now, run_start_ + std::max<Time>(1, std::llround(duration_of(steps_))));
  }

  void finish_run(std::vector<Report>& reports) {
    double unassigned = read_;
    for (auto& sequence : running_) {
      const double tokens_read = std::min(sequence.unread, unassigned);
      unassigned -= tokens_read;
      unread_ -= tokens_read;
      const bool was_read = sequence.unread <= 0;
      sequence.unread -= tokens_read;
      if (sequence.unread > 0) continue;
      const double generated = was_read ? steps_ : 1;
      sequence.generated += generated;
      sequence.context += generated;
      held_ += generated;
      if (!std::exchange(sequence.first_token_reported, true))
        reports.push_back({sequence.work.job, ReportKind::first_token, sequence.cached, 0});
      // Other sessions find the prefix in the cache once it has been read.
      if (!was_read) cache_.insert(sequence.work.prefix, sequence.work.prefix_tokens);
    }
    std::erase_if(running_, [&](const Sequence& sequence) { return complete(sequence, reports); });
    make_room();
  }

  // Returns whether the sequence is complete. Reports a complete sequence and caches its context.
  bool complete(const Sequence& sequence, std::vector<Report>& reports) {
    if (sequence.unread > 0 || sequence.generated < sequence.work.generated) return false;
    reports.push_back({sequence.work.job, ReportKind::completed, sequence.cached, sequence.generated});
    finished_ += sequence.generated;
    held_ -= sequence.context;
    cache_.insert(sequence.work.session, limits_.caches_generated ? sequence.context : sequence.work.prompt);
    return true;
  }

  void make_room() {
    cache_.shrink_to(limits_.memory_tokens - held_);
    // Preempts the newest sequence, whose context is read again later.
    while (held_ > limits_.memory_tokens && running_.size() > 1) {
      Sequence& newest = running_.back();
      held_ -= newest.context;
      unread_ += newest.work.prompt + newest.generated - newest.unread;
      waiting_.push_front({newest.work, newest.generated, newest.cached, newest.first_token_reported});
      running_.pop_back();
    }
  }

  void admit(Time now, std::vector<Report>* reports) {
    while (!waiting_.empty() && running_.size() < limits_.slots) {
      const Waiting& next = waiting_.front();
      const double prompt = next.work.prompt + next.generated;
      if (limits_.drops_expired && next.work.deadline < now && reports != nullptr) {
        reports->push_back({next.work.job, ReportKind::dropped, 0, 0});
        unread_ -= prompt;
        waiting_.pop_front();
        continue;
      }
      if (!running_.empty() && held_ + prompt > limits_.memory_tokens) return;
      start(next, prompt);
      waiting_.pop_front();
      cache_.shrink_to(limits_.memory_tokens - held_);
    }
  }

  void start(const Waiting& next, double prompt) {
    const Work& work = next.work;
    const double found =
        std::max(cache_.find(work.session), std::min(cache_.find(work.prefix), work.prefix_tokens));
    // The last token of the prompt is always read, because the answer's first token is computed from the last
    // token.
    const double cached = std::floor(std::min(found, prompt - 1) / limits_.block) * limits_.block;
    cache_.remove(work.session);
    unread_ -= cached;
    held_ += prompt;
    running_.push_back({work, prompt - cached, next.generated, prompt,
                        next.first_token_reported ? next.cached : cached, next.first_token_reported});
  }

  ModelLimits limits_;
  double speed_;
  double speed_factor_ = 1;
  std::vector<Sequence> running_;  // running sequences in the order of their admission
  std::deque<Waiting> waiting_;
  PromptCache cache_;
  double held_ = 0;    // tokens of the running contexts
  double unread_ = 0;  // unread prompt tokens of running and waiting requests
  double finished_ = 0;
  // The current run of steps.
  Time run_start_ = 0;
  Time run_end_ = kNever;  // kNever: the replica is idle
  double steps_ = 1;
  double read_ = 0;       // number of prompt tokens that the run reads
  double first_us_ = 1;   // duration of the run's first step in microseconds
  double growth_us_ = 0;  // microseconds by which each step is longer than the previous one
};

}  // namespace

std::unique_ptr<Engine> make_model_replica(const ModelLimits& limits, double speed) {
  return std::make_unique<ModelReplica>(limits, speed);
}

}  // namespace thornwick::emulator
