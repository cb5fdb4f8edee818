// What goes into the decision core (events) and what comes out of it (actions).
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

using RequestId = uint64_t; ///< Of one caller's request at one instance.
using CommandId = uint64_t; ///< Of one operator's or job command at one instance.

/// What a caller is told of its request.
enum class Outcome
{
  Done,   ///< The whole answer is here.
  NotRun, ///< Nothing was or ever will be started.
  Unknown,
};

/// Returns the name that the outcome header carries.
std::string_view NameOf(Outcome aOutcome);

/// Returns the outcome named \p aName, or nothing.
std::optional<Outcome> ParseOutcome(std::string_view aName);

// Events.

struct LogReadDone
{
  Stream m_stream = Stream::Config;
  Instant m_requestedAt{}; ///< As in the action.
  LogChunk m_chunk;
};
struct LogReadFailed
{
  Stream m_stream = Stream::Config;
  Instant m_requestedAt{};
};
struct LogAppendEnded
{
  Stream m_stream = Stream::Config;
  uint64_t m_sequence = 0;
  bool m_taken = false; ///< False also when the answer was lost.
};
struct PeerArrived
{
  PeerMessage m_message;
};
struct WorkerReplied
{
  WorkerId m_worker = 0;
  uint64_t m_call = 0;
  bool m_replied = false;
  WorkerReply m_reply;
};
/// The platform's lagging list: addresses of workers that are leaving.
struct DrainListArrived
{
  std::vector<std::string> m_draining;
};
struct RequestArrived
{
  RequestId m_id = 0;
  std::string m_service;
  std::string m_request;
  std::string m_team;
  std::string m_key; ///< Idempotency key; empty for none.
  uint64_t m_bodyHash = 0;
  size_t m_bodyBytes = 0;
  Duration m_deadline{};    ///< From now; zero for the configured one.
  bool m_forwarded = false; ///< By a peer, which holds the key if there is one.
};
/// How a dispatch ended.
enum class DispatchResult
{
  Completed, ///< The whole answer was read.
  NotSent,   ///< No byte of the request was sent.
  Refused,   ///< The target refused before running.
  Broken,    ///< The connection broke, or the answer was truncated.
  TimedOut,
};
std::string_view NameOf(DispatchResult aResult);

struct DispatchEnded
{
  RequestId m_id = 0;
  uint32_t m_attempt = 0;
  DispatchResult m_result = DispatchResult::Broken;
  uint32_t m_status = 0;
  std::optional<Outcome> m_peerOutcome; ///< Said by the peer that a request was forwarded to.
  std::string m_responseBody; ///< The body, for keyed requests, up to kMaxRecordedBodyBytes.
};
struct CallerDisconnected
{
  RequestId m_id = 0;
};

struct PublishCommand
{
  ConfigPublish m_publish;
};
struct SubmitCommand
{
  JobSubmit m_job; ///< Zone and racks are chosen by the core.
};
struct CancelCommand
{
  JobId m_job = 0;
};
struct JobQuery
{
  JobId m_job = 0;
};
struct JobListQuery
{};
struct ConfigQuery
{};
struct StatusQuery
{};
struct WorkersQuery
{};
struct InstancesQuery
{};
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
struct CommandArrived
{
  CommandId m_id = 0;
  CommandBody m_body;
};
struct ShutdownRequested
{};
/// Time has passed; sent at least every kTickInterval.
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
constexpr size_t kMaxRecordedBodyBytes = 1024; // of an answer kept under its key

// Actions.

struct ReadLog
{
  Stream m_stream = Stream::Config;
  Offset m_from = 0;
  Instant m_requestedAt{};
};
struct AppendLog
{
  AppendCall m_call;
};
struct SendPeer
{
  std::string m_peer;
  PeerBody m_body;
};
/// Not to be sent after m_notAfter on the local clock: authority over the worker has lapsed by
/// then.
struct CallWorker
{
  WorkerId m_worker = 0;
  std::string m_address;
  uint64_t m_call = 0;
  WorkerCall m_body;
  Instant m_notAfter{};
};
/// Sends the request to a worker, or to a peer. Not to be sent after m_notAfter.
struct Dispatch
{
  RequestId m_id = 0;
  uint32_t m_attempt = 0;
  std::string m_address;
  std::string m_peer; ///< Empty for a worker.
  Instant m_notAfter{};
  Duration m_timeout{};
};
/// The answer of this attempt is not wanted any more.
struct AbandonDispatch
{
  RequestId m_id = 0;
  uint32_t m_attempt = 0;
};
struct CompleteRequest
{
  RequestId m_id = 0;
  Outcome m_outcome = Outcome::NotRun;
  uint32_t m_attempt = 0;        ///< Whose answer to pass on; zero for none.
  uint32_t m_recordedStatus = 0; ///< Of an answer kept under the key; zero for none.
  std::string m_recordedBody;
  Error m_error; ///< Unless an answer is passed on.
};
struct ReplyCommand
{
  CommandId m_id = 0;
  std::optional<Error> m_error;
  Json m_body;
};
struct WriteLog
{
  LogLine m_line;
};
/// All is handed over; the process may exit.
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
