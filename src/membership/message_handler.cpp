#include "membership/message_handler.hpp"

#include <algorithm>
#include <string>

#include "membership/sending.hpp"

namespace thornwick::membership {
namespace {

constexpr std::size_t kMaxIndirectProbes = 32;

}  // namespace

void MessageHandler::handle(std::span<const std::uint8_t> datagram) {
  const ReadResult message = read(datagram, state_.roster->hash());
  if (!message) {
    ++state_.metrics.unreadable[static_cast<std::size_t>(message.error())];
    return;
  }
  const std::size_t from = state_.roster->find_id(message->from.member);
  if (from == state_.roster->size()) {
    ++state_.metrics.unknown_routers;
    return;
  }
  ++state_.metrics.received;
  if (from != state_.self) return on_message(*message, from);
  const bool another_process = message->from.identity.instance_id != state_.local().view.identity.instance_id;
  if (another_process) IdentityTracker(state_, now_).raise_conflict(state_.self);
}

void MessageHandler::on_message(const Message& message, std::size_t from) {
  claims_.accept(message.from, from);
  const Sender sender = update_sender(message, from);
  switch (message.kind) {
    case MessageKind::ping: on_ping(message, from); break;
    case MessageKind::ack:
      if (sender == Sender::known) on_ack(message, from);
      break;
    case MessageKind::ping_request: on_ping_request(message, from); break;
    case MessageKind::indirect_ack:
      if (sender == Sender::known) on_indirect_ack(message, from);
      break;
  }
  for (const auto& claim : message.claims) claims_.accept(claim, from);
  GroupEvaluation(state_, now_).refresh();
}

MessageHandler::Sender MessageHandler::update_sender(const Message& message, std::size_t from) {
  MemberRecord& sender = state_.members[from];
  if (message.from.identity != sender.view.identity) {
    sender.needs_warning = true;
    return Sender::unknown;
  }
  if (message.suspension_count > sender.view.suspension_count) {
    state_.report(from,
                  "it was suspended for " + std::to_string(message.last_suspension_s) + " s and has resumed");
    sender.view.suspension_count = message.suspension_count;
  }
  sender.view.last_suspension_s = message.last_suspension_s;
  if (message.running_by_site.size() == state_.roster->sites().size())
    sender.view.reported_running_by_site = message.running_by_site;
  return Sender::known;
}

void MessageHandler::on_ping(const Message& message, std::size_t from) {
  if (may_answer(state_, now_, from))
    send(state_, from, {.kind = MessageKind::ack, .number = message.number});
}

void MessageHandler::on_ack(const Message& message, std::size_t from) {
  auto& indirect = state_.probes.indirect;
  const auto probe = std::find_if(indirect.begin(), indirect.end(), [&](const IndirectProbe& candidate) {
    return candidate.number == message.number && candidate.target == from;
  });
  if (probe == indirect.end()) return detector_.on_answer(from, from, message.number);
  send(state_, probe->requester,
       {.kind = MessageKind::indirect_ack,
        .number = probe->requester_number,
        .subject_id = state_.roster->id_of(from)});
  indirect.erase(probe);
  detector_.on_proof_of_life(from, from);
}

void MessageHandler::on_ping_request(const Message& message, std::size_t from) {
  const std::size_t target = state_.roster->find_id(message.subject_id);
  const bool is_valid_target = target != state_.roster->size() && target != state_.self && target != from;
  if (!is_valid_target || !may_answer(state_, now_, from)) {
    ++state_.metrics.ignored;
    return;
  }
  auto& indirect = state_.probes.indirect;
  if (indirect.size() >= kMaxIndirectProbes) indirect.pop_front();
  const std::uint32_t number = ++state_.probes.last_number;
  indirect.push_back(
      {.requester = from, .target = target, .requester_number = message.number, .number = number});
  send(state_, target, {.kind = MessageKind::ping, .number = number});
}

void MessageHandler::on_indirect_ack(const Message& message, std::size_t from) {
  const std::size_t target = state_.roster->find_id(message.subject_id);
  if (target == state_.roster->size() || target == state_.self || target == from) return;
  detector_.on_answer(target, from, message.number);
}

}  // namespace thornwick::membership
