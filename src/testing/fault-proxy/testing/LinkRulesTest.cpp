#include "testing/fault-proxy/LinkRules.h"

#include <catch2/catch.hpp>

using namespace amaranthspur;
using namespace amaranthspur::fault;

// Guards against applying the delay of another link to a connection.
TEST_CASE("the most specific rule applies") {
  struct Row {
    std::string Client;
    std::string Link;
    int Delay; ///< Of the rule that applies, in µs; -1 if none does.
  };
  const std::pair<std::pair<std::string, std::string>, int> Given[] = {
      {{"", "paarl"}, 1},           {{"127.0.1.", ""}, 2},
      {{"127.0.1.", "paarl"}, 3},   {{"127.0.1.7", "pa"}, 4},
      {{"127.0.3.", "paarl-2"}, 5},
  };
  const Row Rows[] = {
      {"127.0.2.1", "paarl-1", 1},  {"127.0.1.1", "joburg", 2},
      {"127.0.1.1", "paarl-1", 3},  {"127.0.1.7", "paarl-1", 3},
      {"127.0.1.7", "pax", 4},      {"127.0.3.1", "paarl-2", 5},
      {"127.0.3.1", "paarl-1", 1},  {"127.0.2.1", "joburg", -1},
      {"127.0.10.1", "joburg", -1},
  };
  LinkRules Rules;
  for (const auto &[Names, Delay] : Given) {
    LinkRule Rule;
    Rule.From = Names.first;
    Rule.To = Names.second;
    Rule.Delay = Duration(99);
    Rules.set(Rule);
    Rule.Delay = Duration(Delay);
    Rules.set(Rule); // Replaces the first one.
  }
  for (const Row &R : Rows) {
    CAPTURE(R.Client, R.Link);
    const LinkRule *Found = Rules.find(R.Client, R.Link);
    REQUIRE((Found != nullptr) == (R.Delay >= 0));
    if (Found != nullptr)
      CHECK(Found->Delay.count() == R.Delay);
  }
}

// Guards against a `silent` rule that also discards the bytes of connections
// opened after it was set.
TEST_CASE("a rule discards the bytes of the right connections") {
  struct Row {
    const char *Fields;
    bool OldForward, OldBackward, NewForward, NewBackward;
  };
  const Row Rows[] = {
      {"", false, false, false, false},
      {",\"silent\":true", true, true, false, false},
      {",\"drop_forward\":true", true, false, true, false},
      {",\"drop_backward\":true", false, true, false, true},
  };
  for (const Row &R : Rows) {
    CAPTURE(R.Fields);
    const auto Parsed = parseCommand(QByteArray("{\"command\":\"set\"") +
                                     R.Fields + QByteArray("}"));
    REQUIRE(succeeded(Parsed));
    LinkRules Rules;
    const std::uint64_t Old = Rules.nextSerial();
    Rules.set(valueOf(Parsed).Rule);
    const std::uint64_t New = Rules.nextSerial();
    const LinkRule *Rule = Rules.find("127.0.0.1", "x");
    REQUIRE(Rule != nullptr);
    CHECK(Rule->discards(Direction::Forward, Old) == R.OldForward);
    CHECK(Rule->discards(Direction::Backward, Old) == R.OldBackward);
    CHECK(Rule->discards(Direction::Forward, New) == R.NewForward);
    CHECK(Rule->discards(Direction::Backward, New) == R.NewBackward);
  }
}

// Guards against a bandwidth that is not shared by all bytes of a direction,
// that is shared between the directions, or that is off by a constant factor.
TEST_CASE("the bytes of one direction share its bandwidth") {
  LinkRule Rule;
  Rule.Delay = milliseconds(8);
  Rule.BandwidthKbit = 30000;
  const TimePoint Now{std::chrono::seconds(100)};
  // 30,000 bytes at 30 Mbit/s take 8 ms.
  CHECK(Rule.arrival(Direction::Forward, 30000, Now) - Now == milliseconds(16));
  CHECK(Rule.arrival(Direction::Forward, 30000, Now) - Now == milliseconds(24));
  CHECK(Rule.arrival(Direction::Backward, 30000, Now) - Now ==
        milliseconds(16));
  const TimePoint Later = Now + milliseconds(100);
  CHECK(Rule.arrival(Direction::Forward, 30000, Later) - Later ==
        milliseconds(16));
  Rule.BandwidthKbit = 0;
  CHECK(Rule.arrival(Direction::Forward, 30000, Now) - Now == milliseconds(8));
}
