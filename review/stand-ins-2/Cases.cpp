// Plays one case: cases NAME PROGRAM FOLDER TEMPORARY.
// Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run.
#include "Cases.h"

#include <cstdlib>
#include <iostream>

int
main(int aCount, char** aArguments)
{
  using namespace egretturn::review;
  if (aCount != 5) {
    std::cerr << "usage: cases NAME PROGRAM FOLDER TEMPORARY\n";
    return 2;
  }
  const char* trouble = std::getenv("TROUBLE");
  const bool calm = trouble && std::string(trouble) == "0";
  const auto it = ListCases().find(aArguments[1]);
  if (it == ListCases().end()) {
    return 2;
  }
  SiteSettings settings = it->second.m_settings;
  settings.m_program = aArguments[2];
  settings.m_folder = aArguments[3];
  settings.m_temporary = aArguments[4];
  Site site(settings);
  it->second.m_prepare(site);
  return site.Run([&](Site& aSite) { return it->second.m_play(aSite, !calm); });
}
