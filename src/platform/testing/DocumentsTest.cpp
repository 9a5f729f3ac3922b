#include "platform/Documents.h"

#include <catch2/catch.hpp>

using namespace amaranthspur;

namespace {

constexpr const char *GoodServer =
    R"({"service":"s","address":"10.1.0.9:8080","zone":"a","version":"v1",)"
    R"("slots":5,"state":"ready","cold-ms":0,"db-role":"replica",)"
    R"("sequence":4,"born":1700000000000})";

std::string replaced(std::string Document, const std::string &From,
                     const std::string &To) {
  const std::size_t At = Document.find(From);
  REQUIRE(At != std::string::npos);
  return Document.replace(At, From.size(), To);
}

} // namespace

// Guards against statements that are sent to an address taken from a malformed
// row, which another program may have written into the same table.
TEST_CASE("an incomplete or malformed registration is rejected") {
  struct Row {
    const char *Name;
    std::string Document;
    bool Good;
  };
  const Row Rows[] = {
      {"complete", GoodServer, true},
      {"an unknown field", replaced(GoodServer, "{", "{\"new\":1,"), true},
      {"without a start time",
       replaced(GoodServer, ",\"born\":1700000000000", ""), true},
      {"draining", replaced(GoodServer, "ready", "draining"), true},
      {"unknown state", replaced(GoodServer, "ready", "dreaming"), false},
      {"no service", replaced(GoodServer, "\"service\":\"s\",", ""), false},
      {"service of the wrong type", replaced(GoodServer, "\"s\"", "7"), false},
      {"address without port", replaced(GoodServer, ":8080", ""), false},
      {"address with a host name", replaced(GoodServer, "10.1.0.9", "host"),
       false},
      {"slots of the wrong type", replaced(GoodServer, "5", "\"5\""), false},
      {"no sequence", replaced(GoodServer, "\"sequence\":4,", ""), false},
      {"unknown role", replaced(GoodServer, "replica", "witness"), false},
      {"start time with a fraction",
       replaced(GoodServer, "1700000000000", "1.5"), false},
      {"not JSON", "\xff\x01", false},
      {"an array", "[]", false},
      // What other writers have left: the machines of other operators ended or
      // stopped following the list because of such rows.
      {"very deeply nested", std::string(100000, '['), false},
      {"a very deeply nested field",
       replaced(GoodServer, "{",
                "{\"new\":" + std::string(100000, '[') +
                    std::string(100000, ']') + ","),
       false},
      {"port out of range", replaced(GoodServer, "8080", "70000"), false},
      {"port 0", replaced(GoodServer, "8080", "0"), false},
      {"negative port", replaced(GoodServer, "8080", "-1"), false},
      {"port with more digits than a number",
       replaced(GoodServer, "8080", std::string(40, '9')), false},
      {"slots beyond any number", replaced(GoodServer, "5", "1e400"), false},
      {"slots above 64 bits", replaced(GoodServer, "5", "99999999999999999999"),
       false},
      {"negative slots", replaced(GoodServer, "5", "-5"), false},
      {"no slots at all", replaced(GoodServer, "5", "0"), false},
      {"slots with a fraction", replaced(GoodServer, "5", "0.5"), false},
      {"sequence above 64 bits", replaced(GoodServer, "4", "1e30"), false},
      {"negative cold time",
       replaced(GoodServer, "\"cold-ms\":0", "\"cold-ms\":-1"), false},
      {"cold time with a fraction",
       replaced(GoodServer, "\"cold-ms\":0", "\"cold-ms\":12.5"), true},
      {"start time above 64 bits",
       replaced(GoodServer, "1700000000000", "1e300"), false},
      {"negative start time", replaced(GoodServer, "1700000000000", "-1"),
       false},
      {"a field of 1 MiB",
       replaced(GoodServer, "{",
                "{\"new\":\"" + std::string(1U << 20U, 'a') + "\","),
       true},
      {"invalid UTF-8 in a field",
       replaced(GoodServer, "\"v1\"", "\"\xff\xfe\""), false},
      {"the state twice",
       replaced(GoodServer, "\"state\":\"ready\"",
                "\"state\":\"ready\",\"state\":\"gone\""),
       false},
      {"empty", "", false},
  };
  for (const Row &R : Rows) {
    CAPTURE(R.Name);
    const Result<RegisteredServer> Decoded =
        decodeServer({"i-1", R.Document, StoreVersion(7), false});
    CHECK(succeeded(Decoded) == R.Good);
    if (!succeeded(Decoded))
      continue;
    CHECK(valueOf(Decoded).Id.str() == "i-1");
    CHECK(valueOf(Decoded).At.str() == "10.1.0.9:8080");
    CHECK(valueOf(Decoded).Role == ServerRole::Replica);
    CHECK(valueOf(Decoded).Version == StoreVersion(7));
  }
}

