// Stand-ins for clients, workers, discovery and the platform, for the cases 6 to 10 of this review. Plain
// POSIX sockets and threads, one thread for each connection; every address is a loopback address with a port
// that the kernel chose. A case includes this file and is one program.
#pragma once

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <signal.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <atomic>
#include <cerrno>
#include <chrono>
#include <condition_variable>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <fstream>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <stdexcept>
#include <string>
#include <thread>
#include <utility>
#include <vector>

namespace standin {

// Exit statuses of a case.
inline constexpr int kHeld = 0;
inline constexpr int kBroken = 1;
inline constexpr int kCouldNotRun = 2;

// Thrown where the case cannot run: the case then ends with kCouldNotRun.
struct CannotRun : std::runtime_error {
  using std::runtime_error::runtime_error;
};

inline double now_s() {
  static const auto start = std::chrono::steady_clock::now();
  return std::chrono::duration<double>(std::chrono::steady_clock::now() - start).count();
}

inline void sleep_s(double seconds) {
  if (seconds > 0) std::this_thread::sleep_for(std::chrono::duration<double>(seconds));
}

inline bool wait_until(double seconds, const std::function<bool()>& condition) {
  const double end = now_s() + seconds;
  while (!condition()) {
    if (now_s() >= end) return false;
    sleep_s(0.005);
  }
  return true;
}

// The file record.txt: what was sent, answered and run, with the time in milliseconds since the start.
class Record {
 public:
  static Record& instance() {
    static Record record;
    return record;
  }
  void open(const std::string& path) {
    const std::lock_guard lock(mutex_);
    file_.open(path, std::ios::trunc);
  }
  void line(const std::string& text) {
    const std::lock_guard lock(mutex_);
    char stamp[32];
    std::snprintf(stamp, sizeof stamp, "%9.1f ", 1000 * now_s());
    file_ << stamp << text << std::endl;
  }

 private:
  std::mutex mutex_;
  std::ofstream file_;
};

inline void note(const std::string& text) { Record::instance().line(text); }

// A connected or listening TCP socket.
class Socket {
 public:
  Socket() = default;
  explicit Socket(int descriptor) : descriptor_(descriptor) {
    const int on = 1;
    setsockopt(descriptor_, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
  }
  Socket(Socket&& other) noexcept
      : descriptor_(std::exchange(other.descriptor_, -1)), buffer_(std::move(other.buffer_)) {}
  Socket& operator=(Socket&& other) noexcept {
    close();
    descriptor_ = std::exchange(other.descriptor_, -1);
    buffer_ = std::move(other.buffer_);
    return *this;
  }
  ~Socket() { close(); }

  bool open() const { return descriptor_ >= 0; }
  int descriptor() const { return descriptor_; }
  void close() {
    if (descriptor_ >= 0) ::close(std::exchange(descriptor_, -1));
  }
  void shut_down_both() const {
    if (descriptor_ >= 0) ::shutdown(descriptor_, SHUT_RDWR);
  }
  // Closes the connection with a reset.
  void reset() {
    const linger immediately{1, 0};
    setsockopt(descriptor_, SOL_SOCKET, SO_LINGER, &immediately, sizeof immediately);
    close();
  }
  bool write(const std::string& bytes) const {
    std::size_t sent = 0;
    while (sent < bytes.size()) {
      const ssize_t count = ::send(descriptor_, bytes.data() + sent, bytes.size() - sent, MSG_NOSIGNAL);
      if (count < 0 && errno == EINTR) continue;
      if (count <= 0) return false;
      sent += static_cast<std::size_t>(count);
    }
    return true;
  }

  enum class Read { bytes, ended, timed_out };
  // Reads what has come, at most until `deadline` (now_s()).
  Read read(std::string& out, double deadline) const {
    for (;;) {
      const double left = deadline - now_s();
      pollfd query{descriptor_, POLLIN, 0};
      const int ready = ::poll(&query, 1, left <= 0 ? 0 : static_cast<int>(1000 * left) + 1);
      if (ready < 0 && errno == EINTR) continue;
      if (ready == 0) return Read::timed_out;
      char bytes[65536];
      const ssize_t count = ::recv(descriptor_, bytes, sizeof bytes, 0);
      if (count < 0 && errno == EINTR) continue;
      if (count <= 0) return Read::ended;
      out.append(bytes, static_cast<std::size_t>(count));
      return Read::bytes;
    }
  }
  std::string& buffer() { return buffer_; }

 private:
  int descriptor_ = -1;
  std::string buffer_;  // read and not used yet
};

inline sockaddr_in loopback(int port) {
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  address.sin_port = htons(static_cast<std::uint16_t>(port));
  return address;
}

inline int port_of(int descriptor) {
  sockaddr_in address{};
  socklen_t length = sizeof address;
  getsockname(descriptor, reinterpret_cast<sockaddr*>(&address), &length);
  return ntohs(address.sin_port);
}

inline std::string address_of(int port) { return "127.0.0.1:" + std::to_string(port); }

// Returns a port that nobody listens at now.
inline int free_port(int type = SOCK_STREAM) {
  const int descriptor = ::socket(AF_INET, type | SOCK_CLOEXEC, 0);
  auto address = loopback(0);
  if (::bind(descriptor, reinterpret_cast<sockaddr*>(&address), sizeof address) != 0)
    throw CannotRun("no free port");
  const int port = port_of(descriptor);
  ::close(descriptor);
  return port;
}

inline Socket connect_to(int port) {
  Socket socket(::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0));
  auto address = loopback(port);
  if (::connect(socket.descriptor(), reinterpret_cast<sockaddr*>(&address), sizeof address) != 0)
    return Socket();
  return socket;
}

// A head of HTTP/1.1 with its body.
struct Message {
  std::string first_line;
  std::vector<std::pair<std::string, std::string>> headers;
  std::string body;

