#include "simulator_adapter/wire.hpp"

#include <algorithm>
#include <limits>

#include "simulator_adapter/byte_reader.hpp"

namespace thornwick::simulator_adapter {
namespace {

// Record codes of events and actions, as the simulator defines them.
enum EventCode : std::uint16_t {
  kStart = 256,
  kEndpointListUpdate = 257,
  kRequest = 258,
  kFirstToken = 259,
  kAttemptResult = 260,
  kClientDisconnected = 261,
  kTimerExpired = 262,
  kProbeResult = 263,
  kPeerMessage = 264,
  kStop = 265,
  kEndpointList = 266
};

enum ActionCode : std::uint16_t {
  kSend = 256,
  kReject = 257,
  kFail = 258,
  kCancel = 259,
  kSetTimer = 260,
  kProbe = 261,
  kMessagePeer = 263,
  kWatchEndpoints = 266,
  kFetchEndpoints = 267
};

constexpr std::size_t kEntryBytes = 23;  // per endpoint in a list

// Bits of the options of a request.
constexpr std::uint8_t kHasWorkHint = 1;
constexpr std::uint8_t kIsClientRepeat = 2;
constexpr std::uint8_t kIsResumed = 16;

// Reads a length of type Length, and returns that number of bytes after it.
template <typename Length>
std::span<const std::uint8_t> take_with_length(ByteReader& reader, Field length, Field content) {
  return reader.take(reader.number<Length>(length), content);
}

// Returns the outcome for the status of an attempt, which is an errno value.
Outcome outcome_of(std::uint16_t status, const ByteReader& reader) {
  switch (status) {
    case 0: return Outcome::served;
    case 5: return Outcome::error;
    case 11: return Outcome::full;
    case 110: return Outcome::timed_out;
    case 111: return Outcome::connect_failed;
    case 104: return Outcome::reset;
    case 125: return Outcome::cancelled;
    case 114: return Outcome::not_sent;
    default: reader.reject("unknown outcome " + std::to_string(status));
  }
}

EndpointState decode_endpoint_state(ByteReader& reader) {
  const auto status = reader.number<std::uint8_t>(Field::status);
  switch (status) {
    case 0: return EndpointState::removed;
    case 2: return EndpointState::ready;
    case 3: return EndpointState::draining;
    default: reader.reject("unknown status " + std::to_string(status) + " of an engine");
  }
}

EndpointUpdate decode_scope(ByteReader& reader) {
  const auto scope = reader.number<std::uint8_t>(Field::list_scope);
  switch (scope) {
    case 0: return EndpointUpdate::delta;
    case 1: return EndpointUpdate::full;
    case 2: return EndpointUpdate::cached;
    case 3: return EndpointUpdate::failed;
    default: reader.reject("unknown scope " + std::to_string(scope) + " of a list");
  }
}

Endpoint decode_endpoint(ByteReader& reader) {
  Endpoint entry;
  entry.started_at = reader.time(Field::start_time);
  entry.state = decode_endpoint_state(reader);
  entry.cell = reader.number<std::uint16_t>(Field::cell);
  entry.id = reader.number<std::uint32_t>(Field::replica);
  entry.weight = reader.real(Field::weight);
  entry.kind = reader.number<std::uint16_t>(Field::kind);
  entry.zone = reader.number<std::uint16_t>(Field::zone);
  return entry;
}

EndpointList decode_endpoint_list(ByteReader& reader) {
  EndpointList list;
  list.list_number = reader.number<std::uint8_t>(Field::list_number);
  if (list.list_number >= kMaxLists)
    reader.reject("list number " + std::to_string(list.list_number) + " is not below " +
                  std::to_string(kMaxLists));
  const auto count = reader.number<std::uint32_t>(Field::list_entry_count);
  if (count > reader.remaining() / kEntryBytes)
    reader.reject("count of list entries " + std::to_string(count) + " exceeds the frame");
  list.members.reserve(count);
  for (std::uint32_t i = 0; i < count; ++i) list.members.push_back(decode_endpoint(reader));
  return list;
}

EndpointListUpdate decode_list_update(ByteReader& reader) {
  EndpointListUpdate update;
  update.scope = decode_scope(reader);
  update.epoch = reader.number<std::uint64_t>(Field::list_epoch);
  update.list_number = reader.number<std::uint8_t>(Field::list_number);
  return update;
}

Request decode_request(ByteReader& reader) {
  Request request;
  request.id = reader.number<std::uint64_t>(Field::request_id);
  request.prefix_tokens = reader.real(Field::prefix_tokens);
  request.work_hint = reader.number<std::uint32_t>(Field::work_hint);
  request.session = reader.number<std::uint64_t>(Field::session);
  request.prompt_tokens = reader.real(Field::prompt_tokens);
  const auto options = reader.number<std::uint8_t>(Field::options);
  if ((options & kHasWorkHint) == 0) request.work_hint = 0;
  request.client_repeat = (options & kIsClientRepeat) != 0;
  request.resumed = (options & kIsResumed) != 0;
  request.prefix = reader.number<std::uint64_t>(Field::prefix_id);
  request.tenant = reader.number<std::uint16_t>(Field::tenant);
  request.priority_class = reader.number<std::uint8_t>(Field::request_class);
  request.deadline = reader.time(Field::deadline);
  request.max_tokens = reader.real(Field::max_tokens);
  return request;
}

Result decode_result(ByteReader& reader) {
  Result event;
  event.result.id = reader.number<std::uint64_t>(Field::request_id);
  event.result.attempt = reader.number<std::uint8_t>(Field::attempt);
  event.result.replica = reader.number<std::uint32_t>(Field::replica);
  event.result.outcome = outcome_of(reader.number<std::uint16_t>(Field::status), reader);
  event.result.elapsed = reader.number<std::uint32_t>(Field::elapsed);
  event.result.concluded = reader.number<std::uint8_t>(Field::concluded) != 0;
  event.result.cached_tokens = reader.number<std::uint32_t>(Field::cached_tokens);
  event.report = reader.reals(Field::load_report);
  return event;
}

Start decode_start(ByteReader& reader) {
  Start start;
  start.seed = reader.number<std::uint64_t>(Field::seed);
  const auto text = take_with_length<std::uint32_t>(reader, Field::settings_length, Field::settings);
  start.settings_text.assign(text.begin(), text.end());
  return start;
}

FirstToken decode_first_token(ByteReader& reader) {
  FirstToken first;
  first.id = reader.number<std::uint64_t>(Field::request_id);
  first.elapsed = reader.number<std::uint32_t>(Field::elapsed);
  first.replica = reader.number<std::uint32_t>(Field::replica);
  first.attempt = reader.number<std::uint8_t>(Field::attempt);
  return first;
}

ProbeResult decode_probe_result(ByteReader& reader) {
  ProbeResult result;
  result.replica = reader.number<std::uint32_t>(Field::replica);
  result.alive = reader.number<std::uint16_t>(Field::status) == 0;
  reader.number<std::uint32_t>(Field::elapsed);
  result.report = reader.reals(Field::load_report);
  return result;
}

PeerMessage decode_peer_message(ByteReader& reader) {
  PeerMessage message;
  message.peer = reader.number<std::uint16_t>(Field::peer);
  const auto bytes = take_with_length<std::uint16_t>(reader, Field::message_length, Field::message);
  message.message.assign(bytes.begin(), bytes.end());
  return message;
}

EventBody decode_event_body(std::uint16_t code, ByteReader& reader) {
  switch (code) {
    case kStart: return decode_start(reader);
    case kEndpointListUpdate: return decode_list_update(reader);
    case kRequest: return decode_request(reader);
    case kFirstToken: return decode_first_token(reader);
    case kAttemptResult: return decode_result(reader);
    case kClientDisconnected: return ClientDisconnected{reader.number<std::uint64_t>(Field::request_id)};
    case kTimerExpired: return TimerExpired{reader.number<std::uint32_t>(Field::timer_token)};
    case kProbeResult: return decode_probe_result(reader);
    case kPeerMessage: return decode_peer_message(reader);
    case kStop: return Stop{};
    default: reader.reject("unknown event code " + std::to_string(code));
  }
}

// Appends a little-endian number with the size of T.
template <typename T>
void put(std::vector<std::uint8_t>& bytes, T value) {
  const auto bits = static_cast<std::uint64_t>(value);
  for (std::size_t i = 0; i < sizeof(T); ++i) bytes.push_back(static_cast<std::uint8_t>(bits >> (8 * i)));
}

ActionCode code_of(ActionKind kind) {
  switch (kind) {
    case ActionKind::send: return kSend;
    case ActionKind::reject: return kReject;
    case ActionKind::fail: return kFail;
    case ActionKind::cancel: return kCancel;
    case ActionKind::set_timer: return kSetTimer;
    case ActionKind::watch_endpoints: return kWatchEndpoints;
    case ActionKind::fetch_endpoints: return kFetchEndpoints;
    case ActionKind::probe: return kProbe;
    case ActionKind::message_peer: return kMessagePeer;
  }
  return kFail;  // not reached, because all kinds are handled above
}

// Returns a duration in the protocol's form: 32 bits, limited to 0..2^31 - 1 microseconds.
std::uint32_t as_duration(Time time) {
  return static_cast<std::uint32_t>(std::clamp<Time>(time, 0, std::numeric_limits<std::int32_t>::max()));
}

}  // namespace

Batch decode_batch(std::span<const std::uint8_t> payload) {
  ByteReader reader(payload);
  Batch batch;
  batch.now = reader.time(Field::clock);
  const auto count = reader.number<std::uint32_t>(Field::record_count);
  for (std::uint32_t i = 0; i < count; ++i) {
    reader.begin_record(i);
    const auto code = reader.number<std::uint16_t>(Field::record_code);
    Event event;
    if (code == kEndpointList) {
      event.body = decode_endpoint_list(reader);
    } else {
      event.instance = reader.number<std::uint16_t>(Field::instance);
      event.body = decode_event_body(code, reader);
    }
    batch.events.push_back(std::move(event));
  }
  if (reader.remaining() != 0)
    reader.reject(std::to_string(reader.remaining()) + " bytes left over after the last record");
  return batch;
}

void encode_action(std::uint16_t instance, const Action& action, Time now, std::vector<std::uint8_t>& bytes) {
  put<std::uint16_t>(bytes, code_of(action.kind));
  put(bytes, instance);
  switch (action.kind) {
    case ActionKind::send:
      put(bytes, action.id);
      put(bytes, as_duration(action.time));
      put(bytes, action.replica);
      break;
    case ActionKind::reject:
      put(bytes, action.id);
      put(bytes, as_duration(action.time));
      break;
    case ActionKind::fail: put(bytes, action.id); break;
    case ActionKind::cancel:
      put(bytes, action.id);
      put(bytes, action.attempt);
      break;
    case ActionKind::set_timer:
      put(bytes, static_cast<std::uint64_t>(std::max(action.time, now)));
      put(bytes, action.token);
      break;
    case ActionKind::watch_endpoints: put<std::uint8_t>(bytes, 1); break;
    case ActionKind::fetch_endpoints: break;
    case ActionKind::probe: put(bytes, action.replica); break;
    case ActionKind::message_peer:
      put(bytes, action.token);
      put(bytes, static_cast<std::uint16_t>(action.message.size()));
      bytes.insert(bytes.end(), action.message.begin(), action.message.end());
      break;
  }
}

std::vector<std::uint8_t> frame(std::span<const std::uint8_t> records) {
  std::vector<std::uint8_t> bytes;
  bytes.reserve(records.size() + kHeaderBytes);
  put(bytes, static_cast<std::uint32_t>(records.size()));
  bytes.insert(bytes.end(), records.begin(), records.end());
  return bytes;
}

std::uint32_t read_length(std::span<const std::uint8_t, kHeaderBytes> header) {
  return ByteReader(header).number<std::uint32_t>(Field::length);
}

}  // namespace thornwick::simulator_adapter