// Guards against callers without a valid key, against a quota that is not
// enforced, and against a malformed list of which a part is applied.
TEST_CASE("workspaces are decoded completely or rejected") {
  const auto Document = [](const std::string &Tenants) {
    return R"({"version":7,"routes":[],"services":[])" + Tenants + "}";
  };
  const auto List = [&Document](const std::string &Entries) {
    return Document(",\"tenants\":[" + Entries + "]");
  };
  const std::string X =
      R"({"name":"x","api-keys":["k1","k2"],"priority":1,"rate-per-s":262,)"
      R"("burst":131})";
  std::string Many;
  for (int I = 0; I < 10000; ++I) {
    const std::string N = std::to_string(I);
    Many += I == 0 ? "" : ",";
    Many += R"({"name":"t)";
    Many += N;
    Many += R"(","api-keys":["secret)";
    Many += N;
    Many += R"("],"rate-per-s":1})";
  }
  struct Row {
    const char *Name;
    std::string Document;
    bool Good;
    std::size_t Workspaces = 0;
    std::size_t Keys = 0;
  };
  const Row Rows[] = {
      {"no list", Document(""), true},
      {"an empty list", List(""), true},
      {"one workspace", List(X), true, 1, 2},
      {"without a quota", List(R"({"name":"x","api-keys":["k"]})"), true, 1, 1},
      {"without keys", List(R"({"name":"x","api-keys":[]})"), true, 1, 0},
      {"10,000 workspaces", List(Many), true, 10000, 10000},
      {"an unknown field", List(replaced(X, "{", "{\"new\":[[1]],")), true, 1,
       2},
      {"the same key twice", List(replaced(X, "k2", "k1")), true, 1, 1},
      {"not a list", Document(R"(,"tenants":{})"), false},
      {"an entry of the wrong type", List("7"), false},
      {"no name", List(replaced(X, "\"name\":\"x\",", "")), false},
      {"an empty name", List(replaced(X, "\"x\"", "\"\"")), false},
      {"a name of two words", List(replaced(X, "\"x\"", "\"x y\"")), false},
      {"a name with a line end", List(replaced(X, "\"x\"", "\"x\\r\\n\"")),
       false},
      {"listed twice", List(X + "," + replaced(X, "k1", "k3")), false},
      {"no list of keys", List(R"({"name":"x"})"), false},
      {"keys of the wrong type",
       List(R"({"name":"x","api-keys":"secret-key"})"), false},
      {"a key of the wrong type", List(R"({"name":"x","api-keys":[7]})"),
       false},
      {"nested keys", List(R"({"name":"x","api-keys":[["secret-key"]]})"),
       false},
      {"an empty key", List(R"({"name":"x","api-keys":[""]})"), false},
      {"a key of two workspaces",
       List(R"({"name":"x","api-keys":["secret-key"]},)"
            R"({"name":"y","api-keys":["secret-key"]})"),
       false},
      {"negative rate", List(replaced(X, "262", "-1")), false},
      {"rate of the wrong type", List(replaced(X, "262", "\"262\"")), false},
      {"rate beyond any number", List(replaced(X, "262", "1e300")), false},
      {"negative burst", List(replaced(X, "131", "-1")), false},
      {"burst without a rate", List(R"({"name":"x","api-keys":[],"burst":1})"),
       false},
      {"priority with a fraction",
       List(replaced(X, "\"priority\":1", "\"priority\":1.5")), false},
      {"very deeply nested", List(std::string(100000, '[')), false},
  };
  for (const Row &R : Rows) {
    CAPTURE(R.Name);
    const Result<AccessPlan> Decoded = decodePlan(R.Document);
    CHECK(succeeded(Decoded) == R.Good);
    if (!succeeded(Decoded)) {
      CHECK(errorOf(Decoded).find("secret") == std::string::npos);
      continue;
    }
    CHECK(valueOf(Decoded).Workspaces.size() == R.Workspaces);
    CHECK(valueOf(Decoded).KeyHolders.size() == R.Keys);
  }
  const Result<AccessPlan> Decoded = decodePlan(List(X));
  REQUIRE(succeeded(Decoded));
  CHECK(valueOf(Decoded).Workspaces.at(WorkspaceName("x")).Quota ==
        WorkspaceQuota{262, 131});

  DatabaseRoute Keyed;
  DatabaseRoute Anonymous;
  Anonymous.Anonymous = true;
  struct Access {
    const char *Name;
    std::string Document;
    const DatabaseRoute &Route;
    const char *Key;
    std::optional<WorkspaceName> Of;
  };
  const Access Cases[] = {
      {"valid key", List(X), Keyed, "k2", WorkspaceName("x")},
      {"unknown key", List(X), Keyed, "k", std::nullopt},
      {"no key", List(X), Keyed, "", std::nullopt},
      {"anonymous route", List(X), Anonymous, "k", WorkspaceName()},
      {"no workspace is left", List(""), Keyed, "k1", std::nullopt},
      {"a deployment without workspaces", Document(""), Keyed, "k",
       WorkspaceName()},
  };
  for (const Access &C : Cases) {
    CAPTURE(C.Name);
    const Result<AccessPlan> Plan = decodePlan(C.Document);
    REQUIRE(succeeded(Plan));
    CHECK(valueOf(Plan).workspaceOf(C.Route, C.Key) == C.Of);
  }
}