  std::string header(const std::string& name) const {
    for (const auto& [key, value] : headers) {
      if (key.size() == name.size() && std::equal(key.begin(), key.end(), name.begin(), [](char a, char b) {
            return std::tolower(a) == std::tolower(b);
          }))
        return value;
    }
    return {};
  }
  int status() const { return first_line.size() > 12 ? std::atoi(first_line.c_str() + 9) : 0; }
};

// Takes a head from the buffer; nothing if its end has not come yet.
inline std::optional<Message> take_head(std::string& buffer) {
  const auto end = buffer.find("\r\n\r\n");
  if (end == std::string::npos) return std::nullopt;
  Message message;
  std::string text = buffer.substr(0, end + 2);
  buffer.erase(0, end + 4);
  bool first = true;
  while (!text.empty()) {
    const auto line_end = text.find("\r\n");
    const std::string line = text.substr(0, line_end);
    text.erase(0, line_end + 2);
    if (std::exchange(first, false)) {
      message.first_line = line;
      continue;
    }
    const auto colon = line.find(':');
    std::string value = colon == std::string::npos ? "" : line.substr(colon + 1);
    while (!value.empty() && value.front() == ' ') value.erase(0, 1);
    message.headers.emplace_back(line.substr(0, colon), value);
  }
  return message;
}

// Reads a request whose body has a Content-Length. Nothing if the connection ended, or `stop` was set.
inline std::optional<Message> read_request(Socket& socket, const std::atomic<bool>& stop) {
  std::optional<Message> head;
  for (;;) {
    if (!head) head = take_head(socket.buffer());
    if (head) {
      const auto length = static_cast<std::size_t>(std::atoll(head->header("Content-Length").c_str()));
      if (socket.buffer().size() >= length) {
        head->body = socket.buffer().substr(0, length);
        socket.buffer().erase(0, length);
        return head;
      }
    }
    const auto read = socket.read(socket.buffer(), now_s() + 0.1);
    if (stop || read == Socket::Read::ended) return std::nullopt;
  }
}

// A server: a thread accepts, and each connection has a thread that calls `serve`.
class Server {
 public:
  using Serve = std::function<void(Socket& socket, const std::atomic<bool>& stop)>;

  explicit Server(Serve serve) : serve_(std::move(serve)) { listen(0); }
  ~Server() { stop(); }
  int port() const { return port_; }

  // Ends the server as if its process had died: connections are closed, new ones are refused.
  void stop() {
    if (stop_.exchange(true)) return;
    ::shutdown(listener_.descriptor(), SHUT_RDWR);
    acceptor_.join();
    listener_.close();
    {
      const std::lock_guard lock(mutex_);
      for (Socket* socket : open_) socket->shut_down_both();
    }
    for (auto& thread : threads_) thread.join();
    threads_.clear();
  }
  bool stopped() const { return stop_; }

