#include "simulator_adapter/field.hpp"

namespace thornwick::simulator_adapter {

const char* to_string(Field field) {
  switch (field) {
    case Field::length: return "length";
    case Field::clock: return "clock";
    case Field::record_count: return "number of records";
    case Field::record_code: return "record code";
    case Field::instance: return "instance";
    case Field::seed: return "seed";
    case Field::settings_length: return "length of the settings";
    case Field::settings: return "settings";
    case Field::list_number: return "list number";
    case Field::list_scope: return "scope";
    case Field::list_epoch: return "epoch";
    case Field::list_entry_count: return "count of list entries";
    case Field::start_time: return "start time";
    case Field::status: return "status";
    case Field::cell: return "block";
    case Field::replica: return "engine";
    case Field::weight: return "weight";
    case Field::kind: return "type";
    case Field::zone: return "zone";
    case Field::request_id: return "request id";
    case Field::prefix_tokens: return "prefix length";
    case Field::work_hint: return "cost hint";
    case Field::session: return "key";
    case Field::prompt_tokens: return "prompt length";
    case Field::options: return "options";
    case Field::prefix_id: return "prefix id";
    case Field::tenant: return "tenant";
    case Field::request_class: return "class";
    case Field::deadline: return "due";
    case Field::max_tokens: return "answer limit";
    case Field::attempt: return "attempt";
    case Field::elapsed: return "elapsed time";
    case Field::concluded: return "done flag";
    case Field::cached_tokens: return "remark";
    case Field::load_report: return "load report";
    case Field::timer_token: return "timer value";
    case Field::peer: return "peer";
    case Field::message_length: return "length of the message";
    case Field::message: return "message";
  }
  return "";
}

}  // namespace thornwick::simulator_adapter
