// Runs an object_api as a stand-in for the platform's object API.

#include "standins/object_api.h"
#include "standins/serve_main.h"

int main(int argc, char** argv) {
  return anvilloom::RunStandin(
      argc, argv,
      boost::program_options::options_description("standin_objects"),
      [] { return anvilloom::object_api(); });
}
