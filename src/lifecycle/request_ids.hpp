// Which request ids are in use at this router, so that no id runs twice.
//
// While a process is replaced, two processes serve one router. The one that accepts new connections decides
// about ids: first the old process, and the new one from its hand-over on. The other one knows no later
// requests, and therefore asks for each request that it still reads. The old process reports its own ids
// beforehand, so the new one does not depend on the answers of a process that is slow, stopped or killed.
//
// No I/O and no clock: the caller passes in times of a monotonic clock, and the messages between the
// processes.
#pragma once

#include <cstddef>
#include <deque>
#include <functional>
#include <string>
#include <unordered_map>
#include <unordered_set>
#include <utility>
#include <vector>

#include "thornwick/time.hpp"

namespace thornwick::lifecycle {

// The decision about the id of a request.
enum class IdClaim {
  granted,  // the request may run; its id is in use until release()
  in_use,   // the id is in use, or may still run for a client that has left
  pending,  // the successor decides; IdClaimant::on_id_decided follows
  unknown   // the successor did not decide in time
};

// A request that waits for the decision about its id.
class IdClaimant {
 public:
  virtual ~IdClaimant() = default;
  // Called once after claim() has returned IdClaim::pending, unless the id is released before. `claim` is
  // granted, in_use or unknown.
  virtual void on_id_decided(IdClaim claim) = 0;
};

// What one process tells the other one about an id.
enum class IdNotice {
  held,      // from the old process: in use by one of its requests
  released,  // from the old process: not in use any more
  retained,  // from the old process: not in use any more, but must not run again
  claimed,   // from the old process, which asks for a decision
  granted,   // from the new process
  denied     // from the new process
};

struct IdMessage {
  IdNotice notice = IdNotice::held;
  std::string id;
  bool operator==(const IdMessage&) const = default;
};

class RequestIdRegistry {
 public:
  // How long, and for how many requests at most, an id is retained that may still run for a client that has
  // left. The oldest is forgotten first. A client's longest time limit is 120 s.
  struct Retention {
    Time duration = seconds(120);
    std::size_t max_ids = 4096;
  };
  // Sends a message to the other process.
  using Send = std::function<void(const IdMessage&)>;

  RequestIdRegistry() = default;
  explicit RequestIdRegistry(Retention retention) : retention_(retention) {}
  RequestIdRegistry(const RequestIdRegistry&) = delete;
  RequestIdRegistry& operator=(const RequestIdRegistry&) = delete;

  // Sets what is called before each decision: it handles the messages that have come and were not read yet,
  // so that a process that was stopped does not decide after it has been replaced.
  void before_decision(std::function<void()> receive_pending) {
    receive_pending_ = std::move(receive_pending);
  }

  // For requests of this process.

  // Claims an id. `claimant` is not owned, and must stay valid until the decision or release().
  [[nodiscard]] IdClaim claim(const std::string& id, Time now, IdClaimant& claimant);
  // The request that holds or claims the id has ended. Has no effect if there is none.
  void release(const std::string& id);
  // The id's request may still run although its client gets no answer. The id is refused while it is
  // retained.
  void retain(const std::string& id, Time now);
  // Gives up claims that the successor has not decided since `claimed_until`: unknown.
  void give_up_claims(Time claimed_until);
  // Returns whether a request waits for the successor's decision.
  bool has_pending_claims() const;

  // Returns the number of ids that are retained.
  std::size_t retained_count() const { return retained_.size(); }
  // Returns the ids that are in use or retained.
  std::vector<std::string> ids() const;

  // As the process that is replaced.

  // Reports all ids and then each change to the successor. This process still decides.
  void inform_successor(Send send);
  // The successor decides from now on. Has no effect unless it is informed.
  void let_successor_decide() { successor_decides_ = static_cast<bool>(send_to_successor_); }
  void on_successor_message(const IdMessage& message);
  // The successor has exited. This process decides again, pending claims included.
  void on_successor_lost();

  // As the process that replaces another one.

  // `ids`: what the predecessor has offered; its messages correct them.
  void begin_succession(const std::vector<std::string>& ids, Send answer);
  void on_predecessor_message(const IdMessage& message, Time now);
  // Ids that the predecessor still held are retained: a replica may still run the requests of a killed
  // process.
  void on_predecessor_exited(Time now);

 private:
  // Whose request a pending claim is for; nobody: the request has ended meanwhile.
  enum class Owner { nobody, this_process, predecessor };

  // A claim that the successor decides.
  struct PendingClaim {
    Owner owner = Owner::nobody;
    IdClaimant* claimant = nullptr;  // of Owner::this_process
    Time since = 0;
  };

  bool is_in_use(const std::string& id) const;
  void notify_successor(IdNotice notice, const std::string& id);
  void give_up(const std::string& id, PendingClaim& claim);
  void claim_for_predecessor(const std::string& id, Time now);
  void decide(const std::string& id, const PendingClaim& claim, IdClaim decision);
  void forget_retained(Time now);

  Retention retention_;
  std::unordered_set<std::string> own_;          // of requests of this process
  std::unordered_set<std::string> predecessor_;  // of requests of the predecessor
  std::unordered_set<std::string> retained_;
  std::deque<std::pair<Time, std::string>>
      retained_since_;  // oldest first; may contain ids that were forgotten
  std::unordered_map<std::string, PendingClaim> claims_;
  std::function<void()> receive_pending_ = [] {};
  Send send_to_successor_;
  bool successor_decides_ = false;
  Send answer_predecessor_;
};

}  // namespace thornwick::lifecycle
