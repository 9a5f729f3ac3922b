#include "platform/LineStream.h"

namespace amaranthspur {

QCoro::Task<std::optional<std::string>>
LineStream::nextLine(TimePoint Deadline) {
  while (true) {
    std::optional<std::string> Line = this->Reader.next();
    if (Line || this->Reader.overflowed())
      co_return Line;
    const ReadEvent Event = co_await this->waitReadable(Deadline);
    if (Event != ReadEvent::Data)
      co_return std::nullopt;
  }
}

} // namespace amaranthspur
