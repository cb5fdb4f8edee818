#include "egretturn/Routing/Budget.h"
#include "egretturn/Routing/KeyTable.h"
#include "egretturn/Routing/Router.h"

#include <catch2/catch.hpp>

using namespace egretturn;

static const Instant kNow{ std::chrono::seconds(100) };

static Router
MakeRouter(size_t aTargets)
{
  Router router;
  router.Configure(2, 0.5, 0.5);
  std::vector<Target> targets(aTargets);
  for (size_t i = 0; i < aTargets; ++i) {
    targets[i].m_worker = static_cast<WorkerId>(i + 1);
  }
  router.SetTargets(targets);
  return router;
}

TEST_CASE("a worker receives no more concurrent requests than it has slots", "[routing]")
{
  Router router = MakeRouter(3);
  Random random(1);
  for (int i = 0; i < 6; ++i) {
    const std::optional<RouteChoice> choice = router.Choose(random, kNow);
    REQUIRE(choice);
    router.AcquireSlot(choice->m_target);
  }
  CHECK_FALSE(router.Choose(random, kNow));
  router.RecordResponse(2, std::chrono::milliseconds(1), false, kNow);
  REQUIRE(router.Choose(random, kNow));
  CHECK(router.Targets()[router.Choose(random, kNow)->m_target].m_worker == 2);
}

TEST_CASE(
  "a worker that fails every request is ejected, within the ejection limit, and probed later",
  "[routing]")
{
  Router router = MakeRouter(4);
  for (int i = 0; i < 10; ++i) {
    for (const WorkerId worker : { 1U, 2U, 3U }) {
      router.RecordResponse(worker, std::chrono::microseconds(10), true, kNow);
    }
    router.RecordResponse(4, std::chrono::milliseconds(2), false, kNow);
  }
  size_t ejected = 0;
  for (const Target& target : router.Targets()) {
    ejected += target.m_ejectedUntil > kNow ? 1 : 0;
  }
  CHECK(ejected == 2); // half of four
  Random random(1);
  const Instant later = kNow + std::chrono::seconds(60);
  bool probed = false;
  for (int i = 0; i < 50; ++i) {
    probed = probed || router.Targets()[router.Choose(random, later)->m_target].m_worker == 1;
  }
  CHECK(probed);
}

TEST_CASE("a slow worker is chosen less often", "[routing]")
{
  Router router = MakeRouter(2);
  for (int i = 0; i < 50; ++i) {
    router.RecordResponse(1, std::chrono::milliseconds(50), false, kNow);
    router.RecordResponse(2, std::chrono::milliseconds(1), false, kNow);
  }
  Random random(3);
  int slow = 0;
  for (int i = 0; i < 100; ++i) {
    slow += router.Targets()[router.Choose(random, kNow)->m_target].m_worker == 1 ? 1 : 0;
  }
  CHECK(slow < 50);
}

TEST_CASE("retries are limited to a share of successes", "[routing]")
{
  ShareBudget budget(0.1, 20);
  int taken = 0;
  for (int i = 0; i < 1000; ++i) {
    budget.Earn();
    taken += budget.Take() ? 1 : 0;
  }
  CHECK(taken <= 111);
  CHECK(taken >= 100);
}

TEST_CASE("bytes over a link stay within the rate limit", "[routing]")
{
  TokenBucket bucket(1000, 1000);
  double sent = 0;
  for (int ms = 0; ms < 10'000; ms += 10) {
    sent += bucket.Take(300, kNow + std::chrono::milliseconds(ms)) ? 300 : 0;
  }
  CHECK(sent <= 11'000);
}

TEST_CASE("the first intent in log order holds the key", "[routing]")
{
  KeyTable keys;
  const InstanceId a{ "a", 1 };
  const InstanceId b{ "b", 1 };
  CHECK(keys.Apply(KeyIntent{ "k", 5 }, a, 0) == IntentVerdict::Granted);
  CHECK(keys.Apply(KeyIntent{ "k", 5 }, b, 1) == IntentVerdict::Pending);
  CHECK(keys.Apply(KeyIntent{ "k", 6 }, b, 2) == IntentVerdict::BodyMismatch);
  CHECK_FALSE(keys.Apply(KeyOutcome{ "k", KeyResult::Done, 200, "" }, b));
  CHECK(keys.Apply(KeyOutcome{ "k", KeyResult::Done, 200, "answer" }, a));
  CHECK(keys.Apply(KeyIntent{ "k", 5 }, b, 3) == IntentVerdict::Completed);
  CHECK(keys.Apply(KeyIntent{ "n", 1 }, a, 4) == IntentVerdict::Granted);
  CHECK(keys.Apply(KeyOutcome{ "n", KeyResult::NotRun, 0, "" }, a));
  CHECK(keys.Apply(KeyIntent{ "n", 1 }, b, 5) == IntentVerdict::Granted);
}
