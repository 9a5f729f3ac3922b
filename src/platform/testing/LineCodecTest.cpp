#include "platform/LineCodec.h"

#include <catch2/catch.hpp>

using namespace amaranthspur;
using namespace amaranthspur::lines;

// Guards against a statement that is decoded as a different one, and against a
// malformed line that is accepted.
TEST_CASE("messages of callers are decoded") {
  struct Row {
    std::string Line;
    /// "bad", "connect", "bye" or the statement's verb.
    std::string ExpectedKind;
    std::string Name = "";
    std::string Body = "";
  };
  const Row Rows[] = {
      {"CONNECT lepu270 u3f1", "connect", "lepu270"},
      {"CONNECT lepu270", "connect", "lepu270"},
      {"CONNECT", "bad"},
      {"BYE", "bye"},
      {"QUERY 5c READ 1a4", "read", "", "1a4"},
      {"QUERY 5c WRITE 1a4 some data with blanks", "write", "",
       "1a4 some data with blanks"},
      {"QUERY 5c BEGIN", "begin"},
      {"QUERY 5c BEGIN READ", "begin"},
      {"QUERY 5c BEGIN WRITE", "bad"},
      {"QUERY 5c COMMIT", "commit"},
      {"QUERY 5c ROLLBACK", "rollback"},
      {"QUERY 5c SET zone paarl a", "set", "zone", "paarl a"},
      {"QUERY 5c PREPARE s1 WRITE q2c", "prepare", "s1", "q2c"},
      {"QUERY 5c PREPARE s1 WRITE", "bad"},
      {"QUERY 5c PREPARE s1 DROP q2c", "bad"},
      {"QUERY 5c EXECUTE s1 1a4 xk", "execute", "s1", "1a4 xk"},
      {"QUERY 5c DEALLOC s1", "deallocate", "s1"},
      {"QUERY 5c READ", "bad"},
      {"QUERY 5c WAITFOR 3.1 READ 1a4", "bad"},
      {"QUERY 5c STATUS", "bad"},
      {"QUERY", "bad"},
      {"", "bad"},
      {"GET / HTTP/1.1", "bad"},
  };
  for (const Row &R : Rows) {
    CAPTURE(R.Line);
    const Result<CallerLine> Decoded = decodeCallerLine(R.Line);
    if (R.ExpectedKind == "bad") {
      CHECK_FALSE(succeeded(Decoded));
      continue;
    }
    REQUIRE(succeeded(Decoded));
    if (const auto *Connect = std::get_if<ConnectLine>(&valueOf(Decoded))) {
      CHECK(R.ExpectedKind == "connect");
      CHECK(Connect->Database == R.Name);
    } else if (const auto *S = std::get_if<Statement>(&valueOf(Decoded))) {
      CHECK(nameOf(S->Kind) == R.ExpectedKind);
      CHECK(S->Id == "5c");
      CHECK(S->Name == R.Name);
      CHECK(S->Body == R.Body);
    } else {
      CHECK(R.ExpectedKind == "bye");
    }
  }
}

// Guards against a forwarded statement whose text differs from what the caller
// sent, so that the server runs a statement that no caller asked for.
TEST_CASE("a statement is forwarded with its id and unchanged text") {
  struct Row {
    std::string Line;
    std::optional<LogPosition> Floor;
    std::string Prepared;
    std::string Sent;
  };
  const Row Rows[] = {
      {"QUERY 5c READ 1a4", std::nullopt, "", "QUERY 5c READ 1a4\r\n"},
      {"QUERY 5c READ 1a4", LogPosition{3, 7}, "",
       "QUERY 5c WAITFOR 3.7 READ 1a4\r\n"},
      {"QUERY 5c WRITE 1a4  two  blanks", std::nullopt, "",
       "QUERY 5c WRITE 1a4  two  blanks\r\n"},
      {"QUERY 5c BEGIN READ", LogPosition{3, 7}, "",
       "QUERY 5c WAITFOR 3.7 BEGIN READ\r\n"},
      {"QUERY 5c EXECUTE s1 1a4 x y", std::nullopt, "w:q2c",
       "QUERY 5c EXECUTE w:q2c 1a4 x y\r\n"},
  };
  for (const Row &R : Rows) {
    CAPTURE(R.Line);
    const Result<CallerLine> Decoded = decodeCallerLine(R.Line);
    REQUIRE(succeeded(Decoded));
    CHECK(encodeForwardedStatement(std::get<Statement>(valueOf(Decoded)),
                                   R.Floor, R.Prepared) == R.Sent);
  }
}

