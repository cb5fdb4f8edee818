// Prints latency and batch throughput for each scenario under this policy and the baselines.
// Throughput is relative to its upper bound.
#include "PolicySimulation.h"

#include <cstdio>
#include <cstdlib>
#include <future>

using namespace egretturn;
using namespace egretturn::bench;

static constexpr uint64_t kTuningSeeds[] = { 11, 12 };
static constexpr uint64_t kReportSeeds[] = { 9001, 9002 };
static constexpr Duration kLength = std::chrono::seconds(240);
static constexpr size_t kParallel = 6;

struct Variant
{
  const char* m_name;
  DecisionOptions m_options;
  bool m_batch;
};

static std::vector<Scenario>
Scenarios()
{
  std::vector<Scenario> all(10);
  all[0].m_name = "noisy waves";
  all[0].m_waves = true;
  all[1].m_name = "black holes";
  all[1].m_failingWorkers = 3;
  all[2].m_name = "sizes 10x wrong";
  all[2].m_sizeError = 10;
  all[3].m_name = "load shift";
  all[3].m_loadShift = true;
  all[4].m_name = "rack lost";
  all[4].m_rackLost = true;
  all[5].m_name = "log down";
  all[5].m_logDown = true;
  all[6].m_name = "cancel wave";
  all[6].m_cancelWave = true;
  all[7].m_name = "hopeless jobs";
  all[7].m_jobsFail = true;
  all[8].m_name = "sizes 10x low";
  all[8].m_sizeError = 0.1;
  all[9].m_name = "steady";
  return all;
}

static std::vector<Variant>
Variants()
{
  DecisionOptions random;
  random.m_routing = RoutingPolicy::Random;
  random.m_placement = PlacementMode::Random;
  random.m_react = false;
  DecisionOptions declaredSizes;
  declaredSizes.m_learnSizes = false;
  DecisionOptions noInterference;
  noInterference.m_placement = PlacementMode::NoInterference;
  noInterference.m_react = false;
  DecisionOptions leastOutstanding;
  leastOutstanding.m_routing = RoutingPolicy::LeastOutstanding;
  return {
    { "this version", DecisionOptions{}, true }, { "random", random, true },
    { "declared sizes", declaredSizes, true },   { "no interference", noInterference, true },
    { "least outst.", leastOutstanding, true },  { "service alone", DecisionOptions{}, false }
  };
}

/// Averages over the seeds, except that m_lateByFailingWorker is a sum.
struct VariantResult
{
  double m_p50 = 0;
  double m_p99 = 0;
  double m_p999 = 0;
  double m_late = 0;
  double m_notRun = 0;
  double m_batch = 0;
  double m_evictions = 0;
  uint64_t m_lateByFailingWorker = 0;
};

static VariantResult
RunVariant(const Site& aSite,
           Scenario aScenario,
           const Variant& aVariant,
           const std::vector<uint64_t>& aSeeds)
{
  aScenario.m_batch = aVariant.m_batch;
  VariantResult result;
  for (const uint64_t seed : aSeeds) {
    const ScenarioResult run = RunScenario(aSite, aScenario, aVariant.m_options, seed, kLength);
    const double share = 1.0 / static_cast<double>(aSeeds.size());
    const double requests = static_cast<double>(std::max<uint64_t>(run.m_requests, 1));
    const auto ms = [&run](double aQuantile) {
      return static_cast<double>(run.m_latency.Quantile(aQuantile).count()) / 1000;
    };
    result.m_p50 += share * ms(0.5);
    result.m_p99 += share * ms(0.99);
    result.m_p999 += share * ms(0.999);
    result.m_late += share * 100 * static_cast<double>(run.m_late) / requests;
    result.m_notRun += share * 100 * static_cast<double>(run.m_notRun) / requests;
    result.m_batch += share * static_cast<double>(run.m_finished) / run.m_upperBound;
    result.m_evictions += share * 1000 * static_cast<double>(run.m_evictions) /
                          static_cast<double>(std::max<uint64_t>(run.m_starts, 1));
    result.m_lateByFailingWorker += run.m_lateByFailingWorker;
  }
  return result;
}

static void
PrintSite(const Site& aSite,
          const std::vector<uint64_t>& aSeeds,
          const std::string& aScenarioFilter)
{
  std::printf("\n%s: %zu workers, tail weight %.1f\n",
              aSite.m_name.c_str(),
              aSite.m_workers,
              aSite.m_tailWeight);
  std::printf("%-16s %-16s %8s %8s %8s %7s %8s %7s %8s %6s\n",
              "scenario",
              "policy",
              "p50 ms",
              "p99 ms",
              "p99.9",
              "late %",
              "not run%",
              "batch",
              "evict/k",
              "lateBH");
  for (const Scenario& scenario : Scenarios()) {
    if (!aScenarioFilter.empty() && scenario.m_name != aScenarioFilter) {
      continue;
    }
    std::vector<std::future<VariantResult>> results;
    const std::vector<Variant> variants = Variants();
    results.reserve(variants.size());
    for (const Variant& variant : variants) {
      results.push_back(
        std::async(std::launch::async, RunVariant, aSite, scenario, variant, aSeeds));
    }
    for (size_t i = 0; i < variants.size(); ++i) {
      const VariantResult result = results[i].get();
      std::printf("%-16s %-16s %8.1f %8.1f %8.1f %7.3f %8.3f %7.3f %8.1f %6zu\n",
                  scenario.m_name.c_str(),
                  variants[i].m_name,
                  result.m_p50,
                  result.m_p99,
                  result.m_p999,
                  result.m_late,
                  result.m_notRun,
                  result.m_batch,
                  result.m_evictions,
                  static_cast<size_t>(result.m_lateByFailingWorker));
    }
    std::fflush(stdout);
  }
}

int
main(int aCount, char** aArguments)
{
  static_assert(kParallel >= 6, "each variant needs a thread");
  const bool tuning = aCount > 1 && std::string(aArguments[1]) == "--tuning";
  const std::string scenarioFilter = aCount > 2 ? aArguments[2] : "";
  const std::vector<uint64_t> seeds =
    tuning ? std::vector<uint64_t>(std::begin(kTuningSeeds), std::end(kTuningSeeds))
           : std::vector<uint64_t>(std::begin(kReportSeeds), std::end(kReportSeeds));
  std::printf("seeds for %s\n", tuning ? "tuning" : "reporting");
  PrintSite(Site{ "huon", 50, 8, Resources{ 16'000, 60'000, 0 }, 0.9 }, seeds, scenarioFilter);
  PrintSite(Site{ "prairie", 65, 11, Resources{ 32'000, 125'000, 0 }, 0.2 }, seeds, scenarioFilter);
  return 0;
}
