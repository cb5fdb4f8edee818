#include "egretturn/Placement/Health.h"
#include "egretturn/Placement/Placer.h"
#include "egretturn/Placement/ReservationEstimator.h"
#include "egretturn/Workers/Ledger.h"

#include <catch2/catch.hpp>

using namespace egretturn;

static const Instant kNow{ std::chrono::seconds(100) };
static const Resources kWorker{ 16'000, 60'000, 0 };

TEST_CASE("reservations follow observed peaks once there are enough samples", "[placement]")
{
  ReservationEstimator estimator;
  const Resources declared{ 4'000, 8'000, 1 };
  CHECK(estimator.Reservation(declared) == declared);
  for (int i = 0; i < 10; ++i) {
    estimator.Record(declared, Resources{ 1'000, 2'000, 1 });
  }
  const Resources learned = estimator.Reservation(declared);
  CHECK(learned.m_milliCores < 1'500);
  CHECK(learned.m_milliCores >= 1'000);
  CHECK(learned.m_memoryMb < 3'000);
  CHECK(learned.m_memoryMb >= 2'000);
  CHECK(learned.m_accelerators == 1);
}

TEST_CASE("a ledger never reserves more than the capacity of the worker", "[placement]")
{
  WorkerLedger ledger;
  ledger.SetSize(kWorker, Resources{ 8'000, 16'000, 0 });
  CHECK(ledger.Reserve(TaskAttempt{ { 1, 0 }, 1 }, Resources{ 5'000, 100, 0 }));
  CHECK_FALSE(ledger.Reserve(TaskAttempt{ { 1, 1 }, 1 }, Resources{ 5'000, 100, 0 }));
  ledger.Release(TaskAttempt{ { 1, 0 }, 1 });
  ledger.Release(TaskAttempt{ { 1, 0 }, 1 });
  CHECK(ledger.FreeCapacity() == Resources{ 8'000, 44'000, 0 });
}

TEST_CASE("interference is learned per pair and attributed to the mix at the time", "[placement]")
{
  InterferenceModel model;
  for (int i = 0; i < 200; ++i) {
    model.Observe("s", 1, TaskMix{ { "loud", 2 } }, 1.6);
    model.Observe("s", 1, TaskMix{ { "quiet", 2 } }, 1.0);
  }
  CHECK(model.AddedSlowdown("s", 1, "loud") == Approx(0.3).margin(0.03));
  CHECK(model.AddedSlowdown("s", 1, "quiet") < 0.02);
  MixHistory history;
  history.Add("loud", kNow);
  history.Remove("loud", kNow + std::chrono::seconds(5));
  CHECK(history.MixAt(kNow + std::chrono::seconds(3)).count("loud") == 1);
  CHECK(history.CurrentMix().empty());
}

TEST_CASE("a wrong estimate decays", "[placement]")
{
  InterferenceModel model;
  model.Observe("s", 0, TaskMix{ { "k", 1 } }, 9);
  const double learned = model.AddedSlowdown("s", 0, "k");
  for (int second = 0; second < 300; ++second) {
    model.DecayTowardsPrior();
  }
  CHECK(model.AddedSlowdown("s", 0, "k") < learned / 5);
}

TEST_CASE("a task is placed where it slows the service least, and waits above the limit",
          "[placement]")
{
  InterferenceModel model;
  for (int i = 0; i < 50; ++i) {
    model.Observe("s", 0, TaskMix{ { "loud", 1 } }, 1.2);
  }
  const TaskMix busy{ { "loud", 1 } };
  const TaskMix idle;
  std::vector<WorkerView> views(2);
  for (WorkerView& view : views) {
    view.m_size = kWorker;
    view.m_free = kWorker;
    view.m_services = { ServiceLoad{ "s", 0 } };
  }
  views[0].m_mix = &busy;
  views[1].m_mix = &idle;
  const Placer batchFirst(model, PlacementMode::Full, 0.2);
  const PlacementChoice choice = batchFirst.Choose("loud", Resources{ 100, 100, 0 }, views, 0);
  CHECK(choice.m_reason == PlacementReason::Chosen);
  CHECK(choice.m_index == 1);
  const Placer tailFirst(model, PlacementMode::Full, 1);
  CHECK(tailFirst.Choose("loud", Resources{ 100, 100, 0 }, views, 0).m_reason ==
        PlacementReason::SlowdownAboveLimit);
  CHECK(tailFirst.Choose("loud", Resources{ 100, 100, 0 }, views, 0, 1).m_reason ==
        PlacementReason::Chosen);
  CHECK(batchFirst.Choose("loud", Resources{ 99'000, 1, 0 }, views, 0).m_reason ==
        PlacementReason::NeverFits);
}

TEST_CASE("workers that fail their attempts are ejected, within the ejection limit", "[placement]")
{
  WorkerHealth health;
  health.SetWorkers(10);
  health.SetEjectShare(0.2);
  for (WorkerId worker = 1; worker <= 5; ++worker) {
    for (int i = 0; i < 6; ++i) {
      health.Record(worker, true, kNow);
    }
  }
  CHECK(health.EjectedCount(kNow) == 2);
  CHECK_FALSE(health.IsUsable(1, kNow, 0));
  CHECK(health.IsSuspect(1));
  const Instant later = kNow + std::chrono::seconds(60);
  CHECK(health.IsUsable(1, later, 0));
  CHECK_FALSE(health.IsUsable(1, later, 1)); // only one probe at a time
}
