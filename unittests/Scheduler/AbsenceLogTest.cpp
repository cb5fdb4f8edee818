// Tests that for each long-running task that is away, one line says for how long and by which
// cause, and that what this takes is bounded.
#include "egretturn/Scheduler/AbsenceLog.h"

#include <catch2/catch.hpp>

using namespace egretturn;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

constexpr TaskRef kTask{ 7, 0, 0, 3 };
constexpr Instant kStart{ std::chrono::hours(1) };
const WorkerName kWorker = "w";

/// Lets each look of a second, from the first after \p aFrom up to \p aUntil, find the task away.
void
LookAway(AbsenceLog& aLog, Duration aFrom, Duration aUntil, WaitCause aCause)
{
  for (Duration at = aFrom + seconds(1); at <= aUntil; at += seconds(1)) {
    aLog.OnAway(kTask, kStart, aCause, nullptr, kStart + at);
    aLog.FinishLook(kStart + at);
  }
}

Duration
TimeOf(const Absence& aAbsence, WaitCause aCause)
{
  return aAbsence.m_byCause[static_cast<size_t>(aCause)];
}

} // namespace

TEST_CASE("an absence is reported with the time by cause once the task is at work again")
{
  AbsenceLog log;
  LookAway(log, seconds(0), seconds(2), WaitCause::NoWorker);
  LookAway(log, seconds(2), seconds(5), WaitCause::PassedOver);
  log.OnStart(kTask, kWorker, kStart + milliseconds(5400));
  log.OnAtWork(kTask, kWorker, kStart + seconds(6));
  const AbsenceReport& report = log.FinishLook(kStart + seconds(6));
  REQUIRE(report.m_lines.size() == 1);
  const ReportedAbsence& line = report.m_lines.front();
  CHECK(line.m_event == AbsenceEvent::AtWork);
  CHECK(line.m_away == milliseconds(5400));
  CHECK(TimeOf(line.m_absence, WaitCause::NoWorker) == seconds(2));
  CHECK(TimeOf(line.m_absence, WaitCause::PassedOver) == milliseconds(3400));
  CHECK(report.m_longAway == 0);
  CHECK(log.CountFollowed() == 0);
  const std::string text = DescribeAbsence(line, 2).Text();
  CHECK(text.find("task_was_away task=" + FormatTaskRef(kTask) + " job=" + FormatGraphId(7) +
                  " then=at_work worker=w ms=5400 last_cause=passed_over no_worker_ms=2000 "
                  "passed_over_ms=3400 held_back=2") != std::string::npos);
}

TEST_CASE("an absence of less than the time to be overdue is not reported")
{
  AbsenceLog log;
  LookAway(log, seconds(0), seconds(2), WaitCause::NoWorker);
  log.OnStart(kTask, kWorker, kStart + milliseconds(2900));
  log.OnAtWork(kTask, kWorker, kStart + seconds(3));
  CHECK(log.FinishLook(kStart + seconds(3)).m_lines.empty());
  CHECK(log.CountFollowed() == 0);
}

TEST_CASE("a start that does not come to work goes on as the same absence")
{
  AbsenceLog log;
  LookAway(log, seconds(0), seconds(3), WaitCause::NoWorker);
  log.OnStart(kTask, kWorker, kStart + milliseconds(3100));
  log.OnAway(kTask, kStart, WaitCause::AttemptNotRunning, &kWorker, kStart + seconds(4));
  CHECK(log.FinishLook(kStart + seconds(4)).m_lines.empty());
  log.OnAtWork(kTask, "other", kStart + seconds(5)); // adopted there
  const AbsenceReport& report = log.FinishLook(kStart + seconds(5));
  REQUIRE(report.m_lines.size() == 1);
  const ReportedAbsence& line = report.m_lines.front();
  CHECK(line.m_away == seconds(5));
  CHECK(TimeOf(line.m_absence, WaitCause::NoWorker) == seconds(3));
  CHECK(TimeOf(line.m_absence, WaitCause::AttemptNotRunning) == seconds(2));
  CHECK(line.m_absence.m_worker == "other");
  CHECK(line.m_absence.m_holder == kWorker);
}

TEST_CASE("a task that has run between two looks has two absences")
{
  AbsenceLog log;
  LookAway(log, seconds(0), seconds(4), WaitCause::NoWorker);
  log.OnStart(kTask, kWorker, kStart + milliseconds(4200));
  const Instant lastRan = kStart + milliseconds(4800);
  log.OnAway(kTask, lastRan, WaitCause::Recovering, nullptr, kStart + seconds(5));
  const AbsenceReport& report = log.FinishLook(kStart + seconds(5));
  REQUIRE(report.m_lines.size() == 1);
  CHECK(report.m_lines.front().m_event == AbsenceEvent::AtWork);
  CHECK(report.m_lines.front().m_away == milliseconds(4200));
  CHECK(report.m_longest == milliseconds(200));
  CHECK(log.CountFollowed() == 1);
}

