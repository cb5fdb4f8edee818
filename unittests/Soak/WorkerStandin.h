// A worker behind HTTP, as the platform's protocol describes it. What it runs is a FakeWorker; the
// oracle judges what that has run.
#pragma once

#include "FakeFleet.h"

#include "egretturn/Http/Http.h"

#include <boost/asio/steady_timer.hpp>
#include <set>

namespace egretturn::soak {

/// How a worker treats the calls of an instance.
enum class PathMode
{
  Open,
  Cut,         ///< Executes nothing and never responds.
  NoResponses, ///< Executes the calls and does not respond.
  Late,        ///< Executes each third call seconds later, and does not respond to it.
};

/// Not thread-safe: runs on the thread of the io_context.
class WorkerStandin
{
public:
  /// Returns how calls with this fence are treated. The fence tells which instance leads.
  using PathOf = std::function<PathMode(const WorkerName& aWorker, uint64_t aFence)>;

  /// Writes a line to the record of the run.
  using Recorder = std::function<void(const std::string& aLine)>;

  /// \p aBeforeStart lets the tasks on all workers end whose time has come, so that what the oracle
  /// sees does not depend on how late this process runs.
  WorkerStandin(boost::asio::io_context& aIo,
                WorkerReport aReport,
                schedtest::Oracle& aOracle,
                Random& aRandom,
                PathOf aPathOf,
                Recorder aRecorder,
                std::function<void()> aBeforeStart);

  /// Listens at the address of its report. \pre The address is free.
  void Listen();

  /// Lets tasks end and leases expire, and answers polls that wait for that.
  void Advance(Instant aNow);

  /// Lets the process end, and start again under its name. The new process executes the calls that
  /// arrive in between, as from the backlog of a socket that outlives it.
  void Restart(Instant aNow);

  /// Returns its entry of the directory.
  std::string Entry() const;

  schedtest::FakeWorker& Model() { return m_model; }
  const WorkerReport& Report() const { return m_model.Report(); }

  bool m_draining = false;

private:
  /// A poll that waits for an end.
  struct WaitingPoll
  {
    Instant m_until;
    std::shared_ptr<HttpReply> m_reply;
  };

  using Call = std::function<void(bool aLate, const std::shared_ptr<HttpReply>&)>;

  void Handle(const HttpRequest& aRequest, const std::shared_ptr<HttpReply>& aReply);
  /// Executes \p aCall as the path of its fence allows.
  void Execute(uint64_t aFence, const std::shared_ptr<HttpReply>& aReply, const Call& aCall);
  WorkerCallResult Start(const StartTask& aStart, uint64_t aFence, bool aLate);
  WorkerCallResult Stop(const StopTask& aStop, uint64_t aFence);
  void Poll(const PollWorker& aPoll,
            uint64_t aFence,
            Instant aUntil,
            const std::shared_ptr<HttpReply>& aReply);
  /// Responds once there is an end to list, or the time is over.
  void RespondToPoll(const WaitingPoll& aWaiting);
  void Respond(const std::shared_ptr<HttpReply>& aReply, WorkerCallResult aResult);

  boost::asio::io_context& m_io;
  Random& m_random;
  schedtest::FakeWorker m_model;
  PathOf m_pathOf;
  Recorder m_recorder;
  std::function<void()> m_beforeStart;
  std::unique_ptr<HttpServer> m_server;
  std::vector<WaitingPoll> m_waiting;
  std::vector<std::shared_ptr<HttpReply>> m_silenced; ///< Kept open without a response.
  uint64_t m_calls = 0;
  Instant m_backlogUntil; ///< Until then, calls wait for the process that is starting.
};

} // namespace egretturn::soak
