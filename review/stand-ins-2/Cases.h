// The cases of the review that are played by a script.
#pragma once

#include "Site.h"

namespace egretturn::review {

struct Case
{
  SiteSettings m_settings;
  std::function<void(Site&)> m_prepare; ///< Adds workers, publishes.
  std::function<Task<void>(Site&, bool aTrouble)> m_play;
};

const std::map<std::string, Case>& ListCases();

} // namespace egretturn::review
