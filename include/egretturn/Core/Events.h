// Inputs (events) and outputs (actions) of the decision core.
#pragma once

#include "egretturn/Journal/Reader.h"
#include "egretturn/Journal/Writer.h"
#include "egretturn/Membership/Messages.h"
#include "egretturn/Support/Log.h"
#include "egretturn/Support/Time.h"
#include "egretturn/Workers/Protocol.h"

#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace egretturn {

using RequestId = uint64_t; ///< Identifies a request within one instance.
using CommandId = uint64_t; ///< Identifies an operator or job command within one instance.

/// Result of a request as reported to its caller.
enum class Outcome
{
  Done,    ///< The complete response is available.
  NotRun,  ///< The request was not started and never will be.
  Unknown, ///< The request may have run.
};

/// Returns the value of the outcome header for \p aOutcome.
std::string_view NameOf(Outcome aOutcome);

/// Returns the outcome named \p aName, or nullopt if there is none.
std::optional<Outcome> ParseOutcome(std::string_view aName);

// Events.

/// Result of a successful ReadLog.
struct LogReadDone
{
  Stream m_stream = Stream::Config;
  Instant m_requestedAt{}; ///< Copied from the ReadLog action.
  LogChunk m_chunk;
};

/// Result of a failed ReadLog.
struct LogReadFailed
{
  Stream m_stream = Stream::Config;
  Instant m_requestedAt{};
};

/// Result of an AppendLog.
struct LogAppendEnded
{
  Stream m_stream = Stream::Config;
  uint64_t m_sequence = 0;
  bool m_accepted = false; ///< Also false if the response was lost.
};

/// A message from another instance was received.
struct PeerArrived
{
  PeerMessage m_message;
};

/// Result of a CallWorker. m_reply is valid only if m_replied is true.
struct WorkerReplied
{
  WorkerId m_worker = 0;
  uint64_t m_call = 0;
  bool m_replied = false;
  WorkerReply m_reply;
};

/// Addresses of draining workers from the platform's directory, which may be out of date.
struct DrainListArrived
{
  std::vector<std::string> m_draining;
};

/// A request from a caller or a peer was received.
struct RequestArrived
{
  RequestId m_id = 0;
  std::string m_service;
  std::string m_request;
  std::string m_team;
  std::string m_key; ///< Empty if the caller sent no idempotency key.
  uint64_t m_bodyHash = 0;
  size_t m_bodyBytes = 0;
  Duration m_deadline{};    ///< Relative to arrival; zero selects the configured deadline.
  bool m_forwarded = false; ///< By a peer, which holds the idempotency key if there is one.
};

/// Result of one dispatch.
enum class DispatchResult
{
  Completed, ///< The complete response was read.
  NotSent,   ///< No byte of the request was sent.
  Refused,   ///< The target refused the request before running it.
  Broken,    ///< The connection broke, or the response was truncated.
  TimedOut,
};

/// Returns the name of \p aResult in log lines and error messages.
std::string_view NameOf(DispatchResult aResult);

/// Result of a Dispatch.
struct DispatchEnded
{
  RequestId m_id = 0;
  uint32_t m_attempt = 0;
  DispatchResult m_result = DispatchResult::Broken;
  uint32_t m_status = 0;
  std::optional<Outcome> m_peerOutcome; ///< Set if the request was forwarded to a peer.
  std::string m_responseBody; ///< Body of a keyed request's response, up to kMaxRecordedBodyBytes.
};

/// The caller closed its connection before it received a response.
struct CallerDisconnected
{
  RequestId m_id = 0;
};

/// Publishes a change of the configuration.
struct PublishCommand
{
  ConfigPublish m_publish;
};

/// Submits a batch job.
struct SubmitCommand
{
  JobSubmit m_job; ///< The core chooses the availability zone and the racks.
};

/// Cancels a job.
struct CancelCommand
{
  JobId m_job = 0;
};

/// Queries the state of one job.
struct JobQuery
{
  JobId m_job = 0;
};

