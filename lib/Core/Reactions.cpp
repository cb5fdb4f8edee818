// Mitigation of interference: hold, throttle and evict, with hysteresis.
#include "egretturn/Core/Tasks.h"
#include "egretturn/Support/EnumTable.h"

#include <algorithm>

namespace egretturn {

static constexpr Duration kReactInterval = std::chrono::seconds(1);
static constexpr uint32_t kEvaluationsToEscalate = 3; // consecutive evaluations
static constexpr uint32_t kEvaluationsToRelax = 5;    // consecutive evaluations
static constexpr Duration kEvictionInterval = std::chrono::seconds(15);
static constexpr double kTargetServiceLoad = 0.8;        // share of the service slots
static constexpr double kServiceLoadDecay = 0.02;        // per second, towards a lower load
static constexpr double kBatchPreferredHysteresis = 0.1; // avoids moving tasks
static constexpr uint32_t kThrottledPercent = 50;
static constexpr double kBaselineGain = 0.2;
static constexpr uint32_t kMinSamples = 5; // of a target's latency

static constexpr EnumTable<ReactionLevel, 4> kLevelNames{ {
  { ReactionLevel::None, "none" },
  { ReactionLevel::Hold, "hold" },
  { ReactionLevel::Throttle, "throttle" },
  { ReactionLevel::Evict, "evict" },
} };

/// Updates and returns the baseline latency of the service: its latency on workers without batch
/// tasks or, if there are none, on the fastest worker.
double
TaskController::UpdateBaselineUs(const std::string& aService, const Router& aRouter)
{
  double fastest = 0;
  double isolatedSum = 0;
  size_t isolated = 0;
  for (const Target& target : aRouter.Targets()) {
    if (target.m_meanUs <= 0 || target.m_samples < kMinSamples) {
      continue;
    }
    fastest = fastest > 0 ? std::min(fastest, target.m_meanUs) : target.m_meanUs;
    const OwnedWorker* worker = m_racks.FindWorker(target.m_worker);
    if (worker && worker->m_mix.CurrentMix().empty()) {
      isolatedSum += target.m_meanUs;
      ++isolated;
    }
  }
  const double observed = isolated > 0 ? isolatedSum / static_cast<double>(isolated) : fastest;
  double& baseline = m_baselineUs[aService];
  if (observed > 0) {
    // Without workers that run only the service, the baseline may only decrease.
    const bool learn = isolated > 0 || baseline <= 0 || observed < baseline;
    baseline += learn ? (baseline > 0 ? kBaselineGain : 1) * (observed - baseline) : 0;
  }
  return baseline;
}

double
TaskController::ObserveSlowdown(const OwnedWorker& aWorker)
{
  double worst = 1;
  for (const ServiceLoad& load : LoadsOn(aWorker)) {
    const RouterMap::const_iterator router = m_routers.find(load.m_service);
    const Target* target = router == m_routers.end() ? nullptr : router->second.Find(aWorker.m_id);
    const double baseline = m_baselineUs[load.m_service];
    if (!target || baseline <= 0 || target->m_meanUs <= 0 || target->m_samples < kMinSamples ||
        m_context.m_now - target->m_sampledAt > 2 * kReactInterval) {
      continue;
    }
    const double slowdown = target->m_meanUs / baseline;
    // The moving average covers about one interval between reactions.
    const TaskMix& mix = aWorker.m_mix.MixAt(m_context.m_now - kReactInterval);
    m_racks.Interference().Observe(load.m_service, load.m_band, mix, slowdown);
    worst = std::max(worst, slowdown);
  }
  return worst;
}

void
TaskController::ReactToInterference()
{
  if (!m_context.m_options.m_react || m_context.m_now - m_reactedAt < kReactInterval) {
    return;
  }
  m_reactedAt = m_context.m_now;
  for (const std::pair<const std::string, Router>& routerEntry : m_routers) {
    const std::string& name = routerEntry.first;
    const Router& router = routerEntry.second;
    UpdateBaselineUs(name, router);
  }
  m_racks.Interference().DecayTowardsPrior();
  const SlowdownLimits limits = SlowdownLimitsFor(m_context.Config().m_policy.m_tailWeight);
  for (std::pair<const std::string, OwnedRack>& rackEntry : m_racks.Racks()) {
    OwnedRack& rack = rackEntry.second;
    ChooseBatchPreferred(rack);
    for (std::pair<const WorkerId, OwnedWorker>& workerEntry : rack.m_workers) {
      OwnedWorker& worker = workerEntry.second;
      if (worker.m_polled && !worker.m_leasesExpired) {
        ReactOn(rack, worker, ObserveSlowdown(worker), limits);
      }
    }
  }
}

/// Returns the slowdown of services that the tasks on \p aWorker are expected to cause.
double
TaskController::ExpectedInterference(const OwnedWorker& aWorker) const
{
  double interference = 0;
  for (const std::pair<const std::string, Service>& nameEntry : m_context.Config().m_services) {
    const std::string& name = nameEntry.first;
    // Assumes moderate load, whether or not the worker receives requests now.
    interference += m_racks.Interference().PredictSlowdown(name, 1, aWorker.m_mix.CurrentMix()) - 1;
  }
  return interference;
}

/// While the services need fewer workers than there are, concentrates requests on some workers and
/// batch tasks with high interference on the others. The workers with the highest interference are
/// preferred for batch tasks, so that few tasks have to move.
void
TaskController::ChooseBatchPreferred(OwnedRack& aRack)
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
  load = std::max(now, load + kServiceLoadDecay * (now - load));
  const double freeShare = std::max(0.0, 1 - load / kTargetServiceLoad);
  const size_t count = static_cast<size_t>(freeShare * static_cast<double>(aRack.m_workers.size()));
  std::vector<std::pair<double, OwnedWorker*>> byInterference;
  for (std::pair<const WorkerId, OwnedWorker>& workerEntry : aRack.m_workers) {
    OwnedWorker& worker = workerEntry.second;
    byInterference.emplace_back(ExpectedInterference(worker) +
                                  (worker.m_noiseTolerant ? kBatchPreferredHysteresis : 0),
                                &worker);
  }
  std::sort(
    byInterference.begin(), byInterference.end(), [](const auto& aLeft, const auto& aRight) {
      return aLeft.first != aRight.first ? aLeft.first > aRight.first
                                         : aLeft.second->m_id < aRight.second->m_id;
    });
  for (size_t i = 0; i < byInterference.size(); ++i) {
    byInterference[i].second->m_noiseTolerant = i < count;
    for (std::pair<const std::string, Router>& routerEntry : m_routers) {
      Router& router = routerEntry.second;
      router.SetNoiseTolerant(byInterference[i].second->m_id, i < count);
    }
  }
}

