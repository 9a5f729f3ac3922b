#include "ctl/Explain.h"

#include <catch2/catch.hpp>

#include <QJsonArray>

using namespace amaranthspur;
using namespace amaranthspur::ctl;

namespace {

/// Log lines of the entry VMs a and b. The clock of b is 40 s ahead of the
/// clock of a.
const std::string Log =
    "  -9.3 a 2026-04-19T05:50:47.618Z level=INFO process=a "
    "event=plan-accepted "
    "revision=3 databases=19\n"
    "  3.1 a 2026-04-19T05:51:00.108Z level=WARN process=a "
    "event=server-unreachable service=s server=i-1 why=\"cannot connect to "
    "10.1.64.10:8525\"\n"
    "  3.7 b 2026-04-19T05:51:40.733Z level=INFO process=b "
    "event=primary-changed service=s server=i-2 term=2\n"
    "  3.6 b 2026-04-19T05:51:40.615Z level=INFO process=b "
    "event=promotion-started service=s target=i-2 term=2\n"
    "  3.6 b 2026-04-19T05:51:40.640Z level=INFO process=b "
    "event=takeover-step service=s step=step-down term=2 fence=7 asked=i-1 "
    "outcome=\"i-1@4:replica,1,1.160,0\"\n"
    "  3.6 b 2026-04-19T05:51:40.650Z level=WARN process=b "
    "event=call-abandoned service=s call=promotion target=i-2 term=0 fence=7 "
    "written=40 written_ms_ago=700 connection=closed\n"
    "  3.6 b 2026-04-19T05:51:40.660Z level=INFO process=b "
    "event=promotion-ordered service=s step=order target=i-2 term=2 fence=7 "
    "required=1.160 required_by=old-primary:i-1 target_end=1.160 "
    "outcome=accepted\n"
    "  3.6 b 2026-04-19T05:51:40.616Z level=INFO process=b "
    "event=promotion-started service=other target=i-9 term=2\n"
    "not a line of an entry VM\n"
    "2026-04-19T05:51:00.900Z level=INFO process=a event=statement-answered "
    "id=b1 session=7 transaction=2 database=d service=s kind=read "
    "consistency=primary "
    "plan=3 primary=i-1 term=1 known_age_ms=5 floor=- server=i-1 attempts=1 "
    "trail=\"\" outcome=ok why=\"\" ms=2\n"
    "2026-04-19T05:51:00.901Z level=INFO process=a event=statement-answered "
    "id=x9 session=8 transaction=2 database=d service=s kind=write "
    "consistency=primary "
    "plan=3 primary=i-1 term=1 known_age_ms=5 floor=- server=i-1 attempts=1 "
    "trail=\"\" outcome=ok why=\"\" ms=2\n"
    "2026-04-19T05:51:00.950Z level=INFO process=a event=statement-refused "
    "id=w1 session=7 transaction=2 database=d service=s kind=write "
    "consistency=primary "
    "plan=3 primary=i-1 term=1 known_age_ms=60 floor=- server=i-1 attempts=1 "
    "trail=i-1:lost outcome=outcome-unknown why=\"connection to server lost\" "
    "ms=84\n"
    "2026-04-19T05:51:01.176Z level=INFO process=a event=statement-refused "
    "id=q1 session=9 transaction=0 database=d service=s kind=execute "
    "consistency=primary "
    "plan=3 primary=i-1 term=1 known_age_ms=1320 floor=- server=\"\" "
    "attempts=0 trail=\"\" outcome=busy why=\"not run; no primary is known; "
    "retry-after-ms=250\" ms=980\n"
    "2026-04-19T05:51:02.000Z level=INFO process=a event=statement-refused "
    "id=r1 session=10 transaction=0 database=d service=s kind=read "
    "consistency=read-your-writes plan=3 primary=i-1 term=1 known_age_ms=237 "
    "floor=1.151 server=\"\" attempts=2 "
    "trail=\"i-2:lagging,i-1:no-connection\" outcome=failed why=\"no server "
    "gave a usable answer\" ms=630\n"
    "2026-04-19T05:51:02.960Z level=INFO process=a event=statement-answered "
    "id=c1 session=11 transaction=0 database=d service=s kind=write "
    "consistency=primary plan=3 primary=i-1 term=1 known_age_ms=5 floor=- "
    "server=i-1 holder=i-3 attempts=1 trail=\"\" position=1.161 outcome=ok "
    "why=\"\" ms=9\n"
    "2026-04-19T05:51:02.970Z level=INFO process=a event=promotion-ordered "
    "service=s step=order target=i-4 term=3 fence=9 required=1.162 "
    "required_by=acknowledged target_end=1.162 outcome=refused\n"
    "2026-04-19T05:51:02.980Z level=WARN process=a "
    "event=acknowledged-commit-missing service=s server=i-2 term=2 "
    "position=1.160 known_from=report acknowledged=1.161 "
    "acknowledged_ms_ago=20 holder=i-3\n"
    "2026-04-19T05:51:02.980Z level=WARN process=a "
    "event=acknowledged-commit-missing service=other server=i-9 term=2 "
    "position=1.1 known_from=report acknowledged=1.2 acknowledged_ms_ago=20 "
    "holder=i-8\n";

} // namespace