/// Queries the most recent jobs.
struct JobListQuery
{};

/// Queries the configuration and its history.
struct ConfigQuery
{};

/// Queries the status of this instance.
struct StatusQuery
{};

/// Queries the workers of the owned racks.
struct WorkersQuery
{};

/// Queries all configured instances.
struct InstancesQuery
{};

/// Queries why the tasks of a job wait.
struct ExplainQuery
{
  JobId m_job = 0;
};
using CommandBody = std::variant<PublishCommand,
                                 SubmitCommand,
                                 CancelCommand,
                                 JobQuery,
                                 JobListQuery,
                                 ConfigQuery,
                                 StatusQuery,
                                 WorkersQuery,
                                 InstancesQuery,
                                 ExplainQuery>;
/// A command from an operator or job caller was received.
struct CommandArrived
{
  CommandId m_id = 0;
  CommandBody m_body;
};

/// Requests a graceful shutdown. Further requests have no effect.
struct ShutdownRequested
{};

/// Signals that time has passed. Sent at least every kTickInterval.
struct TickEvent
{};
using Event = std::variant<TickEvent,
                           LogReadDone,
                           LogReadFailed,
                           LogAppendEnded,
                           PeerArrived,
                           WorkerReplied,
                           DrainListArrived,
                           RequestArrived,
                           DispatchEnded,
                           CallerDisconnected,
                           CommandArrived,
                           ShutdownRequested>;

constexpr Duration kTickInterval = std::chrono::milliseconds(20);
constexpr size_t kMaxRecordedBodyBytes = 1024; // of a response recorded under its idempotency key

// Actions.

/// Reads a stream starting at m_from. Ends with LogReadDone or LogReadFailed.
struct ReadLog
{
  Stream m_stream = Stream::Config;
  Offset m_from = 0;
  Instant m_requestedAt{};
};

/// Appends a batch of entries to a stream. Ends with LogAppendEnded.
struct AppendLog
{
  AppendCall m_call;
};

/// Sends a message to another instance. The message may be lost.
struct SendPeer
{
  std::string m_peer;
  PeerBody m_body;
};

/// Must not be sent after m_notAfter on the local clock, because the authority over the worker has
/// expired by then.
struct CallWorker
{
  WorkerId m_worker = 0;
  std::string m_address;
  uint64_t m_call = 0;
  WorkerCall m_body;
  Instant m_notAfter{};
};

/// Sends a request to a worker or a peer. Must not be sent after m_notAfter.
struct Dispatch
{
  RequestId m_id = 0;
  uint32_t m_attempt = 0;
  std::string m_address;
  std::string m_peer; ///< Empty if the target is a worker.
  Instant m_notAfter{};
  Duration m_timeout{};
};

/// The response to this attempt is no longer needed.
struct AbandonDispatch
{
  RequestId m_id = 0;
  uint32_t m_attempt = 0;
};

/// Sends the result of a request to its caller.
struct CompleteRequest
{
  RequestId m_id = 0;
  Outcome m_outcome = Outcome::NotRun;
  uint32_t m_attempt = 0;        ///< Attempt whose response is passed on; zero for none.
  uint32_t m_recordedStatus = 0; ///< Status recorded under the idempotency key; zero for none.
  std::string m_recordedBody;
  Error m_error; ///< Set unless a response is passed on.
};

/// Sends the result of a command: m_error if it is set, m_body otherwise.
struct ReplyCommand
{
  CommandId m_id = 0;
  std::optional<Error> m_error;
  Json m_body;
};

/// Writes a line to the process log.
struct WriteLog
{
  LogLine m_line;
};

/// All work is handed over; the process may exit.
struct ExitProcess
{};
using Action = std::variant<ReadLog,
                            AppendLog,
                            SendPeer,
                            CallWorker,
                            Dispatch,
                            AbandonDispatch,
                            CompleteRequest,
                            ReplyCommand,
                            WriteLog,
                            ExitProcess>;

} // namespace egretturn
