// Stand-ins for the platform: the log service, the list of draining workers and the workers.
#include "Platform.h"
#include "Targets.h"
#include "egretturn/CommandLine/CommandLine.h"
#include "egretturn/Config/Document.h"

#include <boost/asio/signal_set.hpp>
#include <csignal>
#include <fstream>
#include <iostream>
#include <sstream>

static constexpr const char* kUsage =
  R"(egretturn-standin: stand-ins for the platform, for tests and demonstrations

Usage:
  egretturn-standin platform --listen=ADDRESS
  egretturn-standin workers --config=FILE [--service-us=US] [--task-ms=MS]
  egretturn-standin (-h | --help)

Options:
  --listen=ADDRESS  Address of the log service and the list of instances.
  --config=FILE     Configuration whose pools name the workers' addresses.
  --service-us=US   Median service time of a request in microseconds [default: 2000].
  --task-ms=MS      Run time of a task in milliseconds [default: 1500].
  -h --help         Show this help.
)";

namespace {

using namespace egretturn;

int
RunUntilSignal(boost::asio::io_context& aIo)
{
  boost::asio::signal_set signals(aIo, SIGTERM, SIGINT);
  signals.async_wait([&aIo](const boost::system::error_code&, int) { aIo.stop(); });
  aIo.run();
  return 0;
}

int
ReportError(const Error& aError)
{
  std::cerr << aError.Text() << '\n';
  return 1;
}

int
RunPlatform(const std::string& aAddress)
{
  boost::asio::io_context io(1);
  PlatformServer server(io);
  const Expected<void> listening = server.Listen(aAddress);
  return listening ? RunUntilSignal(io) : ReportError(listening.error());
}

int
RunWorkers(const std::string& aFile, const TargetOptions& aOptions)
{
  std::ifstream in(aFile);
  std::ostringstream text;
  text << in.rdbuf();
  const tl::expected<Document, Errors> document = ParseDocument(text.str(), aFile);
  if (!document) {
    return ReportError(document.error().front());
  }
  const tl::expected<Model, Errors> model = CheckDocument(*document);
  if (!model) {
    return ReportError(model.error().front());
  }
  uint32_t slots = 0;
  for (const std::pair<const std::string, Service>& serviceEntry : model->m_services) {
    const Service& service = serviceEntry.second;
    slots = std::max(slots, service.m_slots);
  }
  std::vector<std::string> kinds;
  for (const std::pair<const std::string, BatchKind>& nameEntry : model->m_kinds) {
    const std::string& name = nameEntry.first;
    kinds.push_back(name);
  }
  boost::asio::io_context io(1);
  std::vector<std::unique_ptr<TargetServer>> servers;
  for (const std::pair<const std::string, Pool>& poolEntry : model->m_pools) {
    const Pool& pool = poolEntry.second;
    for (const std::string& address : pool.m_workers) {
      servers.push_back(
        std::make_unique<TargetServer>(io, address, pool.m_size, slots, aOptions, kinds));
      const Expected<void> listening = servers.back()->Listen();
      if (!listening) {
        return ReportError(listening.error());
      }
    }
  }
  return RunUntilSignal(io);
}

} // namespace

int
main(int aCount, char** aArguments)
{
  const tl::expected<Arguments, int> arguments = ParseCommandLine(kUsage, aCount, aArguments);
  if (!arguments) {
    return arguments.error();
  }
  if (arguments->at("platform").asBool()) {
    return RunPlatform(arguments->at("--listen").asString());
  }
  const Expected<double> serviceUs = ParseNumberOption(*arguments, "--service-us");
  const Expected<double> taskMs = ParseNumberOption(*arguments, "--task-ms");
  if (!serviceUs || !taskMs) {
    return ReportUsageError(serviceUs ? taskMs.error() : serviceUs.error());
  }
  TargetOptions options;
  options.m_serviceUs = static_cast<int64_t>(*serviceUs);
  options.m_taskMs = static_cast<int64_t>(*taskMs);
  return RunWorkers(arguments->at("--config").asString(), options);
}
