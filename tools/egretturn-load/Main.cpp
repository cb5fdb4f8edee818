// Sends requests over a number of connections and prints their outcomes.
#include "egretturn/CommandLine/CommandLine.h"
#include "egretturn/Http/Http.h"
#include "egretturn/Support/Fields.h"
#include "egretturn/Support/Latency.h"

#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>
#include <iostream>

static constexpr const char* kUsage =
  R"(egretturn-load: sends requests and prints their outcomes

Usage:
  egretturn-load --target=ADDRESSES [options]
  egretturn-load (-h | --help)

Options:
  --target=ADDRESSES  Instances, separated by commas; connections are spread over them.
  --path=PATH         Path of the requests [default: /v1/services/retrofit-desk/quote].
  --connections=N     Number of connections, each with one request in flight [default: 1].
  --seconds=S         Duration of the load [default: 5].
  --body-bytes=N      Size of each request body [default: 200].
  --rate=N            Total requests per second; 0 for no limit [default: 0].
  --key=PREFIX        Send each request with a unique idempotency key that starts with PREFIX.
  -h --help           Show this help.
)";

namespace {

using namespace egretturn;
namespace http = boost::beast::http;

static constexpr Duration kTimeout = std::chrono::seconds(30);
static constexpr size_t kMaxResponseBytes = 16 * 1024 * 1024;

struct LoadOptions
{
  std::vector<std::string> m_targets;
  std::string m_path;
  size_t m_connections = 1;
  Duration m_duration{};
  std::string m_body;
  double m_rate = 0;
  std::string m_key;
};

Instant
Now()
{
  return std::chrono::time_point_cast<Duration>(std::chrono::steady_clock::now());
}

/// Sends requests over a fixed number of connections, at most one at a time on each, until its
/// duration has passed.
class LoadGenerator
{
public:
  LoadGenerator(boost::asio::io_context& aIo, LoadOptions aOptions)
    : m_io(aIo)
    , m_options(std::move(aOptions))
    , m_client(aIo, kMaxResponseBytes)
    , m_endAt(Now() + m_options.m_duration)
    , m_startedAt(Now())
  {
  }

  void Start()
  {
    for (size_t i = 0; i < m_options.m_connections; ++i) {
      SendNext(i);
    }
  }

  void Print() const
  {
    const double seconds = std::chrono::duration<double>(Now() - m_startedAt).count();
    const auto us = [this](double aQuantile) { return m_latency.Quantile(aQuantile).count(); };
    std::cout << Json{
      { "done", m_done },
      { "not_run", m_notRun },
      { "unknown", m_unknown },
      { "not_connected", m_notSent },
      { "cut_off", m_cutOff },
      { "errors", m_errors },
      { "per_second", static_cast<double>(m_done) / seconds },
      { "p50_us", us(0.5) },
      { "p90_us", us(0.9) },
      { "p99_us", us(0.99) },
      { "p999_us", us(0.999) }
    }.dump() << '\n';
  }

private:
  void SendNext(size_t aConnection)
  {
    if (Now() >= m_endAt) {
      return;
    }
    const std::string& target = m_options.m_targets[aConnection % m_options.m_targets.size()];
    HttpRequest request = MakeRequest(http::verb::post, m_options.m_path, m_options.m_body);
    if (!m_options.m_key.empty()) {
      request.set("Idempotency-Key", m_options.m_key + "-" + std::to_string(m_sent));
    }
    ++m_sent;
    const Instant sentAt = Now();
    m_client.Send(target,
                  std::move(request),
                  kTimeout,
                  [this, aConnection, sentAt](const ClientResponse& aResponse) {
                    CountOutcome(aResponse, Now() - sentAt);
                    ScheduleNext(aConnection, sentAt);
                  });
  }

  void ScheduleNext(size_t aConnection, Instant aSentAt)
  {
    if (m_options.m_rate <= 0) {
      boost::asio::post(m_io, [this, aConnection] { SendNext(aConnection); });
      return;
    }
    const double intervalUs = 1e6 * static_cast<double>(m_options.m_connections) / m_options.m_rate;
    const Instant next = aSentAt + Duration(static_cast<int64_t>(intervalUs));
    const std::shared_ptr<boost::asio::steady_timer> timer =
      std::make_shared<boost::asio::steady_timer>(m_io, next);
    timer->async_wait(
      [this, aConnection, timer](const boost::system::error_code&) { SendNext(aConnection); });
  }

  void CountOutcome(const ClientResponse& aResponse, Duration aLatency)
  {
    if (aResponse.m_result == ClientResult::NotSent) {
      ++m_notSent;
      return;
    }
    if (aResponse.m_result != ClientResult::Completed) {
      ++m_cutOff;
      return;
    }
    const boost::beast::string_view outcome = aResponse.m_response["Egretturn-Outcome"];
    if (outcome == "not-run") {
      ++m_notRun;
    } else if (outcome == "unknown") {
      ++m_unknown;
    } else if (aResponse.m_response.result() != http::status::ok) {
      ++m_errors;
    } else {
      ++m_done;
      m_latency.Record(aLatency);
    }
  }

  boost::asio::io_context& m_io;
  LoadOptions m_options;
  HttpClient m_client;
  Instant m_endAt;
  Instant m_startedAt;
  uint64_t m_sent = 0;
  uint64_t m_done = 0;
  uint64_t m_notRun = 0;
  uint64_t m_unknown = 0;
  uint64_t m_notSent = 0;
  uint64_t m_cutOff = 0;
  uint64_t m_errors = 0;
  LatencyHistogram m_latency;
};

/// Reads the options of the load. Errors: bad_input for an option that is not a number.
Expected<LoadOptions>
ReadOptions(const Arguments& aArguments)
{
  const Expected<double> connections = ParseNumberOption(aArguments, "--connections");
  const Expected<double> seconds = ParseNumberOption(aArguments, "--seconds");
  const Expected<double> bodyBytes = ParseNumberOption(aArguments, "--body-bytes");
  const Expected<double> rate = ParseNumberOption(aArguments, "--rate");
  for (const Expected<double>* number : { &connections, &seconds, &bodyBytes, &rate }) {
    if (!*number) {
      return tl::unexpected<Error>(number->error());
    }
  }
  LoadOptions options;
  std::istringstream targets(aArguments.at("--target").asString());
  for (std::string target; std::getline(targets, target, ',');) {
    options.m_targets.push_back(target);
  }
  options.m_path = aArguments.at("--path").asString();
  options.m_connections = static_cast<size_t>(*connections);
  options.m_duration = Duration(static_cast<int64_t>(*seconds * 1e6));
  options.m_body = std::string(static_cast<size_t>(*bodyBytes), 'x');
  options.m_rate = *rate;
  const docopt::value& key = aArguments.at("--key");
  options.m_key = key ? key.asString() : "";
  return options;
}

} // namespace

int
main(int aCount, char** aArguments)
{
  const tl::expected<Arguments, int> arguments = ParseCommandLine(kUsage, aCount, aArguments);
  if (!arguments) {
    return arguments.error();
  }
  Expected<LoadOptions> options = ReadOptions(*arguments);
  if (!options) {
    return ReportUsageError(options.error());
  }
  boost::asio::io_context io(1);
  LoadGenerator generator(io, std::move(*options));
  generator.Start();
  io.run();
  generator.Print();
  return 0;
}
