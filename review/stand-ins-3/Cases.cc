#include "Cases.hh"

#include <algorithm>
#include <csignal>
#include <cstdlib>
#include <map>
#include <memory>
#include <set>

namespace review {

namespace http = boost::beast::http;

static std::string
Step(size_t aCount, int aCpu, int aEstimateMs, const std::string& aMore = "")
{
  return "{\"count\":" + std::to_string(aCount) + ",\"cpu\":" + std::to_string(aCpu) +
         ",\"mem_mb\":200,\"est_ms\":" + std::to_string(aEstimateMs) + aMore + "}";
}

static std::string
Job(int aTaskMs, const std::string& aSteps)
{
  return "{\"spec\":\"ms=" + std::to_string(aTaskMs) + "\",\"steps\":[" + aSteps + "]}";
}

/// Workers are replaced one after the other while large jobs come. Then a small job comes in calm.
static int
PlayReplacedWorkers(World& aWorld, bool aDisrupted)
{
  static constexpr size_t kTasks = 3072;
  static constexpr int kReplacements = 95; // one a second
  static constexpr int64_t kDrainMs = 2500;
  static constexpr int64_t kMaxStandstillMs = 3000;
  std::map<size_t, int64_t> leaving; // with the time of their exit
  for (int second = 0; second < kReplacements; ++second) {
    const int64_t next = aWorld.NowMs() + 1000;
    if (second % 2 == 0) {
      const std::string id = aWorld.NewId();
      aWorld.Call(static_cast<size_t>(second) % 6,
                  http::verb::post,
                  id,
                  Job(300, Step(kTasks, 100, 300)),
                  [&aWorld, id](const Answer& aAnswer) {
                    aWorld.Record("job " + id + " answer " + std::to_string(aAnswer.m_status));
                  });
    }
    if (aDisrupted) {
      const size_t added = aWorld.AddWorker();
      aWorld.RunFor(milliseconds(200));
      aWorld.SetListed(added, true);
      aWorld.Drain(static_cast<size_t>(second));
      leaving[static_cast<size_t>(second)] = aWorld.NowMs() + kDrainMs;
    }
    for (auto it = leaving.begin(); it != leaving.end();) {
      if (it->second > aWorld.NowMs()) {
        ++it;
        continue;
      }
      aWorld.SetListed(it->first, false);
      aWorld.KillWorker(it->first);
      it = leaving.erase(it);
    }
    if (second % 5 == 0) {
      const pid_t leader = aWorld.Instances()[aWorld.Leader()].m_pid;
      aWorld.Record("leader " + aWorld.Claim().m_instance + " has " +
                    std::to_string(World::CountDescriptors(leader)) +
                    " descriptors; workers replaced: " + std::to_string(aDisrupted ? second : 0));
    }
    aWorld.Reap();
    aWorld.RunFor(milliseconds(std::max<int64_t>(0, next - aWorld.NowMs())));
  }
  aWorld.RunFor(milliseconds(kDrainMs));
  for (const std::pair<const size_t, int64_t>& entry : leaving) {
    aWorld.SetListed(entry.first, false);
    aWorld.KillWorker(entry.first);
  }
  aWorld.RunFor(milliseconds(4200)); // calm
  const std::string job = aWorld.NewId();
  const Answer answer = aWorld.Ask(0, http::verb::post, job, Job(300, Step(8, 1100, 300)));
  const int64_t acceptedAt = aWorld.NowMs();
  aWorld.Record("last job " + job + " answer " + std::to_string(answer.m_status));
  aWorld.RunFor(milliseconds(kMaxStandstillMs + 2000));
  int64_t firstStart = 0;
  for (const RunEvent& event : aWorld.ReadRuns()) {
    const bool ofJob = event.m_task.compare(0, job.size(), job) == 0;
    firstStart = ofJob && firstStart == 0 ? event.m_atMs : firstStart;
  }
  const int64_t waited = (firstStart == 0 ? aWorld.NowMs() : firstStart) - acceptedAt;
  aWorld.Record("last job had nothing running for " + std::to_string(waited) + " ms" +
                (firstStart == 0 ? ", and still has not; state " : "; state ") +
                aWorld.StateOf(job));
  return answer.m_status != 200 || waited > kMaxStandstillMs ? 1 : 0;
}

/// A job that was accepted, with the tasks of its two steps.
struct AcceptedJob
{
  std::string m_id;
  int64_t m_acceptedMs = 0;
};

static constexpr size_t kChainWidth = 8;

/// Returns for how long at most the job had nothing running between \p aFromMs and \p aToMs,
/// although a task of it could run. All its tasks take time, so a gap counts unless it is done.
static int64_t
LongestStandstill(const std::vector<RunEvent>& aRuns,
                  const AcceptedJob& aJob,
                  int64_t aFromMs,
                  int64_t aToMs)
{
  std::set<std::string> running;
  std::set<std::string> done;
  int64_t idleSince = std::max(aJob.m_acceptedMs, aFromMs);
  bool idle = true;
  int64_t longest = 0;
  for (const RunEvent& event : aRuns) {
    if (event.m_task.compare(0, aJob.m_id.size(), aJob.m_id) != 0 || event.m_atMs > aToMs) {
      continue;
    }
    const std::string key = event.m_worker + " " + event.m_task;
    if (event.m_what == "start") {
      running.insert(key);
    } else {
      running.erase(key);
      if (event.m_how == "done") {
        done.insert(event.m_task);
      }
    }
    if (idle && !running.empty()) {
      longest = std::max(longest, event.m_atMs - idleSince);
      idle = false;
    } else if (!idle && running.empty()) {
      idleSince = std::max(event.m_atMs, aFromMs);
      idle = true;
    }
  }
  if (done.size() < 2 * kChainWidth && idle) {
    longest = std::max(longest, aToMs - idleSince);
  }
  return longest;
}

/// The leader, all of its witnesses and one worker are lost for good.
static int
PlayLostMachines(World& aWorld, bool aDisrupted)
{
  static constexpr int64_t kCalmMs = 4000;
  static constexpr int64_t kMaxStandstillMs = 3000;
  std::vector<AcceptedJob> jobs;
  const std::string chain =
    Job(1700, Step(kChainWidth, 1800, 1700) + "," + Step(kChainWidth, 1800, 1700, ",\"deps\":[0]"));
  int64_t lostAt = 0;
  for (int second = 0; second < 60; ++second) {
    if (second < 8) {
      const std::string id = aWorld.NewId();
      const Answer answer =
        aWorld.Ask(static_cast<size_t>(second) % 6, http::verb::post, id, chain);
      aWorld.Record("job " + id + " sent, answer " + std::to_string(answer.m_status));
      if (answer.m_status == 200) {
        jobs.push_back({ id, aWorld.NowMs() });
      }
    }
    if (second == 8) {
      lostAt = aWorld.NowMs();
      if (aDisrupted) {
        std::vector<size_t> lost{ aWorld.Leader() };
        for (const egretturn::Witness& witness : aWorld.Claim().m_witnesses) {
          lost.push_back(aWorld.IndexOf(witness.m_instance));
        }
        for (const size_t instance : lost) {
          aWorld.SignalInstance(instance, SIGKILL);
        }
        aWorld.Workers()[0].m_listed = false; // its entry stays for three ping intervals
        aWorld.KillWorker(0);
        aWorld.Record("worker w-0 is killed");
      }
    }
    if (second == 13 && aDisrupted) {
      aWorld.SetListed(0, false);
      aWorld.Record("the entry of w-0 is removed");
    }
    aWorld.RunFor(seconds(1));
    aWorld.Reap();
  }
  const std::vector<RunEvent> runs = aWorld.ReadRuns();
  bool broken = jobs.empty();
  for (const AcceptedJob& job : jobs) {
    const int64_t still = LongestStandstill(runs, job, lostAt + kCalmMs, aWorld.NowMs());
    aWorld.Record("job " + job.m_id + " had nothing running for " + std::to_string(still) +
                  " ms at most from 4 s after the loss on; state " + aWorld.StateOf(job.m_id));
    broken = broken || still > kMaxStandstillMs;
  }
  return broken ? 1 : 0;
}

/// Returns the worker that has left a start unanswered, or the number of workers.
static size_t
FindUnanswering(World& aWorld)
{
  size_t worker = aWorld.Workers().size();
  for (const RunEvent& event : aWorld.ReadRuns()) {
    worker = event.m_what == "leaves" ? aWorld.WorkerOf(event.m_worker) : worker;
  }
  return worker;
}

/// A start goes unanswered. Its worker is cut off from all machines, crashes behind the cut, starts
/// again under its id, and carries the start out there.
static int
PlayCutOff(World& aWorld, bool aDisrupted)
{
  static constexpr int64_t kLateMs = 11000;   // the pages: 2 to 12 s
  static constexpr int64_t kCutAtMs = 2000;   // from the start on
  static constexpr int64_t kCutForMs = 11500; // a site's day: 12 s
  static constexpr int64_t kCrashMs = 2000;   // after the beginning of the cut
  static constexpr int kTaskMs = 8000;
  if (aDisrupted) {
    aWorld.LeaveNextStartUnanswered(kLateMs);
  }
  const std::string job = aWorld.NewId();
  const int64_t sentAt = aWorld.NowMs();
  const Answer accepted =
    aWorld.Ask(0, http::verb::post, job, Job(kTaskMs, Step(1, 2000, kTaskMs)));
  aWorld.Record("job " + job + " sent, answer " + std::to_string(accepted.m_status));
  if (accepted.m_status != 200) {
    return 2;
  }
  aWorld.RunFor(milliseconds(std::max<int64_t>(0, sentAt + kCutAtMs - aWorld.NowMs())));
  const size_t worker = FindUnanswering(aWorld);
  int64_t crashedAt = 0;
  if (aDisrupted) {
    if (worker == aWorld.Workers().size()) {
      return 2;
    }
    const std::string id = aWorld.Workers()[worker].m_id;
    aWorld.CutWorker(worker, true);
    aWorld.Record("worker " + id + " is cut off from all machines");
    aWorld.RunFor(milliseconds(kCrashMs));
    aWorld.KillWorker(worker);
    crashedAt = aWorld.NowMs();
    aWorld.Record("worker " + id + " crashes behind the cut");
    aWorld.RunFor(seconds(1));
    aWorld.RestartWorker(worker);
    aWorld.Record("worker " + id + " starts again behind the cut");
    aWorld.RunFor(
      milliseconds(std::max<int64_t>(0, sentAt + kCutAtMs + kCutForMs - aWorld.NowMs())));
    aWorld.CutWorker(worker, false);
    aWorld.Record("the cut of " + id + " heals");
  }
  aWorld.RunFor(seconds(15));
  std::map<std::string, int64_t> running; // by worker and run, of the only task
  int64_t both = 0;
  int64_t bothSince = 0;
  for (const RunEvent& event : aWorld.ReadRuns()) {
    if (event.m_task.compare(0, job.size(), job) != 0) {
      continue;
    }
    if (crashedAt > 0 && event.m_atMs > crashedAt) { // what ran there has ended with the process
      const std::string prefix = aWorld.Workers()[worker].m_id + " ";
      for (auto it = running.begin(); it != running.end();) {
        const bool lost =
          it->first.compare(0, prefix.size(), prefix) == 0 && it->second < crashedAt;
        it = lost ? running.erase(it) : std::next(it);
      }
    }
    aWorld.Record("at " + std::to_string(event.m_atMs) + " ms " + event.m_worker + ": " +
                  event.m_what + " " + event.m_task + " run " + std::to_string(event.m_run) + " " +
                  event.m_how);
    const size_t before = running.size();
    const std::string run = event.m_worker + " " + std::to_string(event.m_run);
    if (event.m_what == "start") {
      running[run] = event.m_atMs;
    } else if (event.m_what == "end") {
      running.erase(run);
    }
    if (before < 2 && running.size() >= 2) {
      bothSince = event.m_atMs;
    } else if (before >= 2 && running.size() < 2) {
      both += event.m_atMs - bothSince;
    }
  }
  both += running.size() >= 2 ? aWorld.NowMs() - bothSince : 0;
  aWorld.Record("two runs of the task at the same time: " + std::to_string(both) + " ms; state " +
                aWorld.StateOf(job));
  return both > 0 ? 1 : 0;
}

/// A start goes unanswered, and the task is done by the next one. Later the worker crashes, starts
/// again under its id, and carries the first start out.
static int
PlayDoneAgain(World& aWorld, bool aDisrupted)
{
  static constexpr int64_t kLateMs = 10000; // the pages: 2 to 12 s
  static constexpr int64_t kCrashMs = 8000; // after the start
  static constexpr int64_t kDownMs = 2100;
  if (aDisrupted) {
    aWorld.LeaveNextStartUnanswered(kLateMs);
  }
  const std::string job = aWorld.NewId();
  const int64_t sentAt = aWorld.NowMs();
  const Answer accepted = aWorld.Ask(0, http::verb::post, job, Job(500, Step(1, 2000, 500)));
  aWorld.Record("job " + job + " sent, answer " + std::to_string(accepted.m_status));
  aWorld.RunFor(milliseconds(std::max<int64_t>(0, sentAt + kCrashMs - aWorld.NowMs())));
  const std::string state = aWorld.StateOf(job);
  const int64_t shownAt = aWorld.NowMs();
  aWorld.Record("job " + job + " is shown as " + state);
  const size_t worker = FindUnanswering(aWorld);
  if (accepted.m_status != 200 || state != "done" ||
      (aDisrupted && worker == aWorld.Workers().size())) {
    return 2;
  }
  if (aDisrupted) {
    aWorld.KillWorker(worker);
    aWorld.Record("worker " + aWorld.Workers()[worker].m_id + " crashes");
    aWorld.RunFor(milliseconds(kDownMs));
    aWorld.RestartWorker(worker);
    aWorld.Record("worker " + aWorld.Workers()[worker].m_id + " is back");
  }
  aWorld.RunFor(seconds(10));
  bool again = false;
  for (const RunEvent& event : aWorld.ReadRuns()) {
    if (event.m_task.compare(0, job.size(), job) != 0) {
      continue;
    }
    aWorld.Record("at " + std::to_string(event.m_atMs) + " ms " + event.m_worker + ": " +
                  event.m_what + " " + event.m_task + " run " + std::to_string(event.m_run) + " " +
                  event.m_how);
    again = again || (event.m_what == "start" && event.m_atMs > shownAt + 1000);
  }
  aWorld.Record(again ? "it was started again over a second after it was shown as done"
                      : "it was not started again");
  return again ? 1 : 0;
}

/// A caller hands a job in at an instance that stands still, leaves, and cancels it at another one.
static int
PlayCancelled(World& aWorld, bool aDisrupted)
{
  static constexpr int64_t kFrozenMs = 4000;
  static constexpr int64_t kLeavesMs = 450;
  static constexpr int64_t kCancelledMs = 3000; // cancel_ms
  const size_t frozen = (aWorld.Leader() + 1) % aWorld.Instances().size();
  const size_t other = (aWorld.Leader() + 2) % aWorld.Instances().size();
  const int64_t startedAt = aWorld.NowMs();
  if (aDisrupted) {
    aWorld.SignalInstance(frozen, SIGSTOP);
  }
  const std::string job = aWorld.NewId();
  unsigned status = 0;
  const std::shared_ptr<egretturn::ClientCall> call =
    aWorld.Call(frozen,
                http::verb::post,
                job,
                Job(1000, Step(2, 2000, 1000)),
                [&status](const Answer& aAnswer) { status = aAnswer.m_status; });
  aWorld.RunFor(milliseconds(kLeavesMs));
  call->Cancel();
  aWorld.Record("job " + job + " sent to " + aWorld.Instances()[frozen].m_name + ", answer " +
                std::to_string(status) + "; its caller leaves");
  const Answer cancelled = aWorld.Ask(other, http::verb::delete_, job, "");
  const int64_t cancelledAt = aWorld.NowMs();
  aWorld.Record("job " + job + " cancelled at " + aWorld.Instances()[other].m_name + ", answer " +
                std::to_string(cancelled.m_status));
  aWorld.RunFor(milliseconds(std::max<int64_t>(0, startedAt + kFrozenMs - aWorld.NowMs())));
  aWorld.SignalInstance(frozen, SIGCONT);
  aWorld.RunFor(seconds(8));
  if (cancelled.m_status != 200 && cancelled.m_status != 410) {
    return 2;
  }
  bool asked = true;
  for (const RunEvent& event : aWorld.ReadRuns()) {
    if (event.m_task.compare(0, job.size(), job) != 0) {
      continue;
    }
    aWorld.Record("at " + std::to_string(event.m_atMs) + " ms " + event.m_worker + ": " +
                  event.m_what + " " + event.m_task + " run " + std::to_string(event.m_run) + " " +
                  event.m_how);
    asked = asked && !(event.m_what == "start" && event.m_atMs > cancelledAt + kCancelledMs);
  }
  aWorld.Record("job " + job + " is " + aWorld.StateOf(job) +
                (asked ? "" : "; it started over 3 s after its cancel was acknowledged"));
  return asked ? 0 : 1;
}

/// A start of a lasting task goes unanswered. Its worker crashes, starts again under its id, and
/// then carries it out. Later the caller cancels the job.
static int
PlayEarlierLife(World& aWorld, bool aDisrupted)
{
  static constexpr int64_t kLateMs = 6000;      // the pages: 2 to 12 s
  static constexpr int64_t kDownMs = 2000;      // of the worker
  static constexpr int64_t kCancelledMs = 3000; // cancel_ms
  static constexpr int64_t kStopMs = 400;       // stop_ms
  const std::string lasting = Job(0, Step(1, 2000, 0, ",\"long_running\":true"));
  // One task on each worker, so that each worker holds a lease.
  const std::string everywhere =
    Job(0, Step(aWorld.Workers().size(), 1000, 0, ",\"long_running\":true,\"max_per_server\":1"));
  const std::string other = aWorld.NewId();
  aWorld.Record("job " + other + " sent, answer " +
                std::to_string(aWorld.Ask(0, http::verb::post, other, everywhere).m_status));
  aWorld.RunFor(seconds(2));
  if (aDisrupted) {
    aWorld.LeaveNextStartUnanswered(kLateMs);
  }
  const std::string job = aWorld.NewId();
  const int64_t sentAt = aWorld.NowMs();
  const Answer accepted = aWorld.Ask(0, http::verb::post, job, lasting);
  aWorld.Record("job " + job + " sent, answer " + std::to_string(accepted.m_status));
  aWorld.RunFor(milliseconds(std::max<int64_t>(0, sentAt + kLateMs - kDownMs - aWorld.NowMs())));
  const size_t worker = FindUnanswering(aWorld);
  if (aDisrupted) {
    if (accepted.m_status != 200 || worker == aWorld.Workers().size()) {
      return 2;
    }
    aWorld.KillWorker(worker);
    aWorld.Record("worker " + aWorld.Workers()[worker].m_id + " crashes");
    aWorld.RunFor(milliseconds(kDownMs + 100));
    aWorld.RestartWorker(worker);
    aWorld.Record("worker " + aWorld.Workers()[worker].m_id + " is back");
  }
  aWorld.RunFor(seconds(12));
  const Answer cancelled = aWorld.Ask(0, http::verb::delete_, job, "");
  const int64_t cancelledAt = aWorld.NowMs();
  aWorld.Record("job " + job + " cancelled, answer " + std::to_string(cancelled.m_status));
  if (cancelled.m_status != 200) {
    return 2;
  }
  aWorld.RunFor(seconds(20));
  std::map<std::string, int64_t> running;
  int64_t ranUntil = 0;
  for (const RunEvent& event : aWorld.ReadRuns()) {
    if (event.m_task.compare(0, job.size(), job) != 0) {
      continue;
    }
    aWorld.Record("at " + std::to_string(event.m_atMs) + " ms " + event.m_worker + ": " +
                  event.m_what + " " + event.m_task + " run " + std::to_string(event.m_run) + " " +
                  event.m_how);
    const std::string run = event.m_worker + " " + std::to_string(event.m_run);
    if (event.m_what == "start") {
      running[run] = event.m_atMs;
    } else if (event.m_what == "end") {
      running.erase(run);
      ranUntil = event.m_atMs;
    }
  }
  if (worker < aWorld.Workers().size()) { // what ran there before the crash has ended with it
    for (auto it = running.begin(); it != running.end();) {
      it = it->second < aWorld.Workers()[worker].m_startedMs &&
               it->first.compare(0,
                                 aWorld.Workers()[worker].m_id.size() + 1,
                                 aWorld.Workers()[worker].m_id + " ") == 0
             ? running.erase(it)
             : std::next(it);
    }
  }
  ranUntil = running.empty() ? ranUntil : aWorld.NowMs();
  aWorld.Record("after the cancel was acknowledged, it ran on for " +
                std::to_string(ranUntil - cancelledAt) + " ms" +
                (running.empty() ? "" : ", and still runs"));
  return ranUntil - cancelledAt > kCancelledMs + kStopMs ? 1 : 0;
}

int
PlayCase(const std::string& aName, WorldSettings aSettings, bool aDisrupted)
{
  aSettings.m_workers = aName == "replaced" || aName == "lost" ? 48 : 8;
  World world(std::move(aSettings));
  if (!world.Start()) {
    world.Record("the instances are not ready");
    return 2;
  }
  if (aName == "replaced") {
    return PlayReplacedWorkers(world, aDisrupted);
  }
  if (aName == "lost") {
    return PlayLostMachines(world, aDisrupted);
  }
  if (aName == "cut-off") {
    return PlayCutOff(world, aDisrupted);
  }
  if (aName == "done-again") {
    return PlayDoneAgain(world, aDisrupted);
  }
  if (aName == "cancelled") {
    return PlayCancelled(world, aDisrupted);
  }
  if (aName == "earlier-life") {
    return PlayEarlierLife(world, aDisrupted);
  }
  return 2;
}

} // namespace review
