// A stand-in of one worker, run as a process of its own, as the users' protocol describes it.
#pragma once

#include "egretturn/Http/Http.h"

#include <cstdint>
#include <cstdio>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace review {

/// What a worker is started with.
struct WorkerSettings
{
  std::string m_id;
  uint16_t m_port = 0;
  std::string m_record; ///< File to which starts and ends are written.
  int64_t m_bornMs = 0;
  int64_t m_maxHoldMs = 6000;
};

/// Runs tasks for as long as their spec says ("ms=300"), under leases. Not thread-safe.
class Worker
{
public:
  Worker(boost::asio::io_context& aIo, WorkerSettings aSettings);

  /// Returns false if the port is not free.
  bool Listen();

private:
  struct Run
  {
    uint64_t m_run = 0;
    int64_t m_endsAtMs = 0; ///< On the worker's clock; 0 for a task that lasts.
    int64_t m_startedAtMs = 0;
  };

  struct End
  {
    uint64_t m_number = 0;
    std::string m_task;
    uint64_t m_run = 0;
    std::string m_how;
  };

  struct WaitingHold
  {
    int64_t m_untilMs = 0;
    std::shared_ptr<egretturn::HttpReply> m_reply;
  };

  int64_t ClockMs() const;
  void Tick();
  /// Leaves a start unanswered if a file in the folder of the record says so. Returns whether it
  /// did.
  bool LeaveUnanswered(const std::string& aBody);
  /// Carries out a start that was left unanswered, also by the process before, once it is due.
  void CarryOutLate();
  void Advance();
  void Finish(std::string aTask, const std::string& aHow);
  void Handle(const egretturn::HttpRequest& aRequest,
              const std::shared_ptr<egretturn::HttpReply>& aReply);
  void TakeLease(int64_t aUntilMs);
  std::string Start(const std::string& aTask,
                    uint64_t aRun,
                    const std::string& aSpec,
                    int64_t aUntil);
  void Stop(const std::string& aTask, uint64_t aRun);
  void RespondToHold(const WaitingHold& aHold);
  void Respond(const std::shared_ptr<egretturn::HttpReply>& aReply, const std::string& aReason);
  void Record(const std::string& aLine);

  boost::asio::io_context& m_io;
  boost::asio::steady_timer m_timer;
  WorkerSettings m_settings;
  std::unique_ptr<egretturn::HttpServer> m_server;
  std::FILE* m_record;
  int64_t m_startedAtMs;
  int64_t m_leaseUntilMs = 0;
  uint64_t m_fence = 0;
  uint64_t m_lastEnd = 0;
  std::map<std::string, Run> m_running;
  std::map<std::string, uint64_t> m_barred; ///< Highest run of each task that was stopped or ended.
  std::vector<End> m_ended;
  std::vector<WaitingHold> m_waiting;
  std::vector<std::shared_ptr<egretturn::HttpReply>> m_unanswered;
};

} // namespace review
