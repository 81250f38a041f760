// Flow records, read by a stand-in collector that decodes them with the received template.
#include <array>
#include <catch2/catch.hpp>

#include "net/flow_exporter.hpp"
#include "scenario_runner.hpp"

using namespace thornwick;
using thornwick::testing::ScenarioRunner;

namespace {

class Collector {
 public:
  Collector()
      : socket_(g_socket_new(G_SOCKET_FAMILY_IPV4, G_SOCKET_TYPE_DATAGRAM, G_SOCKET_PROTOCOL_UDP, nullptr)) {
    g_socket_set_blocking(socket_.get(), FALSE);
    REQUIRE(g_socket_bind(socket_.get(), net::parse_address("127.0.0.1:0").get(), TRUE, nullptr));
  }

  std::string address() const {
    const net::Owned<GSocketAddress> local(g_socket_get_local_address(socket_.get(), nullptr));
    return net::address_text(local.get());
  }

  // Returns the records of the next message: for each, its values by information element. The enterprise's
  // elements have 1000 added to their numbers.
  std::vector<std::map<unsigned, std::string>> read() {
    std::array<char, 4096> bytes;
    gssize received = -1;
    while (received < 0) {
      g_main_context_iteration(nullptr, FALSE);
      received = g_socket_receive(socket_.get(), bytes.data(), bytes.size(), nullptr, nullptr);
    }
    return parse({bytes.data(), static_cast<std::size_t>(received)});
  }

  std::vector<std::map<unsigned, std::string>> parse(std::string message) {
    REQUIRE(number(message.substr(0, 2)) == 10);
    REQUIRE(number(message.substr(2, 2)) == message.size());
    sequence = number(message.substr(8, 4));
    std::vector<std::map<unsigned, std::string>> records;
    for (std::size_t position = 16; position < message.size();) {
      const auto set = number(message.substr(position, 2)), length = number(message.substr(position + 2, 2));
      REQUIRE(position + length <= message.size());
      const std::string body = message.substr(position + 4, length - 4);
      if (set == 2) read_template(body);
      if (set == net::kFlowTemplate) read_records(body, records);
      position += length;
    }
    return records;
  }

  static std::uint64_t number(const std::string& bytes) {
    std::uint64_t value = 0;
    for (const char c : bytes) value = value << 8 | static_cast<unsigned char>(c);
    return value;
  }

  std::uint64_t sequence = 0;

 private:
  void read_template(const std::string& body) {
    fields_.clear();
    std::size_t position = 4;
    for (auto remaining = number(body.substr(2, 2)); remaining > 0; --remaining, position += 4) {
      auto id = static_cast<unsigned>(number(body.substr(position, 2)));
      const auto length = number(body.substr(position + 2, 2));
      if (id & 0x8000) {
        REQUIRE(number(body.substr(position + 4, 4)) == 32473);
        id = (id & 0x7fff) + 1000;
        position += 4;
      }
      fields_.push_back({id, length});
    }
    REQUIRE(position == body.size());
  }

  void read_records(const std::string& body, std::vector<std::map<unsigned, std::string>>& records) {
    REQUIRE(!fields_.empty());
    for (std::size_t position = 0; position < body.size();) {
      auto& record = records.emplace_back();
      for (auto [id, length] : fields_) {
        if (length == 65535) length = static_cast<unsigned char>(body.at(position++));
        record[id] = body.substr(position, length);
        position += length;
      }
      REQUIRE(position <= body.size());
    }
  }

  std::vector<std::pair<unsigned, std::uint64_t>> fields_;
  net::Owned<GSocket> socket_;
};

}  // namespace

TEST_CASE("each request gives one flow record") {
  Collector collector;
  ScenarioRunner runner({.flow_collector = collector.address()});
  runner.run(R"(
    client1 send $ask(r1)
    attempt1 send $stream$delta(one)$done
    client1 expect \r\n0\r\n\r\n
    client1 send $ask(r2)
    attempt2 send $full
    client1 expect HTTP/1.1 503 
  )");
  const auto records = collector.read();
  REQUIRE(records.size() == 2);
  const auto value = [&](std::size_t i, unsigned id) { return Collector::number(records[i].at(id)); };
  CHECK(value(0, 152) <= value(0, 153));
  CHECK(value(0, 1001) == static_cast<unsigned>(core::CompletionStatus::served));
  CHECK(value(0, 1005) == 40);
  CHECK(value(0, 1006) == 2);
  CHECK(value(0, 1007) == 16);
  CHECK(value(0, 2) == 4);  // the delta, the usage, the terminal event and the report's comment
  CHECK(records[0].at(1009) == "s-01");
  CHECK(value(1, 1001) == static_cast<unsigned>(core::CompletionStatus::rejected));
  CHECK(value(1, 1002) == 1);
  CHECK(value(1, 2) == 0);
}

TEST_CASE(
    "the sequence number counts the records of earlier messages, and a message has the template only on "
    "request") {
  Collector collector;
  net::FlowWriter writer(7);
  writer.add({}, "s-01");
  writer.add({}, std::string(300, 'x'));
  CHECK(collector.parse(writer.take(1'000'000, net::FlowWriter::Template::included)).at(1).at(1009).size() ==
        200);
  CHECK(collector.sequence == 0);
  writer.add({}, "");
  CHECK(collector.parse(writer.take(2'000'000, net::FlowWriter::Template::omitted)).size() == 1);
  CHECK(collector.sequence == 2);
}
