#include "policy/Routing.h"
#include "core/Random.h"

#include <catch2/catch.hpp>

#include <algorithm>
#include <functional>

using namespace amaranthspur;

namespace {

constexpr TimePoint Start{std::chrono::seconds(100)};

DataCentreConfig place(const char *Name, const char *In,
                       std::map<DataCentre, Duration> Latency) {
  DataCentreConfig Place;
  Place.Name = DataCentre(Name);
  Place.ContainingRegion = Region(In);
  Place.LatencyTo = std::move(Latency);
  return Place;
}

/// Data centres a and b in one region, c in another.
Configuration configuration() {
  const DataCentre A("a");
  const DataCentre B("b");
  const DataCentre C("c");
  Configuration Config;
  Config.DataCentres = {
      place("a", "near", {{B, milliseconds(1)}, {C, milliseconds(8)}}),
      place("b", "near", {{A, milliseconds(1)}, {C, milliseconds(8)}}),
      place("c", "far", {{A, milliseconds(8)}, {B, milliseconds(8)}}),
  };
  return Config;
}

ServerConfig server(const char *Id, const char *Place) {
  ServerConfig Config;
  Config.Id = ServerId(Id);
  Config.Location = DataCentre(Place);
  return Config;
}

ServerView viewOf(const char *Id, std::uint64_t Held, int AgeMs) {
  ServerView Server;
  Server.Id = ServerId(Id);
  Server.Reachable = true;
  Server.Held = {1, Held};
  if (AgeMs >= 0)
    Server.Age = milliseconds(AgeMs);
  return Server;
}

/// A group with the primary p in data centre a and the replicas q in b and r in
/// c.
struct Fixture {
  Configuration Config = configuration();
  ServiceConfig Service;
  GroupView View;
  RouteRequest Request;

  Fixture() {
    this->Service.Servers = {server("p", "a"), server("q", "b"),
                             server("r", "c")};
    this->View.TermNumber = 1;
    this->View.Primary = ServerId("p");
    this->View.Taken = Start;
    this->View.Servers = {viewOf("p", 10, 0), viewOf("q", 10, 20),
                          viewOf("r", 8, 60)};
    this->Request.RequestedAccess = Access::Read;
    this->Request.MaxStaleness = milliseconds(100);
    this->Request.From = DataCentre("a");
    this->Request.Floor = {1, 5};
  }
};

std::string describe(const Route &R) {
  if (const auto *Server = std::get_if<RouteToServer>(&R))
    return std::string(nameOf(Server->Role)) + " " + Server->Server.str();
  if (const auto *Wait = std::get_if<RouteWait>(&R))
    return "wait " + std::to_string(Wait->Delay.count() / 1000);
  Refusal Refused = std::get<Refusal>(R);
  Refused.Detail.clear();
  return message(Refused);
}

constexpr std::string_view None = "not run: no primary is known";
constexpr std::string_view Stale = "not run: no server is fresh enough";

/// Reference implementation of the routing: sorts the servers into groups in
/// the order of preference and chooses from the first group that is not empty.
std::string referenceRoute(const Fixture &S, bool RespectsFloor,
                           TimePoint Now) {
  const bool PrimaryUsable =
      S.View.Primary && !S.Request.Excluded.contains(*S.View.Primary);
  if (S.Request.RequestedAccess == Access::Write ||
      S.Request.MaxStaleness == Duration::zero()) {
    if (PrimaryUsable)
      return "primary " + S.View.Primary->str();
    return std::string(None);
  }
  const auto LocationOf = [&S](const ServerId &Id) {
    for (const ServerConfig &Server : S.Service.Servers)
      if (Server.Id == Id)
        return Server.Location;
    return DataCentre();
  };
  const auto RegionOf = [&S](const DataCentre &Name) {
    return S.Config.findDataCentre(Name)->ContainingRegion;
  };
  const auto LatencyTo = [&](const ServerId &Id) {
    const DataCentre To = LocationOf(Id);
    return To == S.Request.From
               ? Duration::zero()
               : S.Config.findDataCentre(S.Request.From)->LatencyTo.at(To);
  };
  std::vector<ServerId> Groups[6];
  bool ReplicaCatchesUpSoon = false;
  for (const ServerView &Server : S.View.Servers) {
    if (S.Request.Excluded.contains(Server.Id))
      continue;
    const bool Far =
        RegionOf(LocationOf(Server.Id)) != RegionOf(S.Request.From);
    const bool Below = RespectsFloor && Server.Held < S.Request.Floor;
    if (Server.Id == S.View.Primary) {
      Groups[Far ? 5 : 2].push_back(Server.Id);
      continue;
    }
    if (!Server.Reachable || Server.Leaving || !Server.Age)
      continue;
    const Duration Age = *Server.Age + (Now - S.View.Taken);
    if (Age <= S.Request.MaxStaleness)
      Groups[(Far ? 3 : 0) + (Below ? 1 : 0)].push_back(Server.Id);
    else if (!Far && Age <= S.Request.MaxStaleness + milliseconds(50))
      ReplicaCatchesUpSoon = true;
  }
  for (int G = 0; G < 6; ++G) {
    if (G == 3 && ReplicaCatchesUpSoon && S.Request.Waited < milliseconds(50))
      return "wait " + std::to_string(50 - S.Request.Waited.count() / 1000);
    if (Groups[G].empty())
      continue;
    const ServerId Best =
        *std::min_element(Groups[G].begin(), Groups[G].end(),
                          [&](const ServerId &A, const ServerId &B) {
                            return std::make_pair(LatencyTo(A), A) <
                                   std::make_pair(LatencyTo(B), B);
                          });
    return (Best == S.View.Primary ? "primary " : "replica ") + Best.str();
  }
  return std::string(Stale);
}

} // namespace