 private:
  void listen(int port) {
    listener_ = Socket(::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0));
    const int on = 1;
    setsockopt(listener_.descriptor(), SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
    auto address = loopback(port);
    if (::bind(listener_.descriptor(), reinterpret_cast<sockaddr*>(&address), sizeof address) != 0 ||
        ::listen(listener_.descriptor(), 256) != 0)
      throw CannotRun("cannot listen");
    port_ = port_of(listener_.descriptor());
    acceptor_ = std::thread([this] { accept(); });
  }
  void accept() {
    while (!stop_) {
      const int descriptor = ::accept4(listener_.descriptor(), nullptr, nullptr, SOCK_CLOEXEC);
      if (descriptor < 0) {
        if (stop_) return;
        continue;
      }
      const std::lock_guard lock(mutex_);
      threads_.emplace_back([this, descriptor] {
        Socket socket(descriptor);
        {
          const std::lock_guard inner(mutex_);
          open_.push_back(&socket);
        }
        serve_(socket, stop_);
        const std::lock_guard inner(mutex_);
        open_.erase(std::find(open_.begin(), open_.end(), &socket));
      });
    }
  }

  Serve serve_;
  Socket listener_;
  int port_ = 0;
  std::thread acceptor_;
  std::mutex mutex_;
  std::vector<std::thread> threads_;
  std::vector<Socket*> open_;
  std::atomic<bool> stop_{false};
};

// Parts of a worker's answer.
inline std::string chunk(const std::string& bytes) {
  char size[16];
  std::snprintf(size, sizeof size, "%zx\r\n", bytes.size());
  return size + bytes + "\r\n";
}
inline std::string stream_head() {
  return "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n";
}
inline std::string text_event(const std::string& text) {
  return "data: {\"choices\":[{\"index\":0,\"delta\":{\"content\":\"" + text +
         "\"},\"finish_reason\":null}]}\n\n";
}
inline std::string stop_event(const std::string& text) {
  return "data: {\"choices\":[{\"index\":0,\"delta\":{\"content\":\"" + text +
         "\"},\"finish_reason\":\"stop\"}]}\n\n";
}
inline std::string usage_event(int prompt, int made) {
  return "data: {\"choices\":[],\"usage\":{\"prompt_tokens\":" + std::to_string(prompt) +
         ",\"completion_tokens\":" + std::to_string(made) +
         ",\"prompt_tokens_details\":{\"cached_tokens\":0}}}\n\n";
}
inline const std::string kDone = "data: [DONE]\n\n";
inline const std::string kLastChunk = "0\r\n\r\n";

// A whole answer with these pieces of text.
inline std::string whole_stream(const std::vector<std::string>& texts) {
  std::string bytes = stream_head();
  for (const auto& text : texts) bytes += chunk(text_event(text));
  return bytes + chunk(stop_event("")) + chunk(usage_event(100, 10)) + chunk(kDone) + kLastChunk;
}

// Discovery: the list of workers, its versions, and watches on changes.
class Discovery {
 public:
  struct Target {
    std::string uid;
    int port = 0;
    std::string state = "SERVING";
    long boot_ms = 0;
    std::string model = "fast";
    std::string zone = "north";
  };
  // How an answer is framed: with its length, or by the end of the connection (`Connection: close`).
  enum class Framing { length, end_of_connection };

  explicit Discovery(std::string name)
      : name_(std::move(name)),
        server_([this](Socket& socket, const std::atomic<bool>& stop) { serve(socket, stop); }) {}
  ~Discovery() { server_.stop(); }
  int port() const { return server_.port(); }
  void stop() { server_.stop(); }

