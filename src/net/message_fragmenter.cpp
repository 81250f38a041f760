#include "net/message_fragmenter.hpp"

#include <algorithm>
#include <utility>

namespace thornwick::net {
namespace {

constexpr char kLastFragment = '\0';
constexpr char kMoreFollows = '\1';

}  // namespace

bool MessageFragmenter::send(std::size_t member, std::string_view bytes) {
  Queue& queue = queues_[member];
  if (links_ == nullptr || !links_->up(member) || queue.bytes + bytes.size() > kMaxQueuedBytes) {
    ++counters_.lost;
    return false;
  }
  do {
    const std::size_t size = std::min(bytes.size(), kFragmentBytes);
    std::string frame(1, size < bytes.size() ? kMoreFollows : kLastFragment);
    frame += bytes.substr(0, size);
    bytes.remove_prefix(size);
    queue.bytes += frame.size();
    queue.frames.push_back(std::move(frame));
  } while (!bytes.empty());
  on_writable(member);
  return true;
}

void MessageFragmenter::on_writable(std::size_t member) {
  Queue& queue = queues_[member];
  while (!queue.frames.empty() && links_->send(member, channel_, queue.frames.front())) {
    queue.bytes -= queue.frames.front().size();
    queue.frames.pop_front();
  }
}

void MessageFragmenter::on_link_lost(std::size_t member) {
  queues_.erase(member);
  partial_.erase(member);
}

void MessageFragmenter::on_frame(std::size_t member, std::string_view bytes, const OnMessage& on_message) {
  if (bytes.empty()) {
    ++counters_.malformed;
    return;
  }
  std::string& partial = partial_[member];
  const bool more_follows = bytes[0] != kLastFragment;
  bytes.remove_prefix(1);
  if (partial.empty() && !more_follows) return on_message(bytes);
  partial += bytes;
  if (partial.size() > kMaxMessageBytes) {
    ++counters_.malformed;
    partial.clear();
    return;
  }
  if (more_follows) return;
  const std::string message = std::exchange(partial, {});
  on_message(message);
}

}  // namespace thornwick::net
