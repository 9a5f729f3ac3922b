#include "root/telemetry/Log.h"

#include "root/telemetry/LineBudget.h"

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

/// Bytes of lines that wait while the reader of standard output is slow.
constexpr std::size_t MaxWaitingBytes = 64U << 10U;

/// Writes lines to standard output and never blocks: what does not fit is
/// dropped and counted.
class OutputAppender final : public log4cplus::Appender {
public:
  OutputAppender() = default;
  ~OutputAppender() override { this->destructorImpl(); }

  void close() override {}

  /// Returns how many lines were dropped since the last call.
  std::uint64_t takeDropped() { return std::exchange(this->Dropped, 0); }

protected:
  void append(const log4cplus::spi::InternalLoggingEvent &Event) override {
    std::string &Line = this->formatEvent(Event);
    if (this->Waiting.size() + Line.size() > MaxWaitingBytes)
      ++this->Dropped;
    else
      this->Waiting += Line;
    this->flush();
  }

private:
  void flush() {
    while (!this->Waiting.empty()) {
      // A pipe that is writable takes PIPE_BUF bytes without blocking.
      pollfd Output{STDOUT_FILENO, POLLOUT, 0};
      if (::poll(&Output, 1, 0) != 1 || (Output.revents & POLLOUT) == 0)
        return;
      const ssize_t Taken =
          ::write(STDOUT_FILENO, this->Waiting.data(),
                  std::min<std::size_t>(this->Waiting.size(), PIPE_BUF));
      if (Taken <= 0)
        return;
      this->Waiting.erase(0, static_cast<std::size_t>(Taken));
    }
  }

  std::string Waiting;
  std::uint64_t Dropped = 0;
};

std::optional<LogLevel> Written;
OutputAppender *Output = nullptr; ///< Owned by the root logger.
LineBudget Budget;

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
  Output = new OutputAppender;
  const log4cplus::SharedAppenderPtr Appender(Output);
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
  if (Written && Level <= *Written && Budget.admit(false, SteadyClock().now()))
    logger().log(libraryLevel(Level), Line);
}

void log(LogLevel Level, LogEvent Event,
         std::initializer_list<LogField> Fields) {
  if (!Written || Level > *Written)
    return;
  const bool Routine = Event == LogEvent::StatementAnswered;
  const bool Admitted = Budget.admit(Routine, SteadyClock().now());
  const std::uint64_t Dropped = Budget.takeDropped() + Output->takeDropped();
  if (Dropped > 0)
    logger().log(libraryLevel(LogLevel::Warning),
                 formatLogLine(LogEvent::LinesDropped, {{"lines", Dropped}}));
  if (!Admitted)
    return;
  logger().log(libraryLevel(Level), formatLogLine(Event, Fields));
}

} // namespace amaranthspur
