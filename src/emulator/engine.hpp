// What computes in a replica. An engine owns its queue and its memory and is told the time; the world around
// it knows networks and connections. Neither draws a random number, so a replica does the same for every
// policy.
#pragma once

#include <cstdint>
#include <limits>
#include <memory>
#include <vector>

#include "thornwick/routing_policy.hpp"

namespace thornwick::emulator {

inline constexpr Time kNever = std::numeric_limits<Time>::max();

using Job = std::uint64_t;  // the caller's name for it

struct Work {
  Job job = 0;
  std::uint64_t session = 0, prefix = 0;  // 0: none
  double prompt = 0, beginning = 0;       // tokens; the beginning is shared with other sessions
  double generated = 0;                   // tokens that the answer will have, at least 1
  double size = 0;                        // of a plain queue: microseconds at speed 1
  Time due = 0;                           // where expired work is dropped, it is not begun after this
};

enum class Said { began, done, dropped };  // the first token; the last one; not done at all
struct Report {
  Job job = 0;
  Said said = Said::began;
  double kept = 0;       // prompt tokens that had not to be read
  double generated = 0;  // done: tokens of the whole answer
};

struct Load {
  std::size_t running = 0, waiting = 0;
  double unread = 0;          // prompt tokens that wait or are being read
  double kept = 0, held = 0;  // tokens kept of earlier prompts; held by what runs
  double finished = 0;        // tokens of all answers that were made to their ends
};

class Engine {
 public:
  virtual ~Engine() = default;
  // False: there is no room, and the work is rejected unseen.
  virtual bool offer(Time now, const Work& work) = 0;
  // When run() has something to do; kNever while nothing is there. Changes with every call but load().
  virtual Time next() const = 0;
  // Brings all up to `now` and adds what happened.
  virtual void run(Time now, std::vector<Report>& reports) = 0;
  // Multiple of the listed speed, from now on.
  virtual void set_pace(Time now, double pace) = 0;
  // The process dies: all is lost, and nobody is told.
  virtual void clear() = 0;
  // Tokens that this running job has by now; 0 if it does not run, or its prompt is not read.
  virtual double made_by(Time now, Job job) const = 0;
  // The cached prompts of these go void; of `modulus` sessions and beginnings the ones below `part` of it.
  virtual void void_cached(double part) = 0;
  virtual Load load() const = 0;
};

// A language model's server (docs/experiments.md, "Replicas").
struct ModelLimits {
  std::size_t slots = 64, queue = 64;
  double memory_tokens = 300'000;
  double chunk = 4096;           // prompt tokens read in one step, at most
  double step_us = 14'000;       // of a step without anything in it
  double per_sequence_us = 200;  // for each request that runs
  double context_us_per_k = 50;  // for each 1,000 tokens of their contexts
  double read_per_s = 18'000;    // prompt tokens
  double block = 32;             // kept prompts count in whole blocks
  bool keeps_made = true;        // answers are kept, not only prompts
  bool drops_expired = false;
};
std::unique_ptr<Engine> make_model_replica(const ModelLimits& limits, double speed);

// A server in arrival order without limits: the host of the paper.
std::unique_ptr<Engine> make_queue_replica(double speed);

}  // namespace thornwick::emulator
