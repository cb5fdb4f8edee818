// A job as its caller describes it: steps of equal tasks, joined by dependencies.
#pragma once

#include "egretturn/Support/Error.h"
#include "egretturn/Support/Fields.h"

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace egretturn {

/// A job's id, chosen by its caller: 16 hexadecimal digits.
using GraphId = uint64_t;

/// Reads 16 lower-case hexadecimal digits. Errors: bad_input. Thread-safe.
Expected<GraphId> ParseGraphId(std::string_view aText);

/// The 16 lower-case hexadecimal digits of \p aId. Thread-safe.
std::string FormatGraphId(GraphId aId);

/// What one task needs of its worker.
struct Demand
{
  int64_t m_cpuMilli = 0; ///< Thousandths of a core.
  int64_t m_memoryMb = 0;
  int64_t m_accelerators = 0;

  template<typename Self, typename Visit>
  static void Fields(Self& aSelf, Visit&& aVisit)
  {
    aVisit("cpu_milli", aSelf.m_cpuMilli);
    aVisit("memory_mb", aSelf.m_memoryMb);
    aVisit("accelerators", aSelf.m_accelerators);
  }
};

/// A step: \c m_count equal tasks.
struct GraphStep
{
  uint32_t m_count = 1;
  Demand m_demand;
  int64_t m_estimateMs = 0;             ///< A rough duration of one task.
  std::vector<uint32_t> m_dependencies; ///< Earlier steps that must be done first.
  bool m_checkpoints = false;           ///< Its tasks save their progress.
  bool m_gang = false;                  ///< All tasks work together or not at all.
  bool m_sameRack = false;              ///< Slower when spread over racks.
  std::string m_label;                  ///< A label that the worker must have; empty for any.
  std::string m_dataRack;               ///< The rack that holds its data; empty for none.
  uint32_t m_maxPerWorker = 0;          ///< Tasks of the step on one worker; 0 for no limit.
  bool m_speculative = false;           ///< Copies of a task may run at the same time.
  bool m_longRunning = false;           ///< Runs until the job is cancelled.
  std::string m_image;                  ///< Tasks of one image behave alike.
  int64_t m_targetMs = 0;           ///< Bound on the tail latency of a serving task; 0 for none.
  bool m_bestEffort = false;        ///< Uses the processor time that other tasks leave.
  uint32_t m_maxUnavailable = 0;    ///< Lasting tasks that may be away by our own actions.
  bool m_hasMaxUnavailable = false; ///< Whether m_maxUnavailable was given.

  template<typename Self, typename Visit>
  static void Fields(Self& aSelf, Visit&& aVisit)
  {
    aVisit("count", aSelf.m_count);
    aVisit("demand", aSelf.m_demand);
    aVisit("estimate_ms", aSelf.m_estimateMs);
    aVisit("dependencies", aSelf.m_dependencies);
    aVisit("checkpoints", aSelf.m_checkpoints);
    aVisit("gang", aSelf.m_gang);
    aVisit("same_rack", aSelf.m_sameRack);
    aVisit("label", aSelf.m_label);
    aVisit("data_rack", aSelf.m_dataRack);
    aVisit("max_per_worker", aSelf.m_maxPerWorker);
    aVisit("copies", aSelf.m_speculative);
    aVisit("lasting", aSelf.m_longRunning);
    aVisit("image", aSelf.m_image);
    aVisit("target_ms", aSelf.m_targetMs);
    aVisit("fills", aSelf.m_bestEffort);
    aVisit("may_miss", aSelf.m_maxUnavailable);
    aVisit("has_budget", aSelf.m_hasMaxUnavailable);
  }
};

/// A job.
struct Graph
{
  std::string m_payload; ///< Handed to each task unchanged.
  std::vector<GraphStep> m_steps;
  uint32_t m_occurrences = 0; ///< How often the steps run by schedule; 0 for once, at once.
  int64_t m_firstDueMs = 0;   ///< Unix time of the first occurrence.
  int64_t m_intervalMs = 0;   ///< Between occurrences.

  template<typename Self, typename Visit>
  static void Fields(Self& aSelf, Visit&& aVisit)
  {
    aVisit("payload", aSelf.m_payload);
    aVisit("steps", aSelf.m_steps);
    aVisit("occurrences", aSelf.m_occurrences);
    aVisit("first_due_ms", aSelf.m_firstDueMs);
    aVisit("interval_ms", aSelf.m_intervalMs);
  }
};

constexpr size_t kMaxPayloadBytes = 4000;
constexpr size_t kMaxSteps = 64;
constexpr uint32_t kMaxTasksPerStep = 4096;
constexpr uint32_t kMaxOccurrences = 1000;
// Of one worker or one task; far beyond real ones, so that sums over all of them do not overflow.
constexpr int64_t kMaxCpuMilli = 1000000000;
constexpr int64_t kMaxMemoryMb = 1000000000;
constexpr int64_t kMaxAccelerators = 1000000;
constexpr int64_t kMaxDurationMs = int64_t{ 366 } * 24 * 3600 * 1000; ///< A year.
constexpr int64_t kMaxDueMs = 253402300799999;                        ///< The end of 9999.
constexpr size_t kMaxNameBytes = 256; ///< Of labels, racks, images and the like.

/// Checks the whole of \p aGraph; an empty result means that it is valid. Each error names the
/// field and the remedy. Thread-safe.
Errors ValidateGraph(const Graph& aGraph);

/// The longest chain of steps through \p aGraph, where each takes as long as \p aStepMs says, in
/// milliseconds. \pre ValidateGraph() found no error; a duration for each step. Thread-safe.
int64_t CriticalPathMs(const Graph& aGraph, const std::vector<int64_t>& aStepMs);

/// One task of a job.
struct TaskRef
{
  GraphId m_job = 0;
  uint32_t m_occurrence = 0;
  uint16_t m_step = 0;
  uint16_t m_index = 0;

  bool operator==(const TaskRef&) const = default;

  template<typename Self, typename Visit>
  static void Fields(Self& aSelf, Visit&& aVisit)
  {
    aVisit("job", aSelf.m_job);
    aVisit("occurrence", aSelf.m_occurrence);
    aVisit("step", aSelf.m_step);
    aVisit("index", aSelf.m_index);
  }
};

/// Formats \p aTask as JOB.OCCURRENCE.STEP.INDEX. Thread-safe.
std::string FormatTaskRef(const TaskRef& aTask);

/// Reads what FormatTaskRef() wrote. Errors: bad_input. Thread-safe.
Expected<TaskRef> ParseTaskRef(std::string_view aText);

struct TaskRefHash
{
  size_t operator()(const TaskRef& aTask) const;
};

} // namespace egretturn
