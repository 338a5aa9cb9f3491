// Runs a weight_store as a stand-in for the platform's model weight store.

#include <cstdint>
#include <stdexcept>

#include "standins/serve_main.h"
#include "standins/weight_store.h"

int main(int argc, char** argv) {
  namespace options = boost::program_options;
  std::uint32_t loads_per_minute = 0;
  options::options_description all("standin_weights");
  all.add_options()("loads-per-minute",
                    options::value(&loads_per_minute)->default_value(60),
                    "Maximum number of loads per minute, at least 1.");
  return anvilloom::RunStandin(argc, argv, all, [&] {
    if (loads_per_minute == 0) {
      throw std::invalid_argument(
          "The option --loads-per-minute must be at least 1.");
    }
    return anvilloom::weight_store(loads_per_minute);
  });
}
