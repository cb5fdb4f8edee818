// Crowds whose requests are complete and inside the limits of one request, but ask for much: what
// the process keeps and does for them must be bounded, too.
#pragma once

#include "Callers.h"

#include <string_view>
#include <vector>

namespace egretturn::hostile {

/// How many clients send how many requests.
struct JobCrowd
{
  std::string_view m_name;
  size_t m_clients;
  size_t m_requests;
  RequestMaker m_makeRequest;
};

/// Returns the crowds that call the port for callers.
std::vector<JobCrowd> MakeCallerCrowds();

/// Returns the crowds that call the port for other instances.
std::vector<JobCrowd> MakePeerCrowds();

} // namespace egretturn::hostile
