#include "root/sessions/RouteQueries.h"

#include "ctl/RouteReport.h"
#include "root/sessions/testing/RunnerFixture.h"

#include <QJsonArray>
#include <QJsonDocument>

#include <catch2/catch.hpp>

using namespace amaranthspur;
using runnertest::Fixture;

namespace {

const std::string Key = "k-7f1d0c";

class FakeForwarders final : public ForwarderDirectory {
public:
  HomePlace homeOf(const HomeQuery &) override { return this->Home; }

  HomePlace Home = HomePlace::None;
};

/// An entry VM with two databases and a workspace.
struct Vm {
  Vm() {
    for (const auto Consistency :
         {ReadConsistency::BoundedStaleness, ReadConsistency::Primary}) {
      DatabaseRoute Route = F.context(Consistency).Route;
      this->Plan
          ->Databases[Consistency == ReadConsistency::Primary ? "ledger"
                                                              : "departures"] =
          Route;
    }
    this->Plan->Databases["elsewhere"].Service = ServiceName("absent");
    this->Plan->HasWorkspaces = true;
    this->Plan->Workspaces[WorkspaceName("kiosks")].Quota =
        WorkspaceQuota{50, 20};
    this->Plan->KeyHolders[Key] = WorkspaceName("kiosks");
  }

  /// Makes a floor known that all servers hold.
  void knowFloor() {
    GroupEvidence Known;
    Known.ProvedTerm = 1;
    Known.ProvedAt = Known.ReportedAt = bootNow();
    Known.Position = {1, 1};
    this->F.Servers->applyEvidence(Known);
  }

  /// Runs a write, by which the replicas that follow the primary are known.
  Vm &write() {
    CHECK(this->F.run("WRITE item data").succeeded());
    return *this;
  }

  QJsonObject ask(const std::string &Database, const std::string &Workspace,
                  const std::string &Mode) {
    return this->Queries.answer(
        {{"database", Database}, {"workspace", Workspace}, {"mode", Mode}});
  }

  Fixture F;
  std::shared_ptr<AccessPlan> Plan = std::make_shared<AccessPlan>();
  FakeForwarders Forwarders;
  QuotaVerdict Next = QuotaVerdict::Admitted;
  RouteQueries Queries{
      {[this] { return this->Plan; },
       [this](const ServiceName &S) {
         return S.str() == "ledger" ? this->F.Servers : nullptr;
       },
       &this->Forwarders,
       [this](const WorkspaceName &Of) {
         return std::optional<QuotaState>(
             {{Of, WorkspaceQuota{50, 20}, 4, 130, 2}, this->Next});
       }}};
};

} // namespace

// Guards against an explanation that differs from what a statement would meet,
// and against a key that is printed, also if it was given for the name.
TEST_CASE("a route is explained from the state of the entry VM") {
  struct Row {
    const char *Name;
    const char *Database;
    std::string Workspace;
    const char *Mode;
    std::function<void(Vm &)> Before;
    const char *Refusal;
    const char *Place;
    const char *Primary; ///< The one that is used; empty for none.
    ctl::ExitStatus Status;
  };
  const auto Nothing = [](Vm &) {};
  const ctl::ExitStatus Ok = ctl::ExitStatus::Ok;
  const ctl::ExitStatus No = ctl::ExitStatus::Refused;
  const Row Rows[] = {
      {"a bounded read", "departures", "kiosks", "read",
       [](Vm &V) { V.knowFloor(); }, "none", "here", "", Ok},
      {"a bounded read without a floor", "departures", "kiosks", "read",
       Nothing, "none", "here", "a", Ok},
      {"a read of a primary route", "ledger", "kiosks", "read",
       [](Vm &V) { V.knowFloor(); }, "none", "here", "a", Ok},
      {"a write at its home", "departures", "kiosks", "write",
       [](Vm &V) { V.write().Forwarders.Home = HomePlace::ThisVm; }, "none",
       "here-as-home", "a", Ok},
      {"a write of another home", "departures", "kiosks", "write",
       [](Vm &V) { V.write().Forwarders.Home = HomePlace::OtherVm; }, "none",
       "home", "a", Ok},
      {"no primary", "departures", "kiosks", "write",
       [](Vm &V) { V.write().F.Servers->markNotPrimary(ServerId("a")); },
       "no-primary-now", "here", "", No},
      {"over the quota", "departures", "kiosks", "write",
       [](Vm &V) { V.write().Next = QuotaVerdict::Refused; }, "over-quota",
       "here", "a", No},
      {"no service", "elsewhere", "kiosks", "read", Nothing,
       "service-not-configured", "here", "", No},
      {"no database", "nowhere", "kiosks", "read", Nothing, "unknown-database",
       "here", "", No},
      {"a key instead of a name", "departures", Key, "read", Nothing,
       "unknown-workspace", "here", "", No},
      {"an unknown mode", "departures", "kiosks", "delete", Nothing, "", "", "",
       ctl::ExitStatus::Invalid},
  };
  for (const Row &R : Rows) {
    CAPTURE(R.Name);
    Vm V;
    R.Before(V);
    const auto Ran = [&V] {
      return V.F.ran("a") + V.F.ran("b") + V.F.ran("c");
    };
    const std::size_t Before = Ran();
    const QJsonObject Answer = V.ask(R.Database, R.Workspace, R.Mode);
    const ctl::Report Report = ctl::routeReport(Answer);
    INFO(Report.Text);
    CHECK(Report.Status == R.Status);
    CHECK(Answer["refusal"].toString().toStdString() == R.Refusal);
    CHECK(Answer["place"].toString().toStdString() == R.Place);
    CHECK(Answer["primary"]["server"].toString().toStdString() == R.Primary);
    const std::string All =
        QJsonDocument(Answer).toJson().toStdString() + Report.Text;
    CHECK(All.find(Key) == std::string::npos);
    CHECK(Ran() == Before);
  }
}

// Guards against weights that the statements are not routed by.
TEST_CASE("the weights of the candidates are those of the choice") {
  Vm V;
  V.knowFloor();
  const QJsonArray Candidates =
      V.ask("departures", "kiosks", "read")["candidates"].toArray();
  std::map<std::string, double> Weights;
  for (const auto &Entry : Candidates) {
    const QJsonObject C = Entry.toObject();
    Weights[C["server"].toString().toStdString()] = C["weight"].toDouble();
  }
  std::map<std::string, double> Chosen;
  constexpr int Choices = 2000;
  for (int I = 0; I < Choices; ++I) {
    const auto Id = V.F.Servers->chooseReader(WorkspaceName("kiosks"),
                                              LogPosition{1, 1}, {});
    REQUIRE(Id);
    Chosen[Id->str()] += 1.0 / Choices;
  }
  CHECK(Weights.size() == 3);
  for (const auto &[Id, Weight] : Weights) {
    CAPTURE(Id);
    CHECK(Chosen[Id] == Approx(Weight).margin(0.05));
  }
}
