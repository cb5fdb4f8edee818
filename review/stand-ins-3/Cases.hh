// The cases that are played as scripts.
#pragma once

#include "World.hh"

namespace review {

/// Plays a case. Returns 0 if the rule held, 1 if it was broken, 2 if the case could not run.
int PlayCase(const std::string& aName, WorldSettings aSettings, bool aDisrupted);

} // namespace review
