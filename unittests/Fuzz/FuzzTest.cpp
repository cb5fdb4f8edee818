// Stateful fuzzing of several cores against the oracle with fixed seeds.
#include "Steps.h"

#include <catch2/catch.hpp>
#include <rapidcheck.h>
#include <sstream>

using namespace egretturn::fuzz;

static constexpr int kMaxCases = 120;
static constexpr int kMaxSequenceLength = 60;
static constexpr const char* kFixedSeed = "seed=20261204";

namespace rc {

template<>
struct Arbitrary<Step>
{
  static Gen<Step> arbitrary() // NOLINT(readability-identifier-naming): required by RapidCheck
  {
    const Gen<Operation> operation =
      gen::map(gen::inRange<size_t>(0, kOperations),
               [](size_t aNumber) { return static_cast<Operation>(aNumber); });
    const Gen<uint32_t> wait = gen::weightedOneOf<uint32_t>(
      { { 3, gen::inRange<uint32_t>(0, 600) }, { 1, gen::inRange<uint32_t>(0, 6000) } });
    return gen::build<Step>(gen::set(&Step::m_operation, operation),
                            gen::set(&Step::m_first, gen::inRange<uint32_t>(0, 1000)),
                            gen::set(&Step::m_second, gen::inRange<uint32_t>(0, 1000)),
                            gen::set(&Step::m_waitMs, wait));
  }
};

} // namespace rc

TEST_CASE("all promises are kept under random operations and faults", "[fuzz]")
{
  if (!std::getenv("RC_PARAMS")) {
    std::ostringstream parameters;
    parameters << kFixedSeed << " max_success=" << kMaxCases << " max_size=" << kMaxSequenceLength;
    setenv("RC_PARAMS", parameters.str().c_str(), 1);
  }
  const bool holds = rc::check("promises", [] {
    const uint64_t seed = *rc::gen::inRange<uint64_t>(1, 1'000'000);
    const std::vector<Step> steps = *rc::gen::arbitrary<std::vector<Step>>();
    const std::string violations = RunSteps(seed, steps);
    if (!violations.empty()) {
      RC_FAIL(violations);
    }
  });
  REQUIRE(holds);
}
