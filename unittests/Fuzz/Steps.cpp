#include "Steps.h"

#include "egretturn/Support/EnumTable.h"

#include <ostream>

namespace egretturn::fuzz {

using std::chrono::milliseconds;

static constexpr EnumTable<Operation, kOperations> kOperationNames{ {
  { Operation::Ask, "ask" },
  { Operation::Order, "order" },
  { Operation::OrderAgain, "order_again" },
  { Operation::Submit, "submit" },
  { Operation::SubmitUrgent, "submit_urgent" },
  { Operation::SubmitAgain, "submit_again" },
  { Operation::Cancel, "cancel" },
  { Operation::Publish, "publish" },
  { Operation::PublishRace, "publish_race" },
  { Operation::Drain, "drain" },
  { Operation::Kill, "kill" },
  { Operation::Start, "start" },
  { Operation::Pause, "pause" },
  { Operation::Shutdown, "shutdown" },
  { Operation::LogDown, "log_down" },
  { Operation::LogUp, "log_up" },
  { Operation::LogSlow, "log_slow" },
  { Operation::LoseAppendResponses, "lose_append_responses" },
  { Operation::CutZone, "cut_zone" },
  { Operation::ReconnectZone, "reconnect_zone" },
  { Operation::CutNodeLog, "cut_node_log" },
  { Operation::ReconnectNodeLog, "reconnect_node_log" },
  { Operation::CutWorker, "cut_worker" },
  { Operation::ReconnectWorker, "reconnect_worker" },
  { Operation::RebootWorker, "reboot_worker" },
  { Operation::FailWorkerTasks, "fail_worker_tasks" },
  { Operation::DrainWorker, "drain_worker" },
  { Operation::UndrainWorker, "undrain_worker" },
  { Operation::DegradeNetwork, "degrade_network" },
  { Operation::RestoreNetwork, "restore_network" },
  { Operation::BreakResponses, "break_responses" },
} };

std::string_view
NameOf(Operation aOperation)
{
  return NameIn(kOperationNames, aOperation);
}

std::ostream&
operator<<(std::ostream& aOut, const Step& aStep)
{
  return aOut << NameOf(aStep.m_operation) << ' ' << aStep.m_first << ' ' << aStep.m_second
              << " wait " << aStep.m_waitMs;
}

std::vector<Step>
DrawSteps(uint64_t aSeed, size_t aCount)
{
  Random random(aSeed);
  std::vector<Step> steps;
  for (size_t i = 0; i < aCount; ++i) {
    Step step;
    step.m_operation = static_cast<Operation>(random.Below(kOperations));
    step.m_first = static_cast<uint32_t>(random.Below(1000));
    step.m_second = static_cast<uint32_t>(random.Below(1000));
    step.m_waitMs =
      static_cast<uint32_t>(random.Below(4) == 0 ? random.Below(6000) : random.Below(600));
    steps.push_back(step);
  }
  return steps;
}

/// State shared by the steps of one scenario.
struct ScenarioState
{
  World m_world;
  uint32_t m_keys = 0;
  uint32_t m_jobs = 0;

