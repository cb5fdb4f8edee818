// What an instance needs of the world outside: a store with keyed topics, and workers.
#pragma once

#include "egretturn/Scheduler/Actions.h"
#include "egretturn/Support/Error.h"

#include <functional>
#include <string>
#include <vector>

namespace egretturn {

using LogOffset = uint64_t;

/// The topics of the product and of its surroundings.
enum class Topic
{
  Jobs,      ///< Claims, jobs and their progress. Written by the deciding instance only.
  Leader,    ///< Announces who decides.
  Operator,  ///< The configuration, written by the operator.
  Directory, ///< The workers, written by themselves.
};

/// Records of a topic as of \c m_end.
struct TopicPage
{
  std::vector<KeyedRecord> m_records;
  LogOffset m_end = 0;
};

/// How a conditional append ended.
struct AppendResult
{
  enum class Kind
  {
    Appended,
    Conflict, ///< The topic ends elsewhere.
    NotDone,  ///< Nothing was appended, nor will be.
    Unknown,  ///< It may have been appended, or may yet be.
  };
  Kind m_kind = Kind::NotDone;
  LogOffset m_end = 0; ///< For Appended and Conflict.
};

/// The store. Calls return at once; callbacks run on the instance's thread.
class StorePort
{
public:
  virtual ~StorePort() = default;

  /// Reads the newest record of each key.
  /// Errors: unavailable.
  virtual void ReadNewest(Topic aTopic, std::function<void(Expected<TopicPage>)> aDone) = 0;

  /// Reads records from \p aFrom on, waiting up to \p aWait for one.
  /// Errors: unavailable; not_found if the records have been deleted.
  virtual void ReadTail(Topic aTopic,
                        LogOffset aFrom,
                        Duration aWait,
                        std::function<void(Expected<TopicPage>)> aDone) = 0;

  /// Appends in one piece if the topic ends at \p aAt.
  virtual void AppendAt(Topic aTopic,
                        LogOffset aAt,
                        const std::vector<KeyedRecord>& aRecords,
                        std::function<void(AppendResult)> aDone) = 0;

  /// Appends without a condition.
  virtual void Append(Topic aTopic,
                      const std::vector<KeyedRecord>& aRecords,
                      std::function<void(AppendResult)> aDone) = 0;
};

using LookCallback = std::function<void(WorkerCallResult, const WorkerStatus&)>;
using OrderCallback = std::function<void(WorkerCallResult)>;

/// The workers. Calls return at once; callbacks run on the instance's thread.
class WorkerPort
{
public:
  virtual ~WorkerPort() = default;

  virtual void Look(const PollWorker& aLook, uint64_t aFence, LookCallback aDone) = 0;
  virtual void Start(const StartTask& aStart, uint64_t aFence, OrderCallback aDone) = 0;
  virtual void Stop(const StopTask& aStop, uint64_t aFence, OrderCallback aDone) = 0;
  virtual void Pace(const ThrottleTask& aPace, uint64_t aFence, OrderCallback aDone) = 0;
};

/// Reads an entry of the directory. Errors: corrupt for an entry that names no worker to use.
using ReportDecoder = std::function<Expected<WorkerReport>(const KeyedRecord&)>;

/// This process's monotonic clock, which goes on while the machine is suspended.
Instant NowWithSuspend();

/// Unix time in milliseconds.
int64_t WallNowMs();

} // namespace egretturn
