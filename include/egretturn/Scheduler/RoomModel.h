// Models the room of each service: what arrives, how much of the free processors can be used by
// it, and how much lies in pieces too small.
#pragma once

#include "egretturn/Scheduler/JobRegistry.h"
#include "egretturn/Scheduler/PieceTable.h"

#include <deque>
#include <map>
#include <string>

namespace egretturn {

/// The short reserved tasks of one route.
struct RouteShape
{
  Demand m_usual;         ///< Moving mean of the demands of its tasks.
  double m_load = 0;      ///< Thousandths of a core that it keeps busy, as of m_updatedAt.
  Instant m_updatedAt;    ///< When m_load last changed.
  Instant m_since;        ///< When its first job arrived.
  uint64_t m_fitting = 0; ///< How many more usual tasks fit, as last measured.
};

/// The free processors of a service, in thousandths of a core, as last measured. Counts the workers
/// that accept work.
struct Room
{
  int64_t m_free = 0;
  double m_usable = 0;     ///< The part of m_free that short reserved tasks can use.
  double m_splintered = 0; ///< The rest, in pieces too small for them.
  bool m_scarce = false;   ///< Less is usable than peaks of the short work that arrives need.
};

/// Learns which tasks arrive at each service and measures the room for them. Not thread-safe.
class RoomModel
{
public:
  /// Learns the demands of the short reserved tasks of a job. If \p aArrived, the job has just been
  /// submitted and counts towards the rate of its route; otherwise it was restored.
  void Learn(const JobTerms& aTerms, const Graph& aGraph, bool aArrived, Instant aNow);

  /// Measures the room of all services, if that is due.
  void Update(const Fleet& aFleet, Instant aNow);

  /// Returns the room of \p aService as last measured; all zero for an unknown one.
  Room RoomOf(const std::string& aService) const;

  /// Returns the sum over all services.
  Room TotalRoom() const;

  /// Returns how many more tasks of the usual size of \p aRoute fit, as last measured.
  uint64_t CountFitting(const std::string& aService, const std::string& aRoute) const;

  /// Returns the thousandths of a core that short reserved work keeps busy at the rate at which it
  /// has arrived until \p aNow.
  double LoadOf(const std::string& aService, Instant aNow) const;

  /// Logs the room of each service with short reserved work.
  void LogLines(Instant aNow) const;

private:
  struct ServiceShapes
  {
    std::map<std::string, RouteShape> m_routes; ///< With short reserved tasks.
    std::deque<TaskShape> m_short;              ///< Of the last short reserved steps.
    bool m_changed = false;                     ///< Since m_pieces was built.
    int64_t m_largestWorker = 0;
    PieceTable m_pieces;
    Room m_room;
  };

  void LearnShort(ServiceShapes& aShapes,
                  const std::string& aRoute,
                  const GraphStep& aStep,
                  bool aArrived,
                  Instant aNow);
  /// Updates the size of each service's largest worker, on which the size of its table depends.
  void FindLargestWorkers(const Fleet& aFleet);
  /// Clears the last measurement, and builds the table of pieces if the shapes have changed.
  static void StartMeasurement(ServiceShapes& aShapes);
  static void AddWorker(ServiceShapes& aShapes, const Worker& aWorker);

  std::map<std::string, ServiceShapes> m_services;
  Instant m_nextUpdateAt;
};

} // namespace egretturn