// Guards against routing a statement to a server that must not answer it, or to
// a server that is not the preferred one.
TEST_CASE("routes to the nearest replica") {
  struct Row {
    const char *Name;
    std::function<void(Fixture &)> Change;
    std::string Expected;
  };
  const Row Rows[] = {
      {"read", [](Fixture &) {}, "replica q"},
      {"write", [](Fixture &S) { S.Request.RequestedAccess = Access::Write; },
       "primary p"},
      {"no staleness allowed", [](Fixture &S) { S.Request.MaxStaleness = {}; },
       "primary p"},
      {"replica too stale",
       [](Fixture &S) { S.View.Servers[1].Age = milliseconds(101); },
       "primary p"},
      {"age unknown", [](Fixture &S) { S.View.Servers[1].Age.reset(); },
       "primary p"},
      {"replica unreachable",
       [](Fixture &S) { S.View.Servers[1].Reachable = false; }, "primary p"},
      {"replica leaving", [](Fixture &S) { S.View.Servers[1].Leaving = true; },
       "primary p"},
      {"replica drained by the configuration",
       [](Fixture &S) { S.Service.Servers[1].Leaving = true; }, "primary p"},
      {"replica has refused the statement",
       [](Fixture &S) { S.Request.Excluded = {ServerId("q")}; }, "primary p"},
      {"replica may have reached the floor since the view was taken",
       [](Fixture &S) {
         S.Request.Floor = {1, 11};
       },
       "replica q"},
      {"from the other region",
       [](Fixture &S) { S.Request.From = DataCentre("c"); }, "replica r"},
      {"from the other region, its replica too stale",
       [](Fixture &S) {
         S.Request.From = DataCentre("c");
         S.View.Servers[2].Age = milliseconds(200);
       },
       "replica q"},
      {"waits for the replica of its region",
       [](Fixture &S) {
         S.Request.From = DataCentre("c");
         S.View.Servers[2].Age = milliseconds(120);
       },
       "wait 50"},
      {"has waited long enough",
       [](Fixture &S) {
         S.Request.From = DataCentre("c");
         S.View.Servers[2].Age = milliseconds(120);
         S.Request.Waited = milliseconds(50);
       },
       "replica q"},
      {"write without a primary",
       [](Fixture &S) {
         S.Request.RequestedAccess = Access::Write;
         S.View.Primary.reset();
       },
       std::string(None)},
      {"read without a primary: the former primary counts as a replica",
       [](Fixture &S) { S.View.Primary.reset(); }, "replica p"},
      {"no usable server",
       [](Fixture &S) {
         S.Request.Excluded = {ServerId("p"), ServerId("q"), ServerId("r")};
       },
       std::string(Stale)},
      {"server not in the configuration",
       [](Fixture &S) {
         S.Service.Servers.erase(S.Service.Servers.begin() + 1);
       },
       "primary p"},
  };
  const auto Routing = makeNearestReplicaRouting();
  for (const Row &R : Rows) {
    CAPTURE(R.Name);
    Fixture S;
    R.Change(S);
    CHECK(describe(Routing->route(S.Request, S.View, S.Service, S.Config,
                                  Start)) == R.Expected);
  }
}

