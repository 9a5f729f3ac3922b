#include "root/telemetry/Log.h"

#include <log4cplus/consoleappender.h>
#include <log4cplus/initializer.h>
#include <log4cplus/layout.h>
#include <log4cplus/logger.h>
#include <log4cplus/loggingmacros.h>

#include <algorithm>
#include <cctype>
#include <memory>
#include <optional>

namespace amaranthspur {
namespace {

std::optional<LogLevel> Written;

log4cplus::LogLevel libraryLevel(LogLevel Level) {
  switch (Level) {
  case LogLevel::Error:
    return log4cplus::ERROR_LOG_LEVEL;
  case LogLevel::Warning:
    return log4cplus::WARN_LOG_LEVEL;
  case LogLevel::Info:
    return log4cplus::INFO_LOG_LEVEL;
  case LogLevel::Debug:
    break;
  }
  return log4cplus::DEBUG_LOG_LEVEL;
}

log4cplus::Logger &logger() {
  static log4cplus::Initializer Library;
  static log4cplus::Logger Root = log4cplus::Logger::getRoot();
  return Root;
}

bool isPlain(char C) {
  return std::isalnum(static_cast<unsigned char>(C)) != 0 ||
         std::string_view("._:/+-").find(C) != std::string_view::npos;
}

void appendEscaped(std::string &Out, char C) {
  constexpr std::string_view Digits = "0123456789abcdef";
  const auto Byte = static_cast<unsigned char>(C);
  if (C == '"' || C == '\\') {
    Out += '\\';
    Out += C;
  } else if (Byte < 0x20 || Byte == 0x7f) {
    Out += "\\x";
    Out += Digits[Byte >> 4U];
    Out += Digits[Byte & 0xfU];
  } else {
    Out += C;
  }
}

void appendValue(std::string &Out, std::string_view Value) {
  if (!Value.empty() && std::all_of(Value.begin(), Value.end(), isPlain)) {
    Out += Value;
    return;
  }
  Out += '"';
  for (const char C : Value)
    appendEscaped(Out, C);
  Out += '"';
}

} // namespace

std::string formatLogLine(LogEvent Event,
                          std::initializer_list<LogField> Fields) {
  std::string Line = "event=";
  Line += nameOf(Event);
  for (const LogField &Field : Fields) {
    Line += ' ';
    Line += Field.Key;
    Line += '=';
    appendValue(Line, Field.Value);
  }
  return Line;
}

void startLog(LogLevel Least, std::string_view Process) {
  log4cplus::Logger &Root = logger();
  Root.removeAllAppenders();
  // Standard output is kept for the line `ready`.
  const log4cplus::SharedAppenderPtr Appender(
      new log4cplus::ConsoleAppender(true, true));
  std::string Name;
  appendValue(Name, Process);
  // A percent sign starts a conversion in the layout's pattern.
  std::string Escaped;
  for (const char C : Name)
    Escaped += C == '%' ? std::string("%%") : std::string(1, C);
  Appender->setLayout(std::make_unique<log4cplus::PatternLayout>(
      "%D{%Y-%m-%dT%H:%M:%S.%q}Z level=%p process=" + Escaped + " %m%n"));
  Root.addAppender(Appender);
  Root.setLogLevel(libraryLevel(Least));
  Written = Least;
}

void logLine(LogLevel Level, const std::string &Line) {
  if (Written && Level <= *Written)
    logger().log(libraryLevel(Level), Line);
}

void log(LogLevel Level, LogEvent Event,
         std::initializer_list<LogField> Fields) {
  if (!Written || Level > *Written)
    return;
  logger().log(libraryLevel(Level), formatLogLine(Event, Fields));
}

} // namespace amaranthspur
