// Loaded into a process under test (LD_PRELOAD). Makes its system calls fail as the fault table demands. Each
// wrapper has the signature of the C library's function and calls that function, unless a rule applies.
#include <dlfcn.h>
#include <fcntl.h>
#include <poll.h>
#include <sys/mman.h>
#include <sys/socket.h>
#include <sys/stat.h>
#include <sys/time.h>
#include <sys/uio.h>
#include <time.h>
#include <unistd.h>

#include <algorithm>
#include <cerrno>
#include <cstdarg>
#include <cstdint>
#include <cstdlib>
#include <optional>

#include "fault_table.hpp"

namespace {

using thornwick::testing::FaultRule;
using thornwick::testing::FaultTable;
using thornwick::testing::kAlways;
using thornwick::testing::kShortCount;
using thornwick::testing::SocketSide;
using thornwick::testing::SystemCall;

constexpr int kMaxDescriptors = 4096;
constexpr std::int64_t kMicrosecondsPerSecond = 1'000'000;
constexpr std::int64_t kNanosecondsPerMicrosecond = 1'000;

// The kind of each descriptor that this process opened with the functions below.
std::atomic<SocketSide> sides[kMaxDescriptors];

template <typename Function>
Function real(const char* name) {
  return reinterpret_cast<Function>(dlsym(RTLD_NEXT, name));
}

FaultTable* map_table() {
  const char* path = std::getenv(thornwick::testing::kFaultTableVariable);
  if (path == nullptr) return nullptr;
  const int fd = real<int (*)(const char*, int, ...)>("open")(path, O_RDWR | O_CLOEXEC);
  if (fd < 0) return nullptr;
  void* at = mmap(nullptr, sizeof(FaultTable), PROT_READ | PROT_WRITE, MAP_SHARED, fd, 0);
  ::close(fd);
  return at == MAP_FAILED ? nullptr : static_cast<FaultTable*>(at);
}

FaultTable* table() {
  static FaultTable* const mapped = map_table();
  return mapped;
}

// splitmix64 (Steele, Lea and Flood 2014): any thread may draw.
std::uint64_t draw(FaultTable& faults) {
  std::uint64_t value = faults.random.fetch_add(0x9e3779b97f4a7c15ULL) + 0x9e3779b97f4a7c15ULL;
  value = (value ^ (value >> 30)) * 0xbf58476d1ce4e5b9ULL;
  value = (value ^ (value >> 27)) * 0x94d049bb133111ebULL;
  return value ^ (value >> 31);
}

SocketSide side_of(int fd) { return fd >= 0 && fd < kMaxDescriptors ? sides[fd].load() : SocketSide::any; }

void set_side(int fd, SocketSide side) {
  if (fd >= 0 && fd < kMaxDescriptors) sides[fd] = side;
}

// Returns the error of the first rule that applies to this call, if there is one.
std::optional<int> fault_of(SystemCall call, SocketSide side = SocketSide::any) {
  FaultTable* faults = table();
  if (faults == nullptr) return std::nullopt;
  for (FaultRule& rule : faults->rules) {
    if (rule.call.load() != call) continue;
    const SocketSide rule_side = rule.side.load();
    if (rule_side != SocketSide::any && rule_side != side) continue;
    if (draw(*faults) % kAlways >= rule.per_million.load()) continue;
    ++rule.injected;
    return rule.error.load();
  }
  return std::nullopt;
}

// Returns whether the call has to fail, and sets errno if so.
bool fails(SystemCall call, SocketSide side = SocketSide::any) {
  const auto error = fault_of(call, side);
  if (!error || *error == kShortCount) return false;
  errno = *error;
  return true;
}

struct Transfer {
  bool failed = false;
  std::size_t size = 0;  // number of bytes to pass to the C library's function
};

Transfer plan_transfer(SystemCall call, SocketSide side, std::size_t size) {
  const auto error = fault_of(call, side);
  if (!error) return {.size = size};
  if (*error == kShortCount)
    return {.size = call == SystemCall::write ? (size + 1) / 2 : std::min<std::size_t>(size, 1)};
  errno = *error;
  return {.failed = true};
}

bool is_tcp(int fd) { return side_of(fd) != SocketSide::any; }

bool is_file(int fd) {
  struct stat about {};
  return fstat(fd, &about) == 0 && S_ISREG(about.st_mode);
}

std::int64_t wall_clock_step() {
  FaultTable* faults = table();
  return faults == nullptr ? 0 : faults->wall_clock_step_us.load();
}

int open_file(const char* name, const char* path, int flags, mode_t mode) {
  if ((flags & O_ACCMODE) != O_RDONLY && fails(SystemCall::open)) return -1;
  return real<int (*)(const char*, int, ...)>(name)(path, flags, mode);
}

int accepted(int fd) {
  set_side(fd, SocketSide::accepted);
  return fd;
}

}  // namespace