// Guards against ignoring the time since a view was taken.
TEST_CASE("ages grow with the age of the view") {
  const Fixture S;
  const auto Routing = makeNearestReplicaRouting();
  CHECK(describe(Routing->route(S.Request, S.View, S.Service, S.Config,
                                Start + milliseconds(80))) == "replica q");
  CHECK(describe(Routing->route(S.Request, S.View, S.Service, S.Config,
                                Start + milliseconds(81))) == "primary p");
}

// Guards against a difference between the routing and its reference
// implementation.
TEST_CASE("routing agrees with the reference") {
  const auto RespectingFloor = makeNearestReplicaRouting();
  const auto IgnoringFloor = makeTokenIgnoringRouting();
  const char *Places[] = {"a", "b", "c"};
  for (std::uint64_t Seed = 1; Seed <= 20000; ++Seed) {
    Random Rng(Seed);
    Fixture S;
    for (ServerConfig &Server : S.Service.Servers)
      Server.Location = DataCentre(Places[Rng.below(3)]);
    for (ServerView &Server : S.View.Servers) {
      Server.Reachable = Rng.below(5) != 0;
      Server.Leaving = Rng.below(6) == 0;
      Server.Held.Index = Rng.below(12);
      Server.Age.reset();
      if (Rng.below(5) != 0)
        Server.Age = milliseconds(Rng.below(200));
      if (Rng.below(6) == 0)
        S.Request.Excluded.insert(Server.Id);
    }
    if (Rng.below(5) == 0)
      S.View.Primary.reset();
    S.Request.RequestedAccess =
        Rng.below(8) == 0 ? Access::Write : Access::Read;
    S.Request.MaxStaleness = milliseconds(Rng.below(4) * 50);
    S.Request.Floor = {1, Rng.below(12)};
    S.Request.From = DataCentre(Places[Rng.below(3)]);
    S.Request.Waited = milliseconds(Rng.below(3) * 25);
    const TimePoint Now = Start + milliseconds(Rng.below(60));
    CAPTURE(Seed);
    REQUIRE(describe(RespectingFloor->route(S.Request, S.View, S.Service,
                                            S.Config, Now)) ==
            referenceRoute(S, true, Now));
    REQUIRE(describe(IgnoringFloor->route(S.Request, S.View, S.Service,
                                          S.Config, Now)) ==
            referenceRoute(S, false, Now));
  }
}

// Guards against a naive variant that uses replicas.
TEST_CASE("primary-only routing") {
  Fixture S;
  const auto Routing = makePrimaryOnlyRouting();
  CHECK(describe(Routing->route(S.Request, S.View, S.Service, S.Config,
                                Start)) == "primary p");
  S.View.Primary.reset();
  CHECK(describe(Routing->route(S.Request, S.View, S.Service, S.Config,
                                Start)) == None);
}
