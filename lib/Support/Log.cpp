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

static constexpr Duration kFlushInterval = std::chrono::milliseconds(20);

namespace {

/// The log thread and its queue. A process has at most one.
struct LogWriter
{
  BoundedQueue<LogLine> m_queue{ kLogQueueLines };
  std::string m_instance;
  std::thread m_thread;
};

} // namespace

// Constant-initialized, so that logging does not depend on the order of static initialization.
static std::atomic<LogWriter*> sWriter{ nullptr };
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

/// Appends \p aLine to \p aText, prefixed with the time, the level and \p aInstance.
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
WriteLines(LogWriter* aWriter)
{
  boost::log::sources::logger logger;
  while (sWriter.load() == aWriter || aWriter->m_queue.Size() > 0) {
    // Batches lines, so that a busy instance needs one write for many of them.
    std::string text;
    for (const LogLine& line : aWriter->m_queue.PopAll(Duration::zero())) {
      AppendLine(text, line, aWriter->m_instance);
    }
    if (!text.empty()) {
      BOOST_LOG(logger) << text;
    }
    std::this_thread::sleep_for(kFlushInterval);
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
  LogWriter* writer = new LogWriter;
  writer->m_instance = std::string(aInstance);
  sWriter = writer;
  writer->m_thread = std::thread(WriteLines, writer);
}

void
StopLogging()
{
  LogWriter* writer = sWriter.exchange(nullptr);
  if (!writer) {
    return;
  }
  writer->m_queue.Close();
  writer->m_thread.join();
  boost::log::core::get()->remove_all_sinks();
  // Another thread in Log() may still hold the pointer, so the writer is never deleted.
}

bool
LogEnabled(LogLevel aLevel)
{
  return sWriter.load(std::memory_order_relaxed) && static_cast<int>(aLevel) >= sLevel.load();
}

void
Log(LogLine aLine)
{
  LogWriter* writer = sWriter.load();
  if (!writer || !LogEnabled(aLine.Level())) {
    return;
  }
  if (!writer->m_queue.TryPush(std::move(aLine))) {
    ++sDropped;
  }
}

uint64_t
DroppedLogLines()
{
  return sDropped;
}

} // namespace egretturn
