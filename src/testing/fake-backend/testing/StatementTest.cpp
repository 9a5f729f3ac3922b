#include "testing/fake-backend/Statement.h"

#include <catch2/catch.hpp>

using namespace amaranthspur;
using namespace amaranthspur::fake;

// Guards against splitting inside a string, a comment or a trigger body.
TEST_CASE("SQL text is split into statements") {
  struct Row {
    std::string Text;
    std::vector<std::string> Statements;
  };
  const Row Rows[] = {
      {"", {}},
      {" ; ", {"", ""}},
      {"SELECT 1", {"SELECT 1"}},
      {"SELECT 1;", {"SELECT 1"}},
      {"SELECT 1; SELECT 2", {"SELECT 1", "SELECT 2"}},
      {"SELECT ';'; SELECT 2", {"SELECT ';'", "SELECT 2"}},
      {"SELECT 'it''s;'; SELECT 2", {"SELECT 'it''s;'", "SELECT 2"}},
      {"SELECT \"a;b\"; SELECT 2", {"SELECT \"a;b\"", "SELECT 2"}},
      {"SELECT 1 -- a;b\n; SELECT 2", {"SELECT 1 -- a;b\n", "SELECT 2"}},
      {"SELECT 1 /* a;b */; SELECT 2", {"SELECT 1 /* a;b */", "SELECT 2"}},
      {"-- a;b\nSELECT 1", {"SELECT 1"}},
      {"SELECT 'unfinished; ", {"SELECT 'unfinished; "}},
      {"CREATE TRIGGER r AFTER INSERT ON t BEGIN SELECT 1; END; SELECT 2",
       {"CREATE TRIGGER r AFTER INSERT ON t BEGIN SELECT 1; END; SELECT 2"}},
  };
  for (const Row &R : Rows) {
    CAPTURE(R.Text);
    std::vector<std::string> Found;
    std::string_view Rest = R.Text;
    while (!Rest.empty())
      Found.emplace_back(consumeStatement(Rest));
    while (!Found.empty() && Found.back().empty() && R.Statements.empty())
      Found.pop_back();
    CHECK(Found == R.Statements);
  }
}

// Guards against writes that run without the write lock, and against control
// functions that are passed to SQLite.
TEST_CASE("statements are classified by their first word") {
  struct Row {
    std::string Text;
    StatementForm Form;
    std::string Tag;
  };
  const Row Rows[] = {
      {"", StatementForm::Empty, ""},
      {"/* only */ -- comments", StatementForm::Empty, ""},
      {"select 1", StatementForm::Read, "SELECT"},
      {"WITH x AS (SELECT 1) SELECT * FROM x", StatementForm::Read, "SELECT"},
      {"/* amaranthspur.class=a */ Insert INTO t VALUES (1)",
       StatementForm::Write, "INSERT 0"},
      {"UPDATE t SET v = 1", StatementForm::Write, "UPDATE"},
      {"create table t (v)", StatementForm::Write, "CREATE TABLE"},
      {"BEGIN", StatementForm::Begin, "BEGIN"},
      {"START TRANSACTION", StatementForm::Begin, "BEGIN"},
      {"END", StatementForm::Commit, "COMMIT"},
      {"abort", StatementForm::Rollback, "ROLLBACK"},
      {"SET a.b = 1", StatementForm::Setting, "SET"},
      {"DISCARD ALL", StatementForm::Setting, "DISCARD ALL"},
      {"SELECT * FROM group_status()", StatementForm::Control, "SELECT"},
      {"SELECT GROUP_STATUS ( )", StatementForm::Control, "SELECT"},
      {"SELECT group_status() + 1", StatementForm::Read, "SELECT"},
      {"SELECT * FROM group_status", StatementForm::Read, "SELECT"},
      {"SELECT 'group_status()'", StatementForm::Read, "SELECT"},
  };
  for (const Row &R : Rows) {
    CAPTURE(R.Text);
    const Statement S = parseStatement(R.Text);
    CHECK(nameOf(S.Form) == nameOf(R.Form));
    CHECK(S.Tag == R.Tag);
  }
}

// Guards against an argument that is lost or keeps its quotes.
TEST_CASE("arguments of control functions") {
  struct Row {
    std::string Text;
    ControlFunction Function;
    std::vector<std::string> Arguments;
  };
  const Row Rows[] = {
      {"SELECT group_adopt_term(7)", ControlFunction::AdoptTerm, {"7"}},
      {"SELECT * FROM group_follow(2, 'b', '127.0.0.1:5')",
       ControlFunction::Follow,
       {"2", "b", "127.0.0.1:5"}},
      {"select group_acquire_owner( 'vm-1' ,12,900 ) ",
       ControlFunction::AcquireOwner,
       {"vm-1", "12", "900"}},
      {"SELECT group_acquire_owner('', 1, 2)",
       ControlFunction::AcquireOwner,
       {"", "1", "2"}},
      {"SELECT group_counters()", ControlFunction::Counters, {}},
  };
  for (const Row &R : Rows) {
    CAPTURE(R.Text);
    const Statement S = parseStatement(R.Text);
    CHECK(nameOf(S.Call.Function) == nameOf(R.Function));
    CHECK(S.Call.Arguments == R.Arguments);
  }
}
