// Follows the long-running tasks that don't run: how long each is away, and what held it meanwhile.
#pragma once

#include "egretturn/Scheduler/JobWait.h"
#include "egretturn/Support/Log.h"

#include <array>
#include <unordered_map>
#include <vector>

namespace egretturn {

/// How long a long-running task is or was away, and what held it. The causes are those that the
/// looks have found, so their times are known to the interval between two looks.
struct Absence
{
  TaskRef m_task;
  Instant m_since;
  Instant m_seenAt;                              ///< The last look that found it away.
  WaitCause m_cause = WaitCause::Startable;      ///< At that look.
  std::array<Duration, kWaitCauses> m_byCause{}; ///< The whole time until then, by cause.
  WorkerName m_holder; ///< The last worker that held it, empty if none is known.
  WorkerName m_worker; ///< Where it was started last, or is at work; empty if it was not started.
  std::optional<Instant> m_startedAt; ///< If it has been started after that look.
  Instant m_nextReportAt;             ///< When it is reported next if it stays away.
};

/// What is reported of an absence.
enum class AbsenceEvent : uint8_t
{
  StillAway,
  AtWork, ///< The task runs again.
  Gone,   ///< It waits no longer and doesn't run: its job has ended.
};

/// Returns the stable name of \p aEvent. Thread-safe.
std::string_view NameOf(AbsenceEvent aEvent);

/// One line of a report.
struct ReportedAbsence
{
  Absence m_absence;
  AbsenceEvent m_event = AbsenceEvent::StillAway;
  Duration m_away{}; ///< In all.
};

/// What one look has found.
struct AbsenceReport
{
  std::vector<ReportedAbsence> m_lines; ///< Those that have ended first, the longest before others.
  uint64_t m_heldBack = 0;              ///< Lines beyond the bound.
  uint64_t m_longAway = 0;              ///< Tasks that are away for longer than kLongAbsence.
  Duration m_longest{};                 ///< Of the tasks that are away.
  uint64_t m_notFollowed = 0;           ///< Tasks that are away, beyond the bound of memory.
};

/// Returns the log line for \p aLine. Thread-safe.
LogLine DescribeAbsence(const ReportedAbsence& aLine, uint64_t aHeldBack);

/// Follows the long-running tasks that are away. A look, once a second, tells it of each of them;
/// FinishLook() ends the look. Not thread-safe.
class AbsenceLog
{
public:
  static constexpr size_t kMaxFollowed = 2048; ///< Tasks, to bound the memory.
  static constexpr size_t kMaxLines = 64;      ///< Of one look, to bound the log.
  /// Tasks of one step that were never started, to bound the time of a look.
  static constexpr size_t kMaxUnstartedOfStep = 64;

  /// An absence of this length is reported, and then whenever it has doubled.
  static constexpr Duration kLongAbsence = std::chrono::seconds(6);

  /// Says what kept the waiting tasks of a step from starting in the current pass. \p aFirst is the
  /// step's first task.
  void NoteStep(const TaskRef& aFirst, WaitCause aCause) { m_heldSteps[aFirst] = aCause; }

  /// Returns what NoteStep() has said since the last look, or nothing.
  std::optional<WaitCause> FindStep(const TaskRef& aFirst) const;

  /// Handles that \p aTask is away since \p aSince and held by \p aCause, on the worker \p aHolder
  /// if that is not nullptr.
  void OnAway(const TaskRef& aTask,
              Instant aSince,
              WaitCause aCause,
              const WorkerName* aHolder,
              Instant aNow);

  /// Counts \p aTasks more tasks, away since \p aSince, that are not followed.
  void CountNotFollowed(size_t aTasks, Instant aSince, Instant aNow);

  /// Handles that \p aTask runs on \p aWorker.
  void OnAtWork(const TaskRef& aTask, const WorkerName& aWorker, Instant aNow);

  /// Handles that \p aTask is started on \p aWorker. Whether it runs there, the next look tells.
  void OnStart(const TaskRef& aTask, const WorkerName& aWorker, Instant aNow);

  /// Ends a look: forgets the tasks that it has not found. Returns the look's report.
  const AbsenceReport& FinishLook(Instant aNow);

  /// Returns the report of the last look.
  const AbsenceReport& LastReport() const { return m_report; }

  /// Returns the number of tasks that are followed.
  size_t CountFollowed() const { return m_absences.size(); }

private:
  void CountAway(size_t aTasks, Duration aAway);
  void End(Absence& aAbsence, AbsenceEvent aEvent, Instant aEnd);

  std::unordered_map<TaskRef, Absence, TaskRefHash> m_absences;
  std::unordered_map<TaskRef, WaitCause, TaskRefHash> m_heldSteps; ///< By their first tasks.
  AbsenceReport m_look;                                            ///< Of the look that goes on.
  AbsenceReport m_report;                                          ///< Of the last one.
};

} // namespace egretturn