  // Adds or changes an entry, which makes a new version.
  void set(const Target& target) {
    const std::lock_guard lock(mutex_);
    ++revision_;
    entries_[target.uid] = {target, revision_};
    note(name_ + ": version " + std::to_string(revision_) + ": " + target.uid + " " + target.state);
    changed_.notify_all();
  }
  void set_framing(Framing framing) {
    const std::lock_guard lock(mutex_);
    framing_ = framing;
  }
  // While discovery is silent it reads calls and answers none of them. A call that came or waited meanwhile
  // stays without an answer for good; calls that come later are answered.
  void set_silent(bool silent) {
    const std::lock_guard lock(mutex_);
    silent_ = silent;
    if (silent) ++outages_;
    note(name_ + (silent ? ": is silent" : ": answers again"));
    changed_.notify_all();
  }
  // The whole list, as in `known` of a configuration.
  std::string list() {
    const std::lock_guard lock(mutex_);
    return answer_text(0);
  }
  // When the newest version was first written whole to a caller; 0: not yet.
  double told_at(std::uint64_t revision) {
    const std::lock_guard lock(mutex_);
    const auto found = told_.find(revision);
    return found == told_.end() ? 0 : found->second;
  }
  std::uint64_t revision() {
    const std::lock_guard lock(mutex_);
    return revision_;
  }
  int calls() const { return calls_; }

 private:
  struct Entry {
    Target target;
    std::uint64_t revision = 0;
  };

  std::string answer_text(std::uint64_t after) {
    std::string targets;
    for (const auto& [uid, entry] : entries_) {
      if (entry.revision <= after && after != 0) continue;
      if (after == 0 && entry.target.state == "DELETED") continue;
      targets += (targets.empty() ? "" : ",") + std::string("{\"uid\":\"") + uid + "\",\"endpoint\":\"" +
                 address_of(entry.target.port) + "\",\"az\":\"" + entry.target.zone + "\",\"model\":\"" +
                 entry.target.model + "\",\"pod_group\":1,\"state\":\"" + entry.target.state +
                 "\",\"capacity_hint\":1.0,\"boot_ms\":" + std::to_string(entry.target.boot_ms) + "}";
    }
    return "{\"rev\":" + std::to_string(revision_) + ",\"all\":" + (after == 0 ? "true" : "false") +
           ",\"targets\":[" + targets + "]}";
  }

  void serve(Socket& socket, const std::atomic<bool>& stop) {
    while (const auto request = read_request(socket, stop)) {
      ++calls_;
      std::uint64_t after = 0;
      double wait = 0;
      if (const auto at = request->first_line.find("after="); at != std::string::npos)
        after = std::strtoull(request->first_line.c_str() + at + 6, nullptr, 10);
      if (const auto at = request->first_line.find("wait_ms="); at != std::string::npos)
        wait = std::atof(request->first_line.c_str() + at + 8) / 1000;
      std::string body;
      std::uint64_t revision = 0;
      Framing framing = Framing::length;
      {
        std::unique_lock lock(mutex_);
        const double end = now_s() + wait;
        const int outages = outages_;
        while (after != 0 && revision_ <= after && now_s() < end && !stop && !silent_ && outages == outages_)
          changed_.wait_for(lock, std::chrono::milliseconds(20));
        if (silent_ || outages != outages_) {
          while (!stop) changed_.wait_for(lock, std::chrono::milliseconds(100));
        }
        if (stop) return;
        body = answer_text(after);
        revision = revision_;
        framing = framing_;
      }
      const bool by_end = framing == Framing::end_of_connection;
      const std::string head = "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n" +
                               (by_end ? std::string("Connection: close\r\n")
                                       : "Content-Length: " + std::to_string(body.size()) + "\r\n") +
                               "\r\n";
      if (!socket.write(head + body)) return;
      bool first = false;
      {
        const std::lock_guard lock(mutex_);
        first = told_.emplace(revision, now_s()).second;
      }
      if (first) note(name_ + ": version " + std::to_string(revision) + " written to the router");
      if (by_end) return;
    }
  }

