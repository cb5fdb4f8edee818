#include "egretturn/Scheduler/AbsenceLog.h"

#include "egretturn/Scheduler/JobRanking.h"
#include "egretturn/Support/EnumTable.h"

#include <algorithm>
#include <tuple>
#include <utility>

namespace egretturn {

static constexpr EnumTable<AbsenceEvent, 3> kAbsenceEventNames{ {
  { AbsenceEvent::StillAway, "still_away" },
  { AbsenceEvent::AtWork, "at_work" },
  { AbsenceEvent::Gone, "gone" },
} };

std::string_view
NameOf(AbsenceEvent aEvent)
{
  return NameIn(kAbsenceEventNames, aEvent);
}

LogLine
DescribeAbsence(const ReportedAbsence& aLine, uint64_t aHeldBack)
{
  const Absence& absence = aLine.m_absence;
  const bool away = aLine.m_event == AbsenceEvent::StillAway;
  LogLine line(LogLevel::Info, away ? "task_is_away" : "task_was_away");
  line.Add("task", FormatTaskRef(absence.m_task)).Add("job", FormatGraphId(absence.m_task.m_job));
  if (!away) {
    line.Add("then", NameOf(aLine.m_event));
  }
  if (aLine.m_event == AbsenceEvent::AtWork && !absence.m_worker.empty()) {
    line.Add("worker", absence.m_worker);
  }
  line.Add("ms", ToMillis(aLine.m_away)).Add("last_cause", NameOf(absence.m_cause));
  if (!absence.m_holder.empty()) {
    line.Add("held_by", absence.m_holder);
  }
  for (size_t i = 0; i < absence.m_byCause.size(); ++i) {
    if (absence.m_byCause[i] > Duration::zero()) {
      line.Add(std::string(NameOf(static_cast<WaitCause>(i))) + "_ms",
               ToMillis(absence.m_byCause[i]));
    }
  }
  return std::move(line.Add("held_back", aHeldBack));
}

std::optional<WaitCause>
AbsenceLog::FindStep(const TaskRef& aFirst) const
{
  const auto it = m_heldSteps.find(aFirst);
  return it == m_heldSteps.end() ? std::nullopt : std::optional<WaitCause>(it->second);
}

/// Adds the time from the last look to \p aUntil to the cause \p aCause.
static void
AddTime(Absence& aAbsence, WaitCause aCause, Instant aUntil)
{
  const Duration time = std::max(aUntil - aAbsence.m_seenAt, Duration::zero());
  aAbsence.m_byCause[static_cast<size_t>(aCause)] += time;
  aAbsence.m_seenAt = std::max(aAbsence.m_seenAt, aUntil);
}

void
AbsenceLog::CountAway(size_t aTasks, Duration aAway)
{
  m_look.m_longAway += aAway > kLongAbsence ? aTasks : 0;
  m_look.m_longest = std::max(m_look.m_longest, aAway);
}

void
AbsenceLog::CountNotFollowed(size_t aTasks, Instant aSince, Instant aNow)
{
  CountAway(aTasks, aNow - aSince);
  m_look.m_notFollowed += aTasks;
}

void
AbsenceLog::End(Absence& aAbsence, AbsenceEvent aEvent, Instant aEnd)
{
  AddTime(aAbsence, aAbsence.m_cause, aEnd);
  const Duration away = aAbsence.m_seenAt - aAbsence.m_since;
  if (IsOverdue(away)) {
    m_look.m_lines.push_back({ aAbsence, aEvent, away });
  }
}

void
AbsenceLog::OnAway(const TaskRef& aTask,
                   Instant aSince,
                   WaitCause aCause,
                   const WorkerName* aHolder,
                   Instant aNow)
{
  auto it = m_absences.find(aTask);
  if (it != m_absences.end() && aSince > it->second.m_seenAt) { // it ran between two looks
    End(it->second, AbsenceEvent::AtWork, it->second.m_startedAt.value_or(aSince));
    m_absences.erase(it);
    it = m_absences.end();
  }
  if (it == m_absences.end() && m_absences.size() >= kMaxFollowed) {
    CountNotFollowed(1, aSince, aNow);
    return;
  }
  if (it == m_absences.end()) {
    it = m_absences.emplace(aTask, Absence()).first;
    it->second.m_task = aTask;
    it->second.m_since = aSince;
    it->second.m_seenAt = aSince;
    it->second.m_nextReportAt = aSince + kLongAbsence;
  }
  Absence& absence = it->second;
  AddTime(absence, aCause, aNow);
  absence.m_cause = aCause;
  absence.m_holder = aHolder ? *aHolder : absence.m_holder;
  absence.m_startedAt.reset();
  const Duration away = aNow - absence.m_since;
  CountAway(1, away);
  if (aNow >= absence.m_nextReportAt) {
    absence.m_nextReportAt = aNow + away;
    m_look.m_lines.push_back({ absence, AbsenceEvent::StillAway, away });
  }
}

void
AbsenceLog::OnAtWork(const TaskRef& aTask, const WorkerName& aWorker, Instant aNow)
{
  if (m_absences.empty()) {
    return;
  }
  const auto it = m_absences.find(aTask);
  if (it == m_absences.end()) {
    return;
  }
  it->second.m_worker = aWorker;
  End(it->second, AbsenceEvent::AtWork, it->second.m_startedAt.value_or(aNow));
  m_absences.erase(it);
}

void
AbsenceLog::OnStart(const TaskRef& aTask, const WorkerName& aWorker, Instant aNow)
{
  const auto it = m_absences.find(aTask);
  if (it != m_absences.end()) {
    it->second.m_worker = aWorker;
    it->second.m_startedAt = aNow;
  }
}

const AbsenceReport&
AbsenceLog::FinishLook(Instant aNow)
{
  for (auto it = m_absences.begin(); it != m_absences.end();) {
    const bool found = it->second.m_seenAt >= aNow;
    if (!found) {
      End(it->second, AbsenceEvent::Gone, aNow);
    }
    it = found ? std::next(it) : m_absences.erase(it);
  }
  std::vector<ReportedAbsence>& lines = m_look.m_lines;
  const size_t kept = std::min(lines.size(), kMaxLines);
  std::partial_sort(lines.begin(),
                    lines.begin() + static_cast<ptrdiff_t>(kept),
                    lines.end(),
                    [](const ReportedAbsence& aLeft, const ReportedAbsence& aRight) {
                      const bool leftGoesOn = aLeft.m_event == AbsenceEvent::StillAway;
                      const bool rightGoesOn = aRight.m_event == AbsenceEvent::StillAway;
                      return std::tie(leftGoesOn, aRight.m_away) <
                             std::tie(rightGoesOn, aLeft.m_away);
                    });
  m_look.m_heldBack = lines.size() - kept;
  lines.resize(kept);
  m_report = std::exchange(m_look, {});
  m_heldSteps.clear();
  if (LogEnabled(LogLevel::Info)) {
    for (const ReportedAbsence& line : m_report.m_lines) {
      Log(DescribeAbsence(line, m_report.m_heldBack));
    }
  }
  return m_report;
}

} // namespace egretturn
