// Expands the texts of scenarios (scenario_runner.hpp): escapes, and macros for requests, answers and events.
#pragma once

#include <string>

namespace thornwick::testing {

// Replaces the escapes \r, \n and \\, and the macros:
//
//   $ask(ID,TIMEOUT_MS)    a request for chat completions; the timeout may be left out
//   $raw(ID,BODY)          a request for chat completions with this body
//   $say(ID,TIMEOUT_MS)    a request of the messages API
//   $stream                the head of an event stream
//   $chunk(TEXT)           a chunk
//   $delta(TEXT)           an event with this content
//   $done                  the last events of an answer, and the last chunk
//   $event(NAME,FIELDS)    an event of the messages API
//   $json(TEXT)            a complete answer with this body
//   $full, $error          the answers of a replica that is full, and of a replica that has failed
//   $fill(COUNT)           COUNT bytes
//
// Fails the test if a macro is unknown.
std::string expand_text(const std::string& text);

}  // namespace thornwick::testing
