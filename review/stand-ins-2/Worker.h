// A worker of the platform: runs tasks under leases and fences, as PROTOCOL.md describes it.
#pragma once

#include "Judge.h"
#include "Store.h"

#include <random>

namespace egretturn::review {

/// The members of gangs that are present, of all workers.
class Gangs
{
public:
  /// Returns when the gang of \p aRun became complete, if it has.
  std::optional<Clock::time_point> FormedAt(const std::string& aKey) const;
  void Join(const std::string& aKey, int aMembers);
  void Leave(const std::string& aKey);
  bool IsBroken(const std::string& aKey) const { return m_broken.contains(aKey); }
  /// A member has ended other than done.
  void Break(const std::string& aKey) { m_broken.insert(aKey); }

private:
  std::map<std::string, int> m_present;
  std::map<std::string, Clock::time_point> m_formedAt;
  std::set<std::string> m_broken;
};

/// What a worker of a stand-in does with a run, chosen when it starts.
struct Plan
{
  End m_end = End::Done;
  Millis m_work{ 500 };
};

struct WorkerSettings
{
  std::string m_id;
  std::string m_service = "desk";
  std::string m_zone;
  std::vector<std::string> m_labels; ///< Its kind and its rack.
  int m_cpu = 16000;
  int m_memoryMb = 64000;
  bool m_guards = false;
};

/// Not thread-safe.
class Worker
{
public:
  using Planner = std::function<Plan(const RunName&)>;

  Worker(asio::io_context& aIo,
         Store& aStore,
         Judge& aJudge,
         Gangs& aGangs,
         WorkerSettings aSettings,
         Planner aPlanner);

  /// Starts the process and registers it. \p aLabels are those of this life.
  void Boot(std::vector<std::string> aLabels);
  void Boot() { Boot(m_settings.m_labels); }
  /// Ends the process at once: connections are reset, and all that it ran is gone.
  void Crash();
  /// Loses power for good: calls get no response any more, and what it ran is gone.
  void Vanish();
  /// Reports draining; Leave() ends it later.
  void Drain();
  void Leave();
  /// Calls get no response and do nothing while \p aDark.
  void SetDark(bool aDark) { m_dark = aDark; }
  /// This share of the starts and stops gets no response and is carried out late.
  void SetLateShare(double aShare) { m_lateShare = aShare; }
  /// Writes the entry as the periodic report does.
  void Report();
  /// Lets runs end and leases expire.
  void Advance();

  size_t CountRuns() const { return m_runs.size(); }
  bool IsUp() const { return m_up; }
  bool IsDark() const { return m_dark; }
  const WorkerSettings& Settings() const { return m_settings; }

private:
  struct Run
  {
    RunName m_name;
    Plan m_plan;
    Clock::time_point m_startedAt;
    std::string m_gang;      ///< Key of its gang, if it is of one.
    Millis m_saved{ 0 };     ///< Work that it began with.
    Millis m_lastSaved{ 0 }; ///< Work at the last checkpoint.
    std::string m_checkpoint;
    std::optional<Clock::time_point> m_stoppingAt;
  };

  struct Ended
  {
    int64_t m_number;
    RunName m_name;
    End m_end;
    std::string m_checkpoint;
    bool m_lapsed = false; ///< The lease has lapsed since.
  };

  Task<std::optional<Response>> Handle(Request aRequest);
  Task<std::optional<Response>> Hold(std::string aBody);
  Response Start(const std::string& aBody, bool aLate);
  Response Stop(const std::string& aBody);
  Response Refuse(const char* aReason) const;
  Response Ok() const;
  bool TakeFence(int64_t aFence);
  void ExtendLease(int64_t aUntilMs);
  void EndRun(const std::string& aTask, End aEnd);
  Millis WorkedBy(const Run& aRun) const;
  int64_t ClockMs() const;
  std::string ListRuns() const;
  WorkerView View() const;

  asio::io_context& m_io;
  Store& m_store;
  Judge& m_judge;
  Gangs& m_gangs;
  WorkerSettings m_settings;
  Planner m_planner;
  uint16_t m_port = FreePort();
  std::shared_ptr<Server> m_server;
  std::vector<std::string> m_labels;
  bool m_up = false;
  bool m_dark = false;
  bool m_draining = false;
  double m_lateShare = 0;
  uint64_t m_life = 0;
  int64_t m_born = 0;
  int64_t m_seq = 0;
  Clock::time_point m_bornAt;
  int64_t m_fence = 0;
  int64_t m_leaseMs = 0;
  std::map<std::string, Run> m_runs;
  std::map<std::string, int64_t> m_barred; ///< Highest run that was stopped or ended, by task.
  std::vector<Ended> m_ended;
  int64_t m_lastEnd = 0;
  std::mt19937 m_random{ std::random_device{}() };
};

} // namespace egretturn::review
