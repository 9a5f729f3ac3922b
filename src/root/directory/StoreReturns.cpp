#include "root/directory/StoreReturns.h"

#include "core/BootClock.h"
#include "root/telemetry/Log.h"

namespace amaranthspur {

void StoreReturns::observeVersion(StoreVersion Newest) {
  const StoreVersion Before = this->History.newest();
  if (!this->History.observe(Newest, bootNow()))
    return;
  this->Counters.add(Counter::StoreReturns);
  log(LogLevel::Warning, LogEvent::StoreReturned,
      {{"version", Newest.str()}, {"before", Before.str()}});
  this->Returned();
}

void StoreReturns::observeFault(EraFault Fault, std::string_view Header) {
  this->Counters.add(Counter::StoreErasRejected, nameOf(Fault));
  const std::string Described =
      std::string(nameOf(Fault)) + " " + std::string(Header);
  if (Described == this->LastFault)
    return;
  this->LastFault = Described;
  log(LogLevel::Warning, LogEvent::EraRejected,
      {{"why", nameOf(Fault)},
       {"header", Header.empty() ? std::string_view("-") : Header},
       {"era", this->History.era()}});
}

} // namespace amaranthspur
