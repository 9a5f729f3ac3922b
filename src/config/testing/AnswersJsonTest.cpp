#include "config/DuplicateFields.h"
#include "config/Generation.h"
#include "config/Limits.h"
#include "config/testing/Examples.h"

#include <catch2/catch.hpp>

#include <algorithm>

using namespace amaranthspur::config;

namespace {

/// Returns \p Text with the first occurrence of \p From replaced by \p To. The
/// test fails if there is none.
std::string replaced(std::string Text, const std::string &From,
                     const std::string &To) {
  const std::size_t At = Text.find(From);
  REQUIRE(At != std::string::npos);
  return Text.replace(At, From.size(), To);
}

/// One edit of the example `engravers` and the mistake that it causes.
struct MistakeRow {
  const char *Name;
  std::string From; ///< Text whose first occurrence is replaced.
  std::string To;
  /// Value is a prefix and Allowed a substring of the reported texts.
  Mistake Expected;
};

const std::string LongName(64, 'x');
const std::string Server = "services[0].backend_servers[0]";
const std::string Second = "services[0].backend_servers[1]";
const std::string Classes = "services[0].classes";
const std::string Callers = "services[0].callers";

const std::vector<MistakeRow> SchemaRows = {
    {"syntax", "{", "{,", {"", "the text at line 1", "JSON object"}},
    {"not an object", "{", "[{", {"", "the text at line", "JSON object"}},
    {"unknown field",
     "\"slots\"",
     "\"slotz\"",
     {Server + ".slotz", "the field \"slotz\"", "connection_limit"}},
    {"unknown field at the top",
     "\"drained_entry_vms\"",
     "\"drained\"",
     {"drained", "the field \"drained\"", "drained_entry_vms"}},
    {"wrong type",
     "\"port\": 5432",
     "\"port\": \"5432\"",
     {Server + ".port", "\"5432\"", "whole number"}},
    {"fraction",
     "\"weight\": 4",
     "\"weight\": 1.5",
     {Callers + "[0].weight", "1.5", "whole number"}},
    {"negative",
     "\"slots\": 5",
     "\"slots\": -1",
     {Server + ".slots", "-1", "whole number"}},
    {"null",
     "\"leaving\": false",
     "\"leaving\": null",
     {Server + ".leaving", "null", "true or false"}},
    {"object for a list",
     "\"exceptions\": []",
     "\"exceptions\": {}",
     {"latency.exceptions", "an object", "an array"}},
    {"duplicate field",
     "\"slots\": 5",
     "\"slots\": 5, \"slots\": 6",
     {Server + ".slots", "\"slots\"", "once"}},
};

const std::vector<MistakeRow> NameRows = {
    {"duplicate service",
     "\"name\": \"orders-2\"",
     "\"name\": \"orders-1\"",
     {"services[1].name", "\"orders-1\"", "not used above"}},
    {"duplicate server",
     "\"id\": \"orders-1-b\"",
     "\"id\": \"orders-1-a\"",
     {Second + ".id", "\"orders-1-a\"", "not used above"}},
    {"duplicate class",
     "\"name\": \"proof\"",
     "\"name\": \"order\"",
     {Classes + "[1].name", "\"order\"", "not used above"}},
    {"duplicate caller",
     "\"name\": \"portal\"",
     "\"name\": \"bench\"",
     {Callers + "[1].name", "\"bench\"", "not used above"}},
    {"empty name",
     "\"name\": \"orders-1\"",
     "\"name\": \"\"",
     {"services[0].name", "\"\"", "1 to 63"}},
    {"upper case",
     "\"name\": \"orders-1\"",
     "\"name\": \"Orders\"",
     {"services[0].name", "\"Orders\"", "a-z"}},
    {"long name",
     "\"name\": \"orders-1\"",
     "\"name\": \"" + LongName + "\"",
     {"services[0].name", "\"" + LongName + "\"", "1 to 63"}},
    {"control character",
     "\"name\": \"orders-1\"",
     "\"name\": \"a\\u0007b\"",
     {"services[0].name", "\"a?b\"", "1 to 63"}},
    {"unknown data centre",
     "\"data_centre\": \"joburg-a\"",
     "\"data_centre\": \"joburg\"",
     {Server + ".data_centre", "\"joburg\"", "joburg-a paarl-a pretoria-b"}},
    {"unknown class",
     "\"default_class\": \"order\"",
     "\"default_class\": \"orders\"",
     {Callers + "[0].default_class", "\"orders\"", "check order proof"}},
    {"exception of an unknown data centre",
     "\"exceptions\": []",
     "\"exceptions\": [{\"from\": \"x\", \"to\": \"paarl-a\"}]",
     {"latency.exceptions[0].from", "\"x\"", "joburg-a"}},
    {"data centre in two regions",
     "\"paarl-a\"",
     "\"joburg-a\"",
     {"regions[1].data_centres[0]", "\"joburg-a\"", "not used above"}},
    {"duplicate drained entry VM",
     "\"drained_entry_vms\": []",
     "\"drained_entry_vms\": [\"vm-1\", \"vm-1\"]",
     {"drained_entry_vms[1]", "\"vm-1\"", "not used above"}},
};

const std::vector<MistakeRow> ValueRows = {
    {"port out of range",
     "\"port\": 5432",
     "\"port\": 65536",
     {Server + ".port", "65536", "1 to 65535"}},
    {"host name instead of an address",
     "\"10.10.1.21\"",
     "\"db.example\"",
     {Server + ".host", "\"db.example\"", "numeric"}},
    {"incomplete address",
     "\"10.10.1.21\"",
     "\"10.10.1\"",
     {Server + ".host", "\"10.10.1\"", "numeric"}},
    {"duplicate address",
     "\"10.11.1.21\"",
     "\"10.10.1.21\"",
     {Second + ".host", "\"10.10.1.21 port 5432\"", "no other"}},
    {"connection limit below the reserved connections",
     "\"connection_limit\": 30",
     "\"connection_limit\": 8",
     {Server + ".connection_limit", "8", "at least 13"}},
    {"staleness above the maximum",
     "\"max_staleness_ms\": 2000",
     "\"max_staleness_ms\": 86400001",
     {Classes + "[1].max_staleness_ms", "8.64e+07", "0 to"}},
    {"expected length above the deadline",
     "\"expected_length_ms\": 4",
     "\"expected_length_ms\": 2001",
     {Classes + "[0].expected_length_ms", "2001", "2000"}},
    {"no deadline",
     "\"deadline_ms\": 60000",
     "\"deadline_ms\": 0",
     {Classes + "[2].deadline_ms", "0", "1 to 600000"}},
    {"negative latency",
     "\"between_regions_ms\": 8",
     "\"between_regions_ms\": -8",
     {"latency.between_regions_ms", "-8", "0 to 10000"}},
};

} // namespace

