// The state that the admission controllers of a router share. There is one controller for each pool of
// replicas, and a budget counts the requests of all pools.
#pragma once

#include <cstdint>
#include <functional>
#include <vector>

#include "budgets/accounts.hpp"
#include "budgets/pricing.hpp"

namespace thornwick::budgets {

// The charge for one attempt.
struct Charge {
  RequestId request_id = 0;
  std::uint8_t attempt = 0;
  ReplicaId replica = 0;
  QuotaSubject subject;
  TokenCounts tokens;
  Units units = 0;
};

struct QuotaService {
  // The arguments are those of Accounts.
  explicit QuotaService(const Options& options, Journal* journal = nullptr, QuotaStore* quota_store = nullptr)
      : accounts(options, journal, quota_store) {}

  // The price of a model; the default price if there is none for it.
  Price price_of(std::uint16_t model) const {
    return model == 0 || model > prices.size() ? Price{} : prices[model - 1u];
  }

  Accounts accounts;
  std::vector<Price> prices;                     // by model number; the first is that of model 1
  std::function<void(const Charge&)> on_charge;  // called once for each attempt that ran; may be empty
};

}  // namespace thornwick::budgets
