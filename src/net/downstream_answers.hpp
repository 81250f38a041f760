// Writes the answers that the router itself gives, in the client's dialect, and the heads of forwarded
// answers.
#pragma once

#include <string>
#include <vector>

#include "core/events.hpp"
#include "fronts/dialect.hpp"
#include "http/http.hpp"

namespace thornwick::net {

// What happens to the client's connection after the answer.
enum class AfterAnswer { keep_connection, close_connection };

// Returns the answer to a health check of a load balancer. `ready`: whether this router accepts requests now.
fronts::ErrorAnswer health_answer(bool ready);

// Returns the answer to a request that is rejected because of overload.
fronts::ErrorAnswer overload_answer(const fronts::Dialect& dialect);

// Returns the answer to a request that is rejected for the reason in `allowance`. `retry_after`: microseconds
// after which the client may retry; 0: no advice.
fronts::ErrorAnswer rejection_answer(const fronts::Dialect& dialect, const Allowance& allowance,
                                     Time retry_after);

// Returns the answer to a request that has failed or timed out, although a replica may have run it.
fronts::ErrorAnswer failure_answer(const fronts::Dialect& dialect, core::FailureReason failure);

// Returns the answer to a request that is malformed or cannot be used.
fronts::ErrorAnswer bad_request_answer(const fronts::Dialect& dialect, const http::BadMessage& bad);

// Returns a complete answer with a JSON body. `retry_after`: microseconds; 0: no advice.
std::string write_json_answer(const fronts::ErrorAnswer& answer, AfterAnswer after, Time retry_after,
                              const std::vector<http::Header>& extra_headers);

// Returns the head of an event stream with chunked transfer encoding.
std::string write_stream_head(AfterAnswer after, const std::vector<http::Header>& extra_headers);

}  // namespace thornwick::net
