#include "World.h"

#include "egretturn/Support/EnumTable.h"

#include <algorithm>
#include <iostream>
#include <sstream>

namespace egretturn::fuzz {

using std::chrono::milliseconds;
using std::chrono::seconds;

static constexpr EnumTable<Promise, 10> kPromiseNames{ {
  { Promise::Capacity, "capacity" },
  { Promise::OnePlace, "one_place" },
  { Promise::ResumeOnce, "resume_once" },
  { Promise::WholeAnswer, "whole_answer" },
  { Promise::NotRunIsTrue, "not_run_is_true" },
  { Promise::AtMostOnce, "at_most_once" },
  { Promise::Leaving, "leaving" },
  { Promise::GracefulStop, "graceful_stop" },
  { Promise::ConfigForward, "config_forward" },
  { Promise::Liveness, "liveness" },
} };

static constexpr Duration kExitPollInterval = milliseconds(500);
static constexpr Duration kArrivalGrace = milliseconds(200); // requests in flight at exit
static constexpr size_t kNoCaller = SIZE_MAX;

std::string_view
NameOf(Promise aPromise)
{
  return NameIn(kPromiseNames, aPromise);
}

World::World(uint64_t aSeed, const WorldShape& aShape)
  : m_random(aSeed)
  , m_shape(aShape)
{
  m_log.SetRetention(aShape.m_logRetention);
  m_zoneCut.resize(aShape.m_nodes.size(), false);
  for (size_t zone = 0; zone < aShape.m_racks.size(); ++zone) {
    for (size_t i = 0; i < aShape.m_racks[zone] * aShape.m_workersPerRack; ++i) {
      const std::string address =
        "10." + std::to_string(zone) + ".0." + std::to_string(i + 1) + ":80";
      WorkerModel model(Resources{ 16'000, 60'000, 0 }, m_random.Next());
      model.SetBehavior("plan", TaskBehavior{ seconds(4), Resources{ 2'500, 3'000, 0 }, true });
      model.SetBehavior("watch", TaskBehavior{ seconds(1), Resources{ 700, 400, 0 }, false });
      model.SetFencing(aShape.m_workerFencing);
      m_workers.push_back(
        FakeWorker{ address, zone, std::move(model), false, 0, 0, Instant::max(), 0 });
    }
  }
  BuildSettings();
  for (size_t node = 0; node < m_nodes.size(); ++node) {
    Start(node);
  }
  Advance(seconds(1));
  Publish(0, BaseConfig());
  Advance(seconds(5));
}

World::~World() = default;

void
World::BuildSettings()
{
  for (size_t zone = 0; zone < m_shape.m_nodes.size(); ++zone) {
    for (size_t i = 0; i < m_shape.m_nodes[zone]; ++i) {
      Node node;
      node.m_zone = zone;
      node.m_settings.m_id = "z" + std::to_string(zone) + "-" + std::to_string(i);
      node.m_settings.m_zone = "z" + std::to_string(zone);
      node.m_settings.m_region = node.m_settings.m_zone;
      node.m_settings.m_timing.m_logRetention = m_shape.m_logRetention;
      m_nodes.push_back(std::move(node));
    }
  }
  for (Node& node : m_nodes) {
    for (const Node& other : m_nodes) {
      if (other.m_settings.m_id != node.m_settings.m_id) {
        node.m_settings.m_peers.push_back(PeerSettings{ other.m_settings.m_id,
                                                        other.m_settings.m_zone,
                                                        other.m_settings.m_region,
                                                        other.m_settings.m_id,
                                                        other.m_settings.m_id });
      }
    }
  }
}

std::string
World::BaseConfig() const
{
  std::ostringstream text;
  std::string pools;
  size_t worker = 0;
  for (size_t zone = 0; zone < m_shape.m_racks.size(); ++zone) {
    text << "[zone.z" << zone << "]\nregion = \"z" << zone << "\"\n";
    for (size_t rack = 0; rack < m_shape.m_racks[zone]; ++rack) {
      const std::string name = "z" + std::to_string(zone) + "r" + std::to_string(rack);
      pools += (pools.empty() ? "\"" : ", \"") + name + "\"";
      text << "[pool." << name << "]\nzone = \"z" << zone
           << "\"\nmillicores = 16000\nmemory_mb = 60000\nworkers = [";
      for (size_t i = 0; i < m_shape.m_workersPerRack; ++i) {
        text << (i > 0 ? ", " : "") << '"' << m_workers[worker++].m_address << '"';
      }
      text << "]\n";
    }
  }
  text << "[service.desk]\npools = [" << pools << "]\nmillicores = 4000\nmemory_mb = 8000\n"
       << "[service.desk.requests.ask]\nidempotent = true\ndeadline_ms = 1500\n"
       << "[service.desk.requests.order]\nidempotent = false\ndeadline_ms = 3000\n"
       << "[kind.plan]\npools = [" << pools
       << "]\nmillicores = 4000\nmemory_mb = 8000\nrun_s = 4\ncheckpoints = true\n"
       << "[kind.watch]\npools = [" << pools
       << "]\nmillicores = 1000\nmemory_mb = 500\nrun_s = 1\nrestartable = true\n"
       << "[team.one]\nquota_millicores = 100000\n[team.two]\nquota_millicores = 0\n"
       << "[rule.spill]\nservice = \"desk\"\nspill_zones = [\"z0\"";
  for (size_t zone = 1; zone < m_shape.m_racks.size(); ++zone) {
    text << ", \"z" << zone << "\"";
  }
  text << "]\nlink_bytes_per_s = 100000\n[policy.default]\nlog_appends_per_s = 150\n";
  return text.str();
}

void
World::After(Duration aDelay, std::function<void()> aCallback)
{
  m_timers.push(Timer{ m_now + aDelay, m_order++, std::move(aCallback) });
}

void
World::Advance(Duration aTime)
{
  const Instant until = m_now + aTime;
  while (!m_timers.empty() && m_timers.top().m_at <= until) {
    const Timer timer = m_timers.top();
    m_timers.pop();
    m_now = std::max(m_now, timer.m_at);
    timer.m_callback();
  }
  m_now = until;
}

bool
World::AdvanceUntil(const std::function<bool()>& aDone, Duration aLimit)
{
  const Instant until = m_now + aLimit;
  while (m_now < until) {
    if (aDone()) {
      return true;
    }
    Advance(milliseconds(100));
  }
  return aDone();
}

Duration
World::Delay()
{
  const uint64_t normal = 300 + m_random.Below(2'000);
  const bool slow = m_random.Unit() < m_faults.m_delay;
  return Duration(static_cast<int64_t>(slow ? m_random.Below(450'000) : normal));
}

/// Runs \p aCallback on the given incarnation of the node: immediately, after its pause, or not at
/// all if the incarnation has ended.
void
World::RunOnNode(size_t aNode, uint64_t aIncarnation, std::function<void()> aCallback)
{
  Node& node = m_nodes[aNode];
  if (node.m_incarnation != aIncarnation || !node.m_core) {
    return;
  }
  if (node.m_pausedUntil > m_now) {
    After(node.m_pausedUntil - m_now,
          [this, aNode, aIncarnation, callback = std::move(aCallback)]() mutable {
            RunOnNode(aNode, aIncarnation, std::move(callback));
          });
    return;
  }
  aCallback();
}

void
World::Step(size_t aNode, const Event& aEvent)
{
  Node& node = m_nodes[aNode];
  if (!node.m_core) {
    return;
  }
  const uint64_t incarnation = node.m_incarnation;
  for (Action& action : node.m_core->Step(aEvent, m_now)) {
    if (const WriteLog* write = std::get_if<WriteLog>(&action)) {
      if (m_trace) {
        std::cerr << ToMillis(m_now.time_since_epoch() - std::chrono::hours(1)) << ' '
                  << node.m_settings.m_id << '#' << incarnation << ' ' << write->m_line.Text()
                  << '\n';
      }
      continue;
    }
    const CallWorker* call = std::get_if<CallWorker>(&action);
    if (call && node.m_pauseAtCall > Duration::zero() &&
        !std::holds_alternative<ListCall>(call->m_body.m_body)) {
      Pause(aNode, node.m_pauseAtCall);
      node.m_pauseAtCall = Duration::zero();
    }
    // The daemon executes actions on another thread with a delay, during which the node may be
    // paused.
    After(Duration(static_cast<int64_t>(m_random.Below(200))),
          [this, aNode, incarnation, queuedAction = std::move(action)] {
            RunOnNode(
              aNode, incarnation, [this, aNode, queuedAction] { Execute(aNode, queuedAction); });
          });
  }
  CheckConfigOf(aNode);
}

void
World::TickNode(size_t aNode, uint64_t aIncarnation)
{
  RunOnNode(aNode, aIncarnation, [this, aNode, aIncarnation] {
    Step(aNode, TickEvent{});
    After(kTickInterval, [this, aNode, aIncarnation] { TickNode(aNode, aIncarnation); });
  });
}

void
World::Start(size_t aNode)
{
  Node& node = m_nodes[aNode];
  if (node.m_core) {
    return;
  }
  node.m_incarnation = m_nextIncarnation++;
  node.m_exited = false;
  node.m_exiting = false;
  node.m_configSeen = 0;
  node.m_logReadBytes = 0;
  node.m_pausedUntil = Instant{};
  node.m_core = std::make_unique<Core>(
    node.m_settings, InstanceId{ node.m_settings.m_id, node.m_incarnation }, m_random.Next());
  TickNode(aNode, node.m_incarnation);
}

bool
World::LogReachable(size_t aNode) const
{
  return !m_faults.m_logDown && !m_nodes[aNode].m_logCut && !m_zoneCut[m_nodes[aNode].m_zone];
}

bool
World::Connected(size_t aLeft, size_t aRight) const
{
  const size_t left = m_nodes[aLeft].m_zone;
  const size_t right = m_nodes[aRight].m_zone;
  const bool zones = left == right || (!m_zoneCut[left] && !m_zoneCut[right]);
  return zones && !m_cutNodePairs.contains(std::minmax(aLeft, aRight));
}

size_t
World::WorkerAt(const std::string& aAddress) const
{
  for (size_t i = 0; i < m_workers.size(); ++i) {
    if (m_workers[i].m_address == aAddress) {
      return i;
    }
  }
  return SIZE_MAX;
}

size_t
World::FindNode(const std::string& aId) const
{
  for (size_t i = 0; i < m_nodes.size(); ++i) {
    if (m_nodes[i].m_settings.m_id == aId) {
      return i;
    }
  }
  return SIZE_MAX;
}

std::string
World::StreamName(size_t aNode, Stream aStream) const
{
  const std::string name(egretturn::NameOf(aStream));
  return aStream == Stream::Zone ? name + "." + m_nodes[aNode].m_settings.m_zone : name;
}

void
World::Execute(size_t aNode, const Action& aAction)
{
  Node& node = m_nodes[aNode];
  std::visit(
    Overloaded{
      [&](const ReadLog& aRead) { ReadLogFor(aNode, aRead); },
      [&](const AppendLog& aAppend) { AppendFor(aNode, aAppend); },
      [&](const SendPeer& aSend) { SendPeerFor(aNode, aSend); },
      [&](const CallWorker& aCall) { CallWorkerFor(aNode, aCall); },
      [&](const Dispatch& aDispatch) { DispatchFor(aNode, aDispatch); },
      [&](const AbandonDispatch&) {},
      [&](const CompleteRequest& aCompletion) {
        const std::map<RequestId, std::function<void(const CompleteRequest&)>>::iterator it =
          node.m_waiting.find(aCompletion.m_id);
        if (it == node.m_waiting.end()) {
          AddViolation(Promise::WholeAnswer, "a request was completed twice");
          return;
        }
        const std::function<void(const CompleteRequest&)> callback = std::move(it->second);
        node.m_waiting.erase(it);
        callback(aCompletion);
      },
      [&](const ReplyCommand& aReply) {
        const std::map<CommandId, std::function<void(const ReplyCommand&)>>::iterator it =
          node.m_commands.find(aReply.m_id);
        if (it != node.m_commands.end()) {
          const std::function<void(const ReplyCommand&)> callback = std::move(it->second);
          node.m_commands.erase(it);
          callback(aReply);
        }
      },
      [](const WriteLog&) {},
      [&](const ExitProcess&) {
        // After the responses of the same step, which are in flight.
        After(milliseconds(1), [this, aNode, incarnation = node.m_incarnation] {
          DrainAndExit(aNode, incarnation);
        });
      },
    },
    aAction);
}

/// Models the daemon's exit: no new connections, and the process ends when all requests have
/// completed.
void
World::DrainAndExit(size_t aNode, uint64_t aIncarnation)
{
  Node& node = m_nodes[aNode];
  if (!node.m_exiting) {
    for (const std::pair<const uint64_t, std::function<void(const CompleteRequest&)>>& idEntry :
         node.m_waiting) {
      const uint64_t id = idEntry.first;
      const Instant since = std::max(node.m_arrivedAt[id], node.m_pausedUntil);
      if (m_now - since > kArrivalGrace) {
        AddViolation(Promise::GracefulStop, "an instance began to exit with a request pending");
      }
    }
  }
  node.m_exiting = true;
  After(kExitPollInterval, [this, aNode, aIncarnation] {
    RunOnNode(aNode, aIncarnation, [this, aNode, aIncarnation] {
      if (!m_nodes[aNode].m_waiting.empty()) {
        DrainAndExit(aNode, aIncarnation);
        return;
      }
      Kill(aNode);
      m_nodes[aNode].m_exited = true;
      if (m_healed) {
        After(seconds(1), [this, aNode] { Start(aNode); }); // the platform restarts it
      }
    });
  });
}

void
World::ReadLogFor(size_t aNode, const ReadLog& aRead)
{
  const uint64_t incarnation = m_nodes[aNode].m_incarnation;
  const Duration requestDelay =
    m_faults.m_logSlow ? Duration(milliseconds(300 + m_random.Below(900))) : Delay();
  After(requestDelay, [this, aNode, incarnation, aRead] {
    if (!LogReachable(aNode)) {
      RunOnNode(aNode, incarnation, [this, aNode, aRead] {
        Step(aNode, LogReadFailed{ aRead.m_stream, aRead.m_requestedAt });
      });
      return;
    }
    const LogChunk chunk = m_log.Read(StreamName(aNode, aRead.m_stream), aRead.m_from, 64, m_now);
    for (const LogRecord& record : chunk.m_records) {
      m_nodes[aNode].m_logReadBytes += record.m_bytes.size();
    }
    After(Delay(), [this, aNode, incarnation, aRead, chunk] {
      RunOnNode(aNode, incarnation, [this, aNode, aRead, chunk] {
        Step(aNode, LogReadDone{ aRead.m_stream, aRead.m_requestedAt, chunk });
      });
    });
  });
}

void
World::AppendFor(size_t aNode, const AppendLog& aAppend)
{
  const uint64_t incarnation = m_nodes[aNode].m_incarnation;
  const AppendCall call = aAppend.m_call;
  const Duration requestDelay =
    m_faults.m_logSlow ? Duration(milliseconds(300 + m_random.Below(900))) : Delay();
  After(requestDelay, [this, aNode, incarnation, call] {
    const bool reachable = LogReachable(aNode);
    const bool accepted =
      reachable && m_log.Append(StreamName(aNode, call.m_stream), call.m_bytes, m_now).has_value();
    if (accepted && m_random.Unit() < m_faults.m_loseAppendResponse) {
      return; // the result is lost
    }
    After(Delay(), [this, aNode, incarnation, call, accepted] {
      RunOnNode(aNode, incarnation, [this, aNode, call, accepted] {
        Step(aNode, LogAppendEnded{ call.m_stream, call.m_sequence, accepted });
      });
    });
  });
}

void
World::SendPeerFor(size_t aNode, const SendPeer& aSend)
{
  const size_t peer = FindNode(aSend.m_peer);
  const InstanceId from{ m_nodes[aNode].m_settings.m_id, m_nodes[aNode].m_incarnation };
  if (const StateReply* reply = std::get_if<StateReply>(&aSend.m_body)) {
    m_peerBytes += reply->m_state.size();
  }
  const int copies = m_random.Unit() < m_faults.m_duplicate ? 2 : 1;
  for (int i = 0; i < copies; ++i) {
    if (m_random.Unit() < m_faults.m_drop) {
      continue;
    }
    After(Delay(), [this, aNode, peer, from, body = aSend.m_body] {
      if (Connected(aNode, peer)) {
        RunOnNode(peer, m_nodes[peer].m_incarnation, [this, peer, from, body] {
          Step(peer, PeerArrived{ PeerMessage{ from, body } });
        });
      }
    });
  }
}

void
World::CallWorkerFor(size_t aNode, const CallWorker& aCall)
{
  if (m_now >= aCall.m_notAfter) {
    ++m_expiredCalls;
    return;
  }
  const uint64_t incarnation = m_nodes[aNode].m_incarnation;
  const size_t target = WorkerAt(aCall.m_address);
  const int copies = m_random.Unit() < m_faults.m_duplicate ? 2 : 1;
  for (int i = 0; i < copies; ++i) {
    if (m_random.Unit() < m_faults.m_drop) {
      continue;
    }
    After(Delay(), [this, aNode, incarnation, target, aCall] {
      FakeWorker& worker = m_workers[target];
      if (worker.m_cut) {
        return;
      }
      const WorkerReply reply = worker.m_model.Handle(aCall.m_body, m_now);
      CheckWorker(target);
      if (m_random.Unit() < m_faults.m_drop) {
        return;
      }
      After(Delay(), [this, aNode, incarnation, aCall, reply] {
        RunOnNode(aNode, incarnation, [this, aNode, aCall, reply] {
          Step(aNode, WorkerReplied{ aCall.m_worker, aCall.m_call, true, reply });
        });
      });
    });
  }
}

void
World::DispatchFor(size_t aNode, const Dispatch& aDispatch)
{
  Node& node = m_nodes[aNode];
  const uint64_t incarnation = node.m_incarnation;
  const std::map<RequestId, size_t>::const_iterator it = node.m_callerOf.find(aDispatch.m_id);
  const size_t caller = it == node.m_callerOf.end() ? kNoCaller : it->second;
  const bool refused =
    m_random.Unit() < m_faults.m_refuseConnection || m_now >= aDispatch.m_notAfter;
  const size_t peer = aDispatch.m_peer.empty() ? SIZE_MAX : FindNode(aDispatch.m_peer);
  const bool cut = peer != SIZE_MAX ? !Connected(aNode, peer) || !m_nodes[peer].m_core
                                    : m_workers[WorkerAt(aDispatch.m_address)].m_cut;
  if (refused || cut || caller == kNoCaller) {
    After(Delay(), [this, aNode, incarnation, aDispatch] {
      RunOnNode(aNode, incarnation, [this, aNode, aDispatch] {
        Step(aNode,
             DispatchEnded{
               aDispatch.m_id, aDispatch.m_attempt, DispatchResult::NotSent, 0, std::nullopt, "" });
      });
    });
    return;
  }
  // The connection ends the attempt at its timeout, whether or not the target ran it.
  After(aDispatch.m_timeout, [this, aNode, incarnation, aDispatch] {
    RunOnNode(aNode, incarnation, [this, aNode, aDispatch] {
      Step(aNode,
           DispatchEnded{
             aDispatch.m_id, aDispatch.m_attempt, DispatchResult::TimedOut, 0, std::nullopt, "" });
    });
  });
  After(Delay(), [this, aNode, aDispatch, peer, caller] {
    if (peer != SIZE_MAX) {
      ForwardTo(aNode, aDispatch, peer, caller);
    } else {
      RunAtTarget(aNode, aDispatch, WorkerAt(aDispatch.m_address), caller);
    }
  });
}

void
World::RunAtTarget(size_t aNode, const Dispatch& aDispatch, size_t aWorker, size_t aCaller)
{
  FakeWorker& worker = m_workers[aWorker];
  const uint64_t incarnation = m_nodes[aNode].m_incarnation;
  if (m_now - kDrainGrace > worker.m_drainingSince) {
    AddViolation(Promise::Leaving, "a request reached " + worker.m_address + ", which is draining");
  }
  CallerRecord& record = m_callers[aCaller];
  ++record.m_runCount;
  if (record.m_responded && record.m_outcome == Outcome::NotRun) {
    AddViolation(Promise::NotRunIsTrue, "a request ran after it was reported as not run");
  }
  if (!record.m_key.empty() && ++m_runsByKey[record.m_key] > 1) {
    AddViolation(Promise::AtMostOnce, "key " + record.m_key + " ran twice");
  }
  const bool broken = m_random.Unit() < m_faults.m_breakResponse;
  After(Duration(milliseconds(2 + m_random.Below(30))) + Delay(),
        [this, aNode, incarnation, aDispatch, aCaller, broken] {
          RunOnNode(aNode, incarnation, [this, aNode, aDispatch, aCaller, broken] {
            if (!broken) {
              m_nodes[aNode].m_responses[{ aDispatch.m_id, aDispatch.m_attempt }] = aCaller + 1;
            }
            const DispatchResult result =
              broken ? DispatchResult::Broken : DispatchResult::Completed;
            Step(aNode,
                 DispatchEnded{ aDispatch.m_id,
                                aDispatch.m_attempt,
                                result,
                                broken ? 0U : 200U,
                                std::nullopt,
                                std::to_string(aCaller + 1) });
          });
        });
}

void
World::ForwardTo(size_t aNode, const Dispatch& aDispatch, size_t aPeer, size_t aCaller)
{
  const uint64_t incarnation = m_nodes[aNode].m_incarnation;
  const auto end = [this, aNode, incarnation, aDispatch](
                     DispatchResult aResult, std::optional<Outcome> aOutcome, size_t aResponseOf) {
    After(Delay(), [this, aNode, incarnation, aDispatch, aResult, aOutcome, aResponseOf] {
      RunOnNode(aNode, incarnation, [this, aNode, aDispatch, aResult, aOutcome, aResponseOf] {
        m_nodes[aNode].m_responses[{ aDispatch.m_id, aDispatch.m_attempt }] = aResponseOf;
        Step(aNode,
             DispatchEnded{ aDispatch.m_id,
                            aDispatch.m_attempt,
                            aResult,
                            aOutcome == Outcome::Done ? 200U : 503U,
                            aOutcome,
                            std::to_string(aResponseOf) });
      });
    });
  };
  if (!m_nodes[aPeer].m_core || m_nodes[aPeer].m_exiting ||
      !m_nodes[aNode].m_requests.contains(aDispatch.m_id)) {
    end(DispatchResult::Broken, std::nullopt, 0);
    return;
  }
  RequestArrived arrived = m_nodes[aNode].m_requests[aDispatch.m_id];
  RunOnNode(
    aPeer, m_nodes[aPeer].m_incarnation, [this, aPeer, arrived, aCaller, end, aDispatch]() mutable {
      Node& peer = m_nodes[aPeer];
      arrived.m_id = peer.m_nextRequest++;
      arrived.m_forwarded = true;
      arrived.m_deadline = aDispatch.m_timeout;
      peer.m_requests[arrived.m_id] = arrived;
      peer.m_callerOf[arrived.m_id] = aCaller;
      peer.m_arrivedAt[arrived.m_id] = m_now;
      const RequestId id = arrived.m_id;
      peer.m_waiting[id] = [this, aPeer, id, end](const CompleteRequest& aCompletion) {
        end(DispatchResult::Completed,
            aCompletion.m_outcome,
            m_nodes[aPeer].m_responses[{ id, aCompletion.m_attempt }]);
      };
      Step(aPeer, arrived);
    });
}

} // namespace egretturn::fuzz
