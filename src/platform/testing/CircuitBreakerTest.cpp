#include "platform/CircuitBreaker.h"
#include "platform/Backoff.h"

#include <catch2/catch.hpp>

#include <string>

using namespace amaranthspur;

// Guards against a breaker that opens early, never closes again, or lets a
// crowd of trials through to a service that has just come back.
TEST_CASE("the breaker opens, tries once and closes") {
  // Each letter of Steps: f failure, s success, w wait 500 ms, a allowed,
  // r refused.
  struct Row {
    const char *Name;
    const char *Steps;
    BreakerState After;
  };
  const Row Rows[] = {
      {"closed at first", "a", BreakerState::Closed},
      {"two failures", "afafa", BreakerState::Closed},
      {"third failure opens", "afafafr", BreakerState::Open},
      {"success resets the count", "afafasafafa", BreakerState::Closed},
      {"one trial after the wait", "afafafwar", BreakerState::HalfOpen},
      {"trial succeeds", "afafafwasa", BreakerState::Closed},
      {"failed trial doubles the wait", "afafafwafwrwa",
       BreakerState::HalfOpen},
      {"the wait is bounded", "afafafwafwwafwwa", BreakerState::HalfOpen},
      {"late failure while open", "afafaaffr", BreakerState::Open},
      {"late success while open", "aafafafsa", BreakerState::Closed},
  };
  for (const Row &R : Rows) {
    CAPTURE(R.Name, R.Steps);
    CircuitBreaker Breaker({3, milliseconds(500), milliseconds(1000)});
    ManualClock Clock;
    for (const char Step : std::string(R.Steps)) {
      if (Step == 'f')
        Breaker.failed(Clock.now());
      else if (Step == 's')
        Breaker.succeeded();
      else if (Step == 'w')
        Clock.advance(milliseconds(500));
      else
        CHECK(Breaker.allow(Clock.now()) == (Step == 'a'));
    }
    CHECK(nameOf(Breaker.state()) == nameOf(R.After));
  }
}

// Guards against retries that come too fast, unbounded, or all at once.
TEST_CASE("backoff doubles up to its bound with jitter in the upper half") {
  struct Row {
    unsigned Attempt;
    int GreatestMs;
  };
  const Row Rows[] = {{1, 50},   {2, 100},  {3, 200},           {5, 800},
                      {6, 1000}, {7, 1000}, {4000000000U, 1000}};
  const Backoff B(milliseconds(50), milliseconds(1000));
  for (const Row &R : Rows) {
    CAPTURE(R.Attempt);
    Random Draw(3);
    Duration Least = Duration::max();
    Duration Greatest{};
    for (int I = 0; I < 200; ++I) {
      const Duration D = B.delayAfter(R.Attempt, Draw);
      Least = std::min(Least, D);
      Greatest = std::max(Greatest, D);
    }
    CHECK(Least >= milliseconds(R.GreatestMs) / 2);
    CHECK(Greatest <= milliseconds(R.GreatestMs));
    CHECK(Least != Greatest);
  }
}