// Guards against an example with mistakes: operators start from the examples,
// and could not accept answers that they derive from it.
TEST_CASE("the examples have no mistakes and survive a round trip") {
  for (const char *Name : {"engravers", "association"}) {
    CAPTURE(Name);
    const ParsedAnswers Parsed = parseAnswers(exampleText(Name));
    CHECK(text(Parsed.Mistakes).empty());
    const ParsedAnswers Again = parseAnswers(formatAnswers(Parsed.Answers));
    CHECK(text(Again.Mistakes).empty());
    CHECK(contentOf(Again.Answers) == contentOf(Parsed.Answers));
    CHECK(Parsed.Answers.services_size() == 3);
  }
}

// Guards against a mistake that is not reported, or that is reported without
// its path, its value or the allowed values.
TEST_CASE("a mistake is reported with its path, value and allowed values") {
  const std::string Good = exampleText("engravers");
  for (const auto *Rows : {&SchemaRows, &NameRows, &ValueRows})
    for (const MistakeRow &R : *Rows) {
      CAPTURE(R.Name);
      const ParsedAnswers Parsed = parseAnswers(replaced(Good, R.From, R.To));
      CAPTURE(text(Parsed.Mistakes));
      const auto Matches = [&](const Mistake &M) {
        return M.Path == R.Expected.Path &&
               M.Value.starts_with(R.Expected.Value) &&
               M.Allowed.find(R.Expected.Allowed) != std::string::npos;
      };
      CHECK(
          std::any_of(Parsed.Mistakes.begin(), Parsed.Mistakes.end(), Matches));
    }
}

