// The daemon: runs one entry instance.
#include "egretturn/CommandLine/CommandLine.h"
#include "egretturn/Config/Settings.h"
#include "egretturn/Daemon/Daemon.h"

#include <fstream>
#include <iostream>
#include <random>
#include <sstream>

static constexpr const char* kUsage = R"(egretturnd: one entry instance of the egretturn scheduler

Usage:
  egretturnd --settings=FILE [--check]
  egretturnd (-h | --help)
  egretturnd --version

Options:
  --settings=FILE  The settings in TOML; see docs/CONFIGURATION.md.
  --check          Check the settings and exit.
  -h --help        Show this help.
  --version        Show the version.

Exit codes:
  0  the instance shut down gracefully, or the settings are valid
  1  the instance could not run
  2  the settings or the arguments are invalid

Example:
  egretturnd --settings=/etc/egretturn/hobart-a-1.toml
)";

namespace {

constexpr int kExitFailed = 1;

/// Returns a random incarnation number that no earlier process of this instance has used. It has 53
/// bits, so that JSON represents it exactly.
uint64_t
GenerateIncarnation()
{
  std::random_device device;
  const uint64_t high = device();
  return ((high << 32 | device()) >> 11) | 1;
}

int
RunDaemon(const std::string& aFile, bool aCheckOnly)
{
  std::ifstream in(aFile);
  if (!in) {
    std::cerr << aFile << ": cannot be read; check the path and its permissions\n";
    return egretturn::kExitUsage;
  }
  std::ostringstream text;
  text << in.rdbuf();
  const tl::expected<egretturn::Settings, egretturn::Errors> settings =
    egretturn::ParseSettings(text.str(), aFile);
  if (!settings) {
    for (const egretturn::Error& error : settings.error()) {
      std::cerr << error.Text() << '\n';
    }
    return egretturn::kExitUsage;
  }
  if (aCheckOnly) {
    std::cout << aFile << ": ok\n";
    return 0;
  }
  egretturn::StartLogging(settings->m_logLevel, settings->m_id);
  tl::expected<void, egretturn::Error> run;
  {
    egretturn::Daemon daemon(*settings, GenerateIncarnation());
    run = daemon.Run();
  }
  egretturn::StopLogging();
  if (!run) {
    std::cerr << run.error().Text() << '\n';
    return kExitFailed;
  }
  return 0;
}

} // namespace

int
main(int aCount, char** aArguments)
{
  const tl::expected<egretturn::Arguments, int> arguments =
    egretturn::ParseCommandLine(kUsage, aCount, aArguments);
  if (!arguments) {
    return arguments.error();
  }
  return RunDaemon(arguments->at("--settings").asString(), arguments->at("--check").asBool());
}
