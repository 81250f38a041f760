#include "fronts/dialect.hpp"

#include <algorithm>
#include <charconv>
#include <cmath>
#include <iterator>
#include <limits>

#include "fronts/json.hpp"

namespace thornwick::fronts {
namespace {

using http::BadMessage;

constexpr double kCharactersPerToken = 4;
constexpr std::uint64_t kFnvOffset = 0xcbf29ce484222325ULL;
constexpr std::uint64_t kFnvPrime = 0x100000001b3ULL;
constexpr Time kTimeUsedOnTheWay = milliseconds(1);  // what a request has used of its time when it is read
constexpr double kLongestWaitMs = 120e3;  // milliseconds; a client that would wait longer is answered then
constexpr double kMostTokens = 1e6;       // of a prompt or an answer
constexpr double kMostWork = 3600e6;      // microseconds
constexpr std::size_t kLongestId = 256;
constexpr std::size_t kLongestName = 100;  // of a model, in an error's text

// FNV-1a, 64 bits.
std::uint64_t hash(std::string_view text) {
  std::uint64_t value = kFnvOffset;
  for (const char letter : text) value = (value ^ static_cast<unsigned char>(letter)) * kFnvPrime;
  return value;
}

// Keys are hex numbers on the platform; whatever else is still a key. 0 is kept for "none".
std::uint64_t key_of(std::string_view text) {
  if (text.empty()) return 0;
  std::uint64_t value = 0;
  const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), value, 16);
  const bool whole = error == std::errc{} && end == text.data() + text.size();
  return std::max<std::uint64_t>(1, whole ? value : hash(text));
}

double amount(std::string_view text, const char* what, double most) {
  double value = 0;
  const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), value);
  if (error != std::errc{} || end != text.data() + text.size() || !std::isfinite(value) || value < 0 ||
      value > most) {
    throw BadMessage(400, std::string("not a number: ") + what);
  }
  return value;
}

std::size_t index_of(const std::vector<std::string>& names, const std::string* name, const char* what) {
  const auto at = name == nullptr ? names.end() : std::find(names.begin(), names.end(), *name);
  if (at == names.end()) throw BadMessage(400, std::string("unknown ") + what);
  return static_cast<std::size_t>(at - names.begin());
}

void read_attributes(std::string_view text, Request& request) {
  while (!text.empty()) {
    const auto part = text.substr(0, text.find(','));
    text.remove_prefix(std::min(text.size(), part.size() + 1));
    const auto equals = part.find('=');
    if (equals == std::string_view::npos) throw BadMessage(400, "attribute without a value");
    const auto name = part.substr(0, equals);
    const auto value = part.substr(equals + 1);
    if (name == "prefix") request.prefix = key_of(value);
    if (name == "prompt_len") request.prompt_tokens = amount(value, "prompt_len", kMostTokens);
    if (name == "prefix_len") request.prefix_tokens = amount(value, "prefix_len", kMostTokens);
    if (name == "max_out") request.max_tokens = amount(value, "max_out", kMostTokens);
  }
}

// Headers that belong to a connection, not to the request.
bool is_hop_by_hop(std::string_view name) {
  static constexpr std::string_view kNames[] = {"Connection",     "Keep-Alive", "Transfer-Encoding",
                                                "Content-Length", "Expect",     "TE",
                                                "Trailer",        "Upgrade",    "X-Timeout-Ms"};
  return std::any_of(std::begin(kNames), std::end(kNames),
                     [&](std::string_view known) { return http::same_name(name, known); });
}

// Guards against two readers of one head that take different ones of two values.
void check_single_headers(const http::Head& head) {
  for (const auto* name : {"X-Request-ID", "X-Priority-Class", "X-Tenant-Id", "X-Route-Key", "X-Timeout-Ms",
                           "X-Attrs", "X-Retried", "X-Cost", "X-Model-Fallback", "Host"}) {
    if (head.count(name) > 1) throw BadMessage(400, std::string("more than one ") + name);
  }
}

void read_identity(const http::Head& head, const Names& names, Request& request) {
  const auto* id = head.find("X-Request-ID");
  if (id == nullptr || id->empty() || id->size() > kLongestId) throw BadMessage(400, "no good X-Request-ID");
  request.cls = static_cast<std::uint8_t>(index_of(names.classes, head.find("X-Priority-Class"), "class"));
  if (names.tenants.empty()) return;
  request.tenant = static_cast<std::uint16_t>(index_of(names.tenants, head.find("X-Tenant-Id"), "tenant"));
}

void read_timeout(const http::Head& head, Time now, Request& request) {
  const auto* timeout = head.find("X-Timeout-Ms");
  if (timeout == nullptr) throw BadMessage(400, "no X-Timeout-Ms");
  const double wait = amount(*timeout, "X-Timeout-Ms", std::numeric_limits<double>::max());
  request.due = now + static_cast<Time>(std::min(wait, kLongestWaitMs) * 1000) - kTimeUsedOnTheWay;
}

