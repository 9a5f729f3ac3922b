#include "policy/CommitHolders.h"

#include <catch2/catch.hpp>

#include <functional>

using namespace amaranthspur;

namespace {

RegisteredServer registration(const char *Id, std::int64_t Start = 1) {
  RegisteredServer R;
  R.Id = ServerId(Id);
  R.StartedAtMs = Start;
  return R;
}

ServerReport report(ServerRole Role, LogPosition End) {
  ServerReport R;
  R.Role = Role;
  R.TermNumber = End.TermNumber;
  R.Received = End;
  return R;
}

TimePoint at(int Seconds) { return TimePoint(std::chrono::seconds(Seconds)); }

/// A group of which `a` leads term 1 and has acknowledged 1.5. The servers have
/// been registered since second 10.
struct Fixture {
  Fixture() { this->list({"a", "b", "c"}, 10); }

  void list(const std::vector<const char *> &Ids, int Second) {
    this->Registered.clear();
    for (const char *Id : Ids)
      this->Registered.push_back(registration(Id));
    this->Holders.setServers(this->Registered, at(Second));
  }
  void drain(const std::vector<std::size_t> &Indices) {
    for (const std::size_t I : Indices)
      this->Registered[I].Draining = true;
    this->Holders.setServers(this->Registered, at(11));
  }
  void replica(const char *Id, LogPosition End) {
    this->Holders.observeReport(ServerId(Id), report(ServerRole::Replica, End));
  }
  std::string holder() const {
    const auto Found = this->Holders.holderOf({1, 5}, ServerId("a"));
    return Found ? Found->str() : "";
  }

  std::vector<RegisteredServer> Registered;
  CommitHolders Holders;
};

} // namespace

// Guards against an acknowledgement that is passed on although the only server
// with the commit is one that a takeover need not ask (issue 37).
TEST_CASE("a commit is held by a registered replica that every takeover asks") {
  struct Row {
    const char *Name;
    std::function<void(Fixture &)> Events;
    std::string Holder;
  };
  const Row Rows[] = {
      {"nothing is known", [](Fixture &) {}, ""},
      {"a replica reports it",
       [](Fixture &F) {
         F.Holders.observeProof(1, at(10));
         F.replica("b", {1, 5});
       },
       "b"},
      {"a replica answers a read at it",
       [](Fixture &F) {
         F.Holders.observeProof(1, at(10));
         F.Holders.observeReplica(ServerId("c"), {1, 6});
       },
       "c"},
      {"the replicas lack it",
       [](Fixture &F) {
         F.Holders.observeProof(1, at(10));
         F.replica("b", {1, 4});
         F.replica("c", {1, 4});
       },
       ""},
      {"a replica of a later term need not have it",
       [](Fixture &F) {
         F.Holders.observeProof(1, at(10));
         F.replica("b", {2, 5});
       },
       ""},
      {"a server that is not registered",
       [](Fixture &F) {
         F.Holders.observeProof(1, at(10));
         F.replica("d", {1, 5});
       },
       ""},
      {"a server that has registered after the last proof",
       [](Fixture &F) {
         F.Holders.observeProof(1, at(10));
         F.list({"a", "b", "c", "d"}, 12);
         F.replica("d", {1, 5});
       },
       ""},
      {"the same, with a proof since",
       [](Fixture &F) {
         F.list({"a", "b", "c", "d"}, 12);
         F.replica("d", {1, 5});
         F.Holders.observeProof(1, at(12));
       },
       "d"},
      {"the same, with a proof since for a later term",
       [](Fixture &F) {
         F.list({"a", "b", "c", "d"}, 12);
         F.replica("d", {1, 5});
         F.Holders.observeProof(2, at(12));
       },
       ""},
      {"it has restarted since it reported",
       [](Fixture &F) {
         F.Holders.observeProof(1, at(10));
         F.replica("b", {1, 5});
         F.Registered[1].StartedAtMs = 2;
         F.Holders.setServers(F.Registered, at(11));
       },
       ""},
      {"it has left",
       [](Fixture &F) {
         F.Holders.observeProof(1, at(10));
         F.replica("b", {1, 5});
         F.list({"a", "c"}, 11);
       },
       ""},
      {"it is leaving and another replica is not",
       [](Fixture &F) {
         F.Holders.observeProof(1, at(10));
         F.drain({1});
         F.replica("b", {1, 5});
       },
       ""},
      {"all replicas are leaving",
       [](Fixture &F) {
         F.Holders.observeProof(1, at(10));
         F.drain({1, 2});
         F.replica("b", {1, 5});
       },
       "b"},
      {"the primary itself has stepped down",
       [](Fixture &F) {
         F.Holders.observeProof(1, at(10));
         F.replica("a", {1, 5});
       },
       ""},
      {"another server that has led the term has stepped down",
       [](Fixture &F) {
         F.Holders.observeProof(1, at(10));
         F.Holders.observeReport(ServerId("b"),
                                 report(ServerRole::Primary, {1, 5}));
         F.replica("b", {1, 5});
       },
       ""},
      {"the primary is back under another id and has stepped down",
       [](Fixture &F) {
         F.list({"b", "c", "d"}, 11);
         F.Registered[2].Role = ServerRole::Primary;
         F.Holders.setServers(F.Registered, at(11));
         F.Holders.observeProof(1, at(12));
         F.replica("d", {1, 5});
       },
       ""},
      {"a server that has registered as a primary answers a read",
       [](Fixture &F) {
         F.Registered[1].Role = ServerRole::Primary;
         F.Holders.setServers(F.Registered, at(11));
         F.Holders.observeProof(1, at(12));
         F.Holders.observeReplica(ServerId("b"), {1, 5});
       },
       ""},
      {"a primary of an earlier term follows",
       [](Fixture &F) {
         F.Holders.observeProof(1, at(10));
         F.Holders.observeReport(ServerId("b"),
                                 report(ServerRole::Primary, {0, 3}));
         F.replica("b", {1, 5});
       },
       "b"},
  };
  for (const Row &R : Rows) {
    CAPTURE(R.Name);
    Fixture F;
    R.Events(F);
    CHECK(F.holder() == R.Holder);
  }
}

