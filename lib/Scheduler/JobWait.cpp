#include "egretturn/Scheduler/JobWait.h"

#include "egretturn/Support/EnumTable.h"
#include "egretturn/Support/Log.h"

namespace egretturn {

static constexpr EnumTable<WaitCause, kWaitCauses> kWaitCauseNames{ {
  { WaitCause::Recovering, "recovering" },
  { WaitCause::Unconfirmed, "unconfirmed" },
  { WaitCause::StoppingElsewhere, "stopping_elsewhere" },
  { WaitCause::AttemptNotRunning, "run_not_at_work" },
  { WaitCause::StartMayFollow, "start_may_follow" },
  { WaitCause::GangIncomplete, "gang_incomplete" },
  { WaitCause::NoWorker, "no_worker" },
  { WaitCause::Evacuated, "evacuated" },
  { WaitCause::PassedOver, "passed_over" },
  { WaitCause::NotTried, "not_tried" },
  { WaitCause::Startable, "startable" },
} };

std::string_view
NameOf(WaitCause aCause)
{
  return NameIn(kWaitCauseNames, aCause);
}

static void
AddWorker(LogLine& aLine, const HoldingWorker& aWorker)
{
  aLine.Add("worker", aWorker.m_name.empty() ? "unknown" : aWorker.m_name);
  if (aWorker.m_phase) {
    aLine.Add("phase", NameOf(*aWorker.m_phase)).Add("phase_ms", ToMillis(aWorker.m_inPhase));
  }
  aLine.Add("lease_ms", ToMillis(aWorker.m_leaseRemaining));
  if (aWorker.m_unheard > Duration::zero()) {
    aLine.Add("unheard_ms", ToMillis(aWorker.m_unheard));
  }
}

static void
AddConfirmation(LogLine& aLine, const JobWait& aWait)
{
  aLine.Add("confirmation_requested", aWait.m_confirmationRequested ? 1 : 0);
  if (aWait.m_confirmationAge) {
    aLine.Add("confirmed_ms", ToMillis(*aWait.m_confirmationAge));
  }
}

static void
AddObstacles(LogLine& aLine, const ObstacleCounts& aObstacles)
{
  for (size_t i = 0; i < aObstacles.size(); ++i) {
    if (aObstacles[i] > 0) {
      aLine.Add(NameOf(static_cast<Obstacle>(i)), aObstacles[i]);
    }
  }
}

static void
LogJobWait(const JobWait& aWait, uint64_t aHeldBack)
{
  LogLine line(LogLevel::Info, "job_waits");
  line.Add("job", FormatGraphId(aWait.m_task.m_job))
    .Add("task", FormatTaskRef(aWait.m_task))
    .Add("waited_ms", ToMillis(aWait.m_waited))
    .Add("tasks", aWait.m_tasks)
    .Add("cause", NameOf(aWait.m_cause));
  if (aWait.m_behind) {
    line.Add("behind", FormatTaskRef(*aWait.m_behind));
  }
  switch (aWait.m_cause) {
    case WaitCause::Recovering:
    case WaitCause::StoppingElsewhere:
    case WaitCause::AttemptNotRunning:
    case WaitCause::StartMayFollow:
    case WaitCause::GangIncomplete:
      AddWorker(line, aWait.m_worker);
      break;
    case WaitCause::Unconfirmed:
      AddConfirmation(line, aWait);
      break;
    case WaitCause::NoWorker:
    case WaitCause::Evacuated:
      AddObstacles(line, aWait.m_obstacles);
      break;
    case WaitCause::PassedOver:
    case WaitCause::NotTried:
    case WaitCause::Startable:
      break;
  }
  line.Add("held_back", aHeldBack);
  Log(std::move(line));
}

void
LogJobWaits(const JobWaits& aWaits)
{
  for (const JobWait& wait : aWaits.m_longest) {
    LogJobWait(wait, aWaits.m_heldBack);
  }
}

} // namespace egretturn
