// Tests of links between two routers in one main loop, of datagram sockets, and of the file that counts
// starts.
#include "net/links.hpp"

#include <catch2/catch.hpp>

#include "../store/scratch.hpp"
#include "net/datagrams.hpp"
#include "node/identity.hpp"

using namespace thornwick;
using namespace thornwick::net;
using thornwick::testing::Scratch;

namespace {

// One router's end of the links, which records its callbacks.
struct LinkEnd {
  explicit LinkEnd(std::size_t number, std::uint32_t group = 7) {
    options.listen = "127.0.0.1:0";
    options.group = group;
    options.self = number;
    options.addresses = {"127.0.0.1:1", "127.0.0.1:1"};
    options.heartbeat = milliseconds(200);
    options.max_queued_bytes = 200'000;
    options.seed = number + 1;
  }
  void open() {
    links = std::make_unique<PeerLinks>(
        options, PeerLinks::Callbacks{
                     .received =
                         [this](std::size_t from, std::uint8_t channel, std::string_view bytes) {
                           received.push_back(std::to_string(from) + "/" + std::to_string(channel) + "/" +
                                              std::string(bytes.substr(0, 20)));
                         },
                     .changed = [this](std::size_t,
                                       LinkState state) { connections += state == LinkState::up ? 1 : 0; },
                     .writable = [this](std::size_t) { ++room_callbacks; }});
  }
  PeerLinks::Options options;
  std::unique_ptr<PeerLinks> links;
  std::vector<std::string> received;
  int connections = 0;
  int room_callbacks = 0;
};

// Returns false if the condition does not hold within 20 seconds.
bool loop_until(const std::function<bool()>& holds) {
  bool timed_out = false;
  Timer limit;
  limit.start(seconds(20), [&] { timed_out = true; });
  while (!timed_out && !holds()) g_main_context_iteration(nullptr, TRUE);
  return !timed_out;
}

// Opens both ends, so that each has the other's address.
void join(LinkEnd& first, LinkEnd& second) {
  first.open();
  second.options.addresses[0] = first.links->address();
  second.open();
  const std::string address = first.links->address();
  first.links.reset();
  first.options.listen = address;
  first.options.addresses[1] = second.links->address();
  first.open();
}

}  // namespace

TEST_CASE(
    "links: of two connections one stays, frames arrive complete and in order, and a full queue rejects "
    "frames and reports later that it has room") {
  LinkEnd first(0);
  LinkEnd second(1);
  join(first, second);
  first.links->maintain_link(1);
  second.links->maintain_link(0);
  REQUIRE(loop_until([&] { return first.links->up(1) && second.links->up(0); }));
  CHECK(first.links->send(1, 5, "first"));
  CHECK(first.links->send(1, 6, "second"));
  CHECK(second.links->send(0, 5, "back"));
  REQUIRE(loop_until([&] { return second.received.size() == 2 && first.received.size() == 1; }));
  CHECK(second.received == std::vector<std::string>{"0/5/first", "0/6/second"});
  CHECK(first.received.front() == "1/5/back");
  CHECK(!first.links->send(1, 5, std::string(kMaxFrameBytes, 'x')));
  CHECK(!first.links->send(1, 0, "the links' own channel"));
  // The receiver does not read during this loop, so that frames beyond the kernel's buffers are queued, up to
  // the limit.
  const std::string large_frame(60'000, 'y');
  int accepted = 0;
  while (accepted < 10'000 && first.links->send(1, 7, large_frame)) ++accepted;
  CHECK(accepted < 10'000);
  CHECK(first.links->queued_bytes(1) <= first.options.max_queued_bytes);
  const std::size_t received_before = second.received.size();
  REQUIRE(loop_until([&] {
    return first.room_callbacks == 1 &&
           second.received.size() == received_before + static_cast<std::size_t>(accepted);
  }));
  CHECK(first.links->send(1, 7, large_frame));
}

TEST_CASE(
    "links: a router of another group is rejected, and a closed link is detected and connects again by "
    "itself") {
  {
    LinkEnd first(0);
    LinkEnd second(1, 8);
    join(first, second);
    second.links->maintain_link(0);
    REQUIRE(loop_until([&] { return first.links->counters().rejected > 0; }));
    CHECK((!first.links->up(1) && first.received.empty()));
  }
  LinkEnd first(0);
  LinkEnd second(1);
  join(first, second);
  second.links->maintain_link(0);
  REQUIRE(loop_until([&] { return second.links->up(0); }));
  const std::string address = first.links->address();
  first.links.reset();
  REQUIRE(loop_until([&] { return !second.links->up(0); }));
  first.options.listen = address;
  first.open();
  REQUIRE(loop_until([&] { return first.links->up(1) && second.links->up(0); }));
  CHECK(second.links->send(0, 3, "again"));
  REQUIRE(loop_until([&] { return !first.received.empty(); }));
}

TEST_CASE(
    "links: unreadable bytes, a frame without a greeting, and silence each close that connection only") {
  LinkEnd first(0);
  first.open();
  const auto address = parse_address(first.links->address());
  for (const std::string& bytes : {std::string("GET / HTTP/1.1\r\n\r\n"), std::string(8, '\0') + "x",
                                   std::string("\xff\xff\xff\x7f\0\0\0\0", 8), std::string()}) {
    bool ended = false;
    Stream client({.connected = [] {},
                   .arrived = [](std::string_view) {},
                   .drained = {},
                   .ended = [&] { ended = true; }});
    REQUIRE(client.connect(address.get()));
    if (!bytes.empty()) client.write(bytes);
    REQUIRE(loop_until([&] { return ended; }));
  }
  CHECK(first.links->counters().malformed + first.links->counters().rejected >= 2);
  CHECK(first.links->counters().timed_out >= 1);
  CHECK((first.received.empty() && first.connections == 0));
}

TEST_CASE("datagrams: a second socket at the same address is an error") {
  const DatagramSocket first("127.0.0.1:0", nullptr, [](auto, auto) {});
  CHECK_THROWS_AS(DatagramSocket(first.address(), nullptr, [](auto, auto) {}), NetError);
}

TEST_CASE(
    "a start is counted in the state file, and a missing, a damaged and an unwritable file each give a new "
    "disk id") {
  Scratch scratch;
  const std::string path = scratch.path("group");
  const auto first = node::load_identity(path);
  CHECK((first.new_disk && first.error.empty() && first.identity.start_number == 1 &&
         first.identity.instance_id != 0));
  const auto second = node::load_identity(path);
  CHECK((!second.new_disk && second.identity.disk_id == first.identity.disk_id &&
         second.identity.start_number == 2));
  // An instance id of 0 would identify no process.
  CHECK((second.identity.instance_id != 0 && second.identity.instance_id != first.identity.instance_id));
  const std::string bytes = testing::read_bytes(path);
  for (std::size_t offset = 0; offset < bytes.size(); offset += 7) {
    std::string changed = bytes;
    changed[offset] = static_cast<char>(changed[offset] ^ 1);
    testing::write_bytes(path, changed);
    const auto damaged = node::load_identity(path);
    CHECK((damaged.new_disk && !damaged.error.empty() && damaged.identity.start_number == 1 &&
           damaged.identity.disk_id != first.identity.disk_id));
  }
  const auto nowhere = node::load_identity(scratch.path("no/such/folder"));
  CHECK((nowhere.new_disk && !nowhere.error.empty()));
  const auto none = node::load_identity("");
  CHECK((none.new_disk && none.error.empty()));
}
