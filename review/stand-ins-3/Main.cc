#include "Cases.hh"
#include "Worker.hh"

#include <cstdlib>
#include <cstring>
#include <iostream>

/// world worker ID PORT RECORD BORN: runs one worker.
/// world CASE PROGRAM FOLDER RECORD: plays a case; the exit code is that of a script.
int
main(int aCount, char** aArguments)
{
  if (aCount == 6 && std::strcmp(aArguments[1], "worker") == 0) {
    boost::asio::io_context io;
    review::WorkerSettings settings;
    settings.m_id = aArguments[2];
    settings.m_port = static_cast<uint16_t>(std::atoi(aArguments[3]));
    settings.m_record = aArguments[4];
    settings.m_bornMs = std::atoll(aArguments[5]);
    review::Worker worker(io, settings);
    if (!worker.Listen()) {
      return 2;
    }
    io.run();
    return 0;
  }
  if (aCount != 5) {
    std::cerr << "usage: world CASE PROGRAM FOLDER RECORD\n";
    return 2;
  }
  review::WorldSettings settings;
  settings.m_self = aArguments[0];
  settings.m_program = aArguments[2];
  settings.m_folder = aArguments[3];
  settings.m_record = aArguments[4];
  const char* trouble = std::getenv("TROUBLE");
  const bool disrupted = !trouble || std::strcmp(trouble, "0") != 0;
  return review::PlayCase(aArguments[1], settings, disrupted);
}
