#include "testbed/load.hpp"

#include <fmt/format.h>

#include <algorithm>
#include <charconv>
#include <cmath>

#include "random/hashing.hpp"

namespace thornwick::testbed {
namespace {

constexpr Time kSlack = milliseconds(300);  // after its limit, in which a try must have its final answer
constexpr Time kSilence = seconds(10);      // a stream without an event for so long is given up
constexpr Time kLateStart = milliseconds(10);
constexpr std::size_t kTail = 600;  // of an answer, in which the tally is looked for

double number_after(const std::string& text, const std::string& name) {
  const auto at = text.rfind(name);
  double value = 0;
  if (at != std::string::npos)
    std::from_chars(text.data() + at + name.size(), text.data() + text.size(), value);
  return value;
}

}  // namespace

struct Load::Turn {
  emulator::PlannedRequest asked;  // its times from the start of the load
  int tries = 0;
  bool resumed = false;
  Time first_at = 0;
  net::Timer again;
};

struct Load::Connection {
  std::unique_ptr<net::Stream> stream;
  std::optional<http::MessageReader> reader;
  Turn* turn = nullptr;  // null: idle
  std::string tail;
  net::Timer patience;
};

Load::Load(LoadOptions options)
    : options_(std::move(options)),
      dialect_(fronts::find_dialect(options_.dialect)),
      chance_(options_.seed, emulator::Concern::clients) {
  if (dialect_ == nullptr) throw std::invalid_argument("no such dialect: " + options_.dialect);
  if (options_.routers.empty()) throw std::invalid_argument("no router's address");
  for (const auto& address : options_.routers) {
    if (!net::parse_address(address)) throw std::invalid_argument("not an address: " + address);
  }
  const auto& s = options_.scenario;
  result_ = emulator::empty_result(s, options_.seed);
  result_.policy = "sockets";
  result_.routers = options_.routers.size();
  backoff_us_ = 1000 * chance_.between(s.backoff_ms.low, s.backoff_ms.high);
}

Load::~Load() = default;

void Load::start(std::function<void()> done) {
  done_ = std::move(done);
  began_ = net::now_us();
  go_on();
}

void Load::go_on() {
  const Time now = net::now_us() - began_;
  for (; next_ < options_.requests.size() && options_.requests[next_].at <= now; ++next_) {
    Turn& turn = *turns_.emplace_back(std::make_unique<Turn>());
    turn.asked = options_.requests[next_];
    if (now - turn.asked.at >= kLateStart) ++metrics_.late_starts;
    ++result_.turns;
    ++result_.classes[turn.asked.cls].turns;
    result_.work_asked += turn.asked.work;
    try_turn(turn);
  }
  if (next_ < options_.requests.size())
    return pacer_.start(options_.requests[next_].at - now, [this] { go_on(); });
  if (turns_.empty()) finish();
}

void Load::finish() {
  if (std::exchange(finished_, true)) return;
  emulator::set_score(result_);
  done_();
}

std::string Load::bytes_of(const Turn& turn, Time limit) const {
  const auto& a = turn.asked;
  const auto& s = options_.scenario;
  fronts::ChatRequest chat;
  chat.model = "model";
  chat.stream = true;
  chat.max_tokens = static_cast<std::uint64_t>(a.max_tokens);
  chat.turns.push_back({"user", "what does the log say?"});
  const std::string body = dialect_->write_chat(chat);
  std::vector<http::Header> headers = {
      {"Host", "thornwick"},
      {"Content-Type", "application/json"},
      {"X-Request-ID", fmt::format("{:016x}", mix(options_.seed ^ mix(last_id_)))},
      {"X-Priority-Class", s.classes[a.cls].name},
      {"X-Tenant-Id", s.members[a.member].name},
      {"X-Route-Key", fmt::format("{:016x}", a.session)},
      {"X-Timeout-Ms", std::to_string(std::max<Time>(1, limit / 1000))},
      {"X-Attrs", fmt::format("prefix={:016x},prompt_len={:.0f},prefix_len={:.0f},max_out={:.0f}", a.prefix,
                              a.prompt, a.prefix_tokens, a.max_tokens)},
      {"X-Lab-Made", fmt::format("{:.0f}", a.generated)},
      {"Content-Length", std::to_string(body.size())}};
  if (a.hint > 0) headers.push_back({"X-Cost", fmt::format("{:.0f}", a.hint)});
  if (turn.tries > 1) headers.push_back({"X-Retried", turn.resumed ? "again" : "1"});
  return http::write_head("POST " + std::string(dialect_->path()) + " HTTP/1.1", headers) + body;
}

void Load::try_turn(Turn& turn) {
  const Time now = net::now_us() - began_;
  const auto& d = options_.scenario.classes[turn.asked.cls];
  ++turn.tries;
  ++last_id_;
  ++result_.tries;
  const Time limit = std::min(static_cast<Time>(options_.scenario.try_share * 1000 * d.deadline_ms),
                              turn.asked.deadline - now);
  Connection* line = nullptr;
  for (auto& one : lines_) {
    if (one->turn == nullptr && one->stream->open()) line = one.get();
  }
  if (line == nullptr) {
    lines_.remove_if([](const auto& one) { return one->turn == nullptr && !one->stream->open(); });
    if (lines_.size() >= options_.max_connections) {
      ++metrics_.no_connection;
      return turned_away(turn, 0, false);
    }
    line = lines_.emplace_back(std::make_unique<Connection>()).get();
    line->stream = std::make_unique<net::Stream>(
        net::Stream::Callbacks{.connected = [] {},
                               .arrived = [this, line](std::string_view bytes) { arrived(*line, bytes); },
                               .drained = {},
                               .ended = [this, line] { ended(*line); }});
    const auto address = net::parse_address(options_.routers[next_router_++ % options_.routers.size()]);
    if (!line->stream->connect(address.get())) return turned_away(turn, 0, false);
  }
  line->turn = &turn;
  line->reader.emplace(http::MessageReader::Kind::answer);
  line->tail.clear();
  line->stream->write(bytes_of(turn, limit));
  line->patience.start(limit + kSlack, [this, line] {
    ++metrics_.unanswered;
    Turn& mine = *line->turn;
    drop(*line);
    turned_away(mine, 0, mine.first_at > 0);
  });
}

void Load::drop(Connection& line) {
  line.turn = nullptr;
  line.patience.stop();
  line.stream->close();
}

void Load::arrived(Connection& line, std::string_view bytes) {
  if (line.turn == nullptr) return line.stream->close();
  try {
    line.reader->feed(bytes);
    for (auto piece = line.reader->next(); piece != http::MessageReader::Piece::none;
         piece = line.reader->next()) {
      if (piece == http::MessageReader::Piece::body) {
        line.tail += line.reader->take_body();
        if (line.tail.size() > 2 * kTail) line.tail.erase(0, line.tail.size() - kTail);
        if (line.reader->head().status != 200) continue;
        if (line.turn->first_at == 0) line.turn->first_at = net::now_us() - began_;
        line.patience.start(kSilence, [this, l = &line] { ended(*l); });
      }
      if (piece == http::MessageReader::Piece::end) return answered(line);
    }
  } catch (const http::BadMessage&) {
    ended(line);
  }
}

// The connection broke: what was asked on it has no answer, or only a part of one.
void Load::ended(Connection& line) {
  Turn* turn = line.turn;
  drop(line);
  if (turn != nullptr) turned_away(*turn, 0, turn->first_at > 0);
}

void Load::answered(Connection& line) {
  Turn& turn = *line.turn;
  line.turn = nullptr;
  line.patience.stop();
  const http::Head& head = line.reader->head();
  if (!head.keeps_alive()) line.stream->close();
  if (head.status != 200) {
    const auto* back = head.find("Retry-After");
    return turned_away(
        turn, back == nullptr ? 0 : static_cast<Time>(1e6 * std::strtod(back->c_str(), nullptr)), false);
  }
  const Time now = net::now_us() - began_;
  if (turn.first_at == 0) turn.first_at = now;
  const auto& d = options_.scenario.classes[turn.asked.cls];
  const double part = emulator::earned_part(d, turn.asked.objective_at, turn.asked.deadline, turn.first_at,
                                            now, turn.asked.generated);
  auto& c = result_.classes[turn.asked.cls];
  ++c.served;
  ++result_.totals.served;
  c.in_time += part == 1;
  c.first_us.add(turn.first_at - turn.asked.at);
  c.answer_us.add(now - turn.asked.at);
  result_.prompt_tokens += turn.asked.prompt;
  result_.cached_tokens += std::max(number_after(line.tail, "\"cached_tokens\":"),
                                    number_after(line.tail, "\"cache_read_input_tokens\":"));
  end_turn(turn, part);
}

void Load::turned_away(Turn& turn, Time retry_after, bool broken) {
  const auto& s = options_.scenario;
  const Time now = net::now_us() - began_;
  if (broken) turn.resumed = true;
  ++(broken ? result_.totals.broken : result_.totals.rejected);
  Time pause = std::llround(backoff_us_);
  if (retry_after > 0 && chance_.happens(s.honor_probability)) pause = std::max(pause, retry_after);
  if (static_cast<std::size_t>(turn.tries) <= s.retries && now + pause < turn.asked.deadline) {
    turn.first_at = 0;
    return turn.again.start(pause, [this, &turn] { try_turn(turn); });
  }
  ++result_.classes[turn.asked.cls].given_up;
  end_turn(turn, 0);
}

void Load::end_turn(Turn& turn, double part) {
  const auto& a = turn.asked;
  emulator::add_weight(result_, options_.scenario, a.at, a.cls, a.member, a.priority_weight, part);
  // Its own timer may be what runs now.
  const auto at = std::find_if(turns_.begin(), turns_.end(), [&](auto& t) { return t.get() == &turn; });
  struct DeferredDeletions : net::DeferredDeletable {
    std::unique_ptr<Turn> turn;
  };
  auto grave = std::make_unique<DeferredDeletions>();
  grave->turn = std::move(*at);
  turns_.erase(at);
  net::deferred_delete(std::move(grave));
  if (next_ == options_.requests.size() && turns_.empty()) finish();
}

}  // namespace thornwick::testbed
