#include "root/telemetry/Log.h"

#include "root/telemetry/LogRateLimiter.h"

#include <log4cplus/appender.h>
#include <log4cplus/initializer.h>
#include <log4cplus/layout.h>
#include <log4cplus/logger.h>
#include <log4cplus/loggingmacros.h>

#include <algorithm>
#include <cctype>
#include <climits>
#include <memory>
#include <optional>

#include <poll.h>
#include <unistd.h>

namespace amaranthspur {
namespace {

/// Maximum number of bytes that are buffered while the reader of standard
/// output is slow.
constexpr std::size_t MaxBufferedBytes = 64U << 10U;

/// Writes lines to standard output without ever blocking. Lines that do not fit
/// into the buffer are dropped and counted.
class StandardOutputAppender final : public log4cplus::Appender {
public:
  StandardOutputAppender() = default;
  ~StandardOutputAppender() override { this->destructorImpl(); }

  void close() override {}

  /// Returns the number of lines dropped since the last call.
  std::uint64_t takeDropped() { return std::exchange(this->Dropped, 0); }

protected:
  void append(const log4cplus::spi::InternalLoggingEvent &Event) override {
    std::string &Line = this->formatEvent(Event);
    if (this->Buffer.size() + Line.size() > MaxBufferedBytes)
      ++this->Dropped;
    else
      this->Buffer += Line;
    this->flush();
  }

private:
  void flush() {
    while (!this->Buffer.empty()) {
      // If a pipe is writable, a write of up to PIPE_BUF bytes does not block.
      pollfd PollEntry{STDOUT_FILENO, POLLOUT, 0};
      if (::poll(&PollEntry, 1, 0) != 1 || (PollEntry.revents & POLLOUT) == 0)
        return;
      const ssize_t Written =
          ::write(STDOUT_FILENO, this->Buffer.data(),
                  std::min<std::size_t>(this->Buffer.size(), PIPE_BUF));
      if (Written <= 0)
        return;
      this->Buffer.erase(0, static_cast<std::size_t>(Written));
    }
  }

  std::string Buffer;
  std::uint64_t Dropped = 0;
};

/// Most verbose level that is written; empty until startLog() is called.
std::optional<LogLevel> MaxWrittenLevel;
StandardOutputAppender *Output = nullptr; ///< Owned by log4cplus's root logger.
LogRateLimiter RateLimiter;

log4cplus::LogLevel log4cplusLevel(LogLevel Level) {
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

void startLog(LogLevel MaxLevel, std::string_view Process) {
  log4cplus::Logger &Root = logger();
  Root.removeAllAppenders();
  Output = new StandardOutputAppender;
  const log4cplus::SharedAppenderPtr Appender(Output);
  std::string Name;
  appendValue(Name, Process);
  // In the layout's pattern, a percent sign starts a conversion specifier.
  std::string Escaped;
  for (const char C : Name)
    Escaped += C == '%' ? std::string("%%") : std::string(1, C);
  Appender->setLayout(std::make_unique<log4cplus::PatternLayout>(
      "%D{%Y-%m-%dT%H:%M:%S.%q}Z level=%p process=" + Escaped + " %m%n"));
  Root.addAppender(Appender);
  Root.setLogLevel(log4cplusLevel(MaxLevel));
  MaxWrittenLevel = MaxLevel;
}

void logLine(LogLevel Level, const std::string &Line) {
  if (MaxWrittenLevel && Level <= *MaxWrittenLevel &&
      RateLimiter.admit(false, SteadyClock().now()))
    logger().log(log4cplusLevel(Level), Line);
}

void log(LogLevel Level, LogEvent Event,
         std::initializer_list<LogField> Fields) {
  if (!MaxWrittenLevel || Level > *MaxWrittenLevel)
    return;
  const bool StatementLine = Event == LogEvent::StatementAnswered;
  const bool Admitted = RateLimiter.admit(StatementLine, SteadyClock().now());
  const std::uint64_t Dropped =
      RateLimiter.takeDropped() + Output->takeDropped();
  if (Dropped > 0)
    logger().log(log4cplusLevel(LogLevel::Warning),
                 formatLogLine(LogEvent::LinesDropped, {{"lines", Dropped}}));
  if (!Admitted)
    return;
  logger().log(log4cplusLevel(Level), formatLogLine(Event, Fields));
}

} // namespace amaranthspur
