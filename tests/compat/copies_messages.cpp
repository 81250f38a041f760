// What routers tell each other of ledgers, and what a log replicates, as it was written before.
#include <catch2/catch.hpp>
#include <cstdio>
#include <functional>
#include <map>

#include "committed.hpp"
#include "replication/consensus.hpp"
#include "replication/ledger.hpp"
#include "replication/message.hpp"

using namespace thornwick;
using namespace thornwick::replication;
using thornwick::testing::check_written;
using thornwick::testing::committed;
using thornwick::testing::to_hex;

namespace {

constexpr const char* kMessagesFile = "copies-messages.hex";
constexpr const char* kLedgerFile = "ledger.hex";
constexpr const char* kRaftFile = "raft.hex";
constexpr std::size_t kLedgerNumber = 258;
constexpr Time kMillisecond = milliseconds(1), kSecond = seconds(1);

const Process kProcess = {.id = 0x1122334455667788,
                          .start_number = 3,
                          .instance_id = 0x99aabbcd,
                          .term = 4,
                          .last_term = 2,
                          .last_index = 70'000};
const Process kNoProcess = {};
const Hello kHello = {
    .process = kProcess,
    .stage = static_cast<std::uint8_t>(Stage::entering),
    .founders = {{"r0", 11}, {"r1", 0x1122334455667788}},
    .receiver_process =
        {.id = 11, .start_number = 1, .instance_id = 9, .term = 1, .last_term = 1, .last_index = 5},
    .placed_routers = {"r0", "r1", "r2"}};
const RaftMessage kRaftWords = {.from = 11,
                                .to = 0x1122334455667788,
                                .term = 4,
                                .last_term = 3,
                                .last_index = 300,
                                .bytes = std::string("\x00\xff raft", 7)};
const LeaseRequestLine kBucket = {.key = "tenant|*",
                                  .span = 0,
                                  .amount = 100'000,
                                  .per_s = 1'000,
                                  .window = 0,
                                  .used = 250,
                                  .requested = 500,
                                  .need = 100};
const LeaseRequestLine kWindow = {.key = "day",
                                  .span = 3,
                                  .amount = 1'000'000'000'000'000'000,
                                  .per_s = 0,
                                  .window = 20'000,
                                  .used = 1,
                                  .requested = 70'000,
                                  .need = 0};
const LeaseRequest kAsk = {.session = session_of(0xdeadbeef, 17),
                           .number = 1,
                           .begins_session = true,
                           .ends_session = false,
                           .lines = {kBucket, kWindow}};
const LeaseResponse kAnswer = {.number = 129,
                               .unknown_session = true,
                               .lines = {{.granted = 750, .available = 99'250, .known = true},
                                         {.granted = 0, .available = -5, .known = false}}};
const LeaseRejection kRefused = {
    .number = 6, .leader = "r1", .replica_routers = {"r0", "r1"}, .clock_ahead = true};
const Correction kCorrection = {.id = 0xfedcba9876543210, .set = true, .units = -12'345, .account = kBucket};
const OperatorResponse kCorrected = {
    .id = 0xfedcba9876543210, .accepted = false, .reason = "there is no room for this account"};
const Replacement kReplace = {.id = 8, .old_name = "r1", .new_name = "r2"};

// The body of a committed message, after its envelope was read and compared.
template <typename Body>
Body body_of(const std::string& label, MessageKind kind) {
  INFO(label);
  const auto envelope = replication::read<MessageHeader>(committed(kMessagesFile, label));
  REQUIRE(envelope);
  CHECK(envelope->version == 1);
  CHECK(envelope->kind == static_cast<std::uint8_t>(kind));
  CHECK(envelope->ledger == kLedgerNumber);
  const auto body = replication::read<Body>(envelope->body);
  REQUIRE(body);
  return *body;
}

void check_same(const Process& read, const Process& expected) {
  CHECK(read.id == expected.id);
  CHECK(read.start_number == expected.start_number);
  CHECK(read.instance_id == expected.instance_id);
  CHECK(read.position() == expected.position());
}

void check_same(const LeaseRequestLine& read, const LeaseRequestLine& expected) {
  CHECK(read.key == expected.key);
  CHECK(read.span == expected.span);
  CHECK(read.amount == expected.amount);
  CHECK(read.per_s == expected.per_s);
  CHECK(read.window == expected.window);
  CHECK(read.used == expected.used);
  CHECK(read.requested == expected.requested);
  CHECK(read.need == expected.need);
}

// A ledger after one of each command, and the commands.
struct NamedCommand {
  const char* label;
  Command command;
};
std::vector<NamedCommand> commands() {
  std::vector<NamedCommand> all = {{"ask", Command(CommandKind::lease_request)},
                                   {"tick", Command(CommandKind::tick)},
                                   {"correct", Command(CommandKind::correction)},
                                   {"expire", Command(CommandKind::expiry)},
                                   {"replace", Command(CommandKind::replacement)}};
  all[0].command.lease_request = kAsk;
  all[1].command.elapsed = 1'500'000;
  all[2].command.correction = {.id = 77, .set = false, .units = 5'000, .account = kWindow};
  all[3].command.expired_sessions = {kAsk.session};
  all[4].command.old_name = "r1", all[4].command.new_name = "r2";
  return all;
}

// Two copies that found a log together, and a third that joins when entries have been cut off: it gets a
// snapshot. Messages arrive at once and records are durable at once; all is decided by the virtual clock and
// by a counted chance.
class VirtualCopies {
 public:
  struct Node final : Records {
    std::map<std::string, std::string> records;
    std::uint64_t drawn = 0;
    std::vector<std::string> applied;
    std::unique_ptr<Consensus> consensus;
    void write(std::string key, std::optional<std::string> value) override {
      if (value) {
        records[key] = *value;
      } else {
        records.erase(key);
      }
    }
    std::uint64_t last_write_number() override { return 0; }
  };
  using Send = std::function<void(ReplicaUid from, ReplicaUid to, std::string bytes)>;

  explicit VirtualCopies(Send send) : send_(std::move(send)) {}

  void begin(ReplicaUid id, bool founds, Time now) {
    Node& node = nodes[id];
    if (founds) node.records = Consensus::founding_records({{11, name(11), true}, {22, name(22), true}});
    const auto stored = [&node](const RecordVisitor& visit) {
      for (const auto& [key, value] : std::map(node.records)) visit(key, value);
    };
    const Consensus::Options options{.id = id,
                                     .name = name(id),
                                     .election_timeout = 400 * kMillisecond,
                                     .heartbeat_interval = 200 * kMillisecond,
                                     .snapshot_threshold = 4,
                                     .trailing_entries = 1};
    node.consensus = std::make_unique<Consensus>(
        options,
        Consensus::Dependencies{
            .records = node,
            .random_number = [&node, id] { return id * 13 * ++node.drawn; },
            .send = [this, id](ReplicaUid to, const std::string&,
                               std::string bytes) { send_(id, to, std::move(bytes)); },
            .apply = [&node](std::string_view command) { node.applied.emplace_back(command); },
            .snapshot =
                [&node] { return node.applied.empty() ? std::string("nothing") : node.applied.back(); },
            .restore =
                [&node](std::string_view bytes) {
                  node.applied = {std::string(bytes)};
                  return true;
                }},
        stored, now);
  }
  void hear(Time now, ReplicaUid from, ReplicaUid to, const std::string& bytes) {
    if (const auto found = nodes.find(to); found != nodes.end())
      found->second.consensus->on_message(now, from, name(from), 0, bytes);
  }

  // C-Raft leaves the bytes unset with which it fills up an encoded configuration to a multiple of eight.
  // With names of these lengths, "name#id" and all, there are none.
  static std::string name(ReplicaUid id) { return id == 11 ? "r1" : "r" + std::to_string(id); }

  std::map<ReplicaUid, Node> nodes;

 private:
  Send send_;
};

constexpr Time kStep = 50 * kMillisecond, kThirdComes = seconds(2), kThirdVotes = kThirdComes + 4 * kStep,
               kEnd = seconds(3);
constexpr int kProposals = 6;

std::string command_number(int number) { return "command " + std::to_string(number); }

struct SentMessage {
  Time at;
  ReplicaUid from, to;
  std::string bytes;
  std::string label() const {
    return std::to_string(at / kMillisecond) + " ms, " + std::to_string(from) + " to " + std::to_string(to);
  }
};

// All messages among the three replicas, in order.
void converse(VirtualCopies& copies, std::vector<SentMessage>& sent, Time& now) {
  copies.begin(11, true, 0);
  copies.begin(22, true, 0);
  int proposed = 0;
  std::size_t delivered = 0;
  for (now = kStep; now <= kEnd; now += kStep) {
    if (now == kThirdComes) copies.begin(33, false, now);
    for (auto& [id, node] : copies.nodes) {
      node.consensus->tick(now);
      if (now % (4 * kStep) == 0 && proposed < kProposals && node.consensus->is_leader()) {
        node.consensus->propose(now, command_number(++proposed), [](auto) {});
      }
      if (now == kThirdComes && node.consensus->is_leader())
        node.consensus->add(now, 33, VirtualCopies::name(33));
      if (now == kThirdVotes && node.consensus->is_leader()) node.consensus->promote(now, 33);
    }
    for (; delivered < sent.size(); ++delivered) {
      const SentMessage one = sent[delivered];
      copies.hear(now, one.from, one.to, one.bytes);
    }
  }
}

}  // namespace

TEST_CASE("copies: a committed hello reads field by field") {
  const auto hello = body_of<Hello>("hello", MessageKind::hello);
  check_same(hello.process, kHello.process);
  CHECK(hello.stage == kHello.stage);
  CHECK(hello.founders == kHello.founders);
  check_same(hello.receiver_process, kHello.receiver_process);
  CHECK(hello.placed_routers == kHello.placed_routers);
}

TEST_CASE("copies: committed words of consensus read field by field") {
  const auto words = body_of<RaftMessage>("raft", MessageKind::raft);
  CHECK(words.from == kRaftWords.from);
  CHECK(words.to == kRaftWords.to);
  CHECK(words.term == kRaftWords.term);
  CHECK(words.last_term == kRaftWords.last_term);
  CHECK(words.last_index == kRaftWords.last_index);
  CHECK(words.bytes == kRaftWords.bytes);
}

TEST_CASE("copies: a committed question reads field by field") {
  const auto ask = body_of<LeaseRequest>("ask", MessageKind::lease_request);
  CHECK(ask.session == kAsk.session);
  CHECK(ask.number == kAsk.number);
  CHECK(ask.begins_session == kAsk.begins_session);
  CHECK(ask.ends_session == kAsk.ends_session);
  REQUIRE(ask.lines.size() == 2);
  check_same(ask.lines[0], kBucket);
  check_same(ask.lines[1], kWindow);
}

TEST_CASE("copies: a committed answer reads field by field") {
  const auto answer = body_of<LeaseResponse>("answer", MessageKind::lease_response);
  CHECK(answer.number == kAnswer.number);
  CHECK(answer.unknown_session == kAnswer.unknown_session);
  REQUIRE(answer.lines.size() == kAnswer.lines.size());
  for (std::size_t i = 0; i < answer.lines.size(); ++i) {
    CHECK(answer.lines[i].granted == kAnswer.lines[i].granted);
    CHECK(answer.lines[i].available == kAnswer.lines[i].available);
    CHECK(answer.lines[i].known == kAnswer.lines[i].known);
  }
}

TEST_CASE("copies: a committed refusal reads field by field") {
  const auto rejected = body_of<LeaseRejection>("refused", MessageKind::lease_rejection);
  CHECK(rejected.number == kRefused.number);
  CHECK(rejected.leader == kRefused.leader);
  CHECK(rejected.replica_routers == kRefused.replica_routers);
  CHECK(rejected.clock_ahead == kRefused.clock_ahead);
}

TEST_CASE("copies: committed words of an operator read field by field") {
  const auto correction = body_of<Correction>("correct", MessageKind::correction);
  CHECK(correction.id == kCorrection.id);
  CHECK(correction.set == kCorrection.set);
  CHECK(correction.units == kCorrection.units);
  check_same(correction.account, kCorrection.account);
  const auto corrected = body_of<OperatorResponse>("corrected", MessageKind::operator_response);
  CHECK(corrected.id == kCorrected.id);
  CHECK(corrected.accepted == kCorrected.accepted);
  CHECK(corrected.reason == kCorrected.reason);
  const auto replace = body_of<Replacement>("replace", MessageKind::replacement);
  CHECK(replace.id == kReplace.id);
  CHECK(replace.old_name == kReplace.old_name);
  CHECK(replace.new_name == kReplace.new_name);
}

TEST_CASE("copies: the same message of each kind is written as the committed bytes") {
  check_written(kMessagesFile, "hello", write(MessageKind::hello, kLedgerNumber, kHello));
  check_written(kMessagesFile, "raft", write(MessageKind::raft, kLedgerNumber, kRaftWords));
  check_written(kMessagesFile, "ask", write(MessageKind::lease_request, kLedgerNumber, kAsk));
  check_written(kMessagesFile, "answer", write(MessageKind::lease_response, kLedgerNumber, kAnswer));
  check_written(kMessagesFile, "refused", write(MessageKind::lease_rejection, kLedgerNumber, kRefused));
  check_written(kMessagesFile, "correct", write(MessageKind::correction, kLedgerNumber, kCorrection));
  check_written(kMessagesFile, "corrected", write(MessageKind::operator_response, kLedgerNumber, kCorrected));
  check_written(kMessagesFile, "replace", write(MessageKind::replacement, kLedgerNumber, kReplace));
}

TEST_CASE("ledger: the same command of each kind is written as the committed bytes") {
  for (const auto& [label, command] : commands()) check_written(kLedgerFile, label, Ledger::write(command));
}

TEST_CASE("ledger: committed commands lead to the books that they led to, and to the committed snapshot") {
  Ledger ledger;
  const auto asked = ledger.apply(committed(kLedgerFile, "ask"));
  REQUIRE((asked && asked->response));
  REQUIRE(asked->response->lines.size() == 2);
  CHECK(asked->response->lines[0].granted == 750);  // used and hold together
  CHECK(asked->response->lines[0].available == 99'250);
  REQUIRE(ledger.apply(committed(kLedgerFile, "tick")));
  const auto corrected = ledger.apply(committed(kLedgerFile, "correct"));
  REQUIRE(corrected);
  CHECK(corrected->correction_outcome == CorrectionOutcome::applied);
  REQUIRE(ledger.apply(committed(kLedgerFile, "expire")));
  REQUIRE(ledger.apply(committed(kLedgerFile, "replace")));
  CHECK(ledger.invariant_violation().empty());
  check_written(kLedgerFile, "snapshot", ledger.snapshot());
}

TEST_CASE("ledger: a committed snapshot restores the books") {
  Ledger ledger;
  REQUIRE(ledger.restore(committed(kLedgerFile, "snapshot")));
  CHECK(ledger.invariant_violation().empty());
  REQUIRE(ledger.accounts().size() == 2);
  const AccountLedger& day = ledger.accounts().at("day");
  CHECK(day.span == 3);
  const WindowLedger& window = day.windows.at(20'000);
  CHECK(window.amount == 1'000'000'000'000'000'000);
  CHECK(window.correction_sum == 1);  // of the 5'000: what is left and in hand is never above the amount
  CHECK(ledger.accounts().at("tenant|*").per_s == 1'000);
  REQUIRE(ledger.sessions().size() == 1);
  CHECK(ledger.sessions().at(kAsk.session).number == 1);
  CHECK(ledger.sessions().at(kAsk.session).expired);
  CHECK(ledger.has_applied(77));
  CHECK(ledger.replacements() == std::map<std::string, std::string>{{"r1", "r2"}});
  CHECK(to_hex(ledger.snapshot()) == to_hex(committed(kLedgerFile, "snapshot")));
}

TEST_CASE("consensus: copies that found a log and fill a third one send each other the committed messages") {
  std::vector<SentMessage> sent;
  Time now = 0;
  VirtualCopies copies([&](ReplicaUid from, ReplicaUid to, std::string bytes) {
    sent.push_back({now, from, to, std::move(bytes)});
  });
  converse(copies, sent, now);
  const auto lines = committed(kRaftFile);
  REQUIRE(sent.size() == lines.size());
  for (std::size_t i = 0; i < sent.size(); ++i) {
    INFO("message " << i << ", " << sent[i].label());
    CHECK(sent[i].label() == lines[i].first);
    CHECK(to_hex(sent[i].bytes) == to_hex(lines[i].second));
  }
  for (const auto& [id, node] : copies.nodes) {
    REQUIRE_FALSE(node.applied.empty());
    CHECK(node.applied.back() == command_number(kProposals));
  }
}

TEST_CASE(
    "consensus: a third copy that hears the committed messages reads entries and snapshot, and answers with "
    "the committed bytes") {
  std::vector<std::string> answers, expected;
  VirtualCopies copies([&](ReplicaUid, ReplicaUid, std::string bytes) { answers.push_back(to_hex(bytes)); });
  copies.begin(33, false, kThirdComes);
  for (const auto& [label, bytes] : committed(kRaftFile)) {
    Time at = 0;
    ReplicaUid from = 0, to = 0;
    REQUIRE(std::sscanf(label.c_str(), "%ld ms, %lu to %lu", &at, &from, &to) == 3);
    if (to == 33) copies.hear(at * kMillisecond, from, to, bytes);
    if (from == 33) expected.push_back(to_hex(bytes));
  }
  REQUIRE(!expected.empty());
  CHECK(answers == expected);
  REQUIRE_FALSE(copies.nodes.at(33).applied.empty());
  CHECK(copies.nodes.at(33).applied.back() == command_number(kProposals));
}
