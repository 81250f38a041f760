// Loaded into a process of the fault-injection harness (LD_PRELOAD). Delays each durable write by
// THORNWICK_SLOW_DISK_MS milliseconds.
#include <dlfcn.h>
#include <sys/types.h>
#include <time.h>

#include <cstdlib>

namespace {

void wait() {
  const char* text = std::getenv("THORNWICK_SLOW_DISK_MS");
  const long ms = text == nullptr ? 0 : std::atol(text);
  const timespec time{ms / 1000, ms % 1000 * 1'000'000};
  nanosleep(&time, nullptr);
}

template <typename Call, typename... Arguments>
int after_waiting(const char* name, Arguments... arguments) {
  static const auto real = reinterpret_cast<Call>(dlsym(RTLD_NEXT, name));
  wait();
  return real(arguments...);
}

}  // namespace

extern "C" {
int fsync(int fd) { return after_waiting<int (*)(int)>("fsync", fd); }
int fdatasync(int fd) { return after_waiting<int (*)(int)>("fdatasync", fd); }
int msync(void* at, size_t size, int flags) {
  return after_waiting<int (*)(void*, size_t, int)>("msync", at, size, flags);
}
}
