// Commands of operators and of job callers: publish, submit, cancel, and what can be asked.
#pragma once

#include "egretturn/Core/Racks.h"
#include "egretturn/Core/Requests.h"
#include "egretturn/Core/Tasks.h"

#include <map>
#include <string>

namespace egretturn {

/// Answers commands. Not thread-safe.
class OperatorController
{
public:
  OperatorController(Context& aContext,
                     RackController& aRacks,
                     const TaskController& aTasks,
                     const RequestController& aRequests);

  void OnCommand(const CommandArrived& aCommand);
  void OnApplied(const Applied& aApplied, EntryToken aToken);

  /// Answers commands whose records were not read back in time.
  void Tick();

private:
  void Publish(CommandId aId, const ConfigPublish& aPublish);
  void Submit(CommandId aId, JobSubmit aJob);
  void Cancel(CommandId aId, JobId aJob);
  Expected<void> CheckJob(const JobSubmit& aJob) const;
  Expected<void> ChooseRacks(JobSubmit& aJob) const;
  Json JobJson(const Job& aJob) const;
  Json StatusJson() const;
  Json WorkersJson() const;
  Json InstancesJson() const;
  Json ExplainJson(const Job& aJob) const;
  void ReplyJob(CommandId aId, JobId aJob, bool aExplain);
  void ReplyError(CommandId aId, Error aError);
  void Reply(CommandId aId, Json aBody);
  void AwaitRecord(CommandId aId, Stream aStream, Entry aEntry);

  struct Waiting
  {
    CommandId m_command = 0;
    Instant m_since{};
  };

  Context& m_context;
  RackController& m_racks;
  const TaskController& m_tasks;
  const RequestController& m_requests;
  std::map<EntryToken, Waiting> m_waiting;
};

} // namespace egretturn
