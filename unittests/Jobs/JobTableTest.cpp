#include "egretturn/Jobs/JobTable.h"

#include <catch2/catch.hpp>

using namespace egretturn;

static JobSubmit
MakeSpec(const std::string& aKey, uint32_t aTasks)
{
  JobSubmit spec;
  spec.m_key = aKey;
  spec.m_kind = "plan";
  spec.m_team = "t";
  spec.m_tasks = aTasks;
  spec.m_zone = "z";
  spec.m_racks = { "r0", "r1" };
  return spec;
}

static const TaskId kTask{ 1, 0 };

TEST_CASE("only the first submission with a key creates a job", "[jobs]")
{
  JobTable jobs("z");
  CHECK(jobs.Apply(1, MakeSpec("k", 2)).m_created);
  const SubmissionResult repeated = jobs.Apply(2, MakeSpec("k", 2));
  CHECK_FALSE(repeated.m_created);
  CHECK(repeated.m_sameSpec);
  CHECK(repeated.m_id == 1);
  CHECK_FALSE(jobs.Apply(3, MakeSpec("k", 5)).m_sameSpec);
}

TEST_CASE("an attempt starts only after the previous attempt has ended", "[jobs]")
{
  JobTable jobs("z");
  jobs.Apply(1, MakeSpec("k", 1));
  CHECK_FALSE(jobs.Apply(TaskStart{ kTask, 2, 9, 1 }));
  CHECK(jobs.Apply(TaskStart{ kTask, 1, 9, 1 }));
  CHECK_FALSE(jobs.Apply(TaskStart{ kTask, 2, 8, 1 }));
  CHECK_FALSE(jobs.Apply(TaskEnd{ kTask, 2, 1, TaskEndReason::LeaseExpired, "" }));
  CHECK(jobs.Apply(TaskEnd{ kTask, 1, 1, TaskEndReason::Evicted, "half" }));
  CHECK(jobs.FindTask(kTask)->m_checkpoint == "half");
  CHECK(jobs.Apply(TaskStart{ kTask, 2, 8, 1 }));
  CHECK(jobs.Apply(TaskEnd{ kTask, 2, 1, TaskEndReason::Finished, "" }));
  CHECK_FALSE(jobs.Apply(TaskEnd{ kTask, 2, 1, TaskEndReason::Finished, "" }));
  CHECK(jobs.Find(1)->Phase() == JobPhase::Finished);
}

TEST_CASE("a cancellation that races with completion has one outcome", "[jobs]")
{
  JobTable first("z");
  first.Apply(1, MakeSpec("k", 1));
  first.Apply(TaskStart{ kTask, 1, 9, 1 });
  CHECK(first.Apply(JobCancel{ 1 }));
  CHECK(first.Apply(TaskEnd{ kTask, 1, 1, TaskEndReason::Finished, "" }));
  CHECK(first.Find(1)->Phase() == JobPhase::Finished);
  JobTable second("z");
  second.Apply(1, MakeSpec("k", 1));
  second.Apply(TaskStart{ kTask, 1, 9, 1 });
  second.Apply(TaskEnd{ kTask, 1, 1, TaskEndReason::Finished, "" });
  CHECK_FALSE(second.Apply(JobCancel{ 1 }));
  CHECK(second.Find(1)->Phase() == JobPhase::Finished);
}

TEST_CASE("restoring a snapshot reproduces the state", "[jobs]")
{
  JobTable jobs("z");
  jobs.Apply(1, MakeSpec("k", 4));
  jobs.Apply(TaskStart{ kTask, 1, 9, 1 });
  jobs.Apply(TaskMove{ TaskId{ 1, 1 }, 1, "r0" });
  jobs.Apply(TaskStart{ TaskId{ 1, 2 }, 1, 9, 1 });
  jobs.Apply(TaskEnd{ TaskId{ 1, 2 }, 1, 1, TaskEndReason::Finished, "" });
  JobTable copy("z");
  copy.RestoreSpecs(jobs.Specs());
  copy.RestoreTasks(jobs.RackNames(), jobs.Tasks());
  CHECK(copy.Started("r0") == jobs.Started("r0"));
  CHECK(copy.Waiting("r0").size() == jobs.Waiting("r0").size());
  CHECK(copy.Waiting("r1").size() == jobs.Waiting("r1").size());
  CHECK(copy.Find(1)->m_finished == 1);
}

TEST_CASE("the tasks of all jobs together are bounded", "[jobs]")
{
  static constexpr uint32_t kTasks = 20000;
  static constexpr JobId kJobs = 60;
  JobTable jobs("z");
  for (JobId id = 1; id <= 25; ++id) {
    CHECK(jobs.HasRoomFor(kTasks));
    jobs.Apply(id, MakeSpec(std::to_string(id), kTasks));
  }
  CHECK_FALSE(jobs.HasRoomFor(1));
  jobs.Apply(JobCancel{ 3 });
  CHECK(jobs.HasRoomFor(kTasks));
  CHECK(jobs.All().size() == 25);
  for (JobId id = 1; id <= kJobs; ++id) { // ended jobs are kept while there is room
    jobs.Apply(id, MakeSpec(std::to_string(id), kTasks));
    jobs.Apply(JobCancel{ id });
  }
  CHECK(jobs.All().size() == 50);
  CHECK_FALSE(jobs.Find(1));
  CHECK(jobs.Find(kJobs));
  CHECK(jobs.HasRoomFor(25 * kTasks));
}