// Guards against a staleness tolerance that no replica can ever satisfy: it is
// shorter than the latency of replication.
TEST_CASE("a staleness tolerance below the replication latency is a mistake") {
  struct Row {
    double LatencyMs;
    std::uint32_t StalenessMs;
    std::size_t Mistakes; ///< One for each of the 9 classes.
  };
  const Row Rows[] = {{400, 0, 0}, {400, 399, 9}, {400, 400, 0}, {1, 1, 0}};
  for (const Row &R : Rows) {
    CAPTURE(R.LatencyMs, R.StalenessMs);
    Questionnaire Q = example("engravers");
    Q.mutable_latency()->set_within_region_ms(R.LatencyMs);
    Q.mutable_latency()->set_between_regions_ms(R.LatencyMs);
    for (ServiceAnswer &S : *Q.mutable_services())
      for (ClassAnswer &C : *S.mutable_classes())
        C.set_max_staleness_ms(R.StalenessMs);
    const ParsedAnswers Parsed = parseAnswers(formatAnswers(Q));
    CAPTURE(text(Parsed.Mistakes));
    CHECK(Parsed.Mistakes.size() == R.Mistakes);
  }
}

// Guards against a check that stops at the first mistake, so that operators
// have to fix and check the answers repeatedly, and against reports of mistakes
// that are only a consequence of another one.
TEST_CASE("all mistakes are reported at once") {
  std::string Json = exampleText("engravers");
  Json = replaced(Json, "\"10.10.1.21\"", "\"nowhere\"");
  Json = replaced(Json, "\"port\": 5432", "\"port\": true");
  Json = replaced(Json, "\"weight\": 4", "\"weight\": 0");
  Json = replaced(Json, "\"leaving\"", "\"leavin\"");
  Json = replaced(Json, "\"default_class\": \"proof\"",
                  "\"default_class\": \"none\"");
  std::vector<std::string> Paths;
  for (const Mistake &M : parseAnswers(Json).Mistakes)
    Paths.push_back(M.Path);
  std::sort(Paths.begin(), Paths.end());
  const std::vector<std::string> Expected = {
      Server + ".host", Server + ".leavin", Server + ".port",
      Callers + "[0].weight", Callers + "[1].default_class"};
  CHECK(Paths == Expected);
}

// Guards against answers that are so large or so deeply nested that the check
// takes too much time or memory.
TEST_CASE("the size of the answers and the number of mistakes are limited") {
  CHECK(
      parseAnswers(std::string(4 * MaxContentBytes + 1, ' ')).Mistakes.size() ==
      1);
  std::string Many = "{\"drained_entry_vms\": [\"\"";
  for (int I = 0; I < 1000; ++I)
    Many += ",\"\"";
  CHECK(parseAnswers(Many + "]}").Mistakes.size() <= MaxMistakes);
  std::string Deep;
  for (int I = 0; I < 5000; ++I)
    Deep += "{\"regions\":[";
  CHECK_FALSE(parseAnswers(Deep).Mistakes.empty());
}

// Guards against the loss of half of a list: if its field occurs twice, JSON
// parsers keep only one of the two lists.
TEST_CASE("duplicate fields are found at every depth") {
  struct Row {
    const char *Json;
    std::vector<std::string> Paths;
  };
  const Row Rows[] = {
      {"{}", {}},
      {R"({"a":1,"b":{"a":1}})", {}},
      {R"({"a":1,"a":2})", {"a"}},
      {R"({"a":[{"b":1},{"b":1,"b":2}]})", {"a[1].b"}},
      {R"({"a":"a","b":"a","c":["a","a"]})", {}},
      {R"({"a\"":1,"a\"":{"x":1}})", {R"(a\")"}},
      {R"({"a":{"x":1,"x":1},"a":{"x":1}})", {"a.x", "a"}},
  };
  for (const Row &R : Rows) {
    CAPTURE(R.Json);
    std::vector<std::string> Paths;
    for (const Mistake &M : duplicateFields(R.Json))
      Paths.push_back(M.Path);
    CHECK(Paths == R.Paths);
  }
}
