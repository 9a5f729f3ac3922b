// The group and the statements that the tests of the statement runner use.
#ifndef AMARANTHSPUR_ROOT_SESSIONS_TESTING_RUNNERFIXTURE_H
#define AMARANTHSPUR_ROOT_SESSIONS_TESTING_RUNNERFIXTURE_H

#include "core/BootClock.h"
#include "platform/LineCodec.h"
#include "platform/testing/MemoryPlatform.h"
#include "root/groups/testing/GroupSetup.h"
#include "root/sessions/StatementRunner.h"
#include "testing/TaskRunner.h"

#include <catch2/catch.hpp>

namespace amaranthspur::runnertest {

using linegroup::LineGroup;

inline Statement statement(const std::string &Text) {
  const Result<lines::CallerLine> Decoded =
      lines::decodeCallerLine("QUERY id " + Text);
  REQUIRE(succeeded(Decoded));
  return std::get<Statement>(valueOf(Decoded));
}

/// A group of servers and the beliefs of one entry VM about it.
struct Fixture {
  Fixture() {
    testApplication();
    configureGroup(*this->Servers, this->Group);
    this->Servers->start();
    // No monitor runs in this test. This report replaces the status that the
    // monitor would request from the primary to get its term.
    reportPrimary(*this->Servers, "a", 1);
  }
  ~Fixture() { runTask(this->Servers->stop()); }

  StatementContext context(ReadConsistency Consistency) {
    StatementContext E;
    E.ServerGroup = this->Servers;
    E.Route.Service = ServiceName("ledger");
    E.Route.Consistency = Consistency;
    E.Route.MaxStaleness = milliseconds(500);
    E.Route.StatementTimeout = milliseconds(300);
    E.Route.LatencyObjective = milliseconds(100);
    E.Arrived = steadyNow();
    E.ArrivedBoot = bootNow();
    E.Deadline = E.Arrived + E.Route.StatementTimeout;
    E.DispatchBy = E.Arrived + milliseconds(100);
    E.CallerPresent = [this] { return this->Present; };
    return E;
  }

  Answer run(const std::string &Text,
             ReadConsistency Consistency = ReadConsistency::Primary) {
    StatementContext E = this->context(Consistency);
    const Statement S = statement(Text);
    Answer A;
    if (S.Kind == StatementVerb::Write)
      A = runTask(runWrite(S, E));
    else
      A = runTask(runRead(S, E));
    this->Attempts = E.Attempts;
    return A;
  }

  std::size_t ran(const std::string &Id) {
    return this->Group[Id].ExecutedStatements.size();
  }

  LineGroup Group;
  Locality Where{DataCentre("here"), {{DataCentre("here"), Region("r")}}};
  MemoryPlatform Store;
  StoreHistory History;
  StoredClaims Claims{this->Store, this->History};
  Metrics Counters;
  std::shared_ptr<class Group> Servers = std::make_shared<class Group>(
      ServiceName("ledger"), this->Group, this->Where, nullptr, &this->Claims,
      &this->Counters);
  bool Present = true;
  unsigned Attempts = 0;
};

} // namespace amaranthspur::runnertest

#endif // AMARANTHSPUR_ROOT_SESSIONS_TESTING_RUNNERFIXTURE_H
