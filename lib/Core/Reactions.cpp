// Steps against interference: stop adding, throttle, checkpoint and move; with hysteresis.
#include "egretturn/Core/Tasks.h"
#include "egretturn/Support/EnumTable.h"

#include <algorithm>

namespace egretturn {

static constexpr Duration kReactInterval = std::chrono::seconds(1);
static constexpr uint32_t kVotesToStep = 3;  // reports in a row before a harder step
static constexpr uint32_t kVotesToRelax = 5; // reports in a row before a milder one
static constexpr Duration kBetweenEvictions = std::chrono::seconds(15);
static constexpr double kLoadOfServing = 0.8; // of the slots of workers that take requests
static constexpr double kLoadFall = 0.02;     // of the measured load towards a lower one, a second
static constexpr double kStaySpare = 0.1;     // noise that makes up for moving tasks
static constexpr uint32_t kThrottledPercent = 50;
static constexpr double kBaselineGain = 0.2;
static constexpr uint32_t kMinSamples = 5; // of a target's latency

static constexpr EnumTable<ReactionLevel, 4> kLevelNames{ {
  { ReactionLevel::None, "none" },
  { ReactionLevel::Hold, "hold" },
  { ReactionLevel::Throttle, "throttle" },
  { ReactionLevel::Evict, "evict" },
} };

/// Latency of the service where nothing runs beside it; where there is no such worker, of the
/// fastest one.
double
TaskController::BaselineUs(const std::string& aService, const Router& aRouter)
{
  double fastest = 0;
  double aloneSum = 0;
  size_t alone = 0;
  for (const Target& target : aRouter.Targets()) {
    if (target.m_meanUs <= 0 || target.m_samples < kMinSamples) {
      continue;
    }
    fastest = fastest > 0 ? std::min(fastest, target.m_meanUs) : target.m_meanUs;
    const OwnedWorker* worker = m_racks.FindWorker(target.m_worker);
    if (worker && worker->m_mix.CurrentMix().empty()) {
      aloneSum += target.m_meanUs;
      ++alone;
    }
  }
  const double seen = alone > 0 ? aloneSum / static_cast<double>(alone) : fastest;
  double& baseline = m_baselines[aService];
  if (seen > 0) {
    // Without workers that run the service alone, the baseline only falls.
    const bool learn = alone > 0 || baseline <= 0 || seen < baseline;
    baseline += learn ? (baseline > 0 ? kBaselineGain : 1) * (seen - baseline) : 0;
  }
  return baseline;
}

double
TaskController::ObserveWorker(const OwnedWorker& aWorker)
{
  double worst = 1;
  for (const ServiceLoad& load : LoadsOn(aWorker)) {
    const RouterMap::const_iterator router = m_routers.find(load.m_service);
    const Target* target = router == m_routers.end() ? nullptr : router->second.Find(aWorker.m_id);
    const double baseline = m_baselines[load.m_service];
    if (!target || baseline <= 0 || target->m_meanUs <= 0 || target->m_samples < kMinSamples ||
        m_context.m_now - target->m_sampledAt > 2 * kReactInterval) {
      continue;
    }
    const double slowdown = target->m_meanUs / baseline;
    // The moving mean looks back about as far as the interval between reactions.
    const TaskMix& mix = aWorker.m_mix.MixAt(m_context.m_now - kReactInterval);
    m_racks.Interference().Observe(load.m_service, load.m_band, mix, slowdown);
    worst = std::max(worst, slowdown);
  }
  return worst;
}

void
TaskController::React()
{
  if (!m_context.m_options.m_react || m_context.m_now - m_reactedAt < kReactInterval) {
    return;
  }
  m_reactedAt = m_context.m_now;
  for (const std::pair<const std::string, Router>& routerEntry : m_routers) {
    const std::string& name = routerEntry.first;
    const Router& router = routerEntry.second;
    BaselineUs(name, router);
  }
  m_racks.Interference().DecayTowardsPrior();
  const SlowdownLimits limits = SlowdownLimitsFor(m_context.Config().m_policy.m_tailWeight);
  for (std::pair<const std::string, OwnedRack>& rackEntry : m_racks.Racks()) {
    OwnedRack& rack = rackEntry.second;
    ChooseSpare(rack);
    for (std::pair<const WorkerId, OwnedWorker>& workerEntry : rack.m_workers) {
      OwnedWorker& worker = workerEntry.second;
      if (worker.m_listed && !worker.m_lapsed) {
        ReactOn(rack, worker, ObserveWorker(worker), limits);
      }
    }
  }
}

/// Slowdown that the tasks on \p aWorker are expected to cause.
double
TaskController::NoiseOf(const OwnedWorker& aWorker) const
{
  double noise = 0;
  for (const std::pair<const std::string, Service>& nameEntry : m_context.Config().m_services) {
    const std::string& name = nameEntry.first;
    // By the band of a moderate load, whether or not requests come there now.
    noise += m_racks.Interference().PredictSlowdown(name, 1, aWorker.m_mix.CurrentMix()) - 1;
  }
  return noise;
}

/// While the services need fewer workers than there are, requests keep to some of them and noisy
/// batch work to the others. The noisiest stay spare, so that few tasks have to move.
void
TaskController::ChooseSpare(OwnedRack& aRack)
{
  double outstanding = 0;
  double slots = 0;
  for (const std::pair<const std::string, Service>& serviceEntry : m_context.Config().m_services) {
    const std::string& name = serviceEntry.first;
    const Service& service = serviceEntry.second;
    const RouterMap::const_iterator router = m_routers.find(name);
    for (const std::pair<const WorkerId, OwnedWorker>& idEntry : aRack.m_workers) {
      const uint32_t id = idEntry.first;
      const Target* target = router == m_routers.end() ? nullptr : router->second.Find(id);
      outstanding += target ? target->m_outstanding : 0;
      slots += target ? service.m_slots : 0;
    }
  }
  double& load = m_serviceLoad[aRack.m_rack];
  const double now = slots > 0 ? outstanding / slots : 0;
  load = std::max(now, load + kLoadFall * (now - load));
  const double room = std::max(0.0, 1 - load / kLoadOfServing);
  const size_t count = static_cast<size_t>(room * static_cast<double>(aRack.m_workers.size()));
  std::vector<std::pair<double, OwnedWorker*>> byNoise;
  for (std::pair<const WorkerId, OwnedWorker>& workerEntry : aRack.m_workers) {
    OwnedWorker& worker = workerEntry.second;
    byNoise.emplace_back(NoiseOf(worker) + (worker.m_batchPreferred ? kStaySpare : 0), &worker);
  }
  std::sort(byNoise.begin(), byNoise.end(), [](const auto& aLeft, const auto& aRight) {
    return aLeft.first != aRight.first ? aLeft.first > aRight.first
                                       : aLeft.second->m_id < aRight.second->m_id;
  });
  for (size_t i = 0; i < byNoise.size(); ++i) {
    byNoise[i].second->m_batchPreferred = i < count;
    for (std::pair<const std::string, Router>& routerEntry : m_routers) {
      Router& router = routerEntry.second;
      router.SetBatchPreferred(byNoise[i].second->m_id, i < count);
    }
  }
}

/// The step that \p aSlowdown asks for.
static ReactionLevel
WantedLevel(double aSlowdown, const SlowdownLimits& aLimits)
{
  if (aSlowdown >= aLimits.m_evict) {
    return ReactionLevel::Evict;
  }
  if (aSlowdown >= aLimits.m_throttle) {
    return ReactionLevel::Throttle;
  }
  return aSlowdown >= aLimits.m_hold ? ReactionLevel::Hold : ReactionLevel::None;
}

void
TaskController::ReactOn(OwnedRack& aRack,
                        OwnedWorker& aWorker,
                        double aSlowdown,
                        const SlowdownLimits& aLimits)
{
  const ReactionLevel wanted = aWorker.m_attempts.empty() || aWorker.m_batchPreferred
                                 ? ReactionLevel::None
                                 : WantedLevel(aSlowdown, aLimits);
  if (wanted == aWorker.m_reaction && wanted != ReactionLevel::Evict) {
    aWorker.m_reactionVotes = 0;
    return;
  }
  const bool harder = wanted >= aWorker.m_reaction && wanted != ReactionLevel::None;
  ++aWorker.m_reactionVotes;
  if (aWorker.m_reactionVotes < (harder ? kVotesToStep : kVotesToRelax)) {
    return;
  }
  aWorker.m_reactionVotes = 0;
  const ReactionLevel before = aWorker.m_reaction;
  const int step = harder ? 1 : -1;
  const int next =
    std::min(static_cast<int>(ReactionLevel::Evict), static_cast<int>(before) + step);
  aWorker.m_reaction = static_cast<ReactionLevel>(std::max(next, 0));
  m_context.Log(LogLine(LogLevel::Info, "reaction")
                  .Add("worker", aWorker.m_address)
                  .Add("slowdown", aSlowdown)
                  .Add("from", NameIn(kLevelNames, before))
                  .Add("to", NameIn(kLevelNames, aWorker.m_reaction)));
  if (aWorker.m_reaction == ReactionLevel::Throttle) {
    ThrottleAll(aRack, aWorker, kThrottledPercent);
  } else if (aWorker.m_reaction == ReactionLevel::Evict) {
    EvictNoisiest(aRack, aWorker);
  } else if (before == ReactionLevel::Throttle) {
    ThrottleAll(aRack, aWorker, 100);
  }
}

void
TaskController::ThrottleAll(OwnedRack& aRack, OwnedWorker& aWorker, uint32_t aPercent)
{
  for (std::pair<const TaskAttempt, OwnedAttempt>& runEntry : aWorker.m_attempts) {
    const TaskAttempt& attempt = runEntry.first;
    OwnedAttempt& run = runEntry.second;
    if (run.m_phase == AttemptPhase::Running && !run.m_urgent && run.m_throttle != aPercent) {
      run.m_throttle = aPercent;
      m_racks.Call(aRack, aWorker, ThrottleCall{ attempt, aPercent });
    }
  }
}

/// Moves the task whose kind adds most, if it loses no work by it; the newest of its kind.
void
TaskController::EvictNoisiest(OwnedRack& aRack, OwnedWorker& aWorker)
{
  if (m_context.m_now - aWorker.m_reactedAt < kBetweenEvictions) {
    return;
  }
  const Model& model = m_context.Config();
  const std::vector<ServiceLoad> loads = LoadsOn(aWorker);
  const TaskAttempt* noisiest = nullptr;
  double most = -1;
  Instant newest{};
  for (const std::pair<const TaskAttempt, OwnedAttempt>& runEntry : aWorker.m_attempts) {
    const TaskAttempt& attempt = runEntry.first;
    const OwnedAttempt& run = runEntry.second;
    const std::map<std::string, BatchKind, std::less<>>::const_iterator kind =
      model.m_kinds.find(run.m_kind);
    if (run.m_phase != AttemptPhase::Running || run.m_urgent || kind == model.m_kinds.end() ||
        !(kind->second.m_checkpoints || kind->second.m_restartable)) {
      continue;
    }
    double adds = 0;
    for (const ServiceLoad& load : loads) {
      adds += m_racks.Interference().AddedSlowdown(load.m_service, load.m_band, run.m_kind);
    }
    if (adds > most || (adds == most && run.m_startedAt > newest)) {
      most = adds;
      newest = run.m_startedAt;
      noisiest = &attempt;
    }
  }
  if (noisiest) {
    aWorker.m_reactedAt = m_context.m_now;
    m_racks.StopRun(aRack, aWorker, *noisiest, TaskEndReason::Evicted);
  }
}

} // namespace egretturn
