// Settings of the fake-backend, from its command line.
#ifndef AMARANTHSPUR_TESTING_FAKE_BACKEND_SETTINGS_H
#define AMARANTHSPUR_TESTING_FAKE_BACKEND_SETTINGS_H

#include "core/Enums.h"
#include "testing/fake-backend/Group.h"

namespace amaranthspur::fake {

/// See docs/stand-ins.md.
struct Settings {
  ServerId Id;
  Address Listen;
  ServerRole Role = ServerRole::Replica;
  Term FirstTerm = 1;
  std::optional<Upstream> Primary;
  unsigned Slots = 5;
  unsigned ConnectionLimit = 50; ///< Work connections; control is apart.
  Duration ConnectDelay{};
  Duration ReplicationLag{};
  Duration IdleInTransactionTimeout = std::chrono::seconds(10);
  Duration LockTimeout = std::chrono::seconds(2);
  std::string BindHost; ///< Source address of replication connections.
};

/// Parses the command line.
/// \returns the settings, or an error that names the flag.
Result<Settings> parseSettings(int Argc, const char *const *Argv);

/// Returns the text of `--help`.
std::string settingsHelp();

} // namespace amaranthspur::fake

#endif // AMARANTHSPUR_TESTING_FAKE_BACKEND_SETTINGS_H
