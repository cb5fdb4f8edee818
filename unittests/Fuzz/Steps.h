// Random sequences of operations and failures for the fuzzing, and how they are run.
#pragma once

#include "World.h"

#include <cstdint>
#include <iosfwd>
#include <string>
#include <vector>

namespace egretturn::fuzz {

/// What one step does. Numbers select nodes, workers, keys and strengths.
enum class Operation
{
  Ask,
  Order,
  OrderAgain, ///< The same key through another instance.
  Submit,
  SubmitUrgent,
  SubmitAgain,
  Cancel,
  Publish,
  PublishRace, ///< Two operators against the same base.
  Drain,
  Kill,
  Start,
  Pause,
  Shutdown,
  LogDown,
  LogUp,
  LogSlow,
  LoseAppends,
  CutZone,
  JoinZone,
  CutNodeLog,
  JoinNodeLog,
  CutWorker,
  JoinWorker,
  RebootWorker,
  FailsAll,
  WorkerLeaves,
  WorkerStays,
  Storm, ///< Messages dropped, doubled and delayed.
  Calm,
  BreakAnswers,
};
constexpr size_t kOperations = static_cast<size_t>(Operation::BreakAnswers) + 1;

std::string_view NameOf(Operation aOperation);

struct Step
{
  Operation m_operation = Operation::Ask;
  uint32_t m_first = 0;
  uint32_t m_second = 0;
  uint32_t m_waitMs = 0; ///< Virtual time that passes afterwards.
};

std::ostream& operator<<(std::ostream& aOut, const Step& aStep);

/// The steps that \p aSeed stands for.
std::vector<Step> DrawSteps(uint64_t aSeed, size_t aCount);

/// Runs \p aSteps, heals, waits up to kHealTime, and returns the violations as text.
std::string RunSteps(uint64_t aSeed, const std::vector<Step>& aSteps);

/// Virtual time in which everything must be finished after healing.
constexpr Duration kHealTime = std::chrono::seconds(240);

} // namespace egretturn::fuzz
