// What a command gives back: an exit status, words, and the same as JSON.
#ifndef AMARANTHSPUR_CTL_REPORT_H
#define AMARANTHSPUR_CTL_REPORT_H

#include "core/Names.h"

#include <QJsonObject>

#include <array>
#include <string>

namespace amaranthspur::ctl {

/// Exit status of amaranthspurctl.
enum class ExitStatus {
  Ok = 0,
  Refused = 1,     ///< A conflict, or not all entry VMs have confirmed.
  Invalid = 2,     ///< Bad usage or mistakes in the answers.
  Unreachable = 3, ///< The platform gave no answer.
};

/// The result of one command.
struct Report {
  ExitStatus Status = ExitStatus::Ok;
  std::string Text; ///< Lines for people, each with its end.
  QJsonObject Json; ///< The same for programs.

  /// Appends \p Line to the text.
  void line(const std::string &Line) { this->Text += Line + "\n"; }
};

/// Returns a report of the failure \p Message.
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
