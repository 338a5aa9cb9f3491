// The main function of the test programs.
#define CATCH_CONFIG_MAIN
#include <catch2/catch.hpp>
