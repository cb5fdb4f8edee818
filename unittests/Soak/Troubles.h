// The troubles that a soak draws, and their names on the command line.
#pragma once

#include "SoakWorld.h"

#include "egretturn/Support/Error.h"

namespace egretturn::soak {

enum class TroubleKind : uint8_t
{
  Store,     ///< The store refuses, ignores or loses calls of some instances, or of all.
  Paths,     ///< Calls of some leaders to some workers are lost, or late.
  Worker,    ///< A worker does not respond, loses its entry, or restarts.
  Suspend,   ///< Instances stand still.
  Starve,    ///< Instances run for a tenth of the time.
  Kill,      ///< Instances are killed and start again.
  Terminate, ///< An instance is asked to end, and starts again.
  Reload,    ///< Instances are told that their settings have changed.
  CutOff,    ///< Instances are cut off from the others, but not from the store and the workers.
  CutZone,   ///< A zone is cut off from the others and the store; often that of the leader.
  RestartWorkers, ///< Workers restart under their ids, and are cut off soon after.
  Evacuate,       ///< The operator requests the evacuation of a zone, and takes it back.
};

/// Parses names that are separated by commas; "all" stands for all. Errors: bad_input.
Expected<std::vector<TroubleKind>> ParseTroubles(const std::string& aNames);

/// Causes one trouble of a random kind of \p aKinds, with random length and place.
void CauseTrouble(SoakWorld& aWorld, const std::vector<TroubleKind>& aKinds);

} // namespace egretturn::soak