  std::string name_;
  std::mutex mutex_;
  std::condition_variable changed_;
  std::map<std::string, Entry> entries_;
  std::uint64_t revision_ = 40;
  std::map<std::uint64_t, double> told_;
  Framing framing_ = Framing::length;
  bool silent_ = false;
  int outages_ = 0;  // begun so far
  std::atomic<int> calls_{0};
  Server server_;
};

// A client's request and its answer.
struct Ask {
  std::string id;
  std::string priority_class = "chat";
  std::string tenant = "acme";
  int timeout_ms = 5000;
  std::string session = {};
  std::string prompt = "hello";
  int prompt_tokens = 100;
  int max_tokens = 60;
  std::string path = "/v1/chat/completions";
};

struct Answer {
  bool connected = false;
  int status = 0;  // 0: no head
  std::string body;
  bool whole = false;      // up to the last chunk, or the whole body of another answer
  bool malformed = false;  // the chunks cannot be read
  bool ended = false;      // the router ended the connection
  double sent_at = 0, first_at = 0, last_at = 0;
  bool refused() const { return status == 429 || status == 503 || status == 529; }
};

inline std::string request_text(const Ask& ask) {
  const std::string body =
      "{\"model\":\"fast\",\"stream\":true,\"max_tokens\":" + std::to_string(ask.max_tokens) +
      ",\"messages\":[{\"role\":\"user\",\"content\":\"" + ask.prompt + "\"}]}";
  return "POST " + ask.path + " HTTP/1.1\r\nHost: backend.local\r\nX-Request-ID: " + ask.id +
         "\r\nX-Priority-Class: " + ask.priority_class + "\r\nX-Tenant-Id: " + ask.tenant +
         (ask.session.empty() ? "" : "\r\nX-Route-Key: " + ask.session) +
         "\r\nX-Timeout-Ms: " + std::to_string(ask.timeout_ms) +
         "\r\nX-Attrs: prompt_len=" + std::to_string(ask.prompt_tokens) +
         ",max_out=" + std::to_string(ask.max_tokens) +
         "\r\nContent-Type: application/json\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" +
         body;
}

// Reads one answer. Waits at most until `deadline`.
inline Answer read_answer(Socket& socket, double deadline) {
  Answer answer;
  answer.connected = true;
  std::string& buffer = socket.buffer();
  std::optional<Message> head;
  const auto more = [&] {
    const auto read = socket.read(buffer, deadline);
    if (read == Socket::Read::ended) answer.ended = true;
    if (read == Socket::Read::bytes) answer.last_at = now_s();
    return read == Socket::Read::bytes;
  };
  while (!(head = take_head(buffer))) {
    if (!more()) return answer;
  }
  answer.first_at = now_s();
  answer.status = head->status();
  if (head->header("Transfer-Encoding").empty()) {
    const auto length = static_cast<std::size_t>(std::atoll(head->header("Content-Length").c_str()));
    while (buffer.size() < length) {
      if (!more()) return answer;
    }
    answer.body = buffer.substr(0, length);
    buffer.erase(0, length);
    answer.whole = true;
    return answer;
  }
  for (;;) {
    const auto line_end = buffer.find("\r\n");
    if (line_end == std::string::npos) {
      if (!more()) return answer;
      continue;
    }
    char* end = nullptr;
    const std::string line = buffer.substr(0, line_end);
    const auto size = static_cast<std::size_t>(std::strtoull(line.c_str(), &end, 16));
    if (line.empty() || *end != '\0') {
      answer.malformed = true;
      return answer;
    }
    while (buffer.size() < line_end + 2 + size + 2) {
      if (!more()) return answer;
    }
    answer.body += buffer.substr(line_end + 2, size);
    buffer.erase(0, line_end + 2 + size + 2);
    if (size == 0) {
      answer.whole = true;
      return answer;
    }
  }
}

inline std::string summary(const std::string& who, const Answer& answer) {
  return who + ": status " + std::to_string(answer.status) + (answer.whole ? ", whole" : ", not whole") +
         (answer.malformed ? ", malformed" : "") + (answer.ended ? ", connection ended" : "") + ", " +
         std::to_string(answer.body.size()) + " bytes";
}

// Sends one request on this connection and reads its answer.
inline Answer ask_on(Socket& socket, const Ask& ask, double patience_s) {
  note("client: sends " + ask.id);
  const double sent = now_s();
  if (!socket.write(request_text(ask))) return {};
  Answer answer = read_answer(socket, sent + patience_s);
  answer.sent_at = sent;
  note(summary("client: answer to " + ask.id, answer));
  return answer;
}

inline Answer ask(int port, const Ask& request, double patience_s) {
  Socket socket = connect_to(port);
  if (!socket.open()) {
    note("client: no connection for " + request.id);
    return {};
  }
  return ask_on(socket, request, patience_s);
}

// A process that the case started. Must be used from the main thread, because it ends with that thread.
class Process {
 public:
  Process(const std::string& folder, const std::string& command,
          const std::vector<std::pair<std::string, std::string>>& environment, const std::string& log) {
    std::vector<std::string> variables;
    for (char** variable = environ; *variable != nullptr; ++variable) {
      const std::string text = *variable;
      if (!text.starts_with("GW_") && !text.starts_with("THORNWICK_") && !text.starts_with("TMPDIR="))
        variables.push_back(text);
    }
    for (const auto& [name, value] : environment) variables.push_back(name + "=" + value);
    std::vector<char*> pointers;
    for (auto& variable : variables) pointers.push_back(variable.data());
    pointers.push_back(nullptr);
    const pid_t parent = getpid();
    pid_ = fork();
    if (pid_ < 0) throw CannotRun("fork failed");
    if (pid_ == 0) {
      prctl(PR_SET_PDEATHSIG, SIGKILL);
      if (getppid() != parent) _exit(2);
      const int out = ::open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
      dup2(out, 1);
      dup2(out, 2);
      const int in = ::open("/dev/null", O_RDONLY);
      dup2(in, 0);
      if (chdir(folder.c_str()) != 0) _exit(2);
      const char* arguments[] = {"/bin/sh", "-c", command.c_str(), nullptr};
      execve("/bin/sh", const_cast<char**>(arguments), pointers.data());
      _exit(2);
    }
  }
  Process(const Process&) = delete;
  Process& operator=(const Process&) = delete;
  ~Process() {
    if (running()) {
      signal(SIGKILL);
      wait_for_end(5);
    }
  }
  pid_t pid() const { return pid_; }
  void signal(int number) const {
    if (!ended_) ::kill(pid_, number);
  }
  bool running() {
    if (!ended_ && waitpid(pid_, &status_, WNOHANG) == pid_) ended_ = true;
    return !ended_;
  }
  bool wait_for_end(double seconds) {
    return wait_until(seconds, [this] { return !running(); });
  }
  // Whether the process was ended by a signal other than these, or with another status than 0.
  std::string how_it_ended() const {
    if (!ended_) return "runs";
    if (WIFSIGNALED(status_)) return "signal " + std::to_string(WTERMSIG(status_));
    return "status " + std::to_string(WEXITSTATUS(status_));
  }

