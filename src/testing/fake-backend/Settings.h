// Command-line settings of the fake-backend.
#ifndef AMARANTHSPUR_TESTING_FAKE_BACKEND_SETTINGS_H
#define AMARANTHSPUR_TESTING_FAKE_BACKEND_SETTINGS_H

#include "core/Enums.h"
#include "testing/fake-backend/GroupMember.h"

namespace amaranthspur::fake {

/// The settings; docs/stand-ins.md describes them.
struct Settings {
  ServerId Id;
  Address Listen;
  ServerRole Role = ServerRole::Replica;
  Term FirstTerm = 1;
  std::optional<Upstream> Primary;
  unsigned Slots = 5;
  unsigned ConnectionLimit = 50; ///< Limit of work connections only.
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