// Guards against an answer that loses rows or is mixed with the next answer.
TEST_CASE("a server's answer is assembled and forwarded unchanged") {
  struct Row {
    std::string Name;
    std::vector<std::string> Lines;
    std::string Forwarded; ///< Empty: the lines are not a valid answer.
  };
  const Row Rows[] = {
      {"rows and digest",
       {"ROW a b", "ROW c", "COMPLETE 7.1f", "READY I 3.1209"},
       "ROW a b\r\nROW c\r\nCOMPLETE 7.1f\r\nREADY I 3.1209\r\n"},
      {"error",
       {"ERROR READONLY i-7f", "READY E 3.1209"},
       "ERROR READONLY i-7f\r\nREADY E 3.1209\r\n"},
      {"no position",
       {"COMPLETE -", "READY T -"},
       "COMPLETE -\r\nREADY T -\r\n"},
      {"row after the result", {"COMPLETE -", "ROW a"}, ""},
      {"two results", {"COMPLETE -", "COMPLETE -"}, ""},
      {"unknown state", {"COMPLETE -", "READY X -"}, ""},
      {"unknown keyword", {"HELLO"}, ""},
  };
  for (const Row &R : Rows) {
    CAPTURE(R.Name);
    AnswerReader Reader;
    bool Complete = false;
    bool Bad = false;
    for (const std::string &Line : R.Lines) {
      const Result<bool> Added = Reader.addLine(Line);
      Bad = Bad || !succeeded(Added);
      Complete = succeeded(Added) && valueOf(Added);
    }
    CHECK(Bad == R.Forwarded.empty());
    if (Bad)
      continue;
    REQUIRE(Complete);
    CHECK(encodeAnswer(Reader.takeAnswer()) == R.Forwarded);
  }
}

// Guards against a promotion that is decided on an incorrectly decoded status.
TEST_CASE("status rows are decoded") {
  const Result<ServerReport> Good = decodeReport("replica 3 3.1209 4 12 2 17");
  REQUIRE(succeeded(Good));
  CHECK(valueOf(Good).Role == ServerRole::Replica);
  CHECK(valueOf(Good).TermNumber == 3);
  CHECK(valueOf(Good).Received == LogPosition{3, 1209});
  CHECK(valueOf(Good).AdoptedTerm == 4);
  CHECK(valueOf(Good).ApplyLag == milliseconds(12));
  CHECK(valueOf(Good).Busy == 2);
  CHECK(valueOf(Good).Connections == 17);
  for (const char *Bad : {"", "replica", "leader 3 3.1 0 0 0 0",
                          "replica x 3.1 0 0 0 0", "replica 3 31 0 0 0 0",
                          "replica 3 3.1 0 0 0", "replica 3 3.1 -1 0 0 0"})
    CHECK_FALSE(succeeded(decodeReport(Bad)));
}

// Guards against lines that are lost or joined when the bytes arrive in several
// reads.
TEST_CASE("lines are found however the stream is split into reads") {
  const std::string Bytes = "one\r\ntwo words\r\n\r\nlast\r\n";
  for (std::size_t First = 0; First <= Bytes.size(); ++First) {
    for (std::size_t Second = First; Second <= Bytes.size(); ++Second) {
      LineReader Reader;
      std::vector<std::string> Lines;
      for (const std::string &Part :
           {Bytes.substr(0, First), Bytes.substr(First, Second - First),
            Bytes.substr(Second)}) {
        Reader.feed(Part);
        while (std::optional<std::string> Line = Reader.next())
          Lines.push_back(*Line);
      }
      CAPTURE(First, Second);
      CHECK(Lines == std::vector<std::string>{"one", "two words", "", "last"});
    }
  }
  LineReader Long;
  Long.feed(std::string(MaxLineBytes + 1, 'x'));
  CHECK_FALSE(Long.next());
  CHECK(Long.overflowed());
}
