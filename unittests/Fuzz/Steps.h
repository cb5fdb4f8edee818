// Random sequences of operations and faults for fuzzing, and their execution.
#pragma once

#include "World.h"

#include <cstdint>
#include <iosfwd>
#include <string>
#include <vector>

namespace egretturn::fuzz {

/// Kind of one step. The numbers of the step select nodes, workers, keys and fault probabilities.
enum class Operation
{
  Ask,
  Order,
  OrderAgain, ///< Repeats a key, also through another instance.
  Submit,
  SubmitUrgent,
  SubmitAgain,
  Cancel,
  Publish,
  PublishRace, ///< Two operators publish against the same base version.
  Drain,
  Kill,
  Start,
  Pause,
  Shutdown,
  LogDown,
  LogUp,
  LogSlow,
  LoseAppendResponses,
  CutZone,
  ReconnectZone,
  CutNodeLog,
  ReconnectNodeLog,
  CutWorker,
  ReconnectWorker,
  RebootWorker,
  FailWorkerTasks,
  DrainWorker,
  UndrainWorker,
  DegradeNetwork, ///< Messages are dropped, duplicated and delayed.
  RestoreNetwork,
  BreakResponses,
};
constexpr size_t kOperations = static_cast<size_t>(Operation::BreakResponses) + 1;

std::string_view NameOf(Operation aOperation);

struct Step
{
  Operation m_operation = Operation::Ask;
  uint32_t m_first = 0;
  uint32_t m_second = 0;
  uint32_t m_waitMs = 0; ///< Virtual time to advance after the step.
};

std::ostream& operator<<(std::ostream& aOut, const Step& aStep);

/// Returns \p aCount random steps generated from \p aSeed.
std::vector<Step> DrawSteps(uint64_t aSeed, size_t aCount);

/// Runs \p aSteps, heals all faults, waits up to kSettleTimeout and returns the violations as text.
std::string RunSteps(uint64_t aSeed, const std::vector<Step>& aSteps);

/// Virtual time within which all work must finish after healing.
constexpr Duration kSettleTimeout = std::chrono::seconds(240);

} // namespace egretturn::fuzz
