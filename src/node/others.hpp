// What other routers reach: the group's datagrams, its links, and the local socket that tells of it.
#pragma once

#include <memory>
#include <string>
#include <vector>

#include "config.hpp"
#include "membership/swim.hpp"
#include "net/datagrams.hpp"
#include "net/door.hpp"
#include "net/links.hpp"
#include "node/meaning.hpp"

namespace sprucecourse {

class Others {
 public:
  // Speaks from then on. Throws BadConfig or NetError.
  explicit Others(const Config& config);
  ~Others();

  void leave();  // this router ends, and says so

  // Text for people, or JSON.
  std::string status(bool json) const;
  const membership::Swim& swim() const { return *swim_; }

 private:
  void after();  // says what changed, sends what is to be sent, and sets the timer
  void arrived(std::span<const std::uint8_t> bytes);
  void tell_view();
  std::string answer(std::string_view line) const;

  Membership membership_;
  GroupFile file_;
  std::vector<net::Owned<GSocketAddress>> addresses_;
  std::unique_ptr<membership::Swim> swim_;
  std::unique_ptr<net::Datagrams> datagrams_;
  std::unique_ptr<net::Links> links_;
  std::unique_ptr<net::Door> door_;
  net::Timer tick_, view_;
  bool empty_start_ = false;
  Time began_ = 0;
};

}  // namespace sprucecourse
