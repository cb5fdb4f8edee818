// The random sequences of jobs and faults that the random tests play, and their final checks.
#pragma once

#include "SchedulerWorld.h"

#include <functional>

namespace egretturn::schedtest {

/// Plays random jobs and faults in \p aWorld, lets everything heal and finish, and checks the
/// result. \p aExtraFault is called about once in 20 steps; \p aHeal before the end.
void PlayRandomSteps(SchedulerWorld& aWorld,
                     const std::function<void()>& aExtraFault = {},
                     const std::function<void()>& aHeal = {});

/// Plays random jobs and faults, among them workers that flap, and busy instances. In between the
/// faults are healed for a while, so that what runs in the calm is checked.
void PlayCalmSpells(SchedulerWorld& aWorld);

/// Asks the leader to cancel all long-running jobs.
void CancelLongRunningJobs(SchedulerWorld& aWorld);

/// Clears all faults, lets everything finish that can, and checks the result.
void SettleAndCheck(SchedulerWorld& aWorld);

/// Fails the test with each violation that the oracle of \p aWorld has recorded.
void CheckViolations(const SchedulerWorld& aWorld, uint64_t aSeed);

/// Returns the seeds to play: as many as \p aCount from \p aFirst on, or as EGRETTURN_FUZZ_SEED and
/// EGRETTURN_FUZZ_COUNT say. Starts the log if EGRETTURN_FUZZ_LOG is set.
std::vector<uint64_t> ListSeeds(uint64_t aCount, uint64_t aFirst = 1);

} // namespace egretturn::schedtest
