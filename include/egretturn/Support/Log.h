// Structured logging: one logfmt line for each event, written by a dedicated thread.
#pragma once

#include "egretturn/Support/Error.h"

#include <cstdint>
#include <string>
#include <string_view>

namespace egretturn {

enum class LogLevel
{
  Debug,
  Info,
  Warning,
  Error,
};

/// Returns the stable lower-case name of \p aLevel.
std::string_view NameOf(LogLevel aLevel);

/// Returns the level named \p aName, or bad_input.
Expected<LogLevel> ParseLogLevel(std::string_view aName);

/// A log line: an event name, then key=value pairs in the order of the Add() calls. A value type,
/// not thread-safe.
class LogLine
{
public:
  explicit LogLine(LogLevel aLevel, std::string_view aEvent);

  LogLine& Add(std::string_view aKey, std::string_view aValue);
  LogLine& Add(std::string_view aKey, const char* aValue)
  {
    return Add(aKey, std::string_view(aValue));
  }
  LogLine& Add(std::string_view aKey, int64_t aValue);
  LogLine& Add(std::string_view aKey, uint64_t aValue);
  LogLine& Add(std::string_view aKey, int aValue) { return Add(aKey, int64_t{ aValue }); }
  LogLine& Add(std::string_view aKey, uint32_t aValue) { return Add(aKey, uint64_t{ aValue }); }
  LogLine& Add(std::string_view aKey, double aValue);

  LogLevel Level() const { return m_level; }
  const std::string& Text() const { return m_text; }

private:
  LogLevel m_level;
  std::string m_text;
};

/// The standard stream that log lines are written to.
enum class LogStream
{
  StandardError,
  StandardOutput,
};

/// Starts the log thread, which writes to \p aStream. While kLogQueueLines lines are queued,
/// further lines are dropped and counted. \pre Has not been called before; Log() does nothing until
/// then.
void StartLogging(LogLevel aLevel,
                  std::string_view aInstance,
                  LogStream aStream = LogStream::StandardError);

/// Writes the queued lines and stops the log thread. Log() does nothing afterwards.
void StopLogging();

/// Queues \p aLine if its level is enabled. Thread-safe; never blocks.
void Log(LogLine aLine);

/// Returns whether a line of \p aLevel would be written. Thread-safe.
bool LogEnabled(LogLevel aLevel);

/// Returns the number of lines dropped because the queue was full. Thread-safe.
uint64_t DroppedLogLines();

} // namespace egretturn