// Guards against commits that wait for a proof that nobody asks for, and
// against proofs that cannot help.
TEST_CASE("a proof is needed for a server that has just registered") {
  Fixture F;
  CHECK_FALSE(F.Holders.proofNeeded({1, 5}, ServerId("a")));
  F.replica("b", {1, 5});
  CHECK(F.Holders.proofNeeded({1, 5}, ServerId("a")) == at(10));
  CHECK_FALSE(F.Holders.proofNeeded({1, 6}, ServerId("a")));
  F.Holders.observeProof(1, at(10));
  CHECK_FALSE(F.Holders.proofNeeded({1, 5}, ServerId("a")));
}

// Guards against writes that wait for another proof after each takeover.
TEST_CASE("a server stays established in later terms") {
  Fixture F;
  F.Holders.observeProof(1, at(10));
  F.replica("b", {2, 7});
  CHECK(F.Holders.holderOf({2, 7}, ServerId("c")) == ServerId("b"));
}

// Guards against writes that are sent to a primary although no commit of it
// could be reported as a success, and against writes that wait for nothing.
TEST_CASE("a write needs a replica that may hold its commit") {
  struct Row {
    const char *Name;
    Term Proved;   ///< 0: there is no proof.
    Term Followed; ///< By b and c.
    Term Adopted;  ///< By b and c; 0 if they hold no term.
    Term Leading;  ///< 0 if it is not known.
    bool MayBeHeld;
  };
  const Row Rows[] = {
      {"they follow", 1, 1, 0, 1, true},
      {"they follow, and the term of the primary is not known", 1, 1, 0, 0,
       true},
      {"there is no proof", 0, 1, 0, 1, false},
      {"they hold a later term", 1, 1, 2, 1, false},
      {"they hold a later term, and that of the primary is not known", 1, 1, 2,
       0, false},
      {"they hold the term that is led", 1, 1, 2, 2, true},
      {"they follow a later primary and hold no term", 1, 2, 0, 1, false},
      {"they were proved to be registered in a later term", 2, 1, 0, 1, false},
  };
  for (const Row &R : Rows) {
    CAPTURE(R.Name);
    Fixture F;
    if (R.Proved != 0)
      F.Holders.observeProof(R.Proved, at(10));
    for (const char *Id : {"b", "c"}) {
      ServerReport Report = report(ServerRole::Replica, {R.Followed, 4});
      Report.AdoptedTerm = R.Adopted;
      F.Holders.observeReport(ServerId(Id), Report);
    }
    CHECK(F.Holders.mayBeHeld(ServerId("a"), R.Leading) == R.MayBeHeld);
  }
}
