// The callers of a soak: they submit and cancel jobs, try again at other instances, and check what
// they are told.
#include "SoakJobs.h"
#include "SoakWorld.h"

#include <boost/json.hpp>

namespace egretturn::soak {

namespace http = boost::beast::http;

static constexpr Duration kCallTimeout = std::chrono::milliseconds(3000);
static constexpr Duration kRetryDelay = std::chrono::milliseconds(200);
static constexpr Duration kSettleTime = std::chrono::seconds(40);
static constexpr Duration kCheckInterval = std::chrono::seconds(2);
static constexpr int kTries = 6;                // of one request
static constexpr uint64_t kMaxPatienceMs = 900; // of a caller that cancels soon

GraphId
SoakWorld::AddRandomJob(Random& aRandom)
{
  Submission submission = MakeRandomJob(aRandom);
  const GraphId id = submission.m_id;
  m_jobs.push_back(id);
  m_oracle.m_jobs[id].m_submission = std::move(submission);
  return id;
}

void
SoakWorld::SubmitRandom()
{
  SendRequest({ AddRandomJob(m_random), false, kTries, false });
}

size_t
SoakWorld::ChooseDisturbedInstance()
{
  std::vector<size_t> disturbed;
  const Instant now = BootClockNow();
  for (size_t i = 0; i < m_instances.Count(); ++i) {
    if (m_suspendedUntil[i] > now || m_cutUntil[i] > now) {
      disturbed.push_back(i);
    }
  }
  return disturbed.empty() ? NextInstance() : disturbed[m_callerRandom.Below(disturbed.size())];
}

void
SoakWorld::SubmitAndCancel()
{
  const GraphId id = AddRandomJob(m_callerRandom);
  const size_t instance = ChooseDisturbedInstance();
  const bool leaves = m_callerRandom.Below(2) == 0;
  const std::shared_ptr<ClientCall> call = SendRequestTo(instance, { id, false, kTries, false });
  Record("to be cancelled soon " + FormatGraphId(id) + ", sent to " + std::to_string(instance));
  const Duration patience = std::chrono::milliseconds(m_callerRandom.Below(kMaxPatienceMs));
  After(patience, [this, id, instance, leaves, call] {
    if (leaves) {
      call->Cancel();
    }
    const size_t other = NextInstance();
    SendRequestTo(other == instance ? NextInstance() : other, { id, true, kTries, false });
  });
}

void
SoakWorld::CancelRandom()
{
  if (!m_jobs.empty()) {
    SendRequest({ m_jobs[m_random.Below(m_jobs.size())], true, kTries, false });
  }
}

std::shared_ptr<ClientCall>
SoakWorld::Call(size_t aInstance,
                http::verb aMethod,
                GraphId aId,
                std::string aBody,
                ClientCallback aDone)
{
  HttpRequest request =
    MakeRequest(aMethod, std::string(kPathPrefix) + FormatGraphId(aId), std::move(aBody));
  request.set(http::field::host, kHost);
  return m_client.Send("127.0.0.1:" + std::to_string(m_instances.Site(aInstance).m_ingressPort),
                       std::move(request),
                       kCallTimeout,
                       std::move(aDone));
}

void
SoakWorld::SendRequest(const Request& aRequest)
{
  SendRequestTo(NextInstance(), aRequest);
}

std::shared_ptr<ClientCall>
SoakWorld::SendRequestTo(size_t aInstance, const Request& aRequest)
{
  const std::string body =
    aRequest.m_cancel ? "" : EncodeJob(m_oracle.m_jobs.at(aRequest.m_id).m_submission.m_graph);
  return Call(
    aInstance,
    aRequest.m_cancel ? http::verb::delete_ : http::verb::post,
    aRequest.m_id,
    body,
    [this, aRequest](const ClientResponse& aResponse) { OnResponse(aRequest, aResponse); });
}

void
SoakWorld::OnResponse(Request aRequest, const ClientResponse& aResponse)
{
  const bool completed = aResponse.m_result == ClientResult::Completed;
  const unsigned status = completed ? aResponse.m_response.result_int() : 0;
  schedtest::JobHistory& job = m_oracle.m_jobs.at(aRequest.m_id);
  if (status == 200) {
    Record((aRequest.m_cancel ? "cancelled " : "accepted ") + FormatGraphId(aRequest.m_id));
    if (aRequest.m_cancel) {
      m_oracle.OnCancelAnswered(aRequest.m_id, true, BootClockNow());
    } else {
      m_oracle.OnAccepted(aRequest.m_id);
    }
    return;
  }
  if (status == 410 && aRequest.m_cancel && job.m_accepted) {
    m_oracle.ReportViolation("an accepted job is not known to a cancel: " +
                             FormatGraphId(aRequest.m_id));
    return;
  }
  if (status == 410 && aRequest.m_cancel) {
    Record("no such job " + FormatGraphId(aRequest.m_id));
    m_oracle.OnCancelAnswered(aRequest.m_id, false, BootClockNow());
    return;
  }
  const bool refused = status == 503 || aResponse.m_result == ClientResult::NotSent;
  aRequest.m_mayHaveReached = aRequest.m_mayHaveReached || !refused;
  if (--aRequest.m_triesLeft > 0) {
    After(kRetryDelay, [this, aRequest] { SendRequest(aRequest); });
  } else if (!aRequest.m_cancel && !aRequest.m_mayHaveReached) {
    job.m_refused = true;
  }
}

void
SoakWorld::CheckAllDone(GraphId aId)
{
  const Graph& graph = m_oracle.m_jobs.at(aId).m_submission.m_graph;
  for (size_t s = 0; s < graph.m_steps.size(); ++s) {
    for (uint32_t i = 0; i < graph.m_steps[s].m_count; ++i) {
      if (!m_oracle.IsDone({ aId, 0, static_cast<uint16_t>(s), static_cast<uint16_t>(i) })) {
        m_oracle.ReportViolation("shown as done too early: " + FormatGraphId(aId));
        return;
      }
    }
  }
}

/// Returns the state in the body of a response.
static std::optional<JobState>
ParseState(const std::string& aBody)
{
  boost::json::error_code error;
  const boost::json::value body = boost::json::parse(aBody, error);
  const boost::json::object* object = error ? nullptr : body.if_object();
  const boost::json::value* state = object ? object->if_contains("state") : nullptr;
  const std::string name = state && state->is_string() ? std::string(state->as_string()) : "";
  for (const JobState known : { JobState::Queued,
                                JobState::Running,
                                JobState::Done,
                                JobState::Failed,
                                JobState::Cancelled }) {
    if (name == NameOf(known)) {
      return known;
    }
  }
  return std::nullopt;
}

void
SoakWorld::CheckState(GraphId aId)
{
  Call(NextInstance(), http::verb::get, aId, "", [this, aId](const ClientResponse& aResponse) {
    if (aResponse.m_result != ClientResult::Completed) {
      return;
    }
    const unsigned status = aResponse.m_response.result_int();
    if (status == 410 && m_oracle.m_jobs.at(aId).m_accepted) {
      m_oracle.ReportViolation("an accepted job is not known: " + FormatGraphId(aId));
    }
    const std::optional<JobState> state = ParseState(aResponse.m_response.body());
    if (status != 200 || !state) {
      return;
    }
    m_shown[aId] = *state;
    if (*state == JobState::Done) {
      CheckAllDone(aId);
    }
  });
}

bool
SoakWorld::AllEnded()
{
  for (const GraphId id : m_jobs) {
    const bool ended = m_shown.count(id) > 0 && IsEnded(m_shown.at(id));
    if (m_oracle.m_jobs.at(id).m_accepted && !ended) {
      return false;
    }
  }
  return true;
}

void
SoakWorld::Settle()
{
  for (const GraphId id : m_jobs) {
    if (m_oracle.m_jobs.at(id).m_submission.m_graph.m_steps[0].m_longRunning) {
      SendRequest({ id, true, kTries, false });
    }
  }
  const Instant deadline = BootClockNow() + kSettleTime;
  while (BootClockNow() < deadline && !AllEnded()) {
    for (const GraphId id : m_jobs) {
      const bool ended = m_shown.count(id) > 0 && IsEnded(m_shown.at(id));
      if (m_oracle.m_jobs.at(id).m_accepted && !ended) {
        CheckState(id);
      }
    }
    Run(kCheckInterval);
  }
  for (const GraphId id : m_jobs) {
    const bool ended = m_shown.count(id) > 0 && IsEnded(m_shown.at(id));
    if (m_oracle.m_jobs.at(id).m_accepted && !ended) {
      m_oracle.ReportViolation("an accepted job has not ended: " + FormatGraphId(id));
    }
  }
  Tick();
}

} // namespace egretturn::soak
