// The result of a command: an exit status, and the output as text and as JSON.
#ifndef AMARANTHSPUR_CTL_REPORT_H
#define AMARANTHSPUR_CTL_REPORT_H

#include "core/Names.h"

#include <QJsonObject>

#include <array>
#include <string>

namespace amaranthspur::ctl {

/// The exit status of amaranthspurctl.
enum class ExitStatus {
  Ok = 0,
  Refused = 1,     ///< A conflict, or some entry VMs have not confirmed.
  Invalid = 2,     ///< Invalid usage, or mistakes in the answers.
  Unreachable = 3, ///< The platform did not respond.
};

/// The result of one command.
struct Report {
  ExitStatus Status = ExitStatus::Ok;
  std::string Text; ///< Output for people; each line ends with a newline.
  QJsonObject Json; ///< The same output for programs.

  /// Appends \p Line to the text.
  void line(const std::string &Line) { this->Text += Line + "\n"; }
};

/// Returns a report of a failure with the error message \p Message.
inline Report failure(ExitStatus Status, const std::string &Message) {
  Report R;
  R.Status = Status;
  R.line(Message);
  R.Json["error"] = QString::fromStdString(Message);
  return R;
}

} // namespace amaranthspur::ctl

namespace amaranthspur {

template <> struct EnumNames<ctl::ExitStatus> {
  static constexpr auto Entries =
      std::to_array<std::pair<ctl::ExitStatus, std::string_view>>(
          {{ctl::ExitStatus::Ok, "ok"},
           {ctl::ExitStatus::Refused, "refused"},
           {ctl::ExitStatus::Invalid, "invalid"},
           {ctl::ExitStatus::Unreachable, "platform-unreachable"}});
};

} // namespace amaranthspur

#endif // AMARANTHSPUR_CTL_REPORT_H