/// Returns the mitigation level for \p aSlowdown.
static ReactionLevel
LevelForSlowdown(double aSlowdown, const SlowdownLimits& aLimits)
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
  const ReactionLevel wanted = aWorker.m_attempts.empty() || aWorker.m_noiseTolerant
                                 ? ReactionLevel::None
                                 : LevelForSlowdown(aSlowdown, aLimits);
  if (wanted == aWorker.m_reaction && wanted != ReactionLevel::Evict) {
    aWorker.m_reactionStreak = 0;
    return;
  }
  const bool escalate = wanted >= aWorker.m_reaction && wanted != ReactionLevel::None;
  ++aWorker.m_reactionStreak;
  if (aWorker.m_reactionStreak < (escalate ? kEvaluationsToEscalate : kEvaluationsToRelax)) {
    return;
  }
  aWorker.m_reactionStreak = 0;
  const ReactionLevel previous = aWorker.m_reaction;
  const int step = escalate ? 1 : -1;
  const int next =
    std::min(static_cast<int>(ReactionLevel::Evict), static_cast<int>(previous) + step);
  aWorker.m_reaction = static_cast<ReactionLevel>(std::max(next, 0));
  m_context.Log(LogLine(LogLevel::Info, "reaction")
                  .Add("worker", aWorker.m_address)
                  .Add("slowdown", aSlowdown)
                  .Add("from", NameIn(kLevelNames, previous))
                  .Add("to", NameIn(kLevelNames, aWorker.m_reaction)));
  if (aWorker.m_reaction == ReactionLevel::Throttle) {
    ThrottleAll(aRack, aWorker, kThrottledPercent);
  } else if (aWorker.m_reaction == ReactionLevel::Evict) {
    EvictNoisiest(aRack, aWorker);
  } else if (previous == ReactionLevel::Throttle) {
    ThrottleAll(aRack, aWorker, 100);
  }
}

void
TaskController::ThrottleAll(OwnedRack& aRack, OwnedWorker& aWorker, uint32_t aPercent)
{
  for (std::pair<const TaskAttempt, OwnedAttempt>& attemptEntry : aWorker.m_attempts) {
    const TaskAttempt& taskAttempt = attemptEntry.first;
    OwnedAttempt& attempt = attemptEntry.second;
    if (attempt.m_phase == AttemptPhase::Running && !attempt.m_urgent &&
        attempt.m_throttle != aPercent) {
      attempt.m_throttle = aPercent;
      m_racks.Call(aRack, aWorker, ThrottleCall{ taskAttempt, aPercent });
    }
  }
}

/// Evicts the restartable or checkpointed task whose kind adds the most slowdown; among equals, the
/// one started last.
void
TaskController::EvictNoisiest(OwnedRack& aRack, OwnedWorker& aWorker)
{
  if (m_context.m_now - aWorker.m_lastEvictionAt < kEvictionInterval) {
    return;
  }
  const Model& model = m_context.Config();
  const std::vector<ServiceLoad> loads = LoadsOn(aWorker);
  const TaskAttempt* noisiest = nullptr;
  double maxAdded = -1;
  Instant newest{};
  for (const std::pair<const TaskAttempt, OwnedAttempt>& attemptEntry : aWorker.m_attempts) {
    const TaskAttempt& taskAttempt = attemptEntry.first;
    const OwnedAttempt& attempt = attemptEntry.second;
    const std::map<std::string, BatchKind, std::less<>>::const_iterator kind =
      model.m_kinds.find(attempt.m_kind);
    if (attempt.m_phase != AttemptPhase::Running || attempt.m_urgent ||
        kind == model.m_kinds.end() ||
        !(kind->second.m_checkpoints || kind->second.m_restartable)) {
      continue;
    }
    double added = 0;
    for (const ServiceLoad& load : loads) {
      added += m_racks.Interference().AddedSlowdown(load.m_service, load.m_band, attempt.m_kind);
    }
    if (added > maxAdded || (added == maxAdded && attempt.m_startedAt > newest)) {
      maxAdded = added;
      newest = attempt.m_startedAt;
      noisiest = &taskAttempt;
    }
  }
  if (noisiest) {
    aWorker.m_lastEvictionAt = m_context.m_now;
    m_racks.StopAttempt(aRack, aWorker, *noisiest, TaskEndReason::Evicted);
  }
}

} // namespace egretturn
