// A process must outlive clients that keep to none of the limits, stay within its memory and its
// descriptors, and answer an ordinary caller while they are still there.
#include "Crowd.h"
#include "JobCrowds.h"
#include "World.h"

#include "egretturn/CommandLine/CommandLine.h"

#include <algorithm>
#include <csignal>
#include <filesystem>
#include <iostream>
#include <thread>

namespace egretturn::hostile {

// Crowds. Each sends twice the memory of the process or more, unless it is one of connections.
static constexpr size_t kFewClients = 8;
static constexpr size_t kFewClientsBytes = 16 * 1024 * 1024;
static constexpr size_t kManyClients = 150; // more than the process may have sockets
static constexpr size_t kBodyBytes = 1000 * 1000;
static constexpr size_t kHalfBodyBytes = 900 * 1000;
static constexpr size_t kConnections = 400;
static constexpr size_t kPipelinedBytes = 512 * 1024;

// How long a client of a crowd waits for a response. Others of the crowd wait meanwhile.
static constexpr Duration kCrowdTimeout = std::chrono::seconds(8);

/// What the clients of a crowd do, and how many they are.
struct Attack
{
  std::string_view m_name;
  size_t m_clients;
  Script m_script;
};

static std::vector<Attack>
MakeAttacks()
{
  const std::string chunked =
    "POST /jobs/1 HTTP/1.1\r\nHost: desk.example\r\nTransfer-Encoding: chunked\r\n\r\n";
  const std::string sized =
    "POST /jobs/1 HTTP/1.1\r\nHost: desk.example\r\nContent-Length: " + std::to_string(kBodyBytes) +
    "\r\n\r\n";
  const std::string header = "GET /jobs/ HTTP/1.1\r\nHost: desk.example\r\n";
  const std::string extension = "1;" + std::string(8000, 'x') + "\r\nx\r\n";
  return {
    { "trailers", kFewClients, { chunked + "0\r\n", "Name: text\r\n", kFewClientsBytes } },
    { "extension", kFewClients, { chunked + "1;", "x", kFewClientsBytes } },
    { "extensions", kFewClients, { chunked, extension, kFewClientsBytes } },
    { "tiny-chunks", kFewClients, { chunked, "1\r\nx\r\n", kFewClientsBytes } },
    { "header", kFewClients, { header, "Name: text\r\n", kFewClientsBytes } },
    { "half-bodies", kManyClients, { sized, "x", kHalfBodyBytes } },
    { "half-headers", kConnections, { header + "Name: ", "x", 8000 } },
    { "idle", kConnections, { "", "", 0 } },
    { "unread-answers", kManyClients, { "", header + "\r\n", kPipelinedBytes } },
  };
}

static constexpr const char* kUsage = R"(hostile-clients: one crowd of clients against one process

Usage:
  hostile-clients --program=FILE --folder=FOLDER --attack=NAME --port=PORT [--restart]
  hostile-clients --target=PORT --attack=NAME --hold=SECONDS
  hostile-clients (-h | --help)

Options:
  --program=FILE   The program of the instance.
  --folder=FOLDER  Receives its settings and its log.
  --attack=NAME    What the clients do.
  --port=PORT      Where: ingress, ready or peer.
  --restart        Judge the process that follows on the same store.
  --target=PORT    Only play the clients, against a port of this machine.
  --hold=SECONDS   How long they stay connected.
  -h --help        Show this text.

Exit codes:
  0  the process has kept its bounds
  1  it has not
  2  the test could not run
)";

static uint16_t
PortOf(const ProcessPorts& aPorts, const std::string& aName)
{
  return aName == "peer" ? aPorts.m_peer : aName == "ready" ? aPorts.m_ready : aPorts.m_ingress;
}

template<typename T>
static const T*
FindByName(const std::vector<T>& aAll, const std::string& aName)
{
  const auto it =
    std::find_if(aAll.begin(), aAll.end(), [&](const T& aOne) { return aOne.m_name == aName; });
  return it == aAll.end() ? nullptr : &*it;
}