// Guards against an explanation that omits a cause of the outcome, or that
// includes records of other sessions or services.
TEST_CASE("a failed statement is explained from the logs") {
  struct Row {
    const char *Id;
    std::vector<std::string> Expected;
    std::vector<std::string> Absent;
  };
  const Row Rows[] = {
      {"q1",
       {"execute on database d, service s",
        "outcome busy after 980 ms, sent 0 times: not run; no primary is known",
        "It has not run", "primary i-1 of term 1, last confirmed 1320 ms",
        "configuration revision 3, in force since 2026-04-19T05:50:47.618Z",
        "server-unreachable", "why=cannot connect to 10.1.64.10:8525",
        "takeovers on other entry VMs", "i-1@4:replica,1,1.160,0",
        "call=promotion connection=closed"},
       {"service=other", "servers tried", "earlier in its transaction"}},
      {"w1",
       {"outcome outcome-unknown", "may have run",
        "i-1 ended the connection before its answer",
        "earlier in its transaction", "b1 read at i-1: ok"},
       {"x9"}},
      {"r1",
       {"a server had to hold position 1.151",
        "i-2 had not reached the position",
        "i-1 had no connection free for this entry VM"},
       {"earlier in its transaction"}},
      {"b1", {"It succeeded", "i-1 answered"}, {"w1", "its commit"}},
      {"c1",
       {"position 1.161, acknowledged by i-1, held by i-3",
        "ordered i-2 for term 2: required 1.160 (the end of the old primary",
        "at its step-down, i-1), target's end 1.160, accepted",
        "ordered i-4 for term 3: required 1.162 (a commit that this entry VM",
        "had reported to a caller), target's end 1.162, refused",
        "primaries that lack a commit",
        "acknowledged=1.161 acknowledged_ms_ago=20 holder=i-3"},
       {"server=i-9"}},
  };
  const std::vector<LogRecord> Records = parseLog(Log);
  CHECK(Records.size() == 17);
  for (const Row &R : Rows) {
    CAPTURE(R.Id);
    const Report Out = explain(R.Id, Records);
    CAPTURE(Out.Text);
    CHECK(Out.Status == ExitStatus::Ok);
    for (const std::string &Text : R.Expected) {
      CAPTURE(Text);
      CHECK(Out.Text.find(Text) != std::string::npos);
    }
    for (const std::string &Text : R.Absent) {
      CAPTURE(Text);
      CHECK(Out.Text.find(Text) == std::string::npos);
    }
    CHECK(Out.Json["statements"].toArray().size() == 1);
  }
}

// Guards against sorting by timestamps or by the order of the file: the start
// of a takeover must come before its steps and its end, although its line is
// later in the file.
TEST_CASE("takeovers on other entry VMs are ordered by their stages") {
  const Report Out = explain("q1", parseLog(Log));
  const std::size_t Started = Out.Text.find("promotion-started");
  const std::size_t StepDown = Out.Text.find("step-down");
  const std::size_t Abandoned = Out.Text.find("call-abandoned");
  const std::size_t Ordered = Out.Text.find("promotion-ordered");
  const std::size_t Changed = Out.Text.find("primary-changed");
  REQUIRE(Started != std::string::npos);
  REQUIRE(StepDown != std::string::npos);
  REQUIRE(Ordered != std::string::npos);
  CHECK(Started < StepDown);
  CHECK(StepDown < Abandoned);
  CHECK(Abandoned < Ordered);
  CHECK(Ordered < Changed);
  REQUIRE(Changed != std::string::npos);
}

// Guards against a report of an unknown statement that does not mention that
// the logs have dropped lines.
TEST_CASE("an unknown statement is reported with the dropped lines") {
  const Report Out = explain(
      "none", parseLog(Log + "T level=WARN process=a event=lines-dropped "
                             "count=3\n"));
  CHECK(Out.Status == ExitStatus::Refused);
  CHECK(Out.Text.find("no line names statement none") != std::string::npos);
  CHECK(Out.Text.find("dropped lines among them: 1") != std::string::npos);
}

// Guards against values that are split or joined wrongly at spaces, quotes and
// equals signs.
TEST_CASE("structured log lines are parsed") {
  struct Row {
    const char *Line;
    bool Parsed;
    const char *Key;
    const char *Value;
  };
  const Row Rows[] = {
      {"T level=INFO process=a event=ready", true, "level", "INFO"},
      {"T level=INFO process=a event=e why=\"a b=c\" n=1", true, "why",
       "a b=c"},
      {"T level=INFO process=a event=e why=\"a \\\"b\\\\\" n=1", true, "why",
       "a \"b\\"},
      {"T level=INFO process=a event=e why=\"\" n=1", true, "n", "1"},
      {"T level=INFO process=a event=e why=\"cut", true, "why", "cut"},
      {"T level=INFO process=a why=x", false, "", ""},
      {"T level=INFO event=e", false, "", ""},
      {"front-joburg-a-3 ready", false, "", ""},
      {"", false, "", ""},
      {" level=", false, "", ""},
  };
  for (const Row &R : Rows) {
    CAPTURE(R.Line);
    const std::optional<LogRecord> Record = parseLogLine(R.Line);
    REQUIRE(Record.has_value() == R.Parsed);
    if (Record)
      CHECK(Record->field(R.Key) == R.Value);
  }
}
