#include "config/Generation.h"
#include "config/Head.h"
#include "config/testing/Examples.h"

#include <catch2/catch.hpp>

#include <algorithm>

using namespace amaranthspur;
using namespace amaranthspur::config;

// Guards against a value of the answers that is converted with the wrong unit
// or replaced by a default in the configuration.
TEST_CASE("the configuration is generated from the answers") {
  const Configuration Config = generate(example("association"), 12);
  CHECK(Config.Revision == 12);
  const ServiceConfig *S = Config.findService(ServiceName("ledger-2"));
  REQUIRE(S != nullptr);
  REQUIRE(S->Servers.size() == 3);
  CHECK(S->Servers[0].Id.str() == "ledger-2-a");
  CHECK(S->Servers[0].Host == "10.30.2.21");
  CHECK(S->Servers[0].ConnectionLimit == 50);
  CHECK(S->Servers[2].Location.str() == "paysandu");
  REQUIRE(S->Classes.size() == 3);
  CHECK(S->Classes[0].Name.str() == "assignment");
  CHECK(S->Classes[0].Deadline == milliseconds(2000));
  CHECK(S->Classes[0].ExpectedLength == milliseconds(5));
  CHECK(S->Classes[0].MaxStaleness == milliseconds(1000));
  CHECK(nameOf(S->Classes[0].Repeatability) == "on");
  CHECK(nameOf(S->Classes[2].Repeatability) == "off");
  REQUIRE(S->Callers.size() == 3);
  CHECK(S->Callers[1].Name.str() == "handset");
  CHECK(S->Callers[1].Weight == 4);
  CHECK(S->Callers[1].DefaultClass.str() == "assignment");

  struct Row {
    const char *From;
    const char *To;
    int Us;
  };
  const Row Rows[] = {{"montevideo", "canelones", 1500},
                      {"montevideo", "paysandu", 8000},
                      {"paysandu", "canelones", 8000}};
  for (const Row &R : Rows) {
    CAPTURE(R.From, R.To);
    const DataCentreConfig *Place = Config.findDataCentre(DataCentre(R.From));
    REQUIRE(Place != nullptr);
    CHECK(Place->LatencyTo.at(DataCentre(R.To)) == Duration(R.Us));
    CHECK(Place->LatencyTo.size() == 2);
  }
}

// Guards against a write that runs twice because its class does not say whether
// its writes are repeatable.
TEST_CASE("writes are unrepeatable by default") {
  Questionnaire Q = example("engravers");
  Q.mutable_services(0)->mutable_classes(1)->clear_unrepeatable_writes();
  const Configuration Config = generate(Q, 1);
  for (const ClassConfig &C : Config.Services[0].Classes)
    if (C.Name.str() == "proof")
      CHECK(nameOf(C.Repeatability) == "off");
}

// Guards against a new revision for answers that differ only in the order of
// their entries.
TEST_CASE("the order of the entries does not change the content") {
  const Questionnaire Q = example("engravers");
  Questionnaire Other = Q;
  std::reverse(Other.mutable_services()->begin(),
               Other.mutable_services()->end());
  std::reverse(Other.mutable_regions()->begin(),
               Other.mutable_regions()->end());
  std::reverse(Other.mutable_services(0)->mutable_callers()->begin(),
               Other.mutable_services(0)->mutable_callers()->end());
  CHECK(contentOf(Other) == contentOf(Q));
  Other.mutable_services(0)->mutable_callers(0)->set_weight(99);
  CHECK(contentOf(Other) != contentOf(Q));
}

// Guards against corrupted content that is used as the configuration.
TEST_CASE("content is validated before it is used") {
  const std::string Good = contentOf(example("engravers"));
  Questionnaire Unsorted = example("engravers");
  std::reverse(Unsorted.mutable_services()->begin(),
               Unsorted.mutable_services()->end());
  Questionnaire Mistaken = example("engravers");
  Mistaken.mutable_services(0)->mutable_callers(0)->set_weight(0);
  struct Row {
    const char *Name;
    std::string Content;
    const char
        *Expected; ///< Substring of the error, or null for valid content.
  };
  const Row Rows[] = {
      {"good", Good, nullptr},
      {"truncated", Good.substr(0, Good.size() - 1), "malformed"},
      {"empty", "", "mistakes"},
      {"too large", std::string(5U << 20U, 'x'), "larger"},
      {"not sorted", Unsorted.SerializeAsString(), "normal form"},
      {"unknown field", Good + "\xf8\x07\x01", "unknown fields"},
      {"mistaken", contentOf(Mistaken), "weight"},
  };
  for (const Row &R : Rows) {
    CAPTURE(R.Name);
    const Result<Configuration> Config =
        configurationFrom(R.Content, hashOf(R.Content), 4);
    REQUIRE(succeeded(Config) == (R.Expected == nullptr));
    if (!succeeded(Config)) {
      CAPTURE(errorOf(Config));
      CHECK(errorOf(Config).find(R.Expected) != std::string::npos);
    }
    CHECK_FALSE(succeeded(configurationFrom(R.Content, hashOf("other"), 4)));
  }
}

// Guards against a hash function whose results other programs cannot reproduce.
TEST_CASE("the hash is SHA-256 in hexadecimal") {
  CHECK(hashOf("abc") == "ba7816bf8f01cfea414140de5dae2223"
                         "b00361a396177a9cb410ff61f20015ad");
}

// Guards against a head that is parsed wrongly: entry VMs would adopt a wrong
// revision.
TEST_CASE("a valid head survives a round trip and an invalid one is refused") {
  const std::string Hash = hashOf("abc");
  const Head Good{7,     Hash, "op-7", "María \"M\"", "2026-01-01T00:00:00Z",
                  "op-6"};
  const Result<Head> Again = parseHead(formatHead(Good));
  REQUIRE(succeeded(Again));
  CHECK(valueOf(Again) == Good);
  const Result<Head> Empty = parseHead("");
  REQUIRE(succeeded(Empty));
  CHECK(valueOf(Empty).Revision == 0);
  const std::string Bad[] = {
      "x",
      "{}",
      "[]",
      R"({"revision":0,"hash":")" + Hash + R"(","operation":"a"})",
      R"({"revision":-1,"hash":")" + Hash + R"(","operation":"a"})",
      R"({"revision":1,"hash":"../x","operation":"a"})",
      R"({"revision":1,"hash":")" + Hash + R"("})",
      std::string(5000, ' ') + formatHead(Good),
  };
  for (const std::string &Text : Bad) {
    CAPTURE(Text);
    CHECK_FALSE(succeeded(parseHead(Text)));
  }
}
