// Admission control by budgets, placed between the core and the decider that chooses replicas. A request that
// no budget covers is rejected before the inner decider sees it, a retry that no budget covers is not sent,
// and each attempt that ran is charged once (pricing.hpp has the rules). The inner decider chooses replicas
// and decides on retries and all other rejections. Where an earlier attempt may have run, the core decides
// whether the client of a retry that was not sent gets the rejection or a failure (core/final_answer.hpp);
// the limit counts the denial in both cases.
#pragma once

#include <memory>
#include <optional>
#include <span>
#include <vector>

#include "budgets/fair_share.hpp"
#include "budgets/quota_service.hpp"
#include "core/decider.hpp"
#include "core/open_requests.hpp"

namespace thornwick::budgets {

class AdmissionController final : public core::DeciderDecorator {
 public:
  // Does not own `quota_service` and `fair_share`, which must outlive the controller. `fair_share` divides
  // the capacity between members while it does not suffice for all; null: it is not divided.
  AdmissionController(std::unique_ptr<core::Decider> inner, QuotaService& quota_service,
                      FairShare* fair_share = nullptr);

  void on_endpoints(Time now, EndpointUpdate scope, std::span<const Endpoint> entries) override;
  void on_request(Time now, const Request& request) override;
  void on_first_token(Time now, RequestId id, std::uint8_t attempt, ReplicaId replica, Time elapsed) override;
  void on_attempt_result(Time now, const AttemptResult& result) override;
  void on_client_disconnected(Time now, RequestId id) override;
  void on_timer(Time now, std::uint32_t token) override;
  std::vector<Action> take_actions() override;

  // Number of requests without a final answer or with an attempt in flight.
  std::size_t open_requests() const { return open_.size(); }

 private:
  struct OpenRequest {
    Request request;
    QuotaSubject subject;
    ReservationId reservation = 0;  // 0: settled
    std::uint8_t attempts_sent = 0;
    bool attempt_in_flight = false;
    bool reservation_spent = false;  // an earlier attempt was charged; a retry needs a new reservation
    bool concluded = false;          // the request has its final answer, or its client disconnected
  };

  [[nodiscard]] bool admit_to_fair_share(const Request& request, Units max_cost);
  void adjust_fair_share(const OpenRequest& open, double tokens);
  void reject(RequestId id, const Denial& denial);
  void on_inner_action(Action action, std::vector<Action>& actions);
  void send(OpenRequest& open, Action action, std::vector<Action>& actions);
  [[nodiscard]] std::optional<Denial> reserve_for_retry(OpenRequest& open);
  void abandon_retry(std::uint8_t attempt, const Action& send, const Denial& denial);
  void conclude(RequestId id, OpenRequest& open);
  void charge(OpenRequest& open, const AttemptResult& result);
  void close(RequestId id, const OpenRequest& open);
  std::shared_ptr<const Allowance> allowance_of(const QuotaSubject& subject);

  QuotaService& quota_service_;
  FairShare* fair_share_;
  core::OpenRequests<OpenRequest> open_;
  std::vector<Action> local_actions_;  // of this controller, not of the inner decider
  Time now_ = 0;                       // time of the latest call
};

}  // namespace thornwick::budgets
