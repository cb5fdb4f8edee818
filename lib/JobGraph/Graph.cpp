#include "egretturn/JobGraph/Graph.h"

#include "egretturn/Support/Random.h"

#include <algorithm>
#include <charconv>

namespace egretturn {

static constexpr size_t kIdDigits = 16;

static tl::unexpected<Error>
InvalidIdError()
{
  return Fail(
    ErrorKind::BadInput, "a job id is not 16 hexadecimal digits", "send 16 digits of 0-9 and a-f");
}

Expected<GraphId>
ParseGraphId(std::string_view aText)
{
  const bool lowercase = std::all_of(aText.begin(), aText.end(), [](char aDigit) {
    return (aDigit >= '0' && aDigit <= '9') || (aDigit >= 'a' && aDigit <= 'f');
  });
  if (aText.size() != kIdDigits || !lowercase) {
    return InvalidIdError();
  }
  GraphId id = 0;
  std::from_chars(aText.data(), aText.data() + aText.size(), id, 16);
  return id;
}

std::string
FormatGraphId(GraphId aId)
{
  static constexpr std::string_view kDigits = "0123456789abcdef";
  std::string text(kIdDigits, '0');
  for (size_t i = kIdDigits; i > 0; --i) {
    text[i - 1] = kDigits[aId & 0xf];
    aId >>= 4;
  }
  return text;
}

/// Collects the validation errors of one job.
class GraphValidator
{
public:
  void Require(bool aCondition,
               const std::string& aField,
               const char* aProblem,
               const char* aRemedy)
  {
    if (!aCondition) {
      m_errors.push_back({ ErrorKind::BadInput, aField + " " + aProblem, aRemedy });
    }
  }

  Errors TakeErrors() { return std::move(m_errors); }

private:
  Errors m_errors;
};

static bool
IsWithin(int64_t aNumber, int64_t aMax)
{
  return aNumber >= 0 && aNumber <= aMax;
}

static void
ValidateStep(const GraphStep& aStep, size_t aIndex, GraphValidator& aValidator)
{
  const std::string field = "steps[" + std::to_string(aIndex) + "].";
  aValidator.Require(aStep.m_count > 0 && aStep.m_count <= kMaxTasksPerStep,
                     field + "count",
                     "is out of range",
                     "use 1 to 4096 tasks per step");
  const Demand& demand = aStep.m_demand;
  aValidator.Require(IsWithin(demand.m_cpuMilli, kMaxCpuMilli) &&
                       IsWithin(demand.m_memoryMb, kMaxMemoryMb) &&
                       IsWithin(demand.m_accelerators, kMaxAccelerators),
                     field + "demand",
                     "is negative or too large",
                     "use 0 or more of each resource, and no more than a machine can have");
  aValidator.Require(IsWithin(aStep.m_estimateMs, kMaxDurationMs),
                     field + "estimate_ms",
                     "is out of range",
                     "use 0 or more, up to a year");
  aValidator.Require(IsWithin(aStep.m_targetMs, kMaxDurationMs),
                     field + "target_ms",
                     "is out of range",
                     "use 0 or more, up to a year");
  aValidator.Require(aStep.m_label.size() <= kMaxNameBytes &&
                       aStep.m_dataRack.size() <= kMaxNameBytes &&
                       aStep.m_image.size() <= kMaxNameBytes,
                     field + "label",
                     "or data_rack or image is too long",
                     "use names of up to 256 bytes");
  aValidator.Require(aStep.m_dependencies.size() <= kMaxSteps,
                     field + "dependencies",
                     "are too many",
                     "list each earlier step once");
  for (uint32_t dependency : aStep.m_dependencies) {
    aValidator.Require(dependency < aIndex,
                       field + "dependencies",
                       "contain a step that is not an earlier one",
                       "order the steps so that each depends on earlier ones only");
  }
  aValidator.Require(!(aStep.m_gang && aStep.m_speculative),
                     field + "gang",
                     "cannot be combined with speculative",
                     "set only one of the two");
}

Errors
ValidateGraph(const Graph& aGraph)
{
  GraphValidator validator;
  validator.Require(
    aGraph.m_payload.size() <= kMaxPayloadBytes, "payload", "is too long", "send up to 4000 bytes");
  validator.Require(!aGraph.m_steps.empty() && aGraph.m_steps.size() <= kMaxSteps,
                    "steps",
                    "is empty or too long",
                    "send 1 to 64 steps");
  validator.Require(aGraph.m_occurrences <= kMaxOccurrences,
                    "occurrences",
                    "is too large",
                    "schedule up to 1000 occurrences");
  validator.Require(IsWithin(aGraph.m_intervalMs, kMaxDurationMs) &&
                      IsWithin(aGraph.m_firstDueMs, kMaxDueMs),
                    "interval_ms",
                    "or first_due_ms is out of range",
                    "use times of 0 or more and at most one year between occurrences");
  for (size_t i = 0; i < aGraph.m_steps.size(); ++i) {
    ValidateStep(aGraph.m_steps[i], i, validator);
  }
  return validator.TakeErrors();
}

int64_t
CriticalPathMs(const Graph& aGraph, const std::vector<int64_t>& aStepMs)
{
  std::vector<int64_t> endMs;
  int64_t longest = 0;
  for (size_t step = 0; step < aGraph.m_steps.size(); ++step) {
    int64_t startMs = 0;
    for (uint32_t dependency : aGraph.m_steps[step].m_dependencies) {
      startMs = std::max(startMs, endMs[dependency]);
    }
    endMs.push_back(startMs + aStepMs[step]);
    longest = std::max(longest, endMs.back());
  }
  return longest;
}

std::string
FormatTaskRef(const TaskRef& aTask)
{
  std::string text = FormatGraphId(aTask.m_job);
  text.append(1, '.').append(std::to_string(aTask.m_occurrence));
  text.append(1, '.').append(std::to_string(aTask.m_step));
  text.append(1, '.').append(std::to_string(aTask.m_index));
  return text;
}

/// Parses ".NUMBER" at the start of \p aText and removes it. Returns false if there is none.
template<typename T>
static bool
ConsumeNumber(std::string_view& aText, T& aNumber)
{
  if (aText.empty() || aText.front() != '.') {
    return false;
  }
  const char* end = aText.data() + aText.size();
  const std::from_chars_result result = std::from_chars(aText.data() + 1, end, aNumber);
  if (result.ec != std::errc()) {
    return false;
  }
  aText.remove_prefix(static_cast<size_t>(result.ptr - aText.data()));
  return true;
}

Expected<TaskRef>
ParseTaskRef(std::string_view aText)
{
  TaskRef task;
  const Expected<GraphId> id = ParseGraphId(aText.substr(0, kIdDigits));
  if (!id) {
    return tl::unexpected<Error>(id.error());
  }
  task.m_job = *id;
  aText.remove_prefix(kIdDigits);
  const bool complete = ConsumeNumber(aText, task.m_occurrence) &&
                        ConsumeNumber(aText, task.m_step) && ConsumeNumber(aText, task.m_index);
  if (!complete || !aText.empty()) {
    return Fail(ErrorKind::BadInput,
                "a task name is not JOB.OCCURRENCE.STEP.INDEX",
                "use the name with which the task was started");
  }
  return task;
}

size_t
TaskRefHash::operator()(const TaskRef& aTask) const
{
  const uint64_t packed =
    (uint64_t{ aTask.m_occurrence } << 32) | (uint64_t{ aTask.m_step } << 16) | aTask.m_index;
  return Mix(aTask.m_job ^ Mix(packed));
}

} // namespace egretturn
