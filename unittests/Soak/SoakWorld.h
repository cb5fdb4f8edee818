// Instances as real processes between stand-ins of the store, the workers and the callers, with the
// means to disturb them. An oracle judges what the workers have run and the callers were told.
#pragma once

#include "Instances.h"
#include "PortBlock.h"
#include "Relay.h"
#include "StoreStandin.h"
#include "WorkerStandin.h"

#include <fstream>

namespace egretturn::soak {

struct SoakSettings
{
  std::string m_program; ///< The instance's program.
  std::string m_folder;  ///< For settings, logs and the record of the run.
  uint64_t m_seed = 1;
  size_t m_instances = 6;
  size_t m_workers = 24;
  double m_processorShare = 0.1; ///< A small one makes the leader use link shards.
};

/// Not thread-safe.
class SoakWorld
{
public:
  static constexpr size_t kZones = 3; ///< Instances and workers lie in them by turns.

  explicit SoakWorld(const SoakSettings& aSettings);

  /// Starts all instances and waits until they are ready. Returns false if they do not become so.
  bool Start();

  /// Lets time pass.
  void Run(Duration aTime);

  /// Submits a random job; tries at other instances follow until it is accepted or refused.
  void SubmitRandom();

  /// Submits a random job at an instance that stands still or is cut off, if there is one, and
  /// cancels it soon at another one. The caller may have left before without a response.
  void SubmitAndCancel();

  /// Cancels a job that was submitted, if any.
  void CancelRandom();

  /// Ends all troubles, lets all jobs finish and checks their states.
  void Settle();

  /// Runs \p aCallback after \p aDelay.
  void After(Duration aDelay, const std::function<void()>& aCallback);

  // Troubles. Each ends by itself.

  /// Stops the processes and lets them go on after \p aTime.
  void Suspend(const std::vector<size_t>& aInstances, Duration aTime);

  /// Lets the processes run for a tenth of the time only.
  void Starve(const std::vector<size_t>& aInstances, Duration aTime);

  /// Ends the processes by \p aSignal, and starts each again soon after its end.
  void Restart(const std::vector<size_t>& aInstances, int aSignal);

  void Signal(const std::vector<size_t>& aInstances, int aSignal);
  void SetStoreMode(const std::vector<size_t>& aInstances, StoreMode aMode, Duration aTime);

  /// Changes the path from an instance that leads to some workers.
  void SetPaths(const std::vector<size_t>& aInstances,
                const std::vector<size_t>& aWorkers,
                PathMode aMode,
                Duration aTime);

  /// Cuts a zone off from the others: its instances and workers reach each other, and only they.
  /// The store is in another zone.
  void CutZone(size_t aZone, Duration aTime);

  /// Cuts the instances off from all others.
  void CutOff(const std::vector<size_t>& aInstances, Duration aTime);

  void MakeUnreachable(size_t aWorker, Duration aTime);
  void RestartWorker(size_t aWorker);

  /// Requests the evacuation of a zone, and takes it back after \p aTime. A request again takes
  /// the place of the one in force.
  void EvacuateZone(size_t aZone, Duration aTime);

  /// Says that requests and starts may be delayed for \p aTime.
  void ExpectDelays(Duration aTime);

  /// Lets the worker's entry disappear for \p aTime.
  void Unlist(size_t aWorker, Duration aTime);

  /// Returns the instance that made the last claim.
  size_t Leader() const { return m_leader; }
  size_t ZoneOf(size_t aInstance) const { return aInstance % kZones; }
  size_t CountInstances() const { return m_instances.Count(); }
  size_t CountWorkers() const { return m_workers.size(); }

  void Record(const std::string& aLine);

  /// Returns a line for each broken promise.
  const std::vector<std::string>& Violations() const { return m_oracle.m_violations; }

  /// Returns a line with what was played.
  std::string Summary() const;

  Random m_random;

private:
  /// A submission or cancellation that is tried at one instance after the other.
  struct Request
  {
    GraphId m_id;
    bool m_cancel;
    int m_triesLeft;
    bool m_mayHaveReached; ///< A try got no definite response.
  };

  InstanceSite MakeSite(size_t aIndex);
  void OpenRelays();
  void AddWorkers();
  std::string Translate(size_t aInstance, const KeyedRecord& aRecord);
  void OnAppended(const std::string& aTopic, const KeyedRecord& aRecord);
  PathMode FindPath(const WorkerName& aWorker, uint64_t aFence);
  bool AllReady();
  void Every(Duration aInterval, const std::function<void()>& aCallback);
  void Tick();
  void WriteEntries();
  void Throttle(size_t aInstance, Instant aUntil);
  /// Reports a start in a zone whose evacuation has been in force for long without delays.
  void CheckEvacuated(const WorkerName& aWorker, size_t aZone);
  /// Makes a job, which is not submitted yet, and tells the oracle of it.
  GraphId AddRandomJob(Random& aRandom);
  /// Returns the instance for the next request.
  size_t NextInstance() { return m_nextInstance++ % m_instances.Count(); }
  /// Returns an instance that stands still or is cut off, or the next one if there is none.
  size_t ChooseDisturbedInstance();
  void SendRequest(const Request& aRequest);
  /// Sends it to \p aInstance. The tries that follow go to others.
  std::shared_ptr<ClientCall> SendRequestTo(size_t aInstance, const Request& aRequest);
  void OnResponse(Request aRequest, const ClientResponse& aResponse);
  void CheckState(GraphId aId);
  void CheckAllDone(GraphId aId);
  bool AllEnded();
  std::shared_ptr<ClientCall> Call(size_t aInstance,
                                   boost::beast::http::verb aMethod,
                                   GraphId aId,
                                   std::string aBody,
                                   ClientCallback aDone);

  SoakSettings m_settings;
  PortBlock m_ports;
  boost::asio::io_context m_io;
  std::ofstream m_record;
  Instant m_startedAt;
  schedtest::Oracle m_oracle;
  StoreStandin m_store;
  Instances m_instances;
  HttpClient m_client;
  std::vector<std::unique_ptr<WorkerStandin>> m_workers;
  std::map<size_t, Instant> m_evacuatedSince; ///< By zone.
  Instant m_delaysEnd;
  std::vector<Instant> m_unlistedUntil;                      ///< By worker.
  std::vector<std::vector<std::unique_ptr<Relay>>> m_relays; ///< From an instance to another one.
  std::vector<std::vector<uint16_t>> m_relayPorts;
  std::vector<Instant> m_cutUntil;            ///< By instance.
  std::vector<Instant> m_suspendedUntil;      ///< By instance.
  Random m_callerRandom;                      ///< Apart from m_random, so that troubles stay.
  std::vector<std::vector<PathMode>> m_paths; ///< By instance and worker.
  std::map<uint64_t, size_t> m_leaderOf;      ///< Instance by epoch.
  std::map<GraphId, JobState> m_shown;        ///< The last state that a caller was shown.
  std::vector<GraphId> m_jobs;
  size_t m_leader = 0;
  size_t m_nextInstance = 0;
  size_t m_violationsRecorded = 0;
};

} // namespace egretturn::soak
