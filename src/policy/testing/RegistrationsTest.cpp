#include "policy/Registrations.h"

#include <catch2/catch.hpp>

using namespace amaranthspur;

namespace {

RegisteredServer registered(const char *Id, const char *Host,
                            std::int64_t StartedAtMs,
                            const char *Service = "ledger") {
  RegisteredServer R;
  R.Id = ServerId(Id);
  R.Service = ServiceName(Service);
  R.At = {Host, 8080};
  R.StartedAtMs = StartedAtMs;
  return R;
}

} // namespace

// Guards against a group that waits for the answer of a server that no longer
// exists, and against leaving out a server that runs.
TEST_CASE("a server whose address has a later server is left out") {
  struct Row {
    const char *Name;
    std::vector<RegisteredServer> Servers;
    std::vector<std::string> Running;
  };
  const Row Rows[] = {
      {"none", {}, {}},
      {"different addresses",
       {registered("a", "10.0.0.1", 5), registered("b", "10.0.0.2", 9)},
       {"a", "b"}},
      {"started again under another id",
       {registered("a", "10.0.0.1", 5), registered("b", "10.0.0.1", 9)},
       {"b"}},
      {"the address is used by another service",
       {registered("a", "10.0.0.1", 5),
        registered("b", "10.0.0.1", 9, "other")},
       {"b"}},
      {"started again twice",
       {registered("c", "10.0.0.1", 12), registered("a", "10.0.0.1", 5),
        registered("b", "10.0.0.1", 9)},
       {"c"}},
      {"the same start: which one runs is not known",
       {registered("a", "10.0.0.1", 5), registered("b", "10.0.0.1", 5)},
       {"a", "b"}},
  };
  for (const Row &R : Rows) {
    CAPTURE(R.Name);
    std::vector<std::string> Running;
    for (const RegisteredServer &Server : withoutReplaced(R.Servers))
      Running.push_back(Server.Id.str());
    CHECK(Running == R.Running);
  }
}
