// Fuzzes new seeds for a given time and prints the shortest failing sequence found.
#include "Steps.h"

#include <chrono>
#include <cstdlib>
#include <iostream>

using namespace egretturn::fuzz;

static constexpr size_t kSteps = 50;

static constexpr size_t kShrinkRuns = 150; // a failing run may take the whole settle timeout

/// Removes steps while the sequence still fails, within a limited number of runs.
static std::vector<Step>
Shrink(uint64_t aSeed, std::vector<Step> aSteps)
{
  size_t runs = 0;
  for (size_t block = aSteps.size() / 2; block > 0; block /= 2) {
    for (size_t at = 0; at + block <= aSteps.size() && ++runs < kShrinkRuns;) {
      std::vector<Step> fewer = aSteps;
      const std::vector<Step>::iterator from = fewer.begin() + static_cast<long>(at);
      fewer.erase(from, from + static_cast<long>(block));
      if (RunSteps(aSeed, fewer).empty()) {
        at += block;
      } else {
        aSteps = std::move(fewer);
      }
    }
  }
  return aSteps;
}

/// Runs one seed. Returns whether all promises were kept.
static bool
RunSeed(uint64_t aSeed)
{
  const std::vector<Step> steps = DrawSteps(aSeed, kSteps);
  const std::string violations = RunSteps(aSeed, steps);
  if (violations.empty()) {
    return true;
  }
  const std::vector<Step> small = Shrink(aSeed, steps);
  std::cout << "seed " << aSeed << " fails with " << small.size() << " of " << kSteps
            << " steps:\n";
  for (const Step& step : small) {
    std::cout << "  " << step << '\n';
  }
  std::cout << RunSteps(aSeed, small);
  return false;
}

int
main(int aCount, char** aArguments)
{
  if (aCount < 3) {
    std::cerr << "usage: fuzz SECONDS FIRST-SEED [COUNT | --first]\n";
    return 2;
  }
  const std::chrono::seconds length(std::atol(aArguments[1]));
  const uint64_t first = std::strtoull(aArguments[2], nullptr, 10);
  const bool untilFirst = aCount > 3 && std::string(aArguments[3]) == "--first";
  const uint64_t count =
    aCount > 3 && !untilFirst ? std::strtoull(aArguments[3], nullptr, 10) : UINT64_MAX;
  const std::chrono::steady_clock::time_point until = std::chrono::steady_clock::now() + length;
  uint64_t done = 0;
  uint64_t failed = 0;
  while (done < count && (failed == 0 || !untilFirst) && std::chrono::steady_clock::now() < until) {
    failed += RunSeed(first + done) ? 0 : 1;
    ++done;
  }
  std::cout << done << " seeds from " << first << ", " << failed << " failed\n";
  return failed == 0 ? 0 : 1;
}
