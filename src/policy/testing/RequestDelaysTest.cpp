#include "policy/RequestDelays.h"

#include <catch2/catch.hpp>

#include <vector>

using namespace amaranthspur;

namespace {

TimePoint at(Duration Time) { return TimePoint(Time); }

} // namespace

// Guards against a write that runs after its sender has given it up, because it
// waited in a socket, and against writes that are refused although they were
// fast.
TEST_CASE("the delay of a request is measured without a common clock") {
  struct Request {
    Duration SentAt;     ///< By the sender's clock.
    Duration ReceivedAt; ///< By the receiver's clock.
    std::optional<Duration> Delay;
  };
  struct Row {
    const char *Name;
    std::vector<Request> Requests;
  };
  using std::chrono::seconds;
  const Row Rows[] = {
      {"equal delays",
       {{seconds(5), seconds(100), std::nullopt},
        {seconds(6), seconds(101), Duration(0)}}},
      {"the receiver was suspended",
       {{seconds(5), seconds(100), std::nullopt},
        {seconds(6), seconds(104), seconds(3)},
        {seconds(9), seconds(104), Duration(0)}}},
      {"the sender's clock is ahead",
       {{seconds(900), seconds(100), std::nullopt},
        {seconds(901), seconds(102), seconds(1)}}},
      {"the first request was slow",
       {{seconds(5), seconds(103), std::nullopt},
        {seconds(8), seconds(103), Duration(0)},
        {seconds(9), seconds(107), seconds(3)}}},
      {"the fastest request was in the last window",
       {{seconds(0), seconds(100), std::nullopt},
        {seconds(61), seconds(163), seconds(2)},
        {seconds(62), seconds(164), seconds(2)}}},
      {"the fastest request was before the last window",
       {{seconds(0), seconds(100), std::nullopt},
        {seconds(61), seconds(163), seconds(2)},
        {seconds(122), seconds(224), Duration(0)}}},
      {"no request for long",
       {{seconds(0), seconds(100), std::nullopt},
        {seconds(130), seconds(230), std::nullopt}}},
      {"the sender's clock has restarted",
       {{seconds(500), seconds(100), std::nullopt},
        {seconds(1), seconds(101), seconds(500)}}},
  };
  for (const Row &R : Rows) {
    CAPTURE(R.Name);
    RequestDelays Delays;
    for (const Request &Given : R.Requests) {
      CAPTURE(Given.ReceivedAt.count());
      CHECK(Delays.observe("a", Given.SentAt, at(Given.ReceivedAt)) ==
            Given.Delay);
    }
    // Another connection starts afresh.
    CHECK_FALSE(Delays.observe("b", seconds(1), at(seconds(300))));
  }
}

// Guards against memory that grows with each connection that was ever made.
TEST_CASE("the number of connections with a known delay is bounded") {
  RequestDelays Delays;
  const auto Fill = [&Delays](const std::string &Prefix, TimePoint Now) {
    for (std::size_t I = 0; I < RequestDelays::MaxConnections + 5; ++I)
      Delays.observe(Prefix + std::to_string(I), Duration(0), Now);
  };
  Fill("a", at(std::chrono::seconds(1)));
  CHECK(Delays.connections() == RequestDelays::MaxConnections);
  Fill("b", at(std::chrono::seconds(200)));
  CHECK(Delays.connections() == RequestDelays::MaxConnections);
  CHECK(Delays.observe("b0", Duration(0), at(std::chrono::seconds(201))));
}