TEST_CASE("an absence that goes on is reported when it is long, and then when it has doubled")
{
  AbsenceLog log;
  std::vector<Duration> reported;
  for (Duration at = seconds(1); at <= seconds(30); at += seconds(1)) {
    log.OnAway(kTask, kStart, WaitCause::Unconfirmed, nullptr, kStart + at);
    const AbsenceReport& report = log.FinishLook(kStart + at);
    CHECK(report.m_longAway == (at > AbsenceLog::kLongAbsence ? 1 : 0));
    CHECK(report.m_longest == at);
    if (!report.m_lines.empty()) {
      CHECK(report.m_lines.front().m_event == AbsenceEvent::StillAway);
      reported.push_back(report.m_lines.front().m_away);
    }
  }
  CHECK(reported == std::vector<Duration>{ seconds(6), seconds(12), seconds(24) });
  const std::string text =
    DescribeAbsence({ Absence(), AbsenceEvent::StillAway, seconds(6) }, 0).Text();
  CHECK(text.find("task_is_away task=") != std::string::npos);
}

TEST_CASE("a task that waits no longer and does not run is forgotten, and this is said")
{
  AbsenceLog log;
  LookAway(log, seconds(0), seconds(4), WaitCause::NoWorker);
  const AbsenceReport& report = log.FinishLook(kStart + seconds(5));
  REQUIRE(report.m_lines.size() == 1);
  CHECK(report.m_lines.front().m_event == AbsenceEvent::Gone);
  CHECK(report.m_longest == Duration::zero());
  CHECK(log.CountFollowed() == 0);
}

TEST_CASE("the tasks that are followed are bounded, and the others are counted")
{
  AbsenceLog log;
  constexpr size_t kTasks = AbsenceLog::kMaxFollowed + 10;
  const Instant now = kStart + seconds(7);
  for (size_t look = 0; look < 2; ++look) {
    for (size_t i = 0; i < kTasks; ++i) {
      log.OnAway({ 7, 0, 0, static_cast<uint16_t>(i) }, kStart, WaitCause::NoWorker, nullptr, now);
    }
    log.CountNotFollowed(5, kStart, now);
    const AbsenceReport& report = log.FinishLook(now);
    CHECK(log.CountFollowed() == AbsenceLog::kMaxFollowed);
    CHECK(report.m_notFollowed == 15);
    CHECK(report.m_longAway == kTasks + 5);
  }
}

TEST_CASE("the lines of a look are bounded, the longest absences come first")
{
  AbsenceLog log;
  constexpr size_t kTasks = AbsenceLog::kMaxLines + 10;
  const Instant now = kStart + seconds(10);
  for (size_t i = 0; i < kTasks; ++i) {
    const TaskRef task{ 7, 0, 0, static_cast<uint16_t>(i) };
    log.OnAway(task, kStart + milliseconds(10 * i), WaitCause::NoWorker, nullptr, now);
  }
  const AbsenceReport& report = log.FinishLook(now);
  REQUIRE(report.m_lines.size() == AbsenceLog::kMaxLines);
  CHECK(report.m_heldBack == 10);
  for (size_t i = 0; i < report.m_lines.size(); ++i) {
    CHECK(report.m_lines[i].m_absence.m_task.m_index == i);
  }
}

TEST_CASE("absences that have ended are reported before longer ones that go on")
{
  AbsenceLog log;
  const Instant now = kStart + seconds(10);
  constexpr TaskRef kBack{ 7, 0, 0, 999 };
  log.OnAway(kBack, kStart + seconds(5), WaitCause::NoWorker, nullptr, now - seconds(1));
  for (size_t i = 0; i < AbsenceLog::kMaxLines; ++i) {
    const TaskRef task{ 7, 0, 0, static_cast<uint16_t>(i) };
    log.OnAway(task, kStart, WaitCause::NoWorker, nullptr, now);
  }
  log.OnAtWork(kBack, kWorker, now);
  const AbsenceReport& report = log.FinishLook(now);
  REQUIRE(report.m_lines.size() == AbsenceLog::kMaxLines);
  CHECK(report.m_heldBack == 1);
  CHECK(report.m_lines.front().m_absence.m_task == kBack);
}

TEST_CASE("what a pass has said of a step holds for one look")
{
  AbsenceLog log;
  const TaskRef first{ 7, 0, 0, 0 };
  CHECK_FALSE(log.FindStep(first));
  log.NoteStep(first, WaitCause::Evacuated);
  CHECK(log.FindStep(first) == WaitCause::Evacuated);
  log.FinishLook(kStart);
  CHECK_FALSE(log.FindStep(first));
}
