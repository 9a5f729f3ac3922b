// Captures the log lines of a test.
#ifndef AMARANTHSPUR_TESTING_CAPTUREDLOG_H
#define AMARANTHSPUR_TESTING_CAPTUREDLOG_H

#include "root/telemetry/Log.h"

#include <cstdio>
#include <string>
#include <string_view>
#include <vector>

#include <unistd.h>

namespace amaranthspur {

/// Redirects standard output to a file and the log to standard output, for the
/// lifetime of the object. Later only errors are logged. A test must check
/// nothing before the object is destroyed, since a failed check is printed on
/// standard output.
class CapturedLog {
public:
  CapturedLog() : File(std::tmpfile()), Output(::dup(STDOUT_FILENO)) {
    std::fflush(stdout);
    ::dup2(::fileno(this->File), STDOUT_FILENO);
    startLog(LogLevel::Info, "test");
  }
  CapturedLog(const CapturedLog &) = delete;
  CapturedLog &operator=(const CapturedLog &) = delete;
  ~CapturedLog() {
    startLog(LogLevel::Error, "test");
    ::dup2(this->Output, STDOUT_FILENO);
    ::close(this->Output);
    std::fclose(this->File);
  }

  /// Returns the lines of \p Event in their order, from `event=` on.
  std::vector<std::string> lines(LogEvent Event) const {
    const std::string Start = "event=" + std::string(nameOf(Event)) + " ";
    const std::string Text = this->text();
    std::vector<std::string> Found;
    for (std::size_t At = Text.find(Start); At != std::string::npos;
         At = Text.find(Start, At + 1))
      Found.push_back(Text.substr(At, Text.find('\n', At) - At));
    return Found;
  }

private:
  std::string text() const {
    std::string Text;
    char Buffer[4096];
    ssize_t Size = 0;
    while ((Size = ::pread(::fileno(this->File), Buffer, sizeof(Buffer),
                           static_cast<off_t>(Text.size()))) > 0)
      Text.append(Buffer, static_cast<std::size_t>(Size));
    return Text;
  }

  std::FILE *File;
  int Output; ///< The former standard output.
};

} // namespace amaranthspur

#endif // AMARANTHSPUR_TESTING_CAPTUREDLOG_H