/// Prints what is broken. Returns whether nothing is.
static bool
Report(const std::vector<std::string>& aBroken)
{
  for (const std::string& text : aBroken) {
    std::cout << "  " << text << '\n';
  }
  return aBroken.empty();
}

/// Plays clients that send what no server accepts, and stay connected.
static bool
PlayAttack(World& aWorld, uint16_t aPort, const Attack& aAttack)
{
  Crowd crowd(aPort, aAttack.m_clients);
  crowd.Send(aAttack.m_script);
  std::cout << aAttack.m_clients << " clients sent " << crowd.SentBytes() << " bytes\n";
  aWorld.Settle();
  return Report(aWorld.Check());
}

/// Plays clients that send complete requests. With \p aRestart, the bounds are those of the next
/// process on the same store.
static bool
PlayCrowd(World& aWorld, uint16_t aPort, const JobCrowd& aCrowd, bool aRestart)
{
  const CallerCounts counts =
    SendRequests(aPort, aCrowd.m_clients, aCrowd.m_requests, kCrowdTimeout, aCrowd.m_makeRequest);
  std::cout << "accepted " << counts.m_accepted << ", refused " << counts.m_refused << ", others "
            << counts.m_others << ", unanswered " << counts.m_unanswered << '\n';
  aWorld.Settle();
  if (aRestart) {
    aWorld.Restart();
    if (!aWorld.Start()) {
      std::cout << "  the next process does not accept a job\n";
    }
    aWorld.Settle();
  }
  std::vector<std::string> broken = aWorld.Check();
  if (counts.m_withoutRetryAfter > 0) {
    broken.emplace_back("a refusal does not say when to come back");
  }
  return Report(broken);
}

/// Plays clients against a process that another test has started and judges.
static int
PlayAlone(const Arguments& aArguments)
{
  const Expected<double> target = ParseNumberOption(aArguments, "--target");
  const Expected<double> hold = ParseNumberOption(aArguments, "--hold");
  const std::vector<Attack> attacks = MakeAttacks();
  const Attack* attack = FindByName(attacks, aArguments.at("--attack").asString());
  if (!target || !hold || !attack) {
    std::cout << "the port, the attack or the time is wrong\n";
    return kExitUsage;
  }
  Crowd crowd(static_cast<uint16_t>(*target), attack->m_clients);
  crowd.Send(attack->m_script);
  std::cout << attack->m_clients << " clients sent " << crowd.SentBytes() << " bytes" << std::endl;
  std::this_thread::sleep_for(std::chrono::duration<double>(*hold));
  return EXIT_SUCCESS;
}

static int
Play(const Arguments& aArguments)
{
  const std::string name = aArguments.at("--attack").asString();
  const std::string port = aArguments.at("--port").asString();
  const std::string folder = aArguments.at("--folder").asString();
  const std::vector<Attack> attacks = MakeAttacks();
  const std::vector<JobCrowd> crowds = port == "peer" ? MakePeerCrowds() : MakeCallerCrowds();
  const Attack* attack = FindByName(attacks, name);
  const JobCrowd* crowd = FindByName(crowds, name);
  if (!attack && !crowd) {
    std::cout << "there is no attack '" << name << "' on the port '" << port << "'\n";
    return kExitUsage;
  }
  std::filesystem::create_directories(folder);
  World world(aArguments.at("--program").asString(), folder);
  if (!world.Start()) {
    std::cout << "the process did not become ready\n";
    return kExitUsage;
  }
  const uint16_t number = PortOf(world.Ports(), port);
  const bool kept = attack ? PlayAttack(world, number, *attack)
                           : PlayCrowd(world, number, *crowd, aArguments.at("--restart").asBool());
  return kept ? EXIT_SUCCESS : EXIT_FAILURE;
}

} // namespace egretturn::hostile

int
main(int aCount, char** aArguments)
{
  using namespace egretturn;
  const tl::expected<Arguments, int> arguments =
    ParseCommandLine(hostile::kUsage, aCount, aArguments);
  if (!arguments) {
    return arguments.error();
  }
  std::signal(SIGPIPE, SIG_IGN);
  return arguments->at("--target") ? hostile::PlayAlone(*arguments) : hostile::Play(*arguments);
}
