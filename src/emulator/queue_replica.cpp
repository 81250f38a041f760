// A replica that is a plain queue: one request after the other, in arrival order. The first token of an
// answer comes with its end.
#include <cmath>
#include <deque>

#include "emulator/engine.hpp"

namespace thornwick::emulator {
namespace {

class QueueReplica final : public Engine {
 public:
  explicit QueueReplica(double speed) : speed_(speed) {}

  bool offer(Time now, const Work& work) override {
    queue_.push_back(work);
    if (queue_.size() == 1) end_ = static_cast<double>(now) + duration_of_front();
    return true;
  }

  Time next_event_at() const override { return queue_.empty() ? kNever : std::llround(end_); }

  void advance(Time now, std::vector<Report>& reports) override {
    while (next_event_at() <= now) {
      const Work& work = queue_.front();
      reports.push_back({work.job, ReportKind::first_token, 0, 0});
      reports.push_back({work.job, ReportKind::completed, 0, work.generated});
      finished_ += work.generated;
      queue_.pop_front();
      // The end is not rounded, because rounding errors would add up over a busy period.
      if (!queue_.empty()) end_ += duration_of_front();
    }
  }

  void set_speed_factor(Time now, double speed_factor) override {
    if (!queue_.empty())
      end_ = static_cast<double>(now) + (end_ - static_cast<double>(now)) * speed_factor_ / speed_factor;
    speed_factor_ = speed_factor;
  }

  void clear() override { queue_.clear(); }

  double generated_by(Time, Job) const override { return 0; }

  void evict_cached(double) override {}

  EngineLoad load() const override {
    const std::size_t running = queue_.empty() ? 0 : 1;
    return {running, queue_.size() - running, 0, 0, 0, finished_};
  }

 private:
  double duration_of_front() const { return queue_.front().size / (speed_ * speed_factor_); }

  double speed_;
  double speed_factor_ = 1;
  double end_ = 0;  // time, in microseconds, at which the first request of the queue is complete
  double finished_ = 0;
  std::deque<Work> queue_;
};

}  // namespace

std::unique_ptr<Engine> make_queue_replica(double speed) { return std::make_unique<QueueReplica>(speed); }

}  // namespace thornwick::emulator