  std::string Key(uint32_t aNumber) const
  {
    return "key-" + std::to_string(m_keys == 0 ? 0 : aNumber % m_keys);
  }
};

static void
RunLoadStep(ScenarioState& aState, const Step& aStep, size_t aNode)
{
  World& world = aState.m_world;
  switch (aStep.m_operation) {
    case Operation::Ask:
      for (uint32_t i = 0; i <= aStep.m_second % 20; ++i) {
        world.Request(aNode, "ask", "");
      }
      return;
    case Operation::Order:
      world.Request(aNode, "order", "key-" + std::to_string(aState.m_keys++));
      return;
    case Operation::OrderAgain:
      world.Request(aNode, "order", aState.Key(aStep.m_second));
      world.Request((aNode + 1) % world.Nodes(), "order", aState.Key(aStep.m_second));
      return;
    case Operation::Submit:
    case Operation::SubmitUrgent:
      world.SubmitJob(aNode,
                      "job-" + std::to_string(aState.m_jobs++),
                      aStep.m_second % 2 == 0 ? "plan" : "watch",
                      1 + aStep.m_second % 12,
                      aStep.m_operation == Operation::SubmitUrgent);
      return;
    case Operation::SubmitAgain: {
      const uint32_t job = aState.m_jobs == 0 ? 0 : aStep.m_second % aState.m_jobs;
      world.SubmitJob(aNode, "job-" + std::to_string(job), "plan", 3);
      return;
    }
    case Operation::Cancel:
      world.CancelJob(aNode, aStep.m_second);
      return;
    case Operation::Publish:
    case Operation::Drain:
      world.PublishDrain(
        aNode, aStep.m_second % world.Workers(), aStep.m_operation == Operation::Drain);
      return;
    case Operation::PublishRace:
      world.PublishDrain(aNode, aStep.m_second % world.Workers(), true);
      world.PublishDrain((aNode + 1) % world.Nodes(), (aStep.m_second + 1) % world.Workers(), true);
      return;
    default:
      return;
  }
}

static void
RunFaultStep(ScenarioState& aState, const Step& aStep, size_t aNode)
{
  World& world = aState.m_world;
  const size_t worker = aStep.m_first % world.Workers();
  Faults& faults = world.InjectedFaults();
  const double strength = 0.05 + (aStep.m_second % 30) / 100.0;
  switch (aStep.m_operation) {
    case Operation::Kill:
      world.Kill(aNode);
      return;
    case Operation::Start:
      world.Start(aNode);
      return;
    case Operation::Pause:
      world.Pause(aNode, milliseconds(100 + aStep.m_second * 15));
      return;
    case Operation::Shutdown:
      world.Shutdown(aNode);
      return;
    case Operation::LogDown:
      faults.m_logDown = true;
      return;
    case Operation::LogUp:
      faults.m_logDown = false;
      faults.m_logSlow = false;
      return;
    case Operation::LogSlow:
      faults.m_logSlow = true;
      return;
    case Operation::LoseAppendResponses:
      faults.m_loseAppendResponse = strength;
      return;
    case Operation::CutZone:
    case Operation::ReconnectZone:
      world.CutZone(aStep.m_first % 2, aStep.m_operation == Operation::CutZone);
      return;
    case Operation::CutNodeLog:
    case Operation::ReconnectNodeLog:
      world.CutNodeFromLog(aNode, aStep.m_operation == Operation::CutNodeLog);
      return;
    case Operation::CutWorker:
    case Operation::ReconnectWorker:
      world.CutWorker(worker, aStep.m_operation == Operation::CutWorker);
      return;
    case Operation::RebootWorker:
      world.RebootWorker(worker);
      return;
    case Operation::FailWorkerTasks:
      world.SetWorkerFailsAll(worker, aStep.m_second % 2 == 0);
      return;
    case Operation::DrainWorker:
    case Operation::UndrainWorker:
      world.SetWorkerDraining(worker, aStep.m_operation == Operation::DrainWorker);
      return;
    case Operation::DegradeNetwork:
      faults.m_drop = strength;
      faults.m_duplicate = strength;
      faults.m_delay = strength;
      return;
    case Operation::RestoreNetwork:
      faults.m_drop = faults.m_duplicate = faults.m_delay = 0;
      faults.m_breakResponse = faults.m_refuseConnection = faults.m_loseAppendResponse = 0;
      return;
    case Operation::BreakResponses:
      faults.m_breakResponse = strength;
      faults.m_refuseConnection = strength;
      return;
    default:
      return;
  }
}

std::string
RunSteps(uint64_t aSeed, const std::vector<Step>& aSteps)
{
  ScenarioState state{ World(aSeed, WorldShape{}), 0, 0 };
  World& world = state.m_world;
  for (const Step& step : aSteps) {
    const size_t node = step.m_first % world.Nodes();
    RunLoadStep(state, step, node);
    RunFaultStep(state, step, node);
    world.Advance(milliseconds(step.m_waitMs));
    if (!world.Violations().empty()) {
      return world.Report();
    }
  }
  world.Heal();
  world.AdvanceUntil([&world] { return world.IsSettled() || !world.Violations().empty(); },
                     kSettleTimeout);
  world.CheckEnd();
  return world.Report();
}

} // namespace egretturn::fuzz