 private:
  pid_t pid_ = -1;
  int status_ = 0;
  bool ended_ = false;
};

// What a case is started with: the folder of the case, the root of the project, the command of the deploy
// file's key `run`, a temporary folder, and whether the disruption happens.
struct Setting {
  std::string folder, root, run, temporary;
  bool disrupted = true;
};

inline std::string variable(const char* name) {
  const char* value = std::getenv(name);
  if (value == nullptr || *value == '\0') throw CannotRun(std::string("not set: ") + name);
  return value;
}

// The settings of a small deployment, with the names of the wire's page. `extra` replaces or adds keys.
struct Settings {
  std::string effect = "safe";
  std::string dedup_scope = "all";
  long window_us = 5000000;
  bool resume = true;
  std::string registry_mode = "ask";
  int routers = 1, rank = 0;
  int deadline_ms = 10000;
  int objective_ms = 2500;
  long stop_sending_within_us = 500000;
  std::vector<std::string> tenants = {"acme"};  // with equal shares

  std::string json() const {
    const auto grade = [&](const std::string& name, const std::string& grade_effect) {
      return "{\"name\":\"" + name + "\",\"credit\":2.0,\"deadline\":" + std::to_string(1000L * deadline_ms) +
             ",\"dedupScope\":\"" + dedup_scope + "\",\"effect\":\"" + grade_effect +
             "\",\"lateValue\":0.3,\"objective\":" + std::to_string(1000L * objective_ms) +
             ",\"streamed\":true,\"window\":" + std::to_string(window_us) + "}";
    };
    std::string members;
    for (const auto& tenant : tenants) {
      members +=
          (members.empty() ? "" : ",") + std::string("{\"name\":\"") + tenant +
          "\",\"quotaPerS\":50.0,\"share\":" + std::to_string(1.0 / static_cast<double>(tenants.size())) +
          "}";
    }
    return "{\"clients\":{\"marksRetry\":true},\"countedBy\":\"work\",\"extra\":{"
           "\"aimUsPer1000PromptTokens\":"
           "[40000.0,40000.0],\"resume\":" +
           std::string(resume ? "true" : "false") + ",\"tokenAim\":[60000.0,60000.0]},\"grades\":[" +
           grade("chat", effect) + "," + grade("agent", "safe") +
           "],\"groupSize\":" + std::to_string(routers) +
           ",\"kindOfService\":\"llm\",\"kinds\":[\"fast\"],\"layers\":[\"model-fleet\"],\"locality\":0,"
           "\"overShareWorth\":0.05,\"policyLimits\":{\"cpuUsPerRequest\":0.0,\"cpuUsPerS\":8000,"
           "\"dialTimeout\":120000,\"keepalive\":5000000,\"maxAttempts\":5,\"maxOpen\":20000,"
           "\"maxRetryAfter\":2000000,\"mayCancel\":true,\"mayProbe\":true,\"peers\":false,\"retryAfter\":"
           "true,"
           "\"secondCopies\":false,\"streamsPerConn\":1},\"rank\":" +
           std::to_string(rank) + ",\"registryMode\":\"" + registry_mode +
           "\",\"report\":{\"fields\":[\"errors_per_s\",\"recent_ms\",\"backlog\"],\"how\":\"inline\"},"
           "\"rules\":{\"answerSlack\":16000,\"askWithin\":10000000,\"cold\":8700000,\"coldFrom\":0.3,"
           "\"fall\":2000000,\"stopSendingWithin\":" +
           std::to_string(stop_sending_within_us) + ",\"tipMultiple\":3.0},\"tenants\":[" + members +
           "],\"tick\":4000,\"tier\":0,\"weights\":\"nominal\",\"zones\":"
           "[\"north\",\"south\"]}";
  }
};

struct RouterFile {
  std::string name = "n1";
  int listen = 0;
  int discovery = 0;
  std::string ops = {};
  std::string known = {};
  Settings settings = {};

