#include "fronts/dialect.hpp"

#include <algorithm>
#include <charconv>
#include <cmath>
#include <iterator>
#include <limits>
#include <memory>

#include "fronts/json.hpp"

namespace thornwick::fronts {
namespace {

using http::BadMessage;

constexpr int kBadRequest = 400;
constexpr int kNotFound = 404;

constexpr double kCharactersPerToken = 4;
constexpr std::uint64_t kFnvOffset = 0xcbf29ce484222325ULL;
constexpr std::uint64_t kFnvPrime = 0x100000001b3ULL;
constexpr Time kTransitAllowance = milliseconds(1);  // time that a request takes to reach the router
constexpr double kMaxTimeoutMs = 120e3;  // milliseconds; a client's longer time limit is cut to this value
constexpr double kMaxTokens = 1e6;       // of a prompt or an answer
constexpr double kMaxWorkHint = static_cast<double>(seconds(3600));
constexpr std::size_t kMaxIdLength = 256;
constexpr std::size_t kMaxKeptParserBytes =
    64UL * 1024;                                  // of a body, for whose size a parser's buffers are kept
constexpr std::size_t kMaxModelNameLength = 100;  // characters of a model's name in an error's text

// Returns the 64-bit FNV-1a hash of the text.
std::uint64_t hash(std::string_view text) {
  std::uint64_t value = kFnvOffset;
  for (const char letter : text) value = (value ^ static_cast<unsigned char>(letter)) * kFnvPrime;
  return value;
}

// Returns the number for a session key or prefix key. The platform's keys are hexadecimal numbers; any other
// text is hashed. 0 stands for "no key" and is returned only for an empty text.
std::uint64_t key_of(std::string_view text) {
  if (text.empty()) return 0;
  std::uint64_t value = 0;
  const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), value, 16);
  const bool is_number = error == std::errc{} && end == text.data() + text.size();
  return std::max<std::uint64_t>(1, is_number ? value : hash(text));
}

// Converts the complete text to a number from 0 to `max`. `name` is the name of the value in an error's text.
// Throws BadMessage (400).
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
    const auto attribute = text.substr(0, text.find(','));
    text.remove_prefix(std::min(text.size(), attribute.size() + 1));
    const auto equals = attribute.find('=');
    if (equals == std::string_view::npos) throw BadMessage(kBadRequest, "attribute without a value");
    const auto name = attribute.substr(0, equals);
    const auto value = attribute.substr(equals + 1);
    if (name == "prefix") request.prefix = key_of(value);
    if (name == "prompt_len") request.prompt_tokens = parse_amount(value, "prompt_len", kMaxTokens);
    if (name == "prefix_len") request.prefix_tokens = parse_amount(value, "prefix_len", kMaxTokens);
    if (name == "max_out") request.max_tokens = parse_amount(value, "max_out", kMaxTokens);
  }
}

// Whether a header belongs to the connection instead of the request, and is not forwarded.
bool is_hop_by_hop(std::string_view name) {
  static constexpr std::string_view kNames[] = {"Connection",     "Keep-Alive", "Transfer-Encoding",
                                                "Content-Length", "Expect",     "TE",
                                                "Trailer",        "Upgrade",    "X-Timeout-Ms"};
  return std::any_of(std::begin(kNames), std::end(kNames),
                     [&](std::string_view known) { return http::same_name(name, known); });
}

// Throws BadMessage if a header that the router or a replica evaluates occurs more than once, because two
// readers could use different values of that header.
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
  const double timeout_ms = parse_amount(*timeout, "X-Timeout-Ms", std::numeric_limits<double>::max());
  request.deadline =
      now + static_cast<Time>(std::min(timeout_ms, kMaxTimeoutMs) * static_cast<double>(milliseconds(1))) -
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

// Estimates from the body the sizes that the client's headers do not state.
void estimate_sizes(const ClientRequest& client_request, Request& request) {
  if (request.prompt_tokens > 0 && request.max_tokens > 0) return;
  const ChatRequest chat = client_request.dialect->read_chat(*client_request.body);
  double characters = 0;
  for (const auto& turn : chat.turns) characters += static_cast<double>(turn.text.size());
  if (request.prompt_tokens <= 0) request.prompt_tokens = characters / kCharactersPerToken;
  if (request.max_tokens <= 0) request.max_tokens = static_cast<double>(chat.max_tokens);
}

// Returns the body of an attempt whose replica uses the client's dialect: the client's body, with the model
// replaced if `model` is not empty.
std::shared_ptr<const std::string> same_dialect_body(const ClientRequest& client_request,
                                                     std::string_view model) {
  if (model.empty()) return client_request.body;
  std::string renamed = with_model(*client_request.body, model);
  if (renamed == *client_request.body) return client_request.body;
  return std::make_shared<const std::string>(std::move(renamed));
}

std::shared_ptr<const std::string> translated_body(const ClientRequest& client_request, const Dialect& target,
                                                   std::string_view model) {
  ChatRequest chat = client_request.dialect->read_chat(*client_request.body);
  if (!model.empty()) chat.model = model;
  return std::make_shared<const std::string>(target.write_chat(chat));
}

// Returns a parser that is used for one body after another, because its buffers are ten times as large as a
// body.
simdjson::dom::parser& body_parser() {
  static std::unique_ptr<simdjson::dom::parser> parser;
  if (parser == nullptr || parser->capacity() > kMaxKeptParserBytes)
    parser = std::make_unique<simdjson::dom::parser>();
  return *parser;
}

}  // namespace

const Dialect* find_dialect(std::string_view name) {
  for (const Dialect* dialect : {&platform_dialect(), &messages_dialect()}) {
    if (dialect->name() == name) return dialect;
  }
  return nullptr;
}

Request read_request(const ClientRequest& client_request, const RequestNames& names, Time now) {
  const auto& head = client_request.head;
  Request request;
  check_single_headers(head);
  read_identity(head, names, request);
  read_timeout(head, now, request);
  read_hints(head, request);
  // Rejects a body that is no JSON object before an attempt is spent on it.
  Json body;
  if (body_parser().parse(client_request.body->data(), client_request.body->size()).get(body) !=
          simdjson::SUCCESS ||
      !body.is_object()) {
    throw BadMessage(kBadRequest, "the body is not a JSON object");
  }
  read_model(body, names, request);
  read_fallback(head, request);
  estimate_sizes(client_request, request);
  return request;
}

std::string with_model(const std::string& body, std::string_view model) {
  // simdjson's on-demand parser is used because it gives the position of a value in the text.
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

AttemptBytes write_attempt(const ClientRequest& client_request, const Dialect& target, Time timeout,
                           std::string_view model) {
  const bool same_dialect = &target == client_request.dialect;
  AttemptBytes bytes;
  bytes.body = same_dialect ? same_dialect_body(client_request, model)
                            : translated_body(client_request, target, model);
  std::vector<http::Header> headers;
  for (const auto& header : client_request.head.headers) {
    if (!is_hop_by_hop(header.name)) headers.push_back(header);
  }
  headers.push_back({"X-Timeout-Ms", std::to_string(std::max<Time>(1, timeout / milliseconds(1)))});
  headers.push_back({"Content-Length", std::to_string(bytes.body->size())});
  const std::string path = same_dialect ? client_request.head.target : std::string(target.path());
  bytes.head = http::write_head(client_request.head.method + " " + path + " HTTP/1.1", headers);
  return bytes;
}

}  // namespace thornwick::fronts
