#include "Cases.h"

#include <csignal>

namespace egretturn::review {

static constexpr size_t kSmallSite = 14; // workers; two of them are 0.14 of the service

/// Adds the workers of a small site; every second one is of kind "a", the others of kind "b".
static void
AddWorkers(Site& aSite, size_t aCount, const std::string& aService = "desk")
{
  static const char* const kZones[] = { "hobart-a", "launceston-a", "kingston-b" };
  for (size_t i = 0; i < aCount; ++i) {
    WorkerSettings worker;
    worker.m_id = "i-" + aService + std::to_string(100 + i);
    worker.m_service = aService;
    worker.m_zone = kZones[i % 3];
    worker.m_labels = { i % 2 == 0 ? "a" : "b", "r" + std::to_string(i / 8) };
    aSite.AddWorker(worker);
  }
}

static JobSpec
MakeJob(Site& aSite, std::vector<Step> aSteps)
{
  JobSpec job;
  job.m_id = aSite.NewId();
  job.m_spec = "work of " + job.m_id;
  job.m_steps = std::move(aSteps);
  return job;
}

// Workers crash and come back at once as another kind.

/// Submits jobs for workers of kind "a", more than these can run at once.
static Task<void>
SubmitLabelled(Site& aSite, std::shared_ptr<bool> aGoesOn)
{
  while (*aGoesOn) {
    Step step;
    step.m_count = 6;
    step.m_cpu = 8000;
    step.m_label = "a";
    step.m_work = Millis(1500);
    const JobSpec job = MakeJob(aSite, { step });
    asio::co_spawn(
      aSite.Io(),
      [&aSite, job]() -> Task<void> { co_await aSite.SubmitUntilAccepted(job); },
      asio::detached);
    co_await Sleep(Millis(700));
  }
}

static Task<void>
PlayOtherKind(Site& aSite, bool aTrouble)
{
  static constexpr size_t kCrashes = 6;
  static constexpr Millis kDown{ 400 };
  const std::shared_ptr<bool> goesOn = std::make_shared<bool>(true);
  asio::co_spawn(aSite.Io(), SubmitLabelled(aSite, goesOn), asio::detached);
  co_await Sleep(Millis(6000));
  for (size_t i = 0; i < kCrashes; ++i) {
    // Kinds change by turns, so that as many workers are of kind "a" as before.
    Worker& first = *aSite.Workers()[2 * i];
    if (aTrouble) {
      first.Crash();
      co_await Sleep(kDown);
      first.Boot({ "b", first.Settings().m_labels[1] });
    }
    co_await Sleep(Millis(6000));
  }
  aSite.m_mayJudge = true;
  *goesOn = false;
  co_await Sleep(Millis(4000));
}

// A caller gives up at an instance that stands still, and cancels at another one.

static Task<void>
PlayCancelled(Site& aSite, bool aTrouble)
{
  std::optional<size_t> leader = co_await aSite.FindLeader();
  if (!leader) {
    co_return;
  }
  const size_t frozen = (*leader + 1) % aSite.Instances().size();
  const size_t other = (*leader + 2) % aSite.Instances().size();
  Step step;
  step.m_count = 2;
  step.m_work = Millis(1500);
  Step next = step;
  next.m_dependencies = { 0 };
  const JobSpec job = MakeJob(aSite, { step, next });
  if (aTrouble) {
    aSite.Signal(frozen, SIGSTOP);
  }
  const Clock::time_point frozenAt = Clock::now();
  const Answer submitted = co_await aSite.Submit(job, frozen, Millis(500));
  const Answer cancelled = co_await aSite.Cancel(job.m_id, other, Millis(3000));
  aSite.m_mayJudge = cancelled.m_status == 200 || cancelled.m_status == 410;
  co_await Sleep(std::chrono::duration_cast<Millis>(frozenAt + Millis(4000) - Clock::now()));
  if (aTrouble) {
    aSite.Signal(frozen, SIGCONT);
  }
  co_await Sleep(Millis(12000));
  co_await aSite.StateOf(job.m_id);
}

// Members of a gang fail by turns.

static Task<void>
PlayGang(Site& aSite, bool aTrouble)
{
  static constexpr int kMembers = 4;
  std::shared_ptr<std::map<int64_t, int>> generation = std::make_shared<std::map<int64_t, int>>();
  aSite.m_planner = [generation, aTrouble](const RunName& aRun) {
    const std::optional<TaskName> name = TaskName::Parse(aRun.m_task);
    const int turn =
      generation->emplace(aRun.m_run, static_cast<int>(generation->size())).first->second;
    const bool fails = aTrouble && name->m_index == turn % kMembers;
    return Plan{ fails ? End::Failed : End::Done, Millis(fails ? 400 : 1500) };
  };
  Step step;
  step.m_count = kMembers;
  step.m_gang = true;
  step.m_work = Millis(1500);
  const JobSpec job = MakeJob(aSite, { step });
  if (!co_await aSite.SubmitUntilAccepted(job)) {
    co_return;
  }
  aSite.m_mayJudge = true;
  co_await Sleep(Millis(25000));
  co_await aSite.StateOf(job.m_id);
}

// The queue is sent to another service, and the workers of the earlier one are taken away.

static Task<void>
PlayOtherService(Site& aSite, bool aTrouble)
{
  static constexpr size_t kLeaving = 2; // the workers of the service "old"
  Step lasting;
  lasting.m_count = 2;
  lasting.m_lasting = true;
  lasting.m_work = Millis(1000000);
  const JobSpec watch = MakeJob(aSite, { lasting });
  Step first;
  first.m_count = 2;
  first.m_work = Millis(12000);
  Step second = first;
  second.m_work = Millis(1000);
  second.m_dependencies = { 0 };
  const JobSpec claim = MakeJob(aSite, { first, second });
  if (!co_await aSite.SubmitUntilAccepted(watch) || !co_await aSite.SubmitUntilAccepted(claim)) {
    co_return;
  }
  co_await Sleep(Millis(2000));
  if (aTrouble) {
    aSite.Publish("desk");
    co_await Sleep(Millis(5000));
    for (size_t i = 0; i < kLeaving; ++i) {
      aSite.Workers()[i]->Drain();
    }
    co_await Sleep(Millis(3000));
    for (size_t i = 0; i < kLeaving; ++i) {
      aSite.Workers()[i]->Leave();
    }
  }
  co_await Sleep(Millis(45000));
  aSite.m_mayJudge = true;
  const std::string state = co_await aSite.StateOf(claim.m_id);
  if (state != "done") {
    aSite.GetJudge().Break("LOST", claim.m_id + " is " + state + " and has nothing running");
  }
  const size_t running = aSite.GetJudge().CountRunning(watch.m_id);
  if (running < 2) {
    aSite.GetJudge().Break("LOST", watch.m_id + " has " + std::to_string(running) + " running");
  }
}

// The leader is cut off, and a caller cancels there what the next leader has accepted.

static Task<void>
PlayCutLeader(Site& aSite, bool aTrouble)
{
  static constexpr int kCuts = 2;
  // The second step begins long after the cut has healed.
  static constexpr Millis kFirstStep{ 11000 };
  static constexpr Millis kCutTime{ 5500 };
  static constexpr Millis kAfterCut{ 13000 };
  for (int i = 0; i < kCuts; ++i) {
    const std::optional<size_t> leader = co_await aSite.FindLeader();
    if (!leader) {
      co_return;
    }
    const size_t other =
      (*leader + 1 + aSite.Below(aSite.Instances().size() - 1)) % aSite.Instances().size();
    Step step;
    step.m_count = 2;
    step.m_work = kFirstStep;
    Step next = step;
    next.m_work = Millis(1000);
    next.m_dependencies = { 0 };
    const JobSpec job = MakeJob(aSite, { step, next });
    const Clock::time_point cutAt = Clock::now();
    if (aTrouble) {
      aSite.SetCut(*leader, true);
    }
    while (!aSite.GetJudge().IsAccepted(job.m_id) && Clock::now() < cutAt + Millis(3000)) {
      co_await aSite.Submit(job, other, Millis(3000));
    }
    const Answer cancelled = co_await aSite.Cancel(job.m_id, *leader, Millis(3000));
    aSite.m_mayJudge = aSite.m_mayJudge || cancelled.m_status == 200 || cancelled.m_status == 410;
    co_await Sleep(std::chrono::duration_cast<Millis>(cutAt + kCutTime - Clock::now()));
    if (aTrouble) {
      aSite.SetCut(*leader, false);
    }
    co_await Sleep(kAfterCut);
    co_await aSite.StateOf(job.m_id);
  }
}

// A worker falls silent for good just as jobs come, and all others are full.

static Task<void>
PlayPending(Site& aSite, bool aTrouble)
{
  static constexpr size_t kJobs = 12;
  Step filler;
  filler.m_count = static_cast<int>(kSmallSite) - 1;
  filler.m_cpu = 16000;
  filler.m_work = Millis(40000);
  const JobSpec fillers = MakeJob(aSite, { filler });
  if (!co_await aSite.SubmitUntilAccepted(fillers)) {
    co_return;
  }
  co_await Sleep(Millis(3000));
  if (aTrouble) {
    for (const std::unique_ptr<Worker>& worker : aSite.Workers()) {
      if (worker->CountRuns() == 0) {
        worker->Vanish();
      }
    }
  }
  std::vector<std::string> jobs;
  for (size_t i = 0; i < kJobs; ++i) {
    const JobSpec job = MakeJob(aSite, std::vector<Step>(1));
    if (co_await aSite.SubmitUntilAccepted(job)) {
      jobs.push_back(job.m_id);
    }
  }
  for (int look = 0; look < 3; ++look) {
    co_await Sleep(Millis(6000)); // over visible_ms + 2 s
    int64_t waiting = 0;
    for (const std::string& id : jobs) {
      waiting += aSite.GetJudge().CountStarts(id) == 0 ? 1 : 0;
    }
    for (size_t i = 0; i < aSite.Instances().size(); ++i) {
      const std::optional<int64_t> pending = co_await aSite.CountPending(i);
      aSite.m_mayJudge = aSite.m_mayJudge || pending.has_value();
      if (pending && 2 * *pending < waiting) {
        aSite.GetJudge().Break("MIXED",
                               std::to_string(*pending) + " are given as pending, and " +
                                 std::to_string(waiting) + " have not begun");
      }
    }
  }
}

const std::map<std::string, Case>&
ListCases()
{
  const auto smallSite = [](Site& aSite) {
    AddWorkers(aSite, kSmallSite);
    aSite.Publish("desk");
  };
  const auto twoServices = [](Site& aSite) {
    AddWorkers(aSite, 2, "old");
    AddWorkers(aSite, kSmallSite - 2);
    aSite.Publish("old");
  };
  SiteSettings threeAttempts;
  threeAttempts.m_attempts = 3;
  static const std::map<std::string, Case> cases{
    { "other-kind", { {}, smallSite, PlayOtherKind } },
    { "cancelled", { {}, smallSite, PlayCancelled } },
    { "cut-leader", { {}, smallSite, PlayCutLeader } },
    { "pending", { {}, smallSite, PlayPending } },
    { "gang", { threeAttempts, smallSite, PlayGang } },
    { "other-service", { {}, twoServices, PlayOtherService } },
  };
  return cases;
}

} // namespace egretturn::review
