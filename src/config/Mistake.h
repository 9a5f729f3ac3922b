// Validation errors in the operators' answers.
#ifndef AMARANTHSPUR_CONFIG_MISTAKE_H
#define AMARANTHSPUR_CONFIG_MISTAKE_H

#include <string>
#include <vector>

namespace amaranthspur::config {

/// One value in the answers that is not allowed.
struct Mistake {
  std::string Path;    ///< For example `services[0].backend_servers[2].port`.
  std::string Value;   ///< The value in the answers; long values are truncated.
  std::string Allowed; ///< Describes the values that are allowed instead.

  bool operator==(const Mistake &) const = default;
};

/// Returns `PATH: VALUE is not allowed; allowed: ALLOWED`.
inline std::string text(const Mistake &M) {
  const std::string Path = M.Path.empty() ? "(document)" : M.Path;
  return Path + ": " + M.Value + " is not allowed; allowed: " + M.Allowed;
}

/// Returns the texts of \p Mistakes, one per line.
inline std::string text(const std::vector<Mistake> &Mistakes) {
  std::string Lines;
  for (const Mistake &M : Mistakes)
    Lines += (Lines.empty() ? "" : "\n") + text(M);
  return Lines;
}

} // namespace amaranthspur::config

#endif // AMARANTHSPUR_CONFIG_MISTAKE_H
