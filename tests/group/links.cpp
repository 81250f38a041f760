// Links by themselves, in one loop; and the file that counts starts.
#include "net/links.hpp"

#include <catch2/catch.hpp>

#include "../store/scratch.hpp"
#include "net/datagrams.hpp"
#include "node/identity.hpp"

using namespace thornwick;
using namespace thornwick::net;
using thornwick::testing::Scratch;

namespace {

struct End {
  explicit End(std::size_t number, std::uint32_t of_group = 7) {
    options.listen = "127.0.0.1:0";
    options.group = of_group;
    options.self = number;
    options.addresses = {"127.0.0.1:1", "127.0.0.1:1"};
    options.beat = 200'000;
    options.most_waiting = 200'000;
    options.seed = number + 1;
  }
  void open() {
    links = std::make_unique<Links>(
        options, Links::Callbacks{.received =
                                      [this](std::size_t from, std::uint8_t channel, std::string_view bytes) {
                                        received.push_back(std::to_string(from) + "/" +
                                                           std::to_string(channel) + "/" +
                                                           std::string(bytes.substr(0, 20)));
                                      },
                                  .changed = [this](std::size_t, bool up) { ups += up ? 1 : 0; },
                                  .room = [this](std::size_t) { ++rooms; }});
  }
  Links::Options options;
  std::unique_ptr<Links> links;
  std::vector<std::string> received;
  int ups = 0, rooms = 0;
};

bool loop_until(const std::function<bool()>& holds) {
  bool late = false;
  Timer limit;
  limit.start(20'000'000, [&] { late = true; });
  while (!late && !holds()) g_main_context_iteration(nullptr, TRUE);
  return !late;
}

// Both know where the other is.
void join(End& a, End& b) {
  a.open();
  b.options.addresses[0] = a.links->address();
  b.open();
  const std::string where = a.links->address();
  a.links.reset();
  a.options.listen = where;
  a.options.addresses[1] = b.links->address();
  a.open();
}

}  // namespace

TEST_CASE(
    "links: both dial, one stays; frames come whole and in order; a full queue says no, and then that there "
    "is room") {
  End a(0), b(1);
  join(a, b);
  a.links->want(1, true);
  b.links->want(0, true);
  REQUIRE(loop_until([&] { return a.links->up(1) && b.links->up(0); }));
  CHECK(a.links->send(1, 5, "first"));
  CHECK(a.links->send(1, 6, "second"));
  CHECK(b.links->send(0, 5, "back"));
  REQUIRE(loop_until([&] { return b.received.size() == 2 && a.received.size() == 1; }));
  CHECK(b.received == std::vector<std::string>{"0/5/first", "0/6/second"});
  CHECK(a.received.front() == "1/5/back");
  CHECK(!a.links->send(1, 5, std::string(Links::kMostFrame, 'x')));
  CHECK(!a.links->send(1, 0, "the links' own channel"));
  // Nothing is read meanwhile: what the kernel does not take waits here, up to the bound.
  const std::string big(60'000, 'y');
  int taken = 0;
  while (taken < 10'000 && a.links->send(1, 7, big)) ++taken;
  CHECK(taken < 10'000);
  CHECK(a.links->waiting(1) <= a.options.most_waiting);
  const std::size_t before = b.received.size();
  REQUIRE(loop_until(
      [&] { return a.rooms == 1 && b.received.size() == before + static_cast<std::size_t>(taken); }));
  CHECK(a.links->send(1, 7, big));
}

TEST_CASE("links: another group is refused; the other's end is noticed, and the link comes back by itself") {
  {
    End a(0), b(1, 8);
    join(a, b);
    b.links->want(0, true);
    REQUIRE(loop_until([&] { return a.links->counters().rejected > 0; }));
    CHECK((!a.links->up(1) && a.received.empty()));
  }
  End a(0), b(1);
  join(a, b);
  b.links->want(0, true);
  REQUIRE(loop_until([&] { return b.links->up(0); }));
  const std::string where = a.links->address();
  a.links.reset();
  REQUIRE(loop_until([&] { return !b.links->up(0); }));
  a.options.listen = where;
  a.open();
  REQUIRE(loop_until([&] { return a.links->up(1) && b.links->up(0); }));
  CHECK(b.links->send(0, 3, "again"));
  REQUIRE(loop_until([&] { return !a.received.empty(); }));
}

TEST_CASE("links: garbage, a frame without a greeting and silence each end a connection, and nothing else") {
  End a(0);
  a.open();
  const auto address = parse_address(a.links->address());
  for (const std::string& said : {std::string("GET / HTTP/1.1\r\n\r\n"), std::string(8, '\0') + "x",
                                  std::string("\xff\xff\xff\x7f\0\0\0\0", 8), std::string()}) {
    bool ended = false;
    Stream stranger({.connected = [] {},
                     .arrived = [](std::string_view) {},
                     .drained = {},
                     .ended = [&] { ended = true; }});
    REQUIRE(stranger.connect(address.get()));
    if (!said.empty()) stranger.write(said);
    REQUIRE(loop_until([&] { return ended; }));
  }
  CHECK(a.links->counters().spoilt + a.links->counters().rejected >= 2);
  CHECK(a.links->counters().silent >= 1);
  CHECK((a.received.empty() && a.ups == 0));
}

TEST_CASE("datagrams: a second socket at the same address is an error, not a share of what comes") {
  const Datagrams first("127.0.0.1:0", nullptr, [](auto, auto) {});
  CHECK_THROWS_AS(Datagrams(first.address(), nullptr, [](auto, auto) {}), NetError);
}

TEST_CASE(
    "a start is counted on its disk; an empty, a damaged and an unwritable file each make it a disk of its "
    "own") {
  Scratch scratch;
  const std::string path = scratch.path("group");
  const auto first = node::load_identity(path);
  CHECK((first.empty && first.problem.empty() && first.identity.start == 1 && first.identity.run != 0));
  const auto second = node::load_identity(path);
  CHECK((!second.empty && second.identity.disk == first.identity.disk && second.identity.start == 2));
  CHECK((second.identity.run != 0 &&
         second.identity.run != first.identity.run));  // a run of 0 was never taken for one
  const std::string whole = testing::read_bytes(path);
  for (std::size_t at = 0; at < whole.size(); at += 7) {
    std::string bad = whole;
    bad[at] = static_cast<char>(bad[at] ^ 1);
    testing::write_bytes(path, bad);
    const auto damaged = node::load_identity(path);
    CHECK((damaged.empty && !damaged.problem.empty() && damaged.identity.start == 1 &&
           damaged.identity.disk != first.identity.disk));
  }
  const auto nowhere = node::load_identity(scratch.path("no/such/folder"));
  CHECK((nowhere.empty && !nowhere.problem.empty()));
  const auto none = node::load_identity("");
  CHECK((none.empty && none.problem.empty()));
}
