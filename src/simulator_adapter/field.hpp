// The fields of the simulator's wire protocol, which error messages name.
#pragma once

#include <cstdint>

namespace thornwick::simulator_adapter {

enum class Field : std::uint8_t {
  // of a batch
  length,
  clock,
  record_count,
  // of each record
  record_code,
  instance,
  // of settings
  seed,
  settings_length,
  settings,
  // of an endpoint list and its entries
  list_number,
  list_scope,
  list_epoch,
  list_entry_count,
  start_time,
  status,
  cell,
  replica,
  weight,
  kind,
  zone,
  // of a request
  request_id,
  prefix_tokens,
  work_hint,
  session,
  prompt_tokens,
  options,
  prefix_id,
  tenant,
  request_class,
  deadline,
  max_tokens,
  // of an attempt, a probe, a timer and a message
  attempt,
  elapsed,
  concluded,
  cached_tokens,
  load_report,
  timer_token,
  peer,
  message_length,
  message,
};

// Returns the name of the field in the description of the protocol, for error messages.
[[nodiscard]] const char* to_string(Field field);

}  // namespace thornwick::simulator_adapter
