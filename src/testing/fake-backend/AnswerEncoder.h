// Encodes the answer to a client as PostgreSQL protocol messages.
#ifndef AMARANTHSPUR_TESTING_FAKE_BACKEND_ANSWERENCODER_H
#define AMARANTHSPUR_TESTING_FAKE_BACKEND_ANSWERENCODER_H

#include "testing/fake-backend/Database.h"
#include "wire/PgFrame.h"

namespace amaranthspur::fake {

/// Buffers messages until the session writes them. DataRow messages are encoded
/// in place to avoid an allocation per row.
class AnswerEncoder final : public RowSink {
public:
  /// Whether columns() adds a RowDescription message. The simple protocol needs
  /// one; in the extended protocol the client requests it with Describe.
  bool DescribeRows = true;

  void columns(const std::vector<std::string> &Names) override;
  void row(const std::vector<std::optional<std::string_view>> &Values) override;

  void add(std::string_view Frames) { this->Bytes += Frames; }
  void error(const SqlError &E, std::string_view Severity = "ERROR");
  /// Adds CommandComplete. \p Rows is empty for commands whose tag has no row
  /// count.
  void complete(std::string_view Tag, std::optional<std::uint64_t> Rows);

  /// Removes the last CommandComplete message and everything after it. Used
  /// when the commit of an implicit transaction fails.
  void dropCompletion();

  const std::string &bytes() const { return this->Bytes; }

  /// Empties the buffer and frees its memory after a large answer.
  void clear();

private:
  std::string Bytes;
  std::size_t LastCompletion = std::string::npos;
};

} // namespace amaranthspur::fake

#endif // AMARANTHSPUR_TESTING_FAKE_BACKEND_ANSWERENCODER_H
