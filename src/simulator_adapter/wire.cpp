#include "simulator_adapter/wire.hpp"

#include <algorithm>
#include <limits>

#include "simulator_adapter/byte_reader.hpp"

namespace thornwick::simulator_adapter {
namespace {

// Codes of the records, as the simulator defines them.
enum EventCode : std::uint16_t {
  kStart = 256,
  kEndpointList = 257,
  kRequest = 258,
  kFirstToken = 259,
  kAttemptResult = 260,
  kClientGone = 261,
  kTimerDue = 262,
  kProbeResult = 263,
  kPeerMessage = 264,
  kStop = 265,
  kRoster = 266
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

constexpr std::size_t kEntryBytes = 23;  // of one endpoint in a list

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

Endpoint decode_endpoint(ByteReader& reader) {
  Endpoint entry;
  entry.started = reader.time("start time");
  switch (reader.number<std::uint8_t>("status")) {
    case 2: entry.state = EndpointState::ready; break;
    case 3: entry.state = EndpointState::draining; break;
    case 0: entry.state = EndpointState::gone; break;
    default: reader.reject("unknown status of an engine");
  }
  entry.cell = reader.number<std::uint16_t>("block");
  entry.id = reader.number<std::uint32_t>("engine");
  entry.weight = reader.real("weight");
  entry.kind = reader.number<std::uint16_t>("type");
  entry.zone = reader.number<std::uint16_t>("zone");
  return entry;
}

Roster decode_roster(ByteReader& reader) {
  Roster roster;
  roster.table = reader.number<std::uint8_t>("list number");
  if (roster.table >= kTables) reader.reject("list number out of range");
  const auto count = reader.number<std::uint32_t>("count of list entries");
  if (count > reader.left() / kEntryBytes) reader.reject("count of list entries exceeds the frame");
  roster.members.reserve(count);
  for (std::uint32_t i = 0; i < count; ++i) roster.members.push_back(decode_endpoint(reader));
  return roster;
}

EndpointListUpdate decode_endpoint_list(ByteReader& reader) {
  EndpointListUpdate update;
  switch (reader.number<std::uint8_t>("scope")) {
    case 0: update.scope = EndpointUpdate::delta; break;
    case 1: update.scope = EndpointUpdate::full; break;
    case 2: update.scope = EndpointUpdate::cached; break;
    case 3: update.scope = EndpointUpdate::failed; break;
    default: reader.reject("unknown scope of a list");
  }
  update.epoch = reader.number<std::uint64_t>("epoch");
  update.table = reader.number<std::uint8_t>("list number");
  return update;
}

Request decode_request(ByteReader& reader) {
  Request request;
  request.id = reader.number<std::uint64_t>("request id");
  request.prefix_tokens = reader.real("prefix length");
  request.work_hint = reader.number<std::uint32_t>("cost hint");
  request.session = reader.number<std::uint64_t>("key");
  request.prompt_tokens = reader.real("prompt length");
  const auto options = reader.number<std::uint8_t>("options");
  if ((options & 1) == 0) request.work_hint = 0;
  request.client_repeat = (options & 2) != 0;
  request.resumed = (options & 16) != 0;
  request.prefix = reader.number<std::uint64_t>("prefix id");
  request.tenant = reader.number<std::uint16_t>("tenant");
  request.cls = reader.number<std::uint8_t>("class");
  request.due = reader.time("due");
  request.max_tokens = reader.real("answer limit");
  return request;
}

Result decode_result(ByteReader& reader) {
  Result event;
  event.result.id = reader.number<std::uint64_t>("request id");
  event.result.attempt = reader.number<std::uint8_t>("attempt");
  event.result.replica = reader.number<std::uint32_t>("engine");
  event.result.outcome = outcome_of(reader.number<std::uint16_t>("status"), reader);
  event.result.elapsed = reader.number<std::uint32_t>("elapsed time");
  event.result.concluded = reader.number<std::uint8_t>("done flag") != 0;
  event.result.cached_tokens = reader.number<std::uint32_t>("remark");
  event.report = reader.reals("load report");
  return event;
}

Start decode_start(ByteReader& reader) {
  Start start;
  start.seed = reader.number<std::uint64_t>("seed");
  const auto text = reader.take(reader.number<std::uint32_t>("length of the settings"), "settings");
  start.params.assign(text.begin(), text.end());
  return start;
}

FirstToken decode_first_token(ByteReader& reader) {
  FirstToken first;
  first.id = reader.number<std::uint64_t>("request id");
  first.elapsed = reader.number<std::uint32_t>("elapsed time");
  first.replica = reader.number<std::uint32_t>("engine");
  first.attempt = reader.number<std::uint8_t>("attempt");
  return first;
}

Probed decode_probe_result(ByteReader& reader) {
  Probed probed;
  probed.replica = reader.number<std::uint32_t>("engine");
  probed.alive = reader.number<std::uint16_t>("status") == 0;
  reader.number<std::uint32_t>("elapsed time");
  probed.report = reader.reals("load report");
  return probed;
}

PeerMessage decode_peer_message(ByteReader& reader) {
  PeerMessage message;
  message.peer = reader.number<std::uint16_t>("peer");
  const auto bytes = reader.take(reader.number<std::uint16_t>("length of the message"), "message");
  message.message.assign(bytes.begin(), bytes.end());
  return message;
}

Body decode_body(std::uint16_t code, ByteReader& reader) {
  switch (code) {
    case kStart: return decode_start(reader);
    case kEndpointList: return decode_endpoint_list(reader);
    case kRequest: return decode_request(reader);
    case kFirstToken: return decode_first_token(reader);
    case kAttemptResult: return decode_result(reader);
    case kClientGone: return ClientGone{reader.number<std::uint64_t>("request id")};
    case kTimerDue: return Timer{reader.number<std::uint32_t>("timer value")};
    case kProbeResult: return decode_probe_result(reader);
    case kPeerMessage: return decode_peer_message(reader);
    case kStop: return Stop{};
    default: reader.reject("unknown event code " + std::to_string(code));
  }
}

template <typename T>
void put(std::vector<std::uint8_t>& bytes, T value) {
  const auto bits = static_cast<std::uint64_t>(value);
  for (std::size_t i = 0; i < sizeof(T); ++i) bytes.push_back(static_cast<std::uint8_t>(bits >> (8 * i)));
}

void put_header(std::vector<std::uint8_t>& bytes, ActionCode code, std::uint16_t instance) {
  put<std::uint16_t>(bytes, code);
  put<std::uint16_t>(bytes, instance);
}

std::uint32_t as_duration(Time time) {
  return static_cast<std::uint32_t>(std::clamp<Time>(time, 0, std::numeric_limits<std::int32_t>::max()));
}

}  // namespace

Batch decode_batch(std::span<const std::uint8_t> payload) {
  ByteReader reader(payload);
  Batch batch;
  batch.now = reader.time("clock");
  const auto count = reader.number<std::uint32_t>("number of records");
  for (std::uint32_t i = 0; i < count; ++i) {
    reader.begin_record(i);
    const auto code = reader.number<std::uint16_t>("record code");
    Event event;
    if (code == kRoster) {
      event.body = decode_roster(reader);
    } else {
      event.instance = reader.number<std::uint16_t>("instance");
      event.body = decode_body(code, reader);
    }
    batch.events.push_back(std::move(event));
  }
  if (reader.left() != 0) reader.reject("bytes left over after the last record");
  return batch;
}

void encode_action(std::uint16_t instance, const Action& action, Time now, std::vector<std::uint8_t>& bytes) {
  switch (action.kind) {
    case ActionKind::send:
      put_header(bytes, kSend, instance);
      put(bytes, action.id);
      put(bytes, as_duration(action.time));
      put(bytes, action.replica);
      break;
    case ActionKind::reject:
      put_header(bytes, kReject, instance);
      put(bytes, action.id);
      put(bytes, as_duration(action.time));
      break;
    case ActionKind::fail:
      put_header(bytes, kFail, instance);
      put(bytes, action.id);
      break;
    case ActionKind::cancel:
      put_header(bytes, kCancel, instance);
      put(bytes, action.id);
      put(bytes, action.attempt);
      break;
    case ActionKind::set_timer:
      put_header(bytes, kSetTimer, instance);
      put(bytes, static_cast<std::uint64_t>(std::max(action.time, now)));
      put(bytes, action.token);
      break;
    case ActionKind::watch_endpoints:
      put_header(bytes, kWatchEndpoints, instance);
      put<std::uint8_t>(bytes, 1);
      break;
    case ActionKind::fetch_endpoints: put_header(bytes, kFetchEndpoints, instance); break;
    case ActionKind::probe:
      put_header(bytes, kProbe, instance);
      put(bytes, action.replica);
      break;
    case ActionKind::message_peer:
      put_header(bytes, kMessagePeer, instance);
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
  return ByteReader(header).number<std::uint32_t>("length");
}

}  // namespace thornwick::simulator_adapter
