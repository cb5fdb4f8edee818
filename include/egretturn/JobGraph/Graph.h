// A job as its caller submits it: steps of identical tasks, connected by dependencies.
#pragma once

#include "egretturn/Support/Error.h"
#include "egretturn/Support/Fields.h"

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace egretturn {

/// Id of a job, chosen by its caller and written as 16 hexadecimal digits.
using GraphId = uint64_t;

/// Parses 16 lower-case hexadecimal digits. Errors: bad_input. Thread-safe.
Expected<GraphId> ParseGraphId(std::string_view aText);

/// Formats \p aId as 16 lower-case hexadecimal digits. Thread-safe.
std::string FormatGraphId(GraphId aId);

/// Resources that one task needs on its worker.
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

/// A step of a job: \c m_count identical tasks.
struct GraphStep
{
  uint32_t m_count = 1;
  Demand m_demand;
  int64_t m_estimateMs = 0;             ///< Estimated duration of one task.
  std::vector<uint32_t> m_dependencies; ///< Earlier steps that must finish first.
  bool m_checkpoints = false;           ///< The tasks save their progress.
  bool m_gang = false;                  ///< All tasks run together or not at all.
  bool m_sameRack = false;              ///< The tasks are slower when spread over several racks.
  std::string m_label;                  ///< Label that the worker must have; empty for any worker.
  std::string m_dataRack;               ///< Rack that holds the data of the step; empty for none.
  uint32_t m_maxPerWorker = 0;      ///< Maximum tasks of the step on one worker; 0 for no limit.
  bool m_speculative = false;       ///< Several attempts of a task may run at the same time.
  bool m_longRunning = false;       ///< The tasks run until the job is cancelled.
  std::string m_image;              ///< Tasks with the same image behave alike.
  int64_t m_targetMs = 0;           ///< Maximum tail latency of a serving task; 0 for none.
  bool m_bestEffort = false;        ///< Uses only processor time that other tasks leave unused.
  uint32_t m_maxUnavailable = 0;    ///< Long-running tasks that the scheduler itself may interrupt.
  bool m_hasMaxUnavailable = false; ///< Whether m_maxUnavailable is set.

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

/// A job: its steps, the payload of its tasks and its schedule.
struct Graph
{
  std::string m_payload; ///< Passed to each task unchanged.
  std::vector<GraphStep> m_steps;
  uint32_t m_occurrences = 0; ///< Number of scheduled runs; 0 to run once, immediately.
  int64_t m_firstDueMs = 0;   ///< Unix time of the first occurrence.
  int64_t m_intervalMs = 0;   ///< Time between occurrences.

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
// Limits of one worker or one task. They are far above real sizes and low enough that sums over all
// workers and tasks do not overflow.
constexpr int64_t kMaxCpuMilli = 1000000000;
constexpr int64_t kMaxMemoryMb = 1000000000;
constexpr int64_t kMaxAccelerators = 1000000;
constexpr int64_t kMaxDurationMs = int64_t{ 366 } * 24 * 3600 * 1000; ///< One year.
constexpr int64_t kMaxDueMs = 253402300799999;                        ///< The end of the year 9999.
constexpr size_t kMaxNameBytes = 256; ///< Limit for labels, racks, images and similar names.

/// Validates \p aGraph and returns all errors found; an empty result means that it is valid. Each
/// error names the field and the remedy. Thread-safe.
Errors ValidateGraph(const Graph& aGraph);

/// Returns the duration of the longest chain of dependent steps in milliseconds. \p aStepMs holds
/// the duration of each step. Thread-safe.
/// \pre ValidateGraph() found no error, and \p aStepMs has an element for each step.
int64_t CriticalPathMs(const Graph& aGraph, const std::vector<int64_t>& aStepMs);

/// Identifies one task of a job.
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

/// Parses the output of FormatTaskRef(). Errors: bad_input. Thread-safe.
Expected<TaskRef> ParseTaskRef(std::string_view aText);

struct TaskRefHash
{
  size_t operator()(const TaskRef& aTask) const;
};

} // namespace egretturn
