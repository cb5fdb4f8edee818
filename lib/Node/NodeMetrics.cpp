// Writes the metrics of an instance.
#include "egretturn/Node/Node.h"

namespace egretturn {

/// A metric and its name on /metrics.
struct MetricRow
{
  const char* m_name;
  uint64_t m_value;
};

std::string
Node::Metrics()
{
  std::string text = "egretturn_deciding " + std::to_string(m_session ? 1 : 0) + "\n";
  text += ShardMetrics() + m_server->Metrics("peers");
  if (!m_session) {
    return text;
  }
  const SchedulerCounters& counters = m_session->GetScheduler().Counters();
  const Room room = m_session->GetScheduler().GetRoom().TotalRoom();
  const MetricRow rows[] = {
    { "egretturn_jobs", m_session->GetScheduler().JobCount() },
    { "egretturn_job_bytes", m_session->GetScheduler().JobBytes() },
    { "egretturn_jobs_accepted_total", counters.m_accepted },
    { "egretturn_jobs_refused_total", counters.m_refused },
    { "egretturn_jobs_refused_as_cancelled_total", counters.m_refusedAsCancelled },
    { "egretturn_cancels_refused_total", counters.m_cancelsRefused },
    { "egretturn_tombstones", m_session->GetScheduler().TombstoneCount() },
    { "egretturn_starts_total", counters.m_starts },
    { "egretturn_ends_done_total", counters.m_endsDone },
    { "egretturn_ends_failed_total", counters.m_endsFailed },
    { "egretturn_ends_other_total", counters.m_endsOther },
    { "egretturn_stops_total", counters.m_stops },
    { "egretturn_paces_total", counters.m_throttles },
    { "egretturn_slow_worker_moves_total", counters.m_moves },
    { "egretturn_looks_total", counters.m_polls },
    { "egretturn_batches_total", counters.m_batches },
    { "egretturn_passes_cut_total", counters.m_passesCut },
    { "egretturn_places_cleared_total", counters.m_placesCleared },
    { "egretturn_tasks_waiting", counters.m_tasksWaiting },
    { "egretturn_tasks_passed_over", counters.m_tasksSkipped },
    { "egretturn_tasks_recovering", counters.m_tasksRecovering },
    { "egretturn_tasks_unconfirmed", counters.m_tasksUnconfirmed },
    { "egretturn_tasks_zone_evacuated", counters.m_tasksEvacuated },
    { "egretturn_jobs_waiting", counters.m_jobsWaiting },
    { "egretturn_long_running_tasks_away", counters.m_longRunningAway },
    { "egretturn_long_running_longest_away_ms", counters.m_longRunningLongestAwayMs },
    { "egretturn_long_running_tasks_not_followed", counters.m_longRunningNotFollowed },
    { "egretturn_starts_put_off_total", counters.m_startsPutOff },
    { "egretturn_starts_far_total", counters.m_startsFar },
    { "egretturn_workers_listed", counters.m_workersRegistered },
    { "egretturn_workers_out_of_contact", counters.m_workersUnreachable },
    { "egretturn_room_free_mcpu", static_cast<uint64_t>(room.m_free) },
    { "egretturn_room_usable_mcpu", static_cast<uint64_t>(room.m_usable) },
    { "egretturn_room_splintered_mcpu", static_cast<uint64_t>(room.m_splintered) },
    { "egretturn_directory_age_ms",
      static_cast<uint64_t>(ToMillis(m_session->DirectoryAge(BootClockNow()))) },
  };
  for (const MetricRow& row : rows) {
    text.append(row.m_name).append(1, ' ').append(std::to_string(row.m_value)).append(1, '\n');
  }
  return text + LinkMetrics();
}

} // namespace egretturn
