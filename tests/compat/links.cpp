// Frames of links and of fragments over them, as they were written before. The bytes are made where a link
// writes to its socket, so the tests stand at the other end of a connection over the loopback interface.
#include "net/links.hpp"

#include <sys/socket.h>

#include <catch2/catch.hpp>

#include "committed.hpp"
#include "net/message_fragmenter.hpp"

using namespace thornwick;
using namespace thornwick::net;
using thornwick::testing::check_written;
using thornwick::testing::committed;
using thornwick::testing::to_hex;

namespace {

constexpr const char* kFile = "links.hex";
constexpr std::uint32_t kGroup = 0x0badcafe;
constexpr std::size_t kSelf = 0, kOther = 1;
constexpr std::uint8_t kChannel = 5;
constexpr std::uint8_t kFragmentChannel = 200;
constexpr Time kNoBeat = seconds(600), kQuickBeat = milliseconds(200);
constexpr std::size_t kLast = 10;  // bytes in a message's last fragment
const std::string kWords("words\0\xff", 7);

std::string long_message() {
  return std::string(MessageFragmenter::kFragmentBytes, 'x') + std::string(kLast, 'y');
}

// Member 0 with its links, and a bare socket that speaks for member 1.
class Conversation {
 public:
  explicit Conversation(Time beat = kNoBeat) {
    PeerLinks::Options options;
    options.listen = "127.0.0.1:0";
    options.group = kGroup;
    options.self = kSelf;
    options.addresses = {"127.0.0.1:1", "127.0.0.1:1"};
    options.heartbeat = beat;
    links_ = std::make_unique<PeerLinks>(
        options, PeerLinks::Callbacks{
                     .received = [this](std::size_t from, std::uint8_t channel, std::string_view bytes) {
                       received.push_back({from, channel, std::string(bytes)});
                     }});
    const auto address = parse_address(links_->address());
    REQUIRE(stranger_.connect(address.get()));
    until([this] { return connected_; });
  }

  // Member 1 greets, and is greeted.
  void greet() {
    write_log("greeting-of-member-1");
    until([this] { return links_->up(kOther); });
    check_said("greeting-of-member-0");
  }
  void write_log(const std::string& label) { stranger_.write(committed(kFile, label)); }
  // What came is the committed line and nothing else.
  void check_said(const std::string& label) {
    const std::size_t size = committed(kFile, label).size();
    until([&] { return said_.size() >= size; });
    check_written(kFile, label, std::exchange(said_, {}));
  }
  template <typename Holds>
  void until(Holds holds) {
    bool late = false;
    Timer limit;
    limit.start(20'000'000, [&] { late = true; });
    while (!late && !holds()) g_main_context_iteration(nullptr, TRUE);
    REQUIRE_FALSE(late);
  }
  PeerLinks& links() { return *links_; }

  struct ReceivedFrame {
    std::size_t from;
    std::uint8_t channel;
    std::string bytes;
  };
  std::vector<ReceivedFrame> received;

 private:
  bool connected_ = false;
  std::string said_;
  std::unique_ptr<PeerLinks> links_;
  Stream stranger_{{.connected = [this] { connected_ = true; },
                    .arrived = [this](std::string_view bytes) { said_ += bytes; },
                    .drained = {},
                    .ended = [] {}}};
};

}  // namespace

TEST_CASE("links: a committed greeting is accepted, and answered with the committed one") {
  Conversation conversation;
  conversation.greet();
  CHECK(conversation.links().counters().rejected + conversation.links().counters().malformed == 0);
}

TEST_CASE("links: a committed frame is received with its channel and bytes, a committed heartbeat is not") {
  Conversation conversation;
  conversation.greet();
  conversation.write_log("beat");
  conversation.write_log("frame");
  conversation.until([&] { return !conversation.received.empty(); });
  REQUIRE(conversation.received.size() == 1);
  CHECK(conversation.received[0].from == kOther);
  CHECK(conversation.received[0].channel == kChannel);
  CHECK(conversation.received[0].bytes == kWords);
  CHECK(conversation.links().counters().malformed == 0);
}

TEST_CASE("links: a heartbeat is written as the committed bytes") {
  Conversation conversation(kQuickBeat);
  conversation.greet();
  conversation.write_log("beat");  // else the link ends: two beats after it was accepted
  conversation.check_said("beat");
}

TEST_CASE("links: the same frame is written as the committed bytes") {
  Conversation conversation;
  conversation.greet();
  REQUIRE(conversation.links().send(kOther, kChannel, kWords));
  conversation.check_said("frame");
}

TEST_CASE("fragments: committed frames of a cut message and of a short one are put together again") {
  Conversation conversation;
  conversation.greet();
  conversation.write_log("parcel-in-two-frames");
  conversation.write_log("parcel-in-one-frame");
  conversation.until([&] { return conversation.received.size() == 3; });
  MessageFragmenter fragmenter(kFragmentChannel);
  std::vector<std::string> whole;
  for (const auto& frame : conversation.received) {
    CHECK(frame.channel == kFragmentChannel);
    fragmenter.on_frame(frame.from, frame.bytes, [&](std::string_view bytes) { whole.emplace_back(bytes); });
  }
  REQUIRE(whole.size() == 2);
  CHECK((whole[0] == long_message()));
  CHECK(whole[1] == kWords);
  CHECK(fragmenter.counters().malformed == 0);
}

TEST_CASE("fragments: the same messages are written as the committed frames") {
  Conversation conversation;
  conversation.greet();
  MessageFragmenter fragmenter(kFragmentChannel);
  fragmenter.attach(conversation.links());
  REQUIRE(fragmenter.send(kOther, long_message()));
  conversation.check_said("parcel-in-two-frames");
  REQUIRE(fragmenter.send(kOther, kWords));
  conversation.check_said("parcel-in-one-frame");
}
