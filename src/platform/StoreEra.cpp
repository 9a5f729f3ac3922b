#include "platform/StoreEra.h"

#include <algorithm>

namespace amaranthspur {
namespace {

constexpr const char *EraHeader = "Store-Era";

bool isDecimal(const QByteArray &Text) {
  return !Text.isEmpty() && std::all_of(Text.begin(), Text.end(), [](char C) {
    return C >= '0' && C <= '9';
  });
}

} // namespace

std::uint64_t StoreEraReader::read(const HttpResponse &Answer) {
  const std::optional<QByteArray> Header = Answer.header(EraHeader);
  if (!Header) {
    if (this->Latest)
      this->reportFault(EraFault::Missing, {});
    return this->latest();
  }
  if (!isDecimal(*Header)) {
    this->reportFault(EraFault::Malformed, *Header);
    return this->latest();
  }
  bool Fits = false;
  const std::uint64_t Era = Header->toULongLong(&Fits);
  if (!Fits || Era > MaxEra) {
    this->reportFault(EraFault::TooLarge, *Header);
    return this->latest();
  }
  if (Era < this->latest())
    this->reportFault(EraFault::Lower, *Header);
  this->Latest = std::max(this->latest(), Era);
  return Era;
}

void StoreEraReader::report(StoreVersion Newest) const {
  if (this->Observer && this->Latest)
    this->Observer->observeVersion(Newest);
}

void StoreEraReader::reportFault(EraFault Fault,
                                 const QByteArray &Header) const {
  constexpr qsizetype MaxQuoted = 40;
  if (this->Observer)
    this->Observer->observeFault(Fault, Header.left(MaxQuoted).toStdString());
}

} // namespace amaranthspur
