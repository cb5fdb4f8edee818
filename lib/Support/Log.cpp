#include "egretturn/Support/Log.h"

#include "egretturn/Support/BoundedQueue.h"
#include "egretturn/Support/EnumTable.h"

#include <atomic>
#include <boost/log/core.hpp>
#include <boost/log/expressions.hpp>
#include <boost/log/sources/logger.hpp>
#include <boost/log/sources/record_ostream.hpp>
#include <boost/log/utility/setup/console.hpp>
#include <chrono>
#include <cstdio>
#include <iostream>
#include <memory>
#include <thread>

namespace egretturn {

static constexpr EnumTable<LogLevel, 4> kLevelNames{ {
  { LogLevel::Debug, "debug" },
  { LogLevel::Info, "info" },
  { LogLevel::Warning, "warning" },
  { LogLevel::Error, "error" },
} };

static constexpr size_t kLogQueueLines = 65536; // about one second of decisions at full load

static constexpr Duration kGather = std::chrono::milliseconds(20);

namespace {

/// The log thread with its ring; one for the process.
struct LogService
{
  BoundedRing<LogLine> m_ring{ kLogQueueLines };
  std::string m_instance;
  std::thread m_thread;
};

} // namespace

// Trivially constructed, so that there is no order of initialization to depend on.
static std::atomic<LogService*> sService{ nullptr };
static std::atomic<int> sLevel{ static_cast<int>(LogLevel::Info) };
static std::atomic<uint64_t> sDropped{ 0 };

std::string_view
NameOf(LogLevel aLevel)
{
  return NameIn(kLevelNames, aLevel);
}

Expected<LogLevel>
ParseLogLevel(std::string_view aName)
{
  if (std::optional<LogLevel> level = ValueIn(kLevelNames, aName)) {
    return *level;
  }
  return Fail(ErrorKind::BadInput,
              "unknown log level '" + std::string(aName) + "'",
              "use debug, info, warning or error");
}

static bool
NeedsQuotes(std::string_view aValue)
{
  return aValue.empty() || aValue.find_first_of(" \"=\n\r\t") != std::string_view::npos;
}

LogLine::LogLine(LogLevel aLevel, std::string_view aEvent)
  : m_level(aLevel)
{
  m_text.reserve(256);
  m_text.append("event=").append(aEvent);
}

LogLine&
LogLine::Add(std::string_view aKey, std::string_view aValue)
{
  m_text.append(1, ' ').append(aKey).append(1, '=');
  if (!NeedsQuotes(aValue)) {
    m_text.append(aValue);
    return *this;
  }
  m_text.append(1, '"');
  for (char c : aValue) {
    if (c == '"' || c == '\\') {
      m_text.append(1, '\\');
    }
    m_text.append(1, static_cast<unsigned char>(c) < ' ' ? ' ' : c);
  }
  m_text.append(1, '"');
  return *this;
}

LogLine&
LogLine::Add(std::string_view aKey, int64_t aValue)
{
  m_text.append(1, ' ').append(aKey).append(1, '=').append(std::to_string(aValue));
  return *this;
}

LogLine&
LogLine::Add(std::string_view aKey, uint64_t aValue)
{
  m_text.append(1, ' ').append(aKey).append(1, '=').append(std::to_string(aValue));
  return *this;
}

LogLine&
LogLine::Add(std::string_view aKey, double aValue)
{
  char digits[32];
  std::snprintf(digits, sizeof digits, "%.3f", aValue);
  m_text.append(1, ' ').append(aKey).append(1, '=').append(digits);
  return *this;
}

/// Appends \p aLine with its time, level and instance to \p aText.
static void
AppendLine(std::string& aText, const LogLine& aLine, const std::string& aInstance)
{
  const int64_t wallMs = std::chrono::duration_cast<std::chrono::milliseconds>(
                           std::chrono::system_clock::now().time_since_epoch())
                           .count();
  aText.append(aText.empty() ? "ts=" : "\nts=").append(std::to_string(wallMs));
  aText.append(" level=").append(NameOf(aLine.Level()));
  aText.append(" instance=").append(aInstance).append(1, ' ').append(aLine.Text());
}

static void
WriteLines(LogService* aService)
{
  boost::log::sources::logger logger;
  while (sService.load() == aService || aService->m_ring.Size() > 0) {
    // Lines are gathered, so that a busy instance pays one write for many of them.
    std::string text;
    for (const LogLine& line : aService->m_ring.PopAll(Duration::zero())) {
      AppendLine(text, line, aService->m_instance);
    }
    if (!text.empty()) {
      BOOST_LOG(logger) << text;
    }
    std::this_thread::sleep_for(kGather);
  }
}

void
StartLogging(LogLevel aLevel, std::string_view aInstance, LogStream aStream)
{
  boost::log::add_console_log(aStream == LogStream::StandardOutput ? std::cout : std::cerr,
                              boost::log::keywords::format = boost::log::expressions::stream
                                                             << boost::log::expressions::smessage,
                              boost::log::keywords::auto_flush = true);
  sLevel = static_cast<int>(aLevel);
  LogService* service = new LogService;
  service->m_instance = std::string(aInstance);
  sService = service;
  service->m_thread = std::thread(WriteLines, service);
}

void
StopLogging()
{
  LogService* service = sService.exchange(nullptr);
  if (!service) {
    return;
  }
  service->m_ring.Close();
  service->m_thread.join();
  boost::log::core::get()->remove_all_sinks();
  // A thread that still logs may hold the pointer; the service is left to the end of the process.
}

bool
LogEnabled(LogLevel aLevel)
{
  return sService.load(std::memory_order_relaxed) && static_cast<int>(aLevel) >= sLevel.load();
}

void
Log(LogLine aLine)
{
  LogService* service = sService.load();
  if (!service || !LogEnabled(aLine.Level())) {
    return;
  }
  if (!service->m_ring.TryPush(std::move(aLine))) {
    ++sDropped;
  }
}

uint64_t
DroppedLogLines()
{
  return sDropped;
}

} // namespace egretturn
