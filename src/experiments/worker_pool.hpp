// Jobs over threads.
#pragma once

#include <algorithm>
#include <atomic>
#include <thread>
#include <vector>

namespace thornwick::experiments {

// Calls work(i) for each i below `count`, on so many threads (0: as many as there are cores), and waits for
// all. Who does what is left open: results belong into places of their own.
template <typename Work>
void over_all(std::size_t count, unsigned threads, Work work) {
  std::atomic<std::size_t> next{0};
  std::vector<std::jthread> crew;
  const unsigned most = threads > 0 ? threads : std::max(1u, std::thread::hardware_concurrency());
  for (std::size_t i = 0; i < std::min<std::size_t>(most, count); ++i) {
    crew.emplace_back([&] {
      for (std::size_t at = next++; at < count; at = next++) work(at);
    });
  }
}

}  // namespace thornwick::experiments
