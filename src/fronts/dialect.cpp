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

constexpr int kBadRequest = 400;
constexpr int kNotFound = 404;

constexpr double kCharactersPerToken = 4;
constexpr std::uint64_t kFnvOffset = 0xcbf29ce484222325ULL;
constexpr std::uint64_t kFnvPrime = 0x100000001b3ULL;
constexpr Time kTransitAllowance = milliseconds(1);  // of a request's time, used before the router reads it
constexpr double kMaxWaitMs = 120e3;  // milliseconds; a longer time limit of a client is cut to this
constexpr double kMaxTokens = 1e6;    // of a prompt or an answer
constexpr double kMaxWorkHint = static_cast<double>(seconds(3600));
constexpr std::size_t kMaxIdLength = 256;
constexpr std::size_t kMaxModelNameLength = 100;  // in an error's text

// FNV-1a, 64 bits.
std::uint64_t hash(std::string_view text) {
  std::uint64_t value = kFnvOffset;
  for (const char letter : text) value = (value ^ static_cast<unsigned char>(letter)) * kFnvPrime;
  return value;
}

// The number of a session or prefix key. The platform's keys are hexadecimal numbers; any other text is
// hashed. 0 stands for "no key", and only an empty text gives it.
std::uint64_t key_of(std::string_view text) {
  if (text.empty()) return 0;
  std::uint64_t value = 0;
  const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), value, 16);
  const bool whole = error == std::errc{} && end == text.data() + text.size();
  return std::max<std::uint64_t>(1, whole ? value : hash(text));
}

// Converts the whole text to a number from 0 to `max`. `name` is what an error calls it. Throws BadMessage
// (400).
double parse_amount(std::string_view text, std::string_view name, double max) {
  double value = 0;
  const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), value);
  if (error != std::errc{} || end != text.data() + text.size() || !std::isfinite(value) || value < 0 ||
      value > max) {
    throw BadMessage(kBadRequest, "not a number: " + std::string(name));
  }
  return value;
}

std::size_t index_of(const std::vector<std::string>& names, const std::string* name, std::string_view kind) {
  const auto at = name == nullptr ? names.end() : std::find(names.begin(), names.end(), *name);
  if (at == names.end()) throw BadMessage(kBadRequest, "unknown " + std::string(kind));
  return static_cast<std::size_t>(at - names.begin());
}

