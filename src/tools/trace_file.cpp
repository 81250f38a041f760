#include "tools/trace_file.hpp"

#include <fstream>
#include <nlohmann/json.hpp>
#include <optional>

#include "tools/command_error.hpp"

namespace thornwick::tools {
namespace {

emulator::PlannedRequest request_from(const nlohmann::json& json) {
  emulator::PlannedRequest request;
  request.at = json.at("at_us");
  request.objective_at = json.at("aim_us");
  request.deadline = json.at("deadline_us");
  request.class_index = json.at("class");
  request.member = json.at("member");
  request.zone = json.at("hall");
  request.session = json.at("session");
  request.prefix = json.at("prefix");
  request.prompt = json.at("prompt");
  request.prefix_tokens = json.at("beginning");
  request.generated = json.at("made");
  request.max_tokens = json.at("most_made");
  request.work = json.at("work_us");
  request.hint = json.at("hint_us");
  request.priority_weight = json.at("worth");
  return request;
}

nlohmann::ordered_json json_of(const emulator::PlannedRequest& request) {
  return {{"at_us", request.at},
          {"aim_us", request.objective_at},
          {"deadline_us", request.deadline},
          {"class", request.class_index},
          {"member", request.member},
          {"hall", request.zone},
          {"session", request.session},
          {"prefix", request.prefix},
          {"prompt", request.prompt},
          {"beginning", request.prefix_tokens},
          {"made", request.generated},
          {"most_made", request.max_tokens},
          {"work_us", request.work},
          {"hint_us", request.hint},
          {"worth", request.priority_weight}};
}

// The error of a request whose line is well formed.
enum class TraceError { unknown_name, out_of_order, impossible_value };

std::string to_string(TraceError trace_error) {
  switch (trace_error) {
    case TraceError::unknown_name: return "no such class or member";
    case TraceError::out_of_order: return "earlier than the line before";
    case TraceError::impossible_value: break;
  }
  return "times or lengths that make no sense";
}

// Returns no value if the request is valid. `previous_at` is the time of the request in the line before.
std::optional<TraceError> check_request(const emulator::PlannedRequest& request,
                                        const emulator::Scenario& scenario, Time previous_at) {
  if (request.class_index >= scenario.classes.size() || request.member >= scenario.members.size())
    return TraceError::unknown_name;
  if (request.at < previous_at) return TraceError::out_of_order;
  if (request.at < 0 || request.deadline <= request.at || request.generated < 1)
    return TraceError::impossible_value;
  return std::nullopt;
}

}  // namespace

std::vector<emulator::PlannedRequest> read_trace(const std::string& path,
                                                 const emulator::Scenario& scenario) {
  std::ifstream in(path);
  if (!in) throw FileError(path, "cannot be read");
  std::vector<emulator::PlannedRequest> requests;
  std::string line;
  for (int line_number = 1; std::getline(in, line); ++line_number) {
    try {
      const auto request = request_from(nlohmann::json::parse(line));
      const Time previous_at = requests.empty() ? request.at : requests.back().at;
      if (const auto trace_error = check_request(request, scenario, previous_at))
        throw FileError(path, line_number, to_string(*trace_error));
      requests.push_back(request);
    } catch (const nlohmann::json::exception& error) {
      throw FileError(path, line_number, error.what());
    }
  }
  return requests;
}

void write_trace(const std::string& path, const std::vector<emulator::PlannedRequest>& requests) {
  std::ofstream out(path);
  for (const auto& request : requests) out << json_of(request) << '\n';
  out.flush();
  if (!out) throw FileError(path, "cannot be written");
}

}  // namespace thornwick::tools