extern "C" {

int accept(int fd, sockaddr* address, socklen_t* size) {
  if (fails(SystemCall::accept)) return -1;
  return accepted(real<int (*)(int, sockaddr*, socklen_t*)>("accept")(fd, address, size));
}

int accept4(int fd, sockaddr* address, socklen_t* size, int flags) {
  if (fails(SystemCall::accept)) return -1;
  return accepted(real<int (*)(int, sockaddr*, socklen_t*, int)>("accept4")(fd, address, size, flags));
}

int socket(int domain, int type, int protocol) {
  if (domain == AF_INET && fails(SystemCall::socket)) return -1;
  const int fd = real<int (*)(int, int, int)>("socket")(domain, type, protocol);
  set_side(fd, SocketSide::any);
  return fd;
}

int connect(int fd, const sockaddr* address, socklen_t size) {
  const bool tcp = address->sa_family == AF_INET;
  if (tcp && fails(SystemCall::connect)) return -1;
  if (tcp) set_side(fd, SocketSide::connected);
  return real<int (*)(int, const sockaddr*, socklen_t)>("connect")(fd, address, size);
}

ssize_t recv(int fd, void* bytes, size_t size, int flags) {
  Transfer transfer{.size = size};
  if (is_tcp(fd) && (flags & MSG_PEEK) == 0) transfer = plan_transfer(SystemCall::receive, side_of(fd), size);
  if (transfer.failed) return -1;
  return real<ssize_t (*)(int, void*, size_t, int)>("recv")(fd, bytes, transfer.size, flags);
}

ssize_t send(int fd, const void* bytes, size_t size, int flags) {
  Transfer transfer{.size = size};
  if (is_tcp(fd)) transfer = plan_transfer(SystemCall::send, side_of(fd), size);
  if (transfer.failed) return -1;
  return real<ssize_t (*)(int, const void*, size_t, int)>("send")(fd, bytes, transfer.size, flags);
}

int poll(pollfd* queries, nfds_t count, int timeout) {
  if (timeout != 0 && fails(SystemCall::poll)) return -1;
  return real<int (*)(pollfd*, nfds_t, int)>("poll")(queries, count, timeout);
}

int close(int fd) {
  set_side(fd, SocketSide::any);
  return real<int (*)(int)>("close")(fd);
}

int open(const char* path, int flags, ...) {
  va_list more;
  va_start(more, flags);
  const auto mode = static_cast<mode_t>(va_arg(more, int));
  va_end(more);
  return open_file("open", path, flags, mode);
}

int open64(const char* path, int flags, ...) {
  va_list more;
  va_start(more, flags);
  const auto mode = static_cast<mode_t>(va_arg(more, int));
  va_end(more);
  return open_file("open64", path, flags, mode);
}

ssize_t write(int fd, const void* bytes, size_t size) {
  Transfer transfer{.size = size};
  if (is_file(fd)) transfer = plan_transfer(SystemCall::write, SocketSide::any, size);
  if (transfer.failed) return -1;
  return real<ssize_t (*)(int, const void*, size_t)>("write")(fd, bytes, transfer.size);
}

ssize_t pwrite(int fd, const void* bytes, size_t size, off_t at) {
  const Transfer transfer = plan_transfer(SystemCall::write, SocketSide::any, size);
  if (transfer.failed) return -1;
  return real<ssize_t (*)(int, const void*, size_t, off_t)>("pwrite")(fd, bytes, transfer.size, at);
}

ssize_t pwrite64(int fd, const void* bytes, size_t size, off_t at) {
  const Transfer transfer = plan_transfer(SystemCall::write, SocketSide::any, size);
  if (transfer.failed) return -1;
  return real<ssize_t (*)(int, const void*, size_t, off_t)>("pwrite64")(fd, bytes, transfer.size, at);
}

ssize_t writev(int fd, const iovec* parts, int count) {
  if (is_file(fd) && fails(SystemCall::write)) return -1;
  return real<ssize_t (*)(int, const iovec*, int)>("writev")(fd, parts, count);
}

ssize_t pwritev(int fd, const iovec* parts, int count, off_t at) {
  if (fails(SystemCall::write)) return -1;
  return real<ssize_t (*)(int, const iovec*, int, off_t)>("pwritev")(fd, parts, count, at);
}

int fsync(int fd) { return fails(SystemCall::sync) ? -1 : real<int (*)(int)>("fsync")(fd); }
int fdatasync(int fd) { return fails(SystemCall::sync) ? -1 : real<int (*)(int)>("fdatasync")(fd); }
int msync(void* at, size_t size, int flags) {
  return fails(SystemCall::sync) ? -1 : real<int (*)(void*, size_t, int)>("msync")(at, size, flags);
}

int rename(const char* from, const char* to) {
  return fails(SystemCall::rename) ? -1 : real<int (*)(const char*, const char*)>("rename")(from, to);
}

int clock_gettime(clockid_t clock, timespec* time) {
  const int result = real<int (*)(clockid_t, timespec*)>("clock_gettime")(clock, time);
  const std::int64_t step = clock == CLOCK_REALTIME ? wall_clock_step() : 0;
  if (result != 0 || step == 0) return result;
  const std::int64_t micros =
      time->tv_sec * kMicrosecondsPerSecond + time->tv_nsec / kNanosecondsPerMicrosecond + step;
  time->tv_sec = micros / kMicrosecondsPerSecond;
  time->tv_nsec = micros % kMicrosecondsPerSecond * kNanosecondsPerMicrosecond;
  return 0;
}

int gettimeofday(timeval* time, void* zone) {
  const int result = real<int (*)(timeval*, void*)>("gettimeofday")(time, zone);
  const std::int64_t micros = time->tv_sec * kMicrosecondsPerSecond + time->tv_usec + wall_clock_step();
  time->tv_sec = micros / kMicrosecondsPerSecond;
  time->tv_usec = micros % kMicrosecondsPerSecond;
  return result;
}

time_t time(time_t* result) {
  timespec now{};
  clock_gettime(CLOCK_REALTIME, &now);
  if (result != nullptr) *result = now.tv_sec;
  return now.tv_sec;
}

}  // extern "C"
