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
  { Operation::LoseAppends, "lose_appends" },
  { Operation::CutZone, "cut_zone" },
  { Operation::JoinZone, "join_zone" },
  { Operation::CutNodeLog, "cut_node_log" },
  { Operation::JoinNodeLog, "join_node_log" },
  { Operation::CutWorker, "cut_worker" },
  { Operation::JoinWorker, "join_worker" },
  { Operation::RebootWorker, "reboot_worker" },
  { Operation::FailsAll, "fails_all" },
  { Operation::WorkerLeaves, "worker_leaves" },
  { Operation::WorkerStays, "worker_stays" },
  { Operation::Storm, "storm" },
  { Operation::Calm, "calm" },
  { Operation::BreakAnswers, "break_answers" },
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

/// State that links the steps of one run.
struct Script
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
RunWork(Script& aScript, const Step& aStep, size_t aNode)
{
  World& world = aScript.m_world;
  switch (aStep.m_operation) {
    case Operation::Ask:
      for (uint32_t i = 0; i <= aStep.m_second % 20; ++i) {
        world.Request(aNode, "ask", "");
      }
      return;
    case Operation::Order:
      world.Request(aNode, "order", "key-" + std::to_string(aScript.m_keys++));
      return;
    case Operation::OrderAgain:
      world.Request(aNode, "order", aScript.Key(aStep.m_second));
      world.Request((aNode + 1) % world.Nodes(), "order", aScript.Key(aStep.m_second));
      return;
    case Operation::Submit:
    case Operation::SubmitUrgent:
      world.SubmitJob(aNode,
                      "job-" + std::to_string(aScript.m_jobs++),
                      aStep.m_second % 2 == 0 ? "plan" : "watch",
                      1 + aStep.m_second % 12,
                      aStep.m_operation == Operation::SubmitUrgent);
      return;
    case Operation::SubmitAgain: {
      const uint32_t job = aScript.m_jobs == 0 ? 0 : aStep.m_second % aScript.m_jobs;
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
RunFailure(Script& aScript, const Step& aStep, size_t aNode)
{
  World& world = aScript.m_world;
  const size_t worker = aStep.m_first % world.Workers();
  Faults& weather = world.Weather();
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
      weather.m_logDown = true;
      return;
    case Operation::LogUp:
      weather.m_logDown = false;
      weather.m_logSlow = false;
      return;
    case Operation::LogSlow:
      weather.m_logSlow = true;
      return;
    case Operation::LoseAppends:
      weather.m_loseAppend = strength;
      return;
    case Operation::CutZone:
    case Operation::JoinZone:
      world.CutZone(aStep.m_first % 2, aStep.m_operation == Operation::CutZone);
      return;
    case Operation::CutNodeLog:
    case Operation::JoinNodeLog:
      world.CutNodeFromLog(aNode, aStep.m_operation == Operation::CutNodeLog);
      return;
    case Operation::CutWorker:
    case Operation::JoinWorker:
      world.CutWorker(worker, aStep.m_operation == Operation::CutWorker);
      return;
    case Operation::RebootWorker:
      world.RebootWorker(worker);
      return;
    case Operation::FailsAll:
      world.SetWorkerFailsAll(worker, aStep.m_second % 2 == 0);
      return;
    case Operation::WorkerLeaves:
    case Operation::WorkerStays:
      world.SetWorkerLeaving(worker, aStep.m_operation == Operation::WorkerLeaves);
      return;
    case Operation::Storm:
      weather.m_drop = strength;
      weather.m_double = strength;
      weather.m_slow = strength;
      return;
    case Operation::Calm:
      weather.m_drop = weather.m_double = weather.m_slow = 0;
      weather.m_breakAnswers = weather.m_refuse = weather.m_loseAppend = 0;
      return;
    case Operation::BreakAnswers:
      weather.m_breakAnswers = strength;
      weather.m_refuse = strength;
      return;
    default:
      return;
  }
}

std::string
RunSteps(uint64_t aSeed, const std::vector<Step>& aSteps)
{
  Script script{ World(aSeed, WorldShape{}), 0, 0 };
  World& world = script.m_world;
  for (const Step& step : aSteps) {
    const size_t node = step.m_first % world.Nodes();
    RunWork(script, step, node);
    RunFailure(script, step, node);
    world.Advance(milliseconds(step.m_waitMs));
    if (!world.Violations().empty()) {
      return world.Report();
    }
  }
  world.Heal();
  world.AdvanceUntil([&world] { return world.IsSettled() || !world.Violations().empty(); },
                     kHealTime);
  world.CheckEnd();
  return world.Report();
}

} // namespace egretturn::fuzz
