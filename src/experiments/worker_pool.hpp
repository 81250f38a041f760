// Runs independent jobs on several threads.
#pragma once

#include <algorithm>
#include <atomic>
#include <thread>
#include <vector>

namespace thornwick::experiments {

// Calls work(index) once for each index below `count`, on up to `threads` threads (0: one for each core), and
// returns when all calls have. The order of the calls is not defined, and calls run concurrently.
template <typename Work>
void for_each_index(std::size_t count, unsigned threads, Work work) {
  const unsigned cores = std::max(1u, std::thread::hardware_concurrency());
  const std::size_t thread_count = threads > 0 ? threads : cores;
  std::atomic<std::size_t> next{0};
  std::vector<std::jthread> workers;
  for (std::size_t i = 0; i < std::min(thread_count, count); ++i) {
    workers.emplace_back([&] {
      for (std::size_t index = next++; index < count; index = next++) work(index);
    });
  }
}

}  // namespace thornwick::experiments
