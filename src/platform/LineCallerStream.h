// Connections from callers in the platform's line protocol.
#ifndef AMARANTHSPUR_PLATFORM_LINECALLERSTREAM_H
#define AMARANTHSPUR_PLATFORM_LINECALLERSTREAM_H

#include "root/sessions/CallerStream.h"

namespace amaranthspur {

/// Makes caller streams that speak the line protocol.
class LineCallerStreamFactory final : public CallerStreamFactory {
public:
  std::unique_ptr<CallerStream> make(QTcpSocket *Accepted) override;
};

} // namespace amaranthspur

#endif // AMARANTHSPUR_PLATFORM_LINECALLERSTREAM_H