void read_attributes(std::string_view text, Request& request) {
  while (!text.empty()) {
    const auto part = text.substr(0, text.find(','));
    text.remove_prefix(std::min(text.size(), part.size() + 1));
    const auto equals = part.find('=');
    if (equals == std::string_view::npos) throw BadMessage(kBadRequest, "attribute without a value");
    const auto name = part.substr(0, equals);
    const auto value = part.substr(equals + 1);
    if (name == "prefix") request.prefix = key_of(value);
    if (name == "prompt_len") request.prompt_tokens = parse_amount(value, "prompt_len", kMaxTokens);
    if (name == "prefix_len") request.prefix_tokens = parse_amount(value, "prefix_len", kMaxTokens);
    if (name == "max_out") request.max_tokens = parse_amount(value, "max_out", kMaxTokens);
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

// Throws BadMessage where a header that the router or a replica acts on is repeated: two readers could use
// different values of it.
void check_single_headers(const http::Head& head) {
  for (const auto* name : {"X-Request-ID", "X-Priority-Class", "X-Tenant-Id", "X-Route-Key", "X-Timeout-Ms",
                           "X-Attrs", "X-Retried", "X-Cost", "X-Model-Fallback", "Host"}) {
    if (head.count(name) > 1) throw BadMessage(kBadRequest, std::string("more than one ") + name);
  }
}

void read_identity(const http::Head& head, const RequestNames& names, Request& request) {
  const auto* id = head.find("X-Request-ID");
  if (id == nullptr || id->empty() || id->size() > kMaxIdLength)
    throw BadMessage(kBadRequest, "no good X-Request-ID");
  request.priority_class =
      static_cast<std::uint8_t>(index_of(names.classes, head.find("X-Priority-Class"), "class"));
  if (names.tenants.empty()) return;
  request.tenant = static_cast<std::uint16_t>(index_of(names.tenants, head.find("X-Tenant-Id"), "tenant"));
}

void read_timeout(const http::Head& head, Time now, Request& request) {
  const auto* timeout = head.find("X-Timeout-Ms");
  if (timeout == nullptr) throw BadMessage(kBadRequest, "no X-Timeout-Ms");
  const double wait = parse_amount(*timeout, "X-Timeout-Ms", std::numeric_limits<double>::max());
  request.deadline = now +
                     static_cast<Time>(std::min(wait, kMaxWaitMs) * static_cast<double>(milliseconds(1))) -
                     kTransitAllowance;
}

void read_hints(const http::Head& head, Request& request) {
  if (const auto* key = head.find("X-Route-Key")) request.session = key_of(*key);
  if (const auto* cost = head.find("X-Cost")) request.work_hint = parse_amount(*cost, "X-Cost", kMaxWorkHint);
  if (const auto* retried = head.find("X-Retried")) {
    request.resumed = *retried == "again";
    request.client_repeat = !request.resumed;
  }
  if (const auto* attributes = head.find("X-Attrs")) read_attributes(*attributes, request);
}

void read_model(Json body, const RequestNames& names, Request& request) {
  if (!names.model) return;
  const std::string model = text_at(body, "/model");
  request.model = names.model(model);
  if (request.model != 0) return;
  throw BadMessage(kNotFound, "there is no model '" + model.substr(0, kMaxModelNameLength) + "'");
}

void read_fallback(const http::Head& head, Request& request) {
  const auto* fallback = head.find("X-Model-Fallback");
  if (fallback == nullptr) return;
  if (*fallback != "none" && *fallback != "any") {
    throw BadMessage(kBadRequest, "X-Model-Fallback is neither none nor any");
  }
  request.no_fallback = *fallback == "none";
}

// Estimates the sizes that the client's headers do not give from the body.
void estimate_sizes(const ClientRequest& call, Request& request) {
  if (request.prompt_tokens > 0 && request.max_tokens > 0) return;
  const ChatRequest chat = call.dialect->read_chat(*call.body);
  double characters = 0;
  for (const auto& turn : chat.turns) characters += static_cast<double>(turn.text.size());
  if (request.prompt_tokens <= 0) request.prompt_tokens = characters / kCharactersPerToken;
  if (request.max_tokens <= 0) request.max_tokens = static_cast<double>(chat.max_tokens);
}

// The body of an attempt whose replica speaks the client's dialect. It is the client's body, with the model
// replaced if `model` is not empty.
std::shared_ptr<const std::string> same_dialect_body(const ClientRequest& call, std::string_view model) {
  if (model.empty()) return call.body;
  std::string renamed = with_model(*call.body, model);
  if (renamed == *call.body) return call.body;
  return std::make_shared<const std::string>(std::move(renamed));
}

std::shared_ptr<const std::string> translated_body(const ClientRequest& call, const Dialect& target,
                                                   std::string_view model) {
  ChatRequest chat = call.dialect->read_chat(*call.body);
  if (!model.empty()) chat.model = model;
  return std::make_shared<const std::string>(target.write_chat(chat));
}

}  // namespace

const Dialect* find_dialect(std::string_view name) {
  for (const Dialect* dialect : {&platform_dialect(), &messages_dialect()}) {
    if (dialect->name() == name) return dialect;
  }
  return nullptr;
}

Request read_request(const ClientRequest& call, const RequestNames& names, Time now) {
  const auto& head = call.head;
  Request request;
  check_single_headers(head);
  read_identity(head, names, request);
  read_timeout(head, now, request);
  read_hints(head, request);
  // Rejects a body that is no JSON object before an attempt is spent on it.
  simdjson::dom::parser parser;
  Json body;
  if (parser.parse(call.body->data(), call.body->size()).get(body) != simdjson::SUCCESS ||
      !body.is_object()) {
    throw BadMessage(kBadRequest, "the body is not a JSON object");
  }
  read_model(body, names, request);
  read_fallback(head, request);
  estimate_sizes(call, request);
  return request;
}

std::string with_model(const std::string& body, std::string_view model) {
  // The on-demand parser is the one that gives the position of a value.
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
    throw BadMessage(kBadRequest, problem.what());
  }
  return out.append(body, copied);
}

AttemptBytes write_attempt(const ClientRequest& call, const Dialect& target, Time wait,
                           std::string_view model) {
  const bool same = &target == call.dialect;
  AttemptBytes bytes;
  bytes.body = same ? same_dialect_body(call, model) : translated_body(call, target, model);
  std::vector<http::Header> headers;
  for (const auto& header : call.head.headers) {
    if (!is_hop_by_hop(header.name)) headers.push_back(header);
  }
  headers.push_back({"X-Timeout-Ms", std::to_string(std::max<Time>(1, wait / milliseconds(1)))});
  headers.push_back({"Content-Length", std::to_string(bytes.body->size())});
  const std::string path = same ? call.head.target : std::string(target.path());
  bytes.head = http::write_head(call.head.method + " " + path + " HTTP/1.1", headers);
  return bytes;
}

}  // namespace thornwick::fronts
