#include "Worker.h"

#include <boost/json.hpp>

namespace egretturn::review {

namespace json = boost::json;

static constexpr int64_t kMaxHoldMs = 6000; // hold_max_ms
static constexpr Millis kStopTime{ 150 };   // of at most stop_ms, 400
static constexpr Millis kGangTime{ 3000 };  // gang_ms
static constexpr Millis kSaveTime{ 1000 };  // save_s
static constexpr Millis kRestoreTime{ 250 };
static constexpr Millis kLastingStartup{ 300 };
static constexpr int64_t kFirstClockMs = 400000;
static constexpr size_t kMaxEnds = 500;
static constexpr Millis kHoldCheckInterval{ 10 };
static constexpr Millis kEntryTime{ 4500 }; // three pings

std::optional<Clock::time_point>
Gangs::FormedAt(const std::string& aKey) const
{
  const auto it = m_formedAt.find(aKey);
  return it == m_formedAt.end() ? std::nullopt : std::optional(it->second);
}

void
Gangs::Join(const std::string& aKey, int aMembers)
{
  if (++m_present[aKey] == aMembers) {
    m_formedAt.emplace(aKey, Clock::now());
  }
}

void
Gangs::Leave(const std::string& aKey)
{
  --m_present[aKey];
}

Worker::Worker(asio::io_context& aIo,
               Store& aStore,
               Judge& aJudge,
               Gangs& aGangs,
               WorkerSettings aSettings,
               Planner aPlanner)
  : m_io(aIo)
  , m_store(aStore)
  , m_judge(aJudge)
  , m_gangs(aGangs)
  , m_settings(std::move(aSettings))
  , m_planner(std::move(aPlanner))
{
  m_server = std::make_shared<Server>(
    m_io, m_port, [this](Request aRequest) { return Handle(std::move(aRequest)); });
}

int64_t
Worker::ClockMs() const
{
  return kFirstClockMs + std::chrono::duration_cast<Millis>(Clock::now() - m_bornAt).count();
}

void
Worker::Boot(std::vector<std::string> aLabels)
{
  m_up = true;
  m_dark = false;
  m_draining = false;
  ++m_life;
  m_labels = std::move(aLabels);
  m_bornAt = Clock::now();
  m_born =
    std::chrono::duration_cast<Millis>(std::chrono::system_clock::now().time_since_epoch()).count();
  m_seq = 0;
  m_fence = 0;
  m_leaseMs = 0;
  m_barred.clear();
  m_ended.clear();
  m_lastEnd = 0;
  m_server->Open();
  m_judge.Note("worker " + m_settings.m_id + " boots as " + m_labels.front());
  Report();
}

void
Worker::Crash()
{
  if (!m_up) {
    return;
  }
  m_up = false;
  ++m_life;
  m_server->Close();
  for (std::pair<const std::string, Run>& entry : m_runs) {
    if (!entry.second.m_gang.empty()) {
      m_gangs.Break(entry.second.m_gang);
      m_gangs.Leave(entry.second.m_gang);
    }
  }
  m_runs.clear();
  m_judge.OnWorkerLost(m_settings.m_id);
  m_judge.Note("worker " + m_settings.m_id + " ends");
}

void
Worker::Vanish()
{
  m_dark = true;
  m_up = false;
  ++m_life;
  m_runs.clear();
  m_judge.OnWorkerLost(m_settings.m_id);
  m_judge.Note("worker " + m_settings.m_id + " vanishes");
  asio::co_spawn(
    m_io,
    [this]() -> Task<void> {
      co_await Sleep(kEntryTime);
      m_store.Put("keyed.servers", m_settings.m_id, "");
    },
    asio::detached);
}

void
Worker::Drain()
{
  m_draining = true;
  m_judge.Note("worker " + m_settings.m_id + " drains");
  Report();
}

void
Worker::Leave()
{
  Crash();
  m_store.Put("keyed.servers", m_settings.m_id, "");
}

void
Worker::Report()
{
  if (!m_up) {
    return;
  }
  json::object entry{ { "service", m_settings.m_service },
                      { "addr", "127.0.0.1:" + std::to_string(m_port) },
                      { "zone", m_settings.m_zone },
                      { "version", "v1" },
                      { "slots", 8 },
                      { "state", m_draining ? "draining" : "ready" },
                      { "cold_left_ms", 0 },
                      { "capacity",
                        { { "cpu", m_settings.m_cpu }, { "mem_mb", m_settings.m_memoryMb } } },
                      { "labels", json::value_from(m_labels) },
                      { "clock_ms", ClockMs() },
                      { "seq", ++m_seq },
                      { "born", m_born } };
  m_store.Put("keyed.servers", m_settings.m_id, json::serialize(entry));
}

WorkerView
Worker::View() const
{
  WorkerView view{ m_settings.m_id,  m_settings.m_service,  m_labels,
                   m_settings.m_cpu, m_settings.m_memoryMb, m_settings.m_guards };
  for (const std::pair<const std::string, Run>& entry : m_runs) {
    if (const Step* step = m_judge.FindStep(entry.first)) {
      view.m_freeCpu -= step->m_cpu;
      view.m_freeMemoryMb -= step->m_memoryMb;
    }
  }
  return view;
}

Response
Worker::Refuse(const char* aReason) const
{
  return MakeResponse(409,
                      json::serialize(json::object{
                        { "clock_ms", ClockMs() }, { "born", m_born }, { "reason", aReason } }));
}

Response
Worker::Ok() const
{
  return MakeResponse(
    200, json::serialize(json::object{ { "clock_ms", ClockMs() }, { "born", m_born } }));
}

bool
Worker::TakeFence(int64_t aFence)
{
  if (aFence < m_fence) {
    return false;
  }
  m_fence = aFence;
  return true;
}

void
Worker::ExtendLease(int64_t aUntilMs)
{
  m_leaseMs = std::max(m_leaseMs, std::min(aUntilMs, ClockMs() + kMaxHoldMs));
}

static int64_t
NumberIn(const json::object& aBody, const char* aName)
{
  const json::value* value = aBody.if_contains(aName);
  return value ? value->to_number<int64_t>() : 0;
}

static std::string
TextIn(const json::object& aBody, const char* aName)
{
  const json::value* value = aBody.if_contains(aName);
  return value ? std::string(value->as_string()) : std::string();
}

Task<std::optional<Response>>
Worker::Handle(Request aRequest)
{
  const uint64_t life = m_life;
  const std::string target(aRequest.target().data(), aRequest.target().size());
  if (m_dark) {
    co_return std::nullopt;
  }
  if (target == "/health") {
    co_return MakeResponse(200, "{}");
  }
  const std::string expected(aRequest["Expect-Instance"].data(),
                             aRequest["Expect-Instance"].size());
  if (!expected.empty() && expected != m_settings.m_id) {
    co_return MakeResponse(421, "{}");
  }
  if (target == "/-/hold") {
    co_return co_await Hold(aRequest.body());
  }
  const bool isStart = target == "/-/run-start";
  const bool isStop = target == "/-/run-stop";
  if (!isStart && !isStop) {
    co_return Ok(); // how fast a task is paced changes nothing here
  }
  const bool late = std::uniform_real_distribution<>()(m_random) < m_lateShare;
  if (late) {
    co_await Sleep(Millis(std::uniform_int_distribution<>(2000, 12000)(m_random)));
    if (life != m_life) {
      co_return std::nullopt;
    }
  }
  Response response = isStart ? Start(aRequest.body(), late) : Stop(aRequest.body());
  co_return late ? std::nullopt : std::optional(std::move(response));
}

Response
Worker::Start(const std::string& aBody, bool aLate)
{
  Advance();
  const json::object body = json::parse(aBody).as_object();
  RunName run{ TextIn(body, "task"), NumberIn(body, "run"), m_settings.m_id };
  const int64_t until = NumberIn(body, "until_ms");
  if (!TakeFence(NumberIn(body, "fence"))) {
    return Refuse("fence");
  }
  const auto present = m_runs.find(run.m_task);
  if (present != m_runs.end() && present->second.m_name.m_run == run.m_run) {
    ExtendLease(until);
    return Ok();
  }
  const auto barred = m_barred.find(run.m_task);
  if (present != m_runs.end() || (barred != m_barred.end() && run.m_run <= barred->second)) {
    ExtendLease(until);
    return Refuse("old");
  }
  if (until <= ClockMs()) {
    return Refuse("late");
  }
  const WorkerView view = View();
  const Step* step = m_judge.FindStep(run.m_task);
  if (m_settings.m_guards && step &&
      (step->m_cpu > view.m_freeCpu || step->m_memoryMb > view.m_freeMemoryMb)) {
    ExtendLease(until);
    return Refuse("room");
  }
  ExtendLease(until);
  const std::string checkpoint = TextIn(body, "checkpoint");
  m_judge.OnStart(run, TextIn(body, "spec"), checkpoint, view, aLate);
  Run started;
  started.m_name = run;
  started.m_plan = m_planner(run);
  started.m_startedAt = Clock::now();
  started.m_checkpoint = checkpoint;
  if (!checkpoint.empty()) {
    started.m_saved = Millis(std::stoll(checkpoint.substr(0, 8), nullptr, 16)) - kRestoreTime;
    started.m_lastSaved = started.m_saved;
  }
  if (step && step->m_gang) {
    started.m_gang = TaskName::Parse(run.m_task)->StepName() + "#" + std::to_string(run.m_run);
    m_gangs.Join(started.m_gang, step->m_count);
  }
  m_runs.emplace(run.m_task, std::move(started));
  return Ok();
}

Response
Worker::Stop(const std::string& aBody)
{
  Advance();
  const json::object body = json::parse(aBody).as_object();
  if (!TakeFence(NumberIn(body, "fence"))) {
    return Refuse("fence");
  }
  const std::string task = TextIn(body, "task");
  const int64_t number = NumberIn(body, "run");
  const auto run = m_runs.find(task);
  if (run != m_runs.end() && run->second.m_name.m_run == number) {
    if (!run->second.m_stoppingAt) {
      run->second.m_stoppingAt = Clock::now();
    }
    return Ok();
  }
  int64_t& barred = m_barred[task];
  barred = std::max(barred, number);
  return Ok();
}

Millis
Worker::WorkedBy(const Run& aRun) const
{
  Clock::time_point since = aRun.m_startedAt;
  if (!aRun.m_gang.empty()) {
    const std::optional<Clock::time_point> formedAt = m_gangs.FormedAt(aRun.m_gang);
    since = formedAt ? *formedAt : Clock::now();
  }
  return std::chrono::duration_cast<Millis>(Clock::now() - since) + aRun.m_saved;
}

void
Worker::EndRun(const std::string& aTask, End aEnd)
{
  const auto it = m_runs.find(aTask);
  Run& run = it->second;
  if (!run.m_gang.empty()) {
    m_gangs.Leave(run.m_gang);
    if (aEnd != End::Done) {
      m_gangs.Break(run.m_gang);
    }
  }
  int64_t& barred = m_barred[aTask];
  barred = std::max(barred, run.m_name.m_run);
  m_ended.push_back({ ++m_lastEnd, run.m_name, aEnd, run.m_checkpoint });
  m_judge.OnEnd(run.m_name, aEnd);
  m_runs.erase(it);
}

void
Worker::Advance()
{
  if (!m_up) {
    return;
  }
  const Clock::time_point now = Clock::now();
  const bool lapsed = ClockMs() >= m_leaseMs;
  if (lapsed) {
    for (Ended& ended : m_ended) {
      ended.m_lapsed = true;
    }
  }
  std::vector<std::pair<std::string, End>> ends;
  for (std::pair<const std::string, Run>& entry : m_runs) {
    Run& run = entry.second;
    const Step* step = m_judge.FindStep(entry.first);
    const Millis worked = WorkedBy(run);
    const bool formed = run.m_gang.empty() || m_gangs.FormedAt(run.m_gang).has_value();
    if (step && step->m_saves && formed && worked - run.m_lastSaved >= kSaveTime) {
      run.m_lastSaved = worked;
      char text[32];
      std::snprintf(text, sizeof(text), "%08llx", static_cast<unsigned long long>(worked.count()));
      run.m_checkpoint = text + entry.first.substr(0, 8);
      m_judge.OnSaved(run.m_name, run.m_checkpoint);
    }
    if (lapsed) {
      ends.emplace_back(entry.first, End::Lapsed);
    } else if (run.m_stoppingAt && now - *run.m_stoppingAt >= kStopTime) {
      ends.emplace_back(entry.first, End::Stopped);
    } else if (!formed && now - run.m_startedAt >= kGangTime) {
      ends.emplace_back(entry.first, End::Alone);
    } else if (formed && !run.m_gang.empty() && m_gangs.IsBroken(run.m_gang)) {
      ends.emplace_back(entry.first, End::Broken);
    } else if (formed && worked >= run.m_plan.m_work &&
               !(step && step->m_lasting && run.m_plan.m_end == End::Done)) {
      ends.emplace_back(entry.first, run.m_plan.m_end);
    }
  }
  for (const std::pair<std::string, End>& end : ends) {
    EndRun(end.first, end.second);
  }
}

std::string
Worker::ListRuns() const
{
  json::array running;
  for (const std::pair<const std::string, Run>& entry : m_runs) {
    const Run& run = entry.second;
    const Step* step = m_judge.FindStep(entry.first);
    const Millis worked = WorkedBy(run);
    const int64_t percent = step && step->m_lasting
                              ? (worked >= kLastingStartup ? 100 : 0)
                              : std::clamp<int64_t>(100 * worked / run.m_plan.m_work, 0, 99);
    running.push_back(json::array{
      entry.first, run.m_name.m_run, run.m_checkpoint, percent, step ? step->m_cpu : 0 });
  }
  json::array ended;
  for (const Ended& end : m_ended) {
    if (ended.size() < kMaxEnds) {
      ended.push_back(json::array{
        end.m_number, end.m_name.m_task, end.m_name.m_run, NameOf(end.m_end), end.m_checkpoint });
    }
  }
  return json::serialize(json::object{ { "clock_ms", ClockMs() },
                                       { "born", m_born },
                                       { "running", std::move(running) },
                                       { "ended", std::move(ended) } });
}

Task<std::optional<Response>>
Worker::Hold(std::string aBody)
{
  Advance();
  const uint64_t life = m_life;
  const json::object body = json::parse(aBody).as_object();
  if (!TakeFence(NumberIn(body, "fence"))) {
    co_return Refuse("fence");
  }
  const int64_t seen = NumberIn(body, "seen_upto");
  for (const Ended& ended : m_ended) {
    if (ended.m_number <= seen) {
      m_judge.OnNoted(ended.m_name, ended.m_end, ended.m_lapsed);
    }
  }
  std::erase_if(m_ended, [&](const Ended& aEnded) { return aEnded.m_number <= seen; });
  ExtendLease(NumberIn(body, "until_ms"));
  const Clock::time_point until = Clock::now() + Millis(NumberIn(body, "wait_ms"));
  while (m_ended.empty() && Clock::now() < until) {
    co_await Sleep(kHoldCheckInterval);
    if (life != m_life) {
      co_return std::nullopt;
    }
    Advance();
  }
  if (m_dark) {
    co_return std::nullopt;
  }
  co_return MakeResponse(200, ListRuns());
}

} // namespace egretturn::review
