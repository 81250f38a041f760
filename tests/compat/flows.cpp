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
  core::RequestSummary summary;
  summary.status = core::CompletionStatus::served;
  summary.arrived_at = kStart;
  summary.first_event_at = kStart + milliseconds(120);
  summary.ended_at = kStart + seconds(2);
  summary.attempts = 2;
  summary.events = 40;
  summary.bytes = 12'345;
  summary.usage = {.prompt_tokens = 900, .generated_tokens = 77, .cached_tokens = 512};
  summary.request.priority_class = 1;
  summary.request.tenant = 258;
  return summary;
}

core::RequestSummary ended_as(core::CompletionStatus ending) {
  core::RequestSummary summary;
  summary.status = ending;
  summary.arrived_at = kStart;
  summary.ended_at = kStart + kSecond;
  return summary;
}

}  // namespace

TEST_CASE("flows: a template and records are written as the committed message, and the next one counts on") {
  net::FlowWriter writer(42);
  writer.add(served(), "replica-7");
  for (const auto ending :
       {core::CompletionStatus::rejected, core::CompletionStatus::failed, core::CompletionStatus::timed_out,
        core::CompletionStatus::interrupted, core::CompletionStatus::client_disconnected}) {
    writer.add(ended_as(ending), "");
  }
  check_written(kFile, "with-template",
                writer.take(kStart + seconds(3), net::FlowWriter::Template::included));
  writer.add(served(), std::string(300, 'x'));  // a name that is cut
  check_written(kFile, "without-template",
                writer.take(kStart + seconds(4), net::FlowWriter::Template::omitted));
}
