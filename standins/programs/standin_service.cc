// Runs a plain_service as a stand-in for a plain upstream service.

#include "standins/plain_service.h"
#include "standins/serve_main.h"

int main(int argc, char** argv) {
  return anvilloom::RunStandin(
      argc, argv,
      boost::program_options::options_description("standin_service"),
      [] { return anvilloom::plain_service(); });
}
