// Runs an instance_registry as a stand-in for the cloud's instance API.

#include <chrono>
#include <cstdint>

#include "standins/instance_api.h"
#include "standins/serve_main.h"

int main(int argc, char** argv) {
  namespace options = boost::program_options;
  std::int64_t list_lag_ms = 0;
  options::options_description all("standin_instances");
  all.add_options()("list-lag-ms", options::value(&list_lag_ms),
                    "Lag of the instance list, in milliseconds.");
  return anvilloom::RunStandin(argc, argv, all, [&] {
    return anvilloom::instance_registry(std::chrono::milliseconds(list_lag_ms));
  });
}
