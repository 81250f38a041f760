// IPFIX messages as they were written before. The program only writes them: collectors read.
#include <catch2/catch.hpp>

#include "committed.hpp"
#include "net/flow_exporter.hpp"

using namespace thornwick;
using thornwick::testing::check_written;

namespace {

constexpr const char* kFile = "flows.hex";
constexpr Time kSecond = seconds(1), kStart = seconds(1'764'000'000);

core::RequestSummary served() {
  core::RequestSummary tally;
  tally.ending = core::Ending::served;
  tally.arrived = kStart, tally.first_event = kStart + 120'000, tally.ended = kStart + seconds(2);
  tally.attempts = 2;
  tally.events = 40, tally.bytes = 12'345;
  tally.usage = {.prompt = 900, .generated = 77, .cached = 512};
  tally.request.cls = 1, tally.request.tenant = 258;
  return tally;
}

core::RequestSummary ended_as(core::Ending ending) {
  core::RequestSummary tally;
  tally.ending = ending;
  tally.arrived = kStart, tally.ended = kStart + kSecond;
  return tally;
}

}  // namespace

TEST_CASE("flows: a template and records are written as the committed message, and the next one counts on") {
  net::FlowWriter writer(42);
  writer.add(served(), "replica-7");
  for (const auto ending : {core::Ending::rejected, core::Ending::failed, core::Ending::timed_out,
                            core::Ending::broken, core::Ending::client_gone}) {
    writer.add(ended_as(ending), "");
  }
  check_written(kFile, "with-template",
                writer.take(kStart + seconds(3), net::FlowWriter::Template::included));
  writer.add(served(), std::string(300, 'x'));  // a name that is cut
  check_written(kFile, "without-template",
                writer.take(kStart + seconds(4), net::FlowWriter::Template::omitted));
}
