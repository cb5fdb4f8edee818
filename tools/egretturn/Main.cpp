// The command-line tool for operators and callers.
#include "Commands.h"

#include <iostream>

static constexpr const char* kUsage = R"(egretturn: command-line client of the egretturn scheduler

Usage:
  egretturn config check FILE
  egretturn config publish FILE [--instance=ADDRESS] [--author=NAME] [--base=VERSION] [--wait=SECONDS] [--json]
  egretturn config diff FILE [--instance=ADDRESS]
  egretturn config (show | history | status) [--instance=ADDRESS] [--wait=SECONDS] [--json]
  egretturn job submit --key=KEY --kind=KIND --team=TEAM [--tasks=N] [--after=IDS] [--urgent] [--restartable] [--instance=ADDRESS] [--json]
  egretturn job (status | cancel | explain) ID [--instance=ADDRESS] [--json]
  egretturn job list [--instance=ADDRESS] [--json]
  egretturn request SERVICE REQUEST [--key=KEY] [--body=TEXT] [--deadline-ms=MS] [--instance=ADDRESS]
  egretturn explain ID [--instance=ADDRESS] [--json]
  egretturn (workers | instances | status) [--instance=ADDRESS] [--json]
  egretturn version
  egretturn (-h | --help)

Options:
  --instance=ADDRESS  An instance of the system [default: 127.0.0.1:18100].
  --author=NAME       Author of the change, recorded in the history.
  --base=VERSION      Publish against this version instead of the one in force.
  --wait=SECONDS      How long to wait for all instances [default: 10].
  --key=KEY           Idempotency key: the same key never runs twice.
  --kind=KIND         Batch kind, as named in the configuration.
  --team=TEAM         Team whose quota the job uses.
  --tasks=N           Number of tasks [default: 1].
  --after=IDS         Jobs that must finish first, separated by commas.
  --urgent            Start the job before other work.
  --restartable       Allow the job to start while the log is unreachable.
  --body=TEXT         Body of the request.
  --deadline-ms=MS    Deadline of the request in milliseconds.
  --json              Print JSON for scripts.
  -h --help           Show this help.

Exit codes:
  0  success
  1  rejected: the input is invalid or the current state does not allow it
  2  the arguments are invalid
  3  an instance, the log or a target was unreachable, or the time limit expired

Examples:
  egretturn config publish examples/huon.toml --author=mia
  egretturn job submit --key=meter-7 --kind=meter-watch --team=monitoring --tasks=40
  egretturn request retrofit-desk claim --key=claim-81 --body='{"home":81}'
  egretturn explain 2048
)";

static egretturn::ExitCode
RunCommand(egretturn::Arguments& aArguments)
{
  const auto chosen = [&aArguments](const char* aName) { return aArguments[aName].asBool(); };
  const std::string instance = aArguments["--instance"].asString();
  if (chosen("version")) {
    std::cout << EGRETTURN_VERSION << '\n';
    return egretturn::ExitOk;
  }
  if (chosen("config")) {
    return egretturn::RunConfig(aArguments);
  }
  if (chosen("job") || chosen("explain")) {
    return egretturn::RunJob(aArguments);
  }
  if (chosen("request")) {
    return egretturn::RunRequest(aArguments);
  }
  if (chosen("workers")) {
    return egretturn::PrintResponse(aArguments,
                                    egretturn::GetFrom(instance, "/v1/workers"),
                                    "workers",
                                    { "worker",
                                      "rack",
                                      "epoch",
                                      "takes_work",
                                      "leaving",
                                      "tasks",
                                      "free_millicores",
                                      "free_memory_mb" });
  }
  if (chosen("instances")) {
    return egretturn::PrintResponse(
      aArguments,
      egretturn::GetFrom(instance, "/v1/instances"),
      "instances",
      { "id", "zone", "alive", "ready", "leaving", "config_version", "address" });
  }
  return egretturn::PrintResponse(aArguments, egretturn::GetFrom(instance, "/v1/status"), "", {});
}

int
main(int aCount, char** aArguments)
{
  tl::expected<egretturn::Arguments, int> arguments =
    egretturn::ParseCommandLine(kUsage, aCount, aArguments);
  return arguments ? RunCommand(*arguments) : arguments.error();
}
