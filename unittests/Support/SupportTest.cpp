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

TEST_CASE("Base64 round-trips byte strings of every length", "[support]")
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

TEST_CASE("a full queue rejects items, except for those that must not be lost", "[support]")
{
  BoundedQueue<int> queue(2);
  CHECK(queue.TryPush(1));
  CHECK(queue.TryPush(2));
  CHECK_FALSE(queue.TryPush(3));
  CHECK(queue.PushUnbounded(4));
  CHECK(queue.PopAll(Duration::zero()) == std::vector<int>{ 1, 2, 4 });
  queue.Close();
  CHECK_FALSE(queue.PushUnbounded(5));
}

TEST_CASE("latency quantiles are accurate to the width of a bin", "[support]")
{
  LatencyHistogram histogram;
  for (int ms = 1; ms <= 1000; ++ms) {
    histogram.Record(std::chrono::milliseconds(ms));
  }
  CHECK(ToMillis(histogram.Quantile(0.5)) == Approx(500).epsilon(0.09));
  CHECK(ToMillis(histogram.Quantile(0.99)) == Approx(990).epsilon(0.09));
}

TEST_CASE("log values with spaces and quotes are quoted and escaped", "[support]")
{
  CHECK(LogLine(LogLevel::Info, "e").Add("k", "a \"b\"\n").Add("n", 5).Text() ==
        "event=e k=\"a \\\"b\\\" \" n=5");
}

// Guards against log lines of an idle process that stay in a buffer and are lost when it is killed.
TEST_CASE("a log line is flushed promptly even if no other line follows")
{
  static constexpr int kTimeoutMs = 2000;
  int pipeFds[2];
  REQUIRE(pipe(pipeFds) == 0);
  std::fflush(stdout);
  const int standardOutput = dup(STDOUT_FILENO);
  dup2(pipeFds[1], STDOUT_FILENO);
  StartLogging(LogLevel::Info, "quiet", LogStream::StandardOutput);
  Log(LogLine(LogLevel::Info, "only_line"));
  pollfd readable{ pipeFds[0], POLLIN, 0 };
  const int ready = poll(&readable, 1, kTimeoutMs);
  StopLogging();
  dup2(standardOutput, STDOUT_FILENO);
  close(standardOutput);
  close(pipeFds[0]);
  close(pipeFds[1]);
  CHECK(ready == 1);
}

// Guards against a log flooded by an invalid entry that is read repeatedly.
TEST_CASE("a rate limiter admits a number of lines per window and counts the suppressed ones",
          "[support]")
{
  const Instant start;
  LogRateLimiter limiter(2, std::chrono::seconds(10));
  CHECK(limiter.TryAcquire(start) == uint64_t{ 0 });
  CHECK(limiter.TryAcquire(start) == uint64_t{ 0 });
  CHECK_FALSE(limiter.TryAcquire(start + std::chrono::seconds(1)));
  CHECK_FALSE(limiter.TryAcquire(start + std::chrono::seconds(9)));
  CHECK(limiter.TryAcquire(start + std::chrono::seconds(10)) == uint64_t{ 2 });
  CHECK(limiter.TryAcquire(start + std::chrono::seconds(11)) == uint64_t{ 0 });
  CHECK_FALSE(limiter.TryAcquire(start + std::chrono::seconds(12)));
}
