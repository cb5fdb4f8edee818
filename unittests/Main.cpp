// The one place where Catch2's main function is compiled.
#define CATCH_CONFIG_MAIN
#include <catch2/catch.hpp>
