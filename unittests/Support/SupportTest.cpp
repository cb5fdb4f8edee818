#include "egretturn/Support/Base64.h"
#include "egretturn/Support/BoundedQueue.h"
#include "egretturn/Support/Latency.h"
#include "egretturn/Support/Log.h"
#include "egretturn/Support/LogRateLimiter.h"

#include <catch2/catch.hpp>
#include <cstdio>
#include <poll.h>
#include <unistd.h>

using namespace egretturn;

TEST_CASE("base64 gives back every length", "[support]")
{
  std::string bytes;
  for (int i = 0; i < 70; ++i) {
    const std::string text = ToBase64(bytes);
    REQUIRE(IsBase64(text));
    CHECK(FromBase64(text) == bytes);
    bytes.push_back(static_cast<char>(i * 37));
  }
  CHECK_FALSE(IsBase64("a b"));
}

TEST_CASE("a full ring refuses, except for what must not be lost", "[support]")
{
  BoundedRing<int> ring(2);
  CHECK(ring.TryPush(1));
  CHECK(ring.TryPush(2));
  CHECK_FALSE(ring.TryPush(3));
  CHECK(ring.PushReserved(4));
  CHECK(ring.PopAll(Duration::zero()) == std::vector<int>{ 1, 2, 4 });
  ring.Close();
  CHECK_FALSE(ring.PushReserved(5));
}

TEST_CASE("latency quantiles are within the width of a bin", "[support]")
{
  LatencyHistogram histogram;
  for (int ms = 1; ms <= 1000; ++ms) {
    histogram.Record(std::chrono::milliseconds(ms));
  }
  CHECK(ToMillis(histogram.Quantile(0.5)) == Approx(500).epsilon(0.09));
  CHECK(ToMillis(histogram.Quantile(0.99)) == Approx(990).epsilon(0.09));
}

TEST_CASE("log values with spaces and quotes stay one value", "[support]")
{
  CHECK(LogLine(LogLevel::Info, "e").Add("k", "a \"b\"\n").Add("n", 5).Text() ==
        "event=e k=\"a \\\"b\\\" \" n=5");
}

// Guards against lines of a quiet process that stay in a buffer, and are lost when it is killed.
TEST_CASE("a log line is written soon, also when none follows")
{
  static constexpr int kPatienceMs = 2000;
  int ends[2];
  REQUIRE(pipe(ends) == 0);
  std::fflush(stdout);
  const int standardOutput = dup(STDOUT_FILENO);
  dup2(ends[1], STDOUT_FILENO);
  StartLogging(LogLevel::Info, "quiet", LogStream::StandardOutput);
  Log(LogLine(LogLevel::Info, "only_line"));
  pollfd readable{ ends[0], POLLIN, 0 };
  const int ready = poll(&readable, 1, kPatienceMs);
  StopLogging();
  dup2(standardOutput, STDOUT_FILENO);
  close(standardOutput);
  close(ends[0]);
  close(ends[1]);
  CHECK(ready == 1);
}

// Guards against a log flooded by something odd that is read again and again.
TEST_CASE("a log quota lets some lines of each span through, and counts the others", "[support]")
{
  const Instant start;
  LogRateLimiter quota(2, std::chrono::seconds(10));
  CHECK(quota.TryAcquire(start) == uint64_t{ 0 });
  CHECK(quota.TryAcquire(start) == uint64_t{ 0 });
  CHECK_FALSE(quota.TryAcquire(start + std::chrono::seconds(1)));
  CHECK_FALSE(quota.TryAcquire(start + std::chrono::seconds(9)));
  CHECK(quota.TryAcquire(start + std::chrono::seconds(10)) == uint64_t{ 2 });
  CHECK(quota.TryAcquire(start + std::chrono::seconds(11)) == uint64_t{ 0 });
  CHECK_FALSE(quota.TryAcquire(start + std::chrono::seconds(12)));
}
