#include "platform/CircuitBreaker.h"
#include "platform/Backoff.h"

#include <catch2/catch.hpp>

#include <string>

using namespace amaranthspur;

// Guards against a breaker that opens too early, that never closes again, or
// that allows many trial requests to a service that has just recovered.
TEST_CASE("the breaker opens, allows one trial request and closes") {
  // Steps has one letter per action or check: f records a failure, s records a
  // success, w advances the clock by 500 ms, a expects that a request is
  // allowed, r expects that it is refused.
  struct Row {
    const char *Name;
    const char *Steps;
    BreakerState FinalState;
  };
  const Row Rows[] = {
      {"initially closed", "a", BreakerState::Closed},
      {"two failures", "afafa", BreakerState::Closed},
      {"third failure opens the breaker", "afafafr", BreakerState::Open},
      {"success resets the failure count", "afafasafafa", BreakerState::Closed},
      {"one trial request after the open time", "afafafwar",
       BreakerState::HalfOpen},
      {"successful trial closes the breaker", "afafafwasa",
       BreakerState::Closed},
      {"failed trial doubles the open time", "afafafwafwrwa",
       BreakerState::HalfOpen},
      {"the open time is bounded", "afafafwafwwafwwa", BreakerState::HalfOpen},
      {"late failure while open", "afafaaffr", BreakerState::Open},
      {"late success while open", "aafafafsa", BreakerState::Closed},
  };
  for (const Row &R : Rows) {
    CAPTURE(R.Name, R.Steps);
    CircuitBreaker Breaker({3, milliseconds(500), milliseconds(1000)});
    ManualClock Clock;
    for (const char Step : std::string(R.Steps)) {
      if (Step == 'f')
        Breaker.recordFailure(Clock.now());
      else if (Step == 's')
        Breaker.recordSuccess();
      else if (Step == 'w')
        Clock.advance(milliseconds(500));
      else
        CHECK(Breaker.allow(Clock.now()) == (Step == 'a'));
    }
    CHECK(nameOf(Breaker.state()) == nameOf(R.FinalState));
  }
}

// Guards against retries whose delays are too short or unbounded, and against
// retries of many clients that coincide for lack of jitter.
TEST_CASE("backoff doubles up to its bound with jitter in the upper half") {
  struct Row {
    unsigned Attempt;
    int MaxDelayMs;
  };
  const Row Rows[] = {{1, 50},   {2, 100},  {3, 200},           {5, 800},
                      {6, 1000}, {7, 1000}, {4000000000U, 1000}};
  const Backoff B(milliseconds(50), milliseconds(1000));
  for (const Row &R : Rows) {
    CAPTURE(R.Attempt);
    Random Rng(3);
    Duration Least = Duration::max();
    Duration Greatest{};
    for (int I = 0; I < 200; ++I) {
      const Duration D = B.delayAfter(R.Attempt, Rng);
      Least = std::min(Least, D);
      Greatest = std::max(Greatest, D);
    }
    CHECK(Least >= milliseconds(R.MaxDelayMs) / 2);
    CHECK(Greatest <= milliseconds(R.MaxDelayMs));
    CHECK(Least != Greatest);
  }
}
