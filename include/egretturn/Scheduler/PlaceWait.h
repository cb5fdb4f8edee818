// Decides whether a task waits for a place near its data or its group, where it runs faster.
#pragma once

#include "egretturn/Scheduler/Packing.h"

#include <optional>

namespace egretturn {

/// What a task gains by a near place, and what it has waited for one.
struct PlaceWait
{
  double m_farFactor = 1;              ///< How many times as long it takes elsewhere.
  Duration m_duration{};               ///< How long it takes near its data and group.
  Duration m_waited{};                 ///< Since its start was first put off.
  std::optional<Duration> m_nextPlace; ///< Until a near place is expected; nothing if none is.
};

/// Returns whether the task is expected to be done earlier if it waits on. Thread-safe.
bool DoesWaitPay(const PlaceWait& aWait);

/// Returns the rack that the tasks of \p aRequest prefer, or an empty string if they prefer none.
/// Thread-safe.
const std::string& PreferredRack(const PlacementRequest& aRequest);

/// Returns whether \p aRequest has a preferred rack, and \p aWorker is on another one. Thread-safe.
bool IsFar(const Worker& aWorker, const PlacementRequest& aRequest);

/// The expected times until workers near the data or the group have room for more tasks of a
/// request. Not thread-safe.
class NearPlaces
{
public:
  /// \p aTaken of the places are expected to go to other tasks. \pre \p aWorkers accept new work,
  /// and no task of \p aRequest fits on a near one of them now.
  NearPlaces(const std::vector<Worker*>& aWorkers,
             const PlacementRequest& aRequest,
             size_t aTaken,
             Instant aNow);

  /// Returns the time until the next place, or nothing if none is expected.
  std::optional<Duration> Next() const;

  /// Gives the next place to a task. \pre There is one.
  void Take() { ++m_taken; }

private:
  void AddPlacesOf(const Worker& aWorker, const PlacementRequest& aRequest, Instant aNow);

  std::vector<Duration> m_places; ///< The soonest first.
  size_t m_taken = 0;
};

} // namespace egretturn
