#include "config/Generation.h"
#include "config/Plan.h"
#include "config/Validation.h"
#include "config/testing/Examples.h"

#include <catch2/catch.hpp>

#include <rapidcheck.h>

#include <cstdlib>

using namespace amaranthspur;
using namespace amaranthspur::config;

namespace {

// A fixed seed makes the test deterministic. If RC_PARAMS is already set in the
// environment, that value is used instead.
const int SetSeedResult =
    setenv("RC_PARAMS", "seed=20261204 max_success=200", 0);

/// Checks a property that holds for every text: the parser reports mistakes, or
/// it returns answers that have the same content after a round trip.
void requireConsistent(const std::string &Json) {
  const ParsedAnswers Parsed = parseAnswers(Json);
  for (const Mistake &M : Parsed.Mistakes) {
    RC_ASSERT(!M.Value.empty());
    RC_ASSERT(!M.Allowed.empty());
  }
  if (!Parsed.Mistakes.empty())
    return;
  const std::string Content = contentOf(Parsed.Answers);
  RC_ASSERT(succeeded(configurationFrom(Content, hashOf(Content), 1)));
  const ParsedAnswers Again = parseAnswers(formatAnswers(Parsed.Answers));
  RC_ASSERT(Again.Mistakes.empty());
  RC_ASSERT(contentOf(Again.Answers) == Content);
}

} // namespace

// Guards against a text that crashes the parser or is accepted only in part.
TEST_CASE("any text gives mistakes or consistent answers") {
  REQUIRE(SetSeedResult == 0);
  CHECK(rc::check("arbitrary text",
                  [](const std::string &Text) { requireConsistent(Text); }));
  CHECK(rc::check("an example with some bytes replaced", [] {
    std::string Json =
        exampleText(*rc::gen::element<std::string>("engravers", "association"));
    const auto Edits = *rc::gen::inRange(1, 4);
    for (int I = 0; I < Edits; ++I) {
      const auto At = *rc::gen::inRange<std::size_t>(0, Json.size());
      const auto Length = *rc::gen::inRange<std::size_t>(0, 8);
      const auto New = *rc::gen::elementOf(std::vector<std::string>{
          "", "0", "-1", "1e99", "null", "\"\"", "{", "}", "[", "]", ",", "\\",
          "true", "\"a\":", "9"});
      Json.replace(At, Length, New);
    }
    requireConsistent(Json);
  }));
}

// Guards against a plan that misses a change or lists a change for equal
// content.
TEST_CASE("a plan is empty if and only if the contents are equal") {
  CHECK(rc::check("random edits", [] {
    const Questionnaire From = example("engravers");
    Questionnaire To = From;
    ServiceAnswer &S = *To.mutable_services(*rc::gen::inRange(0, 3));
    S.mutable_callers(*rc::gen::inRange(0, 3))
        ->set_weight(*rc::gen::inRange(1U, 5U));
    S.mutable_backend_servers(*rc::gen::inRange(0, 3))
        ->set_slots(*rc::gen::inRange(4U, 7U));
    S.mutable_classes(*rc::gen::inRange(0, 3))
        ->set_max_staleness_ms(*rc::gen::element(0U, 2000U, 30000U));
    S.mutable_callers()->SwapElements(*rc::gen::inRange(0, 3), 0);
    RC_ASSERT(validate(To).empty());
    const bool Equal = contentOf(From) == contentOf(To);
    RC_ASSERT(planChange(From, To).Changes.empty() == Equal);
  }));
}
