// Interfaces of an instance to outside systems: a store with keyed topics, and workers.
#pragma once

#include "egretturn/Scheduler/Actions.h"
#include "egretturn/Support/Error.h"

#include <functional>
#include <string>
#include <vector>

namespace egretturn {

using LogOffset = uint64_t;

/// The topics of the store.
enum class Topic
{
  Jobs,      ///< Claims, jobs and their progress. Written by the leader only.
  Leader,    ///< Announcements of the leader.
  Operator,  ///< The configuration, written by the operator.
  Directory, ///< The registered workers, written by the workers.
};

/// Records read from a topic, and the offset at which the topic ended at the time.
struct TopicPage
{
  std::vector<KeyedRecord> m_records;
  LogOffset m_end = 0;
};

/// Result of an append.
struct AppendResult
{
  enum class Kind
  {
    Appended,
    Conflict,    ///< The topic does not end at the given offset.
    NotAppended, ///< Nothing was appended, and nothing will be.
    Refused,     ///< As NotAppended; so will be each append of the same records, as too large.
    Unknown,     ///< The records may have been appended, or may still be.
  };
  Kind m_kind = Kind::NotAppended;
  LogOffset m_end = 0; ///< For Appended and Conflict.
};

/// The store. Calls don't block; callbacks run on the instance's thread.
class StorePort
{
public:
  virtual ~StorePort() = default;

  /// Reads the latest record of each key.
  /// Errors: unavailable.
  virtual void ReadNewest(Topic aTopic, std::function<void(Expected<TopicPage>)> aDone) = 0;

  /// Reads records from offset \p aFrom on, waiting up to \p aWait for the first one.
  /// Errors: unavailable; not_found if the records have been deleted.
  virtual void ReadTail(Topic aTopic,
                        LogOffset aFrom,
                        Duration aWait,
                        std::function<void(Expected<TopicPage>)> aDone) = 0;

  /// Appends all records atomically if the topic ends at \p aAt; otherwise reports a conflict.
  virtual void AppendAt(Topic aTopic,
                        LogOffset aAt,
                        const std::vector<KeyedRecord>& aRecords,
                        std::function<void(AppendResult)> aDone) = 0;

  /// Appends without a condition.
  virtual void Append(Topic aTopic,
                      const std::vector<KeyedRecord>& aRecords,
                      std::function<void(AppendResult)> aDone) = 0;
};

using PollCallback = std::function<void(WorkerCallResult, const WorkerStatus&)>;
using WorkerCallCallback = std::function<void(WorkerCallResult)>;

/// The workers. Calls don't block; callbacks run on the instance's thread. Each call carries the
/// \p aFence, so that a worker can reject calls of an earlier leader, and those that were meant for
/// the process before a restart.
class WorkerPort
{
public:
  virtual ~WorkerPort() = default;

  virtual void Poll(const PollWorker& aPoll, uint64_t aFence, PollCallback aDone) = 0;
  virtual void Start(const StartTask& aStart, uint64_t aFence, WorkerCallCallback aDone) = 0;
  virtual void Stop(const StopTask& aStop, uint64_t aFence, WorkerCallCallback aDone) = 0;
  virtual void Throttle(const ThrottleTask& aThrottle,
                        uint64_t aFence,
                        WorkerCallCallback aDone) = 0;

  /// Notes the availability zone of a worker, by which the path of later calls is chosen.
  virtual void SetWorkerZone(const WorkerName&, const std::string& /*aZone*/) {}

  /// Notes that the worker is gone.
  virtual void RemoveWorker(const WorkerName&) {}
};

/// Decodes an entry of the directory. Errors: corrupt if the entry does not describe a usable
/// worker.
using ReportDecoder = std::function<Expected<WorkerReport>(const KeyedRecord&)>;

/// Returns the time of a monotonic clock that includes the time while the machine is suspended.
Instant BootClockNow();

/// Returns the Unix time in milliseconds.
int64_t WallNowMs();

} // namespace egretturn
