#include "testing/fake-backend/AnswerEncoder.h"

namespace amaranthspur::fake {
namespace {

constexpr std::uint32_t NullLength = 0xffffffff;
/// Largest buffer capacity that clear() keeps for the next answer.
constexpr std::size_t MaxRetainedBytes = 256U << 10U;

void putUint32(std::string &Out, std::size_t At, std::uint32_t Value) {
  for (std::size_t I = 0; I < 4; ++I)
    Out[At + I] = static_cast<char>((Value >> (24U - 8U * I)) & 0xffU);
}

void addUint32(std::string &Out, std::uint32_t Value) {
  Out.append(4, '\0');
  putUint32(Out, Out.size() - 4, Value);
}

} // namespace

void AnswerEncoder::columns(const std::vector<std::string> &Names) {
  if (this->DescribeRows)
    this->Bytes += pg::buildRowDescription(Names);
}

void AnswerEncoder::row(
    const std::vector<std::optional<std::string_view>> &Values) {
  this->Bytes += 'D';
  const std::size_t LengthAt = this->Bytes.size();
  addUint32(this->Bytes, 0);
  this->Bytes += static_cast<char>(Values.size() >> 8U);
  this->Bytes += static_cast<char>(Values.size() & 0xffU);
  for (const std::optional<std::string_view> &Value : Values) {
    addUint32(this->Bytes,
              Value ? static_cast<std::uint32_t>(Value->size()) : NullLength);
    if (Value)
      this->Bytes += *Value;
  }
  putUint32(this->Bytes, LengthAt,
            static_cast<std::uint32_t>(this->Bytes.size() - LengthAt));
}

void AnswerEncoder::error(const SqlError &E, std::string_view Severity) {
  this->Bytes += pg::buildError(Severity, E.SqlState, E.Message);
}

void AnswerEncoder::complete(std::string_view Tag,
                             std::optional<std::uint64_t> Rows) {
  this->LastCompletion = this->Bytes.size();
  std::string Text(Tag);
  if (Rows)
    Text += ' ' + std::to_string(*Rows);
  this->Bytes += pg::buildCommandComplete(Text);
}

void AnswerEncoder::dropCompletion() {
  if (this->LastCompletion < this->Bytes.size())
    this->Bytes.resize(this->LastCompletion);
  this->LastCompletion = std::string::npos;
}

void AnswerEncoder::clear() {
  if (this->Bytes.capacity() > MaxRetainedBytes)
    std::string().swap(this->Bytes);
  this->Bytes.clear();
  this->LastCompletion = std::string::npos;
}

} // namespace amaranthspur::fake