void read_hints(const http::Head& head, Request& request) {
  if (const auto* key = head.find("X-Route-Key")) request.session = key_of(*key);
  if (const auto* cost = head.find("X-Cost")) request.work_hint = amount(*cost, "X-Cost", kMostWork);
  if (const auto* retried = head.find("X-Retried")) {
    request.resumed = *retried == "again";
    request.client_repeat = !request.resumed;
  }
  if (const auto* attributes = head.find("X-Attrs")) read_attributes(*attributes, request);
}

void read_model(Json body, const Names& names, Request& request) {
  if (!names.model) return;
  const std::string model = text_at(body, "/model");
  request.model = names.model(model);
  if (request.model != 0) return;
  throw BadMessage(404, "there is no model '" + model.substr(0, kLongestName) + "'");
}

void read_fallback(const http::Head& head, Request& request) {
  const auto* fallback = head.find("X-Model-Fallback");
  if (fallback == nullptr) return;
  if (*fallback != "none" && *fallback != "any") {
    throw BadMessage(400, "X-Model-Fallback is neither none nor any");
  }
  request.no_fallback = *fallback == "none";
}

// Sizes that the client did not tell, estimated from the body.
void estimate_sizes(const Call& call, Request& request) {
  if (request.prompt_tokens > 0 && request.max_tokens > 0) return;
  const Chat chat = call.dialect->read_chat(*call.body);
  double characters = 0;
  for (const auto& turn : chat.turns) characters += static_cast<double>(turn.text.size());
  if (request.prompt_tokens <= 0) request.prompt_tokens = characters / kCharactersPerToken;
  if (request.max_tokens <= 0) request.max_tokens = static_cast<double>(chat.max_tokens);
}

// The body of an attempt whose replica speaks the client's dialect: untouched, but for another model.
std::shared_ptr<const std::string> same_dialect_body(const Call& call, std::string_view model) {
  if (model.empty()) return call.body;
  std::string renamed = with_model(*call.body, model);
  if (renamed == *call.body) return call.body;
  return std::make_shared<const std::string>(std::move(renamed));
}

std::shared_ptr<const std::string> translated_body(const Call& call, const Dialect& target,
                                                   std::string_view model) {
  Chat chat = call.dialect->read_chat(*call.body);
  if (!model.empty()) chat.model = model;
  return std::make_shared<const std::string>(target.write_chat(chat));
}

}  // namespace

const Dialect* dialect_named(std::string_view name) {
  for (const Dialect* dialect : {&platform(), &messages()}) {
    if (dialect->name() == name) return dialect;
  }
  return nullptr;
}

Request read_request(const Call& call, const Names& names, Time now) {
  const auto& head = call.head;
  Request request;
  check_single_headers(head);
  read_identity(head, names, request);
  read_timeout(head, now, request);
  read_hints(head, request);
  // Guards the replicas against bodies that none of them could use.
  simdjson::dom::parser parser;
  Json body;
  if (parser.parse(call.body->data(), call.body->size()).get(body) != simdjson::SUCCESS ||
      !body.is_object()) {
    throw BadMessage(400, "the body is not a JSON object");
  }
  read_model(body, names, request);
  read_fallback(head, request);
  estimate_sizes(call, request);
  return request;
}

std::string with_model(const std::string& body, std::string_view model) {
  // Read on demand, because only so it is told where a value stands.
  simdjson::ondemand::parser parser;
  const simdjson::padded_string padded(body);
  std::string out;
  std::size_t copied = 0;
  try {
    simdjson::ondemand::document document = parser.iterate(padded);
    for (auto field : document.get_object()) {
      if (field.unescaped_key().value() != "model") continue;
      const std::string_view token = field.value().raw_json_token();
      const auto begin = static_cast<std::size_t>(token.data() - padded.data());
      out.append(body, copied, begin - copied).append(json_text(model));
      copied = begin + token.find_last_of('"') + 1;
    }
  } catch (const simdjson::simdjson_error& problem) {
    throw BadMessage(400, problem.what());
  }
  return out.append(body, copied);
}

AttemptBytes write_attempt(const Call& call, const Dialect& target, Time wait, std::string_view model) {
  const bool same = &target == call.dialect;
  AttemptBytes bytes;
  bytes.body = same ? same_dialect_body(call, model) : translated_body(call, target, model);
  std::vector<http::Header> headers;
  for (const auto& header : call.head.headers) {
    if (!is_hop_by_hop(header.name)) headers.push_back(header);
  }
  headers.push_back({"X-Timeout-Ms", std::to_string(std::max<Time>(1, wait / 1000))});
  headers.push_back({"Content-Length", std::to_string(bytes.body->size())});
  const std::string path = same ? call.head.target : std::string(target.path());
  bytes.head = http::write_head(call.head.method + " " + path + " HTTP/1.1", headers);
  return bytes;
}

}  // namespace thornwick::fronts
