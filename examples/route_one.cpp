// A minimal use of the library: three replicas, one request and one answer.
#include <cstdio>

#include "thornwick/routing_policy.hpp"

int main() {
  using namespace thornwick;
  Settings settings;
  settings.classes.push_back(ClassSettings{});
  RoutingPolicy router(settings, 0);

  const Endpoint replicas[] = {{.id = 11}, {.id = 12}, {.id = 13}};
  router.on_endpoints(0, EndpointUpdate::full, replicas);

  router.on_request(1'000, Request{.id = 1, .deadline = 5'000'000, .prompt_tokens = 300, .max_tokens = 200});
  int sent = 0;
  for (const Action& action : router.take_actions()) {
    if (action.kind != ActionKind::send) continue;
    ++sent;
    std::printf("request %llu goes to replica %u\n", static_cast<unsigned long long>(action.id),
                action.replica);
    router.on_attempt_result(50'000, {.id = action.id, .replica = action.replica, .concluded = true});
  }
  return sent == 1 ? 0 : 1;
}
