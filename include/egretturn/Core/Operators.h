// Operator and job commands: publish, submit, cancel and queries.
#pragma once

#include "egretturn/Core/Racks.h"
#include "egretturn/Core/Requests.h"
#include "egretturn/Core/Tasks.h"

#include <map>
#include <string>

namespace egretturn {

/// Executes operator and job commands. Not thread-safe.
class OperatorController
{
public:
  OperatorController(Context& aContext,
                     RackController& aRacks,
                     const TaskController& aTasks,
                     const RequestController& aRequests);

  /// Executes a command or appends its record. The result follows as a ReplyCommand.
  void OnCommand(const CommandArrived& aCommand);

  /// Replies to the command whose record was read back.
  void OnApplied(const AppliedEntry& aApplied, EntryToken aToken);

  /// Replies with an error to commands whose records were not read back in time.
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
  void AppendAndAwait(CommandId aId, Stream aStream, Entry aEntry);

  /// A command whose record was not read back yet.
  struct PendingCommand
  {
    CommandId m_command = 0;
    Instant m_appendedAt{};
  };

  Context& m_context;
  RackController& m_racks;
  const TaskController& m_tasks;
  const RequestController& m_requests;
  std::map<EntryToken, PendingCommand> m_pendingCommands;
};

} // namespace egretturn
