#include "net/flow_exporter.hpp"

#include "logging/log.hpp"

namespace thornwick::net {
namespace {

constexpr Time kFlushDelay = seconds(1);  // for which a record waits for other records
// The template is repeated because UDP may lose a template (RFC 7011, section 8.1).
constexpr Time kTemplateInterval = seconds(30);

Owned<GSocketAddress> collector_address(const std::string& text) {
  auto address = parse_address(text);
  if (!address) throw NetError("flows: not an address: " + text);
  return address;
}

Owned<GSocket> new_socket(GSocketAddress* collector) {
  GLibError error;
  Owned<GSocket> socket(g_socket_new(g_socket_address_get_family(collector), G_SOCKET_TYPE_DATAGRAM,
                                     G_SOCKET_PROTOCOL_UDP, error.out()));
  if (!socket) throw NetError("flows: cannot create a socket: " + error.message());
  g_socket_set_blocking(socket.get(), FALSE);
  return socket;
}

}  // namespace

FlowExporter::FlowExporter(const std::string& collector, std::uint32_t domain)
    : writer_(domain), collector_(collector_address(collector)), socket_(new_socket(collector_.get())) {}

FlowExporter::~FlowExporter() {
  if (writer_.pending() > 0) flush();
}

void FlowExporter::add(const core::RequestSummary& summary, std::string_view replica) {
  writer_.add(summary, replica);
  if (writer_.full()) return flush();
  if (!flush_timer_.running()) flush_timer_.start(kFlushDelay, [this] { flush(); });
}

void FlowExporter::flush() {
  flush_timer_.stop();
  const Time now = now_us();
  const bool with_template = template_sent_at_ == 0 || now - template_sent_at_ >= kTemplateInterval;
  if (with_template) template_sent_at_ = now;
  sent_records_ += writer_.pending();
  const std::string message =
      writer_.take(now, with_template ? FlowWriter::Template::included : FlowWriter::Template::omitted);
  GLibError error;
  const gssize sent =
      g_socket_send_to(socket_.get(), collector_.get(), message.data(), message.size(), nullptr, error.out());
  if (sent < 0) {
    logging::warning("flows") << "flow records lost: " << logging::field("reason", error.message());
  }
}

}  // namespace thornwick::net
