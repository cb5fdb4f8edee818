// Puts off starts for a place near the data or the group of a task.
#include "egretturn/Scheduler/Scheduler.h"

#include "egretturn/Support/Log.h"

namespace egretturn {

bool
Scheduler::PutsOffStart(const WaitingStep& aWaiting,
                        size_t aTask,
                        const Worker& aWorker,
                        const PlacementRequest& aRequest,
                        std::optional<NearPlaces>& aPlaces,
                        Instant aNow)
{
  const Job& job = *aWaiting.m_job;
  if (aRequest.m_step->m_bestEffort || !IsFar(aWorker, aRequest) || IsIdle(job, aNow)) {
    return false;
  }
  size_t& putOff = m_putOffByRack[PreferredRack(aRequest)];
  if (!aPlaces) {
    aPlaces.emplace(m_availableWorkers, aRequest, putOff, aNow);
  }
  TaskTable& tasks = aWaiting.m_occurrence->m_steps[aWaiting.m_step].m_tasks;
  const std::optional<Instant> putOffSince = tasks[aTask].m_putOffSince;
  PlaceWait wait;
  wait.m_farFactor = aRequest.m_farFactor;
  wait.m_duration = std::chrono::milliseconds(job.m_stepDurationMs[aWaiting.m_step]);
  wait.m_waited = putOffSince ? aNow - *putOffSince : Duration::zero();
  wait.m_nextPlace = aPlaces->Next();
  if (!DoesWaitPay(wait)) {
    return false;
  }
  aPlaces->Take();
  ++putOff;
  if (!putOffSince) {
    tasks.Edit(aTask).m_putOffSince = aNow;
    ++m_counters.m_startsPutOff;
  }
  return true;
}

void
Scheduler::NotePlace(const WaitingStep& aWaiting,
                     TaskRecord& aTask,
                     const Worker& aWorker,
                     AttemptState& aAttempt,
                     Instant aNow)
{
  const GraphStep& step = StepOf(aWaiting);
  const std::chrono::milliseconds expected(aWaiting.m_job->m_stepDurationMs[aWaiting.m_step]);
  const bool far = !step.m_dataRack.empty() && step.m_dataRack != aWorker.m_report.m_rack;
  const double factor = far ? m_limits.m_farFactor : 1;
  aAttempt.m_expectedEndAt =
    aNow + Duration(static_cast<int64_t>(factor * static_cast<double>(Duration(expected).count())));
  m_counters.m_startsFar += far ? 1 : 0;
  if (aTask.m_putOffSince && LogEnabled(LogLevel::Info)) {
    Log(LogLine(LogLevel::Info, "start_put_off")
          .Add("job", FormatGraphId(aWaiting.m_job->m_stored.m_id))
          .Add("worker", aWorker.m_report.m_id)
          .Add("rack", aWorker.m_report.m_rack)
          .Add("far", far ? 1 : 0)
          .Add("ms", ToMillis(aNow - *aTask.m_putOffSince)));
  }
  aTask.m_putOffSince.reset();
}

} // namespace egretturn
