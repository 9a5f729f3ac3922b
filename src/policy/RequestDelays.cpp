#include "policy/RequestDelays.h"

#include <algorithm>

namespace amaranthspur {

std::optional<Duration> RequestDelays::observe(const std::string &Connection,
                                               Duration SentAt,
                                               TimePoint ReceivedAt) {
  const Duration Offset = ReceivedAt.time_since_epoch() - SentAt;
  const auto Found = this->Known.find(Connection);
  const bool IsRecent = Found != this->Known.end() &&
                        ReceivedAt - Found->second.Since < 2 * Window;
  if (!IsRecent) {
    if (Found == this->Known.end() && this->Known.size() >= MaxConnections)
      this->prune(ReceivedAt);
    if (Found != this->Known.end() || this->Known.size() < MaxConnections)
      this->Known[Connection] = {Offset, Offset, ReceivedAt};
    return std::nullopt;
  }
  Offsets &O = Found->second;
  if (ReceivedAt - O.Since >= Window)
    O = {Offset, O.Current, ReceivedAt};
  O.Current = std::min(O.Current, Offset);
  return Offset - std::min(O.Current, O.Previous);
}

void RequestDelays::prune(TimePoint Now) {
  std::erase_if(this->Known, [Now](const auto &Entry) {
    return Now - Entry.second.Since >= 2 * Window;
  });
}

} // namespace amaranthspur
