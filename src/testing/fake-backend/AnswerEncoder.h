// Builds the frames of an answer in one buffer.
#ifndef AMARANTHSPUR_TESTING_FAKE_BACKEND_ANSWERENCODER_H
#define AMARANTHSPUR_TESTING_FAKE_BACKEND_ANSWERENCODER_H

#include "testing/fake-backend/Database.h"
#include "wire/PgFrame.h"

namespace amaranthspur::fake {

/// Collects frames until the session writes them. DataRow is built in place,
/// because an answer can have many rows.
class AnswerEncoder final : public RowSink {
public:
  /// Whether columns() writes RowDescription: yes in the simple protocol, no
  /// in the extended one, where Describe asks for it.
  bool DescribeRows = true;

  void columns(const std::vector<std::string> &Names) override;
  void row(const std::vector<std::optional<std::string_view>> &Values) override;

  void add(std::string_view Frames) { this->Bytes += Frames; }
  void error(const SqlError &E, std::string_view Severity = "ERROR");
  /// Adds CommandComplete; \p Rows is left out for commands without a count.
  void complete(std::string_view Tag, std::optional<std::uint64_t> Rows);

  /// Drops the last CommandComplete, when the commit after it fails.
  void dropCompletion();

  const std::string &bytes() const { return this->Bytes; }

  /// Empties the buffer; gives back its memory after a large answer.
  void clear();

private:
  std::string Bytes;
  std::size_t LastCompletion = std::string::npos;
};

} // namespace amaranthspur::fake

#endif // AMARANTHSPUR_TESTING_FAKE_BACKEND_ANSWERENCODER_H
