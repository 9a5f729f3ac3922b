#include "wire/PgFrame.h"

#include <catch2/catch.hpp>

using namespace amaranthspur;
using namespace amaranthspur::pg;

// Guards against frames that are split at the wrong place when the stream
// arrives in pieces of any size.
TEST_CASE("frames do not depend on how the stream is split into reads") {
  const std::string Stream = buildStartup({{"user", "bench"}}) +
                             buildQuery("SELECT 1") + buildFrame('S', "") +
                             buildQuery(std::string(70000, 'x'));
  for (const std::size_t Piece : {1UL, 2UL, 3UL, 7UL, 4096UL, 1000000UL}) {
    CAPTURE(Piece);
    FrameReader Reader(MaxCallerFrameBytes, true);
    std::string Types;
    std::string Rebuilt;
    for (std::size_t At = 0; At < Stream.size(); At += Piece) {
      Reader.feed(std::string_view(Stream).substr(At, Piece));
      for (;;) {
        const auto Next = Reader.next();
        REQUIRE(succeeded(Next));
        if (!valueOf(Next))
          break;
        Types += valueOf(Next)->Type == 0 ? '0' : valueOf(Next)->Type;
        Rebuilt += valueOf(Next)->Whole;
      }
    }
    CHECK(Types == "0QSQ");
    CHECK(Rebuilt == Stream);
    CHECK(Reader.buffered() == 0);
  }
}

// Guards against a length from an untrusted peer that makes the proxy allocate
// memory or wait for that many bytes.
TEST_CASE("a frame length out of range is an error at once") {
  struct Row {
    const char *Name;
    std::string Bytes;
    bool Startup;
  };
  const Row Rows[] = {
      {"length below its own size", std::string("Q\0\0\0\3", 5), false},
      {"length zero", std::string("Q\0\0\0\0", 5), false},
      {"length beyond the limit", "Q\xff\xff\xff\xff", false},
      {"start-up beyond its limit", std::string("\0\1\0\0", 4), true},
  };
  for (const Row &R : Rows) {
    CAPTURE(R.Name);
    FrameReader Reader(1000, R.Startup);
    Reader.feed(R.Bytes);
    CHECK_FALSE(succeeded(Reader.next()));
  }
}

// Guards against a malformed start-up message that opens a session.
TEST_CASE("start-up messages are parsed or rejected") {
  struct Row {
    const char *Name;
    std::string Body;
    bool Good;
    StartupKind Kind;
  };
  const std::string Version("\0\3\0\0", 4);
  const Row Rows[] = {
      {"plain", Version + std::string("user\0a\0\0", 8), true,
       StartupKind::Start},
      {"ssl", "\x04\xd2\x16\x2f", true, StartupKind::Ssl},
      {"gss", "\x04\xd2\x16\x30", true, StartupKind::GssEncryption},
      {"cancel", "\x04\xd2\x16\x2e" + std::string("\0\0\0\1\0\0\0\2", 8), true,
       StartupKind::Cancel},
      {"truncated cancel request",
       "\x04\xd2\x16\x2e" + std::string("\0\0\0\1", 4), false,
       StartupKind::Cancel},
      {"protocol 2", std::string("\0\2\0\0", 4), false, StartupKind::Start},
      {"empty", "", false, StartupKind::Start},
      {"no terminator", Version + std::string("user\0a\0", 7), false,
       StartupKind::Start},
      {"value missing", Version + std::string("user\0", 5), false,
       StartupKind::Start},
  };
  for (const Row &R : Rows) {
    CAPTURE(R.Name);
    const auto Parsed = parseStartup(R.Body);
    REQUIRE(succeeded(Parsed) == R.Good);
    if (R.Good)
      CHECK(valueOf(Parsed).Kind == R.Kind);
  }
}

// Guards against error fields that are lost between building and parsing.
TEST_CASE("a built error response can be parsed") {
  const std::string Bytes = buildRefusal(notRun(RefusalReason::Overloaded));
  FrameReader Reader(1000, false);
  Reader.feed(Bytes);
  const auto Next = Reader.next();
  REQUIRE(succeeded(Next));
  REQUIRE(valueOf(Next));
  const ErrorFields Fields = parseError(valueOf(Next)->Body);
  CHECK(Fields.SqlState == "53000");
  CHECK(Fields.Message == "not run: overloaded");
}