// Guards against a malformed configuration of which a part is applied.
TEST_CASE("a configuration is decoded completely or rejected") {
  const std::string Good =
      R"({"version":7,"routes":[)"
      R"({"name":"r1","host":"db1","prefix":"/","route-type":"read_your_writes",)"
      R"("timeout-ms":1000,"latency-goal-ms":800,"priority":2,"service":"s",)"
      R"("max-attempts":2,"max-staleness-ms":2500},)"
      R"({"name":"r2","host":"db2","prefix":"/","route-type":"primary",)"
      R"("timeout-ms":900,"latency-goal-ms":400,"service":"s"}],)"
      R"("services":[{"name":"s","max-conns":33,"sync-replicas":1}],)"
      R"("limits":{"tx-idle-ms":3000}})";
  const Result<AccessPlan> Decoded = decodePlan(Good);
  REQUIRE(succeeded(Decoded));
  const AccessPlan &Plan = valueOf(Decoded);
  CHECK(Plan.Revision == 7);
  CHECK(Plan.TransactionIdle == std::chrono::seconds(3));
  REQUIRE(Plan.Databases.size() == 2);
  const DatabaseRoute &First = Plan.Databases.at("db1");
  CHECK(First.Consistency == ReadConsistency::ReadYourWrites);
  CHECK(First.MaxStaleness == milliseconds(2500));
  CHECK(First.StatementTimeout == milliseconds(1000));
  CHECK(First.LatencyObjective == milliseconds(800));
  CHECK(First.MaxAttempts == 2);
  CHECK(First.Urgency == 2);
  CHECK(Plan.Databases.at("db2").Urgency == 0);
  CHECK(Plan.Databases.at("db2").Consistency == ReadConsistency::Primary);
  CHECK(Plan.Services.at(ServiceName("s")).MaxConnections == 33);
  CHECK(Plan.Services.at(ServiceName("s")).SyncReplicas == 1);

  const std::pair<const char *, std::string> Bad[] = {
      {"unknown type", replaced(Good, "\"primary\"", "\"secondary\"")},
      {"no version", replaced(Good, "\"version\":7,", "")},
      {"no routes", replaced(Good, "\"routes\"", "\"paths\"")},
      {"route without service",
       replaced(Good, "\"latency-goal-ms\":400,\"service\":\"s\"",
                "\"latency-goal-ms\":400")},
      {"not JSON", "{"},
  };
  for (const auto &[Name, Document] : Bad) {
    CAPTURE(Name);
    CHECK_FALSE(succeeded(decodePlan(Document)));
  }
}