  std::string json() const {
    return "{\"name\":\"" + name + "\",\"listen\":\"" + address_of(listen) + "\",\"discovery\":\"" +
           address_of(discovery) + "\"," + (ops.empty() ? "" : "\"ops\":\"" + ops + "\",") +
           "\"seed\":\"8c1f30d27a5be964\",\"limits\":{\"cores\":1.0,\"memory_mb\":192,\"sockets\":1024}," +
           (known.empty() ? "" : "\"known\":" + known + ",") + "\"settings\":" + settings.json() + "}";
  }
};

// Replaces the file in one step.
inline void write_file(const std::string& path, const std::string& text) {
  std::ofstream(path + ".new") << text << '\n';
  if (std::rename((path + ".new").c_str(), path.c_str()) != 0) throw CannotRun("cannot write " + path);
}

inline bool is_ready(int port) {
  Socket socket = connect_to(port);
  if (!socket.open()) return false;
  if (!socket.write("GET /health/ready HTTP/1.1\r\nHost: backend.local\r\nConnection: close\r\n\r\n"))
    return false;
  return read_answer(socket, now_s() + 1).status == 200;
}

inline void wait_until_ready(int port) {
  if (!wait_until(30, [port] { return is_ready(port); })) throw CannotRun("the router is not ready");
}

// Reads the setting from the environment, runs the case and returns its exit status.
inline int run_case(const std::function<int(const Setting&)>& play) {
  ::signal(SIGPIPE, SIG_IGN);
  now_s();
  try {
    Setting setting;
    setting.folder = variable("CASE_FOLDER");
    setting.root = variable("CASE_ROOT");
    setting.run = variable("CASE_RUN");
    setting.temporary = variable("CASE_TMP");
    const char* disruption = std::getenv("CASE_DISRUPTION");
    setting.disrupted = disruption == nullptr || std::string(disruption) != "0";
    Record::instance().open(setting.folder + "/record.txt");
    note(std::string("the disruption ") + (setting.disrupted ? "happens" : "is left out"));
    const int status = play(setting);
    note(status == kHeld ? "RESULT: the rule held" : "RESULT: the rule was broken");
    return status;
  } catch (const std::exception& error) {
    note(std::string("RESULT: the case could not run: ") + error.what());
    std::fprintf(stderr, "the case could not run: %s\n", error.what());
    return kCouldNotRun;
  }
}

}  // namespace standin
