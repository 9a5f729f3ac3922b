#include "policy/StatementTraits.h"

#include <catch2/catch.hpp>

using namespace amaranthspur;

// Guards against a write that is routed as a read, against a read that is
// needlessly routed as a write, and against overlooking statements that would
// leave state in a pooled connection.
TEST_CASE("statements are classified by kind and access") {
  struct Row {
    const char *Text;
    StatementKind Kind;
    Access Guess;
    bool Multiple;
  };
  using K = StatementKind;
  const Row Rows[] = {
      {"SELECT 1", K::Plain, Access::Read, false},
      {"  select * from t where a = 'it''s; DROP'", K::Plain, Access::Read,
       false},
      {"SELECT 1;", K::Plain, Access::Read, false},
      {"SELECT 1; SELECT 2", K::Plain, Access::Write, true},
      {"SELECT 1; DELETE FROM t", K::Plain, Access::Write, true},
      {"(SELECT 1)", K::Plain, Access::Read, false},
      {"SELECT * FROM t FOR UPDATE", K::Plain, Access::Write, false},
      {"SELECT a INTO b FROM c", K::Plain, Access::Write, false},
      {"SELECT $$ FOR UPDATE $$", K::Plain, Access::Read, false},
      {"SELECT \"update\" FROM t", K::Plain, Access::Read, false},
      {"INSERT INTO t VALUES (1)", K::Plain, Access::Write, false},
      {"WITH x AS (SELECT 1) SELECT * FROM x", K::Plain, Access::Write, false},
      {"BEGIN", K::Begin, Access::Write, false},
      {"start transaction", K::Begin, Access::Write, false},
      {"COMMIT", K::End, Access::Write, false},
      {"rollback", K::End, Access::Write, false},
      {"SET search_path = x", K::SessionState, Access::Write, false},
      {"SET LOCAL search_path = x", K::Plain, Access::Write, false},
      {"LISTEN c", K::SessionState, Access::Write, false},
      {"PREPARE p AS SELECT 1", K::SessionState, Access::Write, false},
      {"CREATE TEMP TABLE t (a int)", K::SessionState, Access::Write, false},
      {"SET amaranthspur.class = 'check'", K::SetProxySetting, Access::Write,
       false},
      {"SHOW amaranthspur.class", K::ShowProxySetting, Access::Read, false},
      {"SHOW server_version", K::Plain, Access::Read, false},
      {"", K::Empty, Access::Write, false},
      {" ; -- nothing", K::Empty, Access::Write, false},
      {"/* unfinished", K::Empty, Access::Write, false},
      {"'unfinished", K::Plain, Access::Write, false},
      {"$", K::Plain, Access::Write, false},
  };
  for (const Row &R : Rows) {
    CAPTURE(R.Text);
    const StatementTraits Traits = classify(R.Text);
    CHECK(Traits.Kind == R.Kind);
    CHECK(Traits.Multiple == R.Multiple);
    if (R.Kind != K::Empty)
      CHECK(Traits.InferredAccess == R.Guess);
  }
}

// Guards against settings that are lost, and against settings that are read
// from the literals of a statement.
TEST_CASE("settings are read from comments and from SET") {
  struct Row {
    const char *Text;
    std::vector<std::pair<std::string, std::string>> Expected;
  };
  const Row Rows[] = {
      {"/* amaranthspur.class=check */ SELECT 1", {{"class", "check"}}},
      {"/* amaranthspur.class=check, amaranthspur.repeatable=on */ SELECT 1",
       {{"class", "check"}, {"repeatable", "on"}}},
      {"/* a */ /* amaranthspur.access=read */ SELECT 1", {{"access", "read"}}},
      {"SELECT '/* amaranthspur.class=check */'", {}},
      {"SELECT 1 /* amaranthspur.class=check */", {}},
      {"/*amaranthspur.class*/ SELECT 1", {}},
      {"SET amaranthspur.deadline_ms TO 100;", {{"deadline_ms", "100"}}},
      {"set session amaranthspur.class = 'a b'", {{"class", "a b"}}},
  };
  for (const Row &R : Rows) {
    CAPTURE(R.Text);
    const StatementTraits Traits = classify(R.Text);
    std::vector<std::pair<std::string, std::string>> Found;
    Found.reserve(Traits.Settings.size());
    for (const SettingAssignment &S : Traits.Settings)
      Found.emplace_back(S.Name, S.Value);
    CHECK(Found == R.Expected);
  }
}

// Guards against learning run times per literal instead of per shape.
TEST_CASE("literals and comments are not part of the shape") {
  struct Row {
    const char *A;
    const char *B;
    bool Same;
  };
  const Row Rows[] = {
      {"SELECT * FROM t WHERE a = 1", "select  * from t where a = 2", true},
      {"SELECT 'a'", "SELECT 'b''c'", true},
      {"/* amaranthspur.class=a */ SELECT 1", "SELECT 1", true},
      {"SELECT a", "SELECT b", false},
      {"SELECT a FROM t", "DELETE a FROM t", false},
  };
  for (const Row &R : Rows) {
    CAPTURE(R.A, R.B);
    CHECK((classify(R.A).Shape == classify(R.B).Shape) == R.Same);
  }
}
