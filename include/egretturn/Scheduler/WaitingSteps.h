// The steps and tasks that wait to be placed, as a placement pass and the reports on it see them.
#pragma once

#include "egretturn/Scheduler/JobRanking.h"
#include "egretturn/Scheduler/JobRegistry.h"
#include "egretturn/Scheduler/Packing.h"

#include <optional>
#include <vector>

namespace egretturn {

/// A step whose tasks wait to be placed. The pointers hold during one placement pass.
struct WaitingStep
{
  Job* m_job;
  OccurrenceRecord* m_occurrence;
  uint16_t m_step;
  JobRank m_rank;
};

/// The steps of a placement pass in the order in which they are tried.
struct PassOrder
{
  std::vector<WaitingStep> m_steps;
  size_t m_first = 0;   ///< The overdue ones that go first.
  size_t m_overdue = 0; ///< All that are overdue.
};

/// A step that did not fit in a placement pass, and its request.
struct FailedStep
{
  WaitingStep m_waiting;
  PlacementRequest m_request;
};

/// A task whose turn has come and that does not run.
struct WaitingTask
{
  WaitingStep m_step;
  size_t m_index;
  Instant m_since;
};

/// What is at work and what waits of one job.
struct JobActivity
{
  Instant m_lastRan;                         ///< Of the tasks that are not long-running.
  uint32_t m_tasks = 0;                      ///< Tasks that wait.
  std::optional<WaitingTask> m_shortRunning; ///< One of those that are not long-running.
  std::optional<WaitingTask> m_longRunning;  ///< The longest wait of a long-running one.
};

} // namespace egretturn
