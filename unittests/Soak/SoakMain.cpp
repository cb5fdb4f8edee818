// Plays random troubles on instances that run as real processes, from a seed.
#include "Troubles.h"

#include "egretturn/CommandLine/CommandLine.h"

#include <filesystem>
#include <iostream>

namespace egretturn::soak {

using std::chrono::milliseconds;
using std::chrono::seconds;

static constexpr const char* kUsage = R"(soak: random troubles on real processes

Usage:
  soak --program=FILE --folder=DIR [options]
  soak (-h | --help)

Options:
  --program=FILE    The instance's program.
  --folder=DIR      For settings, logs and the record of the run; created if it is missing.
  --seed=N          Of jobs and troubles [default: 1].
  --seconds=N       For how long jobs and troubles come [default: 20].
  --instances=N     [default: 6]
  --workers=N       [default: 24]
  --share=X         Processor share in the settings, in cores; at less than a 600th for each
                    worker, link shards call the workers [default: 0.1].
  --troubles=NAMES  Kinds, separated by commas; see Troubles.cpp [default: all].
  -h --help         Show this text.

Exit codes:
  0  no promise was broken
  1  a promise was broken; it is in the output
  2  the arguments are wrong, or the instances did not become ready
)";

static constexpr Duration kCalmStart = seconds(1);
static constexpr Duration kLongestTrouble = seconds(19);
static constexpr uint64_t kMinPauseMs = 200;
static constexpr uint64_t kPauseRangeMs = 3000; // between the beginnings of two troubles
static constexpr uint64_t kMinJobIntervalMs = 100;
static constexpr uint64_t kJobIntervalRangeMs = 200;
static constexpr uint64_t kJobsPerCancellation = 15;
static constexpr uint64_t kJobsPerEarlyCancellation = 6;

/// What is played, and for how long.
struct SoakPlan
{
  SoakSettings m_settings;
  Duration m_time{};
  std::vector<TroubleKind> m_troubles;
};

/// Errors: bad_input.
static Expected<SoakPlan>
ReadOptions(const Arguments& aArguments)
{
  const Expected<double> seed = ParseNumberOption(aArguments, "--seed");
  const Expected<double> time = ParseNumberOption(aArguments, "--seconds");
  const Expected<double> instances = ParseNumberOption(aArguments, "--instances");
  const Expected<double> workers = ParseNumberOption(aArguments, "--workers");
  const Expected<double> share = ParseNumberOption(aArguments, "--share");
  for (const Expected<double>* number : { &seed, &time, &instances, &workers, &share }) {
    if (!*number) {
      return tl::unexpected<Error>(number->error());
    }
  }
  const Expected<std::vector<TroubleKind>> troubles =
    ParseTroubles(aArguments.at("--troubles").asString());
  if (!troubles) {
    return tl::unexpected<Error>(troubles.error());
  }
  SoakPlan plan;
  plan.m_settings.m_program = aArguments.at("--program").asString();
  plan.m_settings.m_folder = aArguments.at("--folder").asString();
  plan.m_settings.m_seed = static_cast<uint64_t>(*seed);
  plan.m_settings.m_instances = static_cast<size_t>(*instances);
  plan.m_settings.m_workers = static_cast<size_t>(*workers);
  plan.m_settings.m_processorShare = *share;
  plan.m_time = Duration(static_cast<int64_t>(*time * 1e6));
  plan.m_troubles = *troubles;
  return plan;
}

static int
Play(const SoakPlan& aPlan)
{
  SoakWorld world(aPlan.m_settings);
  if (!world.Start()) {
    std::cout << "the instances did not become ready\n";
    return kExitUsage;
  }
  world.Run(kCalmStart);
  const Instant end = BootClockNow() + aPlan.m_time;
  Instant nextTroubleAt = BootClockNow() + kCalmStart;
  for (uint64_t job = 0; BootClockNow() < end; ++job) {
    world.SubmitRandom();
    if (job % kJobsPerEarlyCancellation == 0) {
      world.SubmitAndCancel();
    }
    if (world.m_random.Below(kJobsPerCancellation) == 0) {
      world.CancelRandom();
    }
    if (BootClockNow() >= nextTroubleAt) {
      CauseTrouble(world, aPlan.m_troubles);
      nextTroubleAt =
        BootClockNow() + milliseconds(kMinPauseMs + world.m_random.Below(kPauseRangeMs));
    }
    world.Run(milliseconds(kMinJobIntervalMs + world.m_random.Below(kJobIntervalRangeMs)));
  }
  world.Run(kLongestTrouble);
  world.Settle();
  std::cout << "seed " << aPlan.m_settings.m_seed << ": " << world.Summary() << "\n";
  for (const std::string& violation : world.Violations()) {
    std::cout << "  " << violation << "\n";
  }
  return world.Violations().empty() ? EXIT_SUCCESS : EXIT_FAILURE;
}

} // namespace egretturn::soak

int
main(int aCount, char** aArguments)
{
  using namespace egretturn;
  const tl::expected<Arguments, int> arguments = ParseCommandLine(soak::kUsage, aCount, aArguments);
  if (!arguments) {
    return arguments.error();
  }
  const Expected<soak::SoakPlan> plan = soak::ReadOptions(*arguments);
  if (!plan) {
    return ReportUsageError(plan.error());
  }
  std::filesystem::create_directories(plan->m_settings.m_folder);
  return soak::Play(*plan);
}
