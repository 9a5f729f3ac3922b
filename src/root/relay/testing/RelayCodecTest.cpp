#include "root/relay/RelayCodec.h"

#include "core/Random.h"
#include "root/relay/QuotaCodec.h"
#include "root/relay/StatementCodec.h"

#include <catch2/catch.hpp>

#include <QByteArray>

#include <functional>
#include <limits>
#include <string>

using namespace amaranthspur;

namespace {

TimePoint at(std::int64_t Ms) { return TimePoint(milliseconds(Ms)); }

relay::Request validRequest() {
  relay::Request R;
  R.set_correlation(7);
  R.set_token("token");
  R.set_sender("vm-1");
  relay::SyncRequest *Sync = R.mutable_sync();
  Sync->add_tables()->set_version(12);
  Sync->add_services("ledger");
  return R;
}

relay::TableChanges validChanges() {
  relay::TableChanges C;
  C.set_version(9);
  *C.add_rows() = toMessage(WatchedRow{"a", "value", StoreVersion(3), false});
  *C.add_rows() = toMessage(
      WatchedRow{"b", std::string(9000, 'x'), StoreVersion(9), false});
  return C;
}

} // namespace

// Guards against a malformed request that is taken for a valid one.
TEST_CASE("an invalid request is an error") {
  struct Row {
    const char *Name;
    std::function<void(relay::Request &)> Change;
    bool Valid;
  };
  const Row Rows[] = {
      {"valid", [](relay::Request &) {}, true},
      {"no sender", [](relay::Request &R) { R.clear_sender(); }, false},
      {"a long sender",
       [](relay::Request &R) { R.set_sender(std::string(300, 'a')); }, false},
      {"no token", [](relay::Request &R) { R.clear_token(); }, false},
      {"no body", [](relay::Request &R) { R.clear_body(); }, false},
      {"a proof of no service",
       [](relay::Request &R) { R.mutable_proof()->set_term(1); }, false},
      {"a proof",
       [](relay::Request &R) { R.mutable_proof()->set_service("s"); }, true},
      {"an exchange of no data centre",
       [](relay::Request &R) { R.mutable_exchange(); }, false},
      {"an exchange",
       [](relay::Request &R) {
         R.mutable_exchange()->set_data_centre("there");
       },
       true},
      {"too long",
       [](relay::Request &R) {
         R.mutable_sync()->add_services(std::string(MaxRelayRequestBytes, 'a'));
       },
       false},
  };
  for (const Row &R : Rows) {
    CAPTURE(R.Name);
    relay::Request Message = validRequest();
    R.Change(Message);
    CHECK(succeeded(decodeRelayRequest(Message.SerializeAsString())) ==
          R.Valid);
  }
}

// Guards against a malformed message that ends the process or is read beyond
// its end. Bytes are changed, removed and inserted at random.
TEST_CASE("damaged messages are decoded or refused") {
  relay::Reply Reply;
  *Reply.mutable_sync()->add_tables() = validChanges();
  const std::string Valid[] = {validRequest().SerializeAsString(),
                               Reply.SerializeAsString()};
  Random Rng(1);
  unsigned Decoded = 0;
  for (int Round = 0; Round < 20000; ++Round) {
    std::string Bytes = Valid[Rng.below(2)];
    const std::uint64_t Edits = 1 + Rng.below(4);
    for (std::uint64_t I = 0; I < Edits && !Bytes.empty(); ++I) {
      const auto Place = static_cast<std::size_t>(Rng.below(Bytes.size()));
      const auto Byte = static_cast<char>(Rng.below(256));
      switch (Rng.below(3)) {
      case 0:
        Bytes[Place] = Byte;
        break;
      case 1:
        Bytes.erase(Place, 1 + Rng.below(8));
        break;
      default:
        Bytes.insert(Place, 1, Byte);
      }
    }
    Decoded += succeeded(decodeRelayRequest(Bytes)) ? 1 : 0;
    const Result<relay::Reply> R = decodeRelayReply(Bytes);
    if (!succeeded(R))
      continue;
    for (const relay::TableChanges &Changes : valueOf(R).sync().tables())
      Decoded += succeeded(watchedRowsOf(Changes)) ? 1 : 0;
  }
  CHECK(Decoded > 0);
}

// Guards against rows that use memory without limit or that cannot be ordered.
TEST_CASE("rows out of bounds are errors") {
  struct Row {
    const char *Name;
    std::function<void(relay::TableChanges &)> Change;
    bool Valid;
  };
  const Row Rows[] = {
      {"valid", [](relay::TableChanges &) {}, true},
      {"no key", [](relay::TableChanges &C) { C.mutable_rows(0)->clear_key(); },
       false},
      {"a row newer than the table",
       [](relay::TableChanges &C) { C.mutable_rows(0)->set_version(10); },
       false},
      {"compressed, but empty",
       [](relay::TableChanges &C) { C.mutable_rows(1)->set_value(""); }, false},
      {"compressed, but cut off",
       [](relay::TableChanges &C) {
         relay::Row *Long = C.mutable_rows(1);
         Long->set_value(Long->value().substr(0, Long->value().size() / 2));
       },
       false},
      {"claims to expand to 2 GB",
       [](relay::TableChanges &C) {
         relay::Row *Long = C.mutable_rows(1);
         Long->set_value("\x7f\xff\xff\xff" + Long->value().substr(4));
       },
       false},
  };
  for (const Row &R : Rows) {
    CAPTURE(R.Name);
    relay::TableChanges Changes = validChanges();
    R.Change(Changes);
    const Result<WatchedRows> Decoded = watchedRowsOf(Changes);
    REQUIRE(succeeded(Decoded) == R.Valid);
    if (R.Valid)
      CHECK(valueOf(Decoded).Rows[1].Value == std::string(9000, 'x'));
  }
}

// Guards against a forwarded message that holds a second statement, a part of a
// transaction or a write without its workspace, and against a read that may run
// on any server: a home would run what no caller has sent, or return old data.
TEST_CASE("only one statement is forwarded at a time") {
  ForwardedStatement Valid;
  Valid.Service = ServiceName("s");
  Valid.Query.Id = "q1";
  Valid.Query.Kind = StatementVerb::Execute;
  Valid.Query.Name = "s1";
  Valid.Query.Body = "item";
  Valid.Query.Text = "EXECUTE s1 item";
  Valid.Prepared = PreparedStatement{Access::Read, "q2c"};
  Valid.Values = {{"unit", "kg \xff"}};
  Valid.Floor = LogPosition{2, 7};
  Valid.Workspace = WorkspaceName("w");
  Valid.SentAt = milliseconds(123456);
  Valid.Urgency = 3;
  Valid.Remaining = milliseconds(900);
  struct Row {
    const char *Name;
    std::function<void(relay::ReadRequest &)> Change;
    bool Valid;
  };
  using Message = relay::ReadRequest;
  const Row Rows[] = {
      {"valid", [](Message &) {}, true},
      {"a write",
       [](Message &M) {
         M.set_kind(static_cast<unsigned>(StatementVerb::Write));
         M.clear_floor();
       },
       true},
      {"a write with a floor",
       [](Message &M) {
         M.set_kind(static_cast<unsigned>(StatementVerb::Write));
       },
       false},
      {"a write with a role",
       [](Message &M) {
         M.set_kind(static_cast<unsigned>(StatementVerb::Write));
         M.clear_floor();
         M.set_at_primary(true);
       },
       false},
      {"a write without a workspace",
       [](Message &M) {
         M.set_kind(static_cast<unsigned>(StatementVerb::Write));
         M.clear_floor();
         M.clear_workspace();
       },
       false},
      {"a read at the primary",
       [](Message &M) {
         M.clear_floor();
         M.set_at_primary(true);
       },
       true},
      {"a read at the primary with a floor",
       [](Message &M) { M.set_at_primary(true); }, false},
      {"a negative time of sending", [](Message &M) { M.set_sent_us(-1); },
       false},
      {"a huge time of sending",
       [](Message &M) {
         M.set_sent_us(std::numeric_limits<std::int64_t>::max());
       },
       false},
      {"a negative time limit", [](Message &M) { M.set_deadline_us(-5); },
       true},
      {"a workspace of two words", [](Message &M) { M.set_workspace("w x"); },
       false},
      {"a commit",
       [](Message &M) {
         M.set_kind(static_cast<unsigned>(StatementVerb::Commit));
       },
       false},
      {"an unknown kind", [](Message &M) { M.set_kind(77); }, false},
      {"a prepared write",
       [](Message &M) {
         M.set_prepared_write(true);
         M.clear_floor();
       },
       true},
      {"a prepared write with a floor",
       [](Message &M) { M.set_prepared_write(true); }, false},
      {"nothing prepared", [](Message &M) { M.clear_prepared_shape(); }, false},
      {"two lines of text",
       [](Message &M) { M.set_text("READ a\r\nQUERY x WRITE a b"); }, false},
      {"two lines of arguments", [](Message &M) { M.set_body("a\nb"); }, false},
      {"an id of two words", [](Message &M) { M.set_id("q1 COMMIT"); }, false},
      {"no id", [](Message &M) { M.clear_id(); }, false},
      {"a setting of two lines",
       [](Message &M) { M.mutable_settings(0)->set_value("a\r\nb"); }, false},
      {"no floor", [](Message &M) { M.clear_floor(); }, false},
  };
  for (const Row &R : Rows) {
    CAPTURE(R.Name);
    relay::ReadRequest Request = toMessage(Valid);
    R.Change(Request);
    const Result<ForwardedStatement> Decoded = forwardedStatementOf(Request);
    REQUIRE(succeeded(Decoded) == R.Valid);
    if (!R.Valid)
      continue;
    CHECK(valueOf(Decoded).Query.Text == Valid.Query.Text);
    CHECK(valueOf(Decoded).Values == Valid.Values);
    const ForwardedStatement &Given = valueOf(Decoded);
    CHECK(Given.Query.Id == Valid.Query.Id);
    CHECK(Given.Workspace == Valid.Workspace);
    CHECK(Given.SentAt == Valid.SentAt);
    CHECK(Given.Remaining ==
          std::max(Duration::zero(), Duration(Request.deadline_us())));
    CHECK(Given.AtPrimary == Request.at_primary());
    CHECK(Given.Floor.has_value() == Request.has_floor());
    if (Given.Floor)
      CHECK(Given.Floor == Valid.Floor);
    const bool IsExecute = Given.Query.Kind == StatementVerb::Execute;
    CHECK(Given.Prepared.has_value() == IsExecute);
    CHECK(Given.isWrite() == (Given.Query.Mode == Access::Write));
    if (IsExecute) {
      CHECK(Given.Prepared->Shape == Valid.Prepared->Shape);
      CHECK(Given.isWrite() == Request.prepared_write());
    }
  }
}

// Guards against an answer that is taken for another kind of answer.
TEST_CASE("the answer to a forwarded statement is kept") {
  for (const auto &[Code, Name] : EnumNames<AnswerCode>::Entries) {
    CAPTURE(Name);
    ForwardedAnswer Given;
    Given.Given = failure(Code, "not run; retry-after-ms=250");
    Given.Trail = "i-1:busy";
    Given.Holder = ServerId("i-2");
    const Result<ForwardedAnswer> Decoded = forwardedAnswerOf(toMessage(Given));
    REQUIRE(succeeded(Decoded));
    CHECK(valueOf(Decoded).Given.Code == Code);
    CHECK(valueOf(Decoded).Given.Detail == Given.Given.Detail);
    CHECK(valueOf(Decoded).Trail == Given.Trail);
    CHECK(valueOf(Decoded).Holder == Given.Holder);
  }
  relay::ReadReply Unknown;
  Unknown.set_code(200);
  CHECK_FALSE(succeeded(forwardedAnswerOf(Unknown)));
  relay::ReadReply TwoLines;
  TwoLines.add_rows("a\r\nCOMPLETE x");
  CHECK_FALSE(succeeded(forwardedAnswerOf(TwoLines)));
  relay::ReadReply TwoWords;
  TwoWords.set_holder("i-1 i-2");
  CHECK_FALSE(succeeded(forwardedAnswerOf(TwoWords)));
}

// Guards against evidence that appears more recent to a follower than it is: a
// read could then miss a commit. The clocks of the two entry VMs differ, either
// may be suspended at any point, and messages take any time.
TEST_CASE("decoded evidence is never newer than the observation") {
  for (std::uint64_t Seed = 1; Seed <= 2000; ++Seed) {
    CAPTURE(Seed);
    Random Rng(Seed);
    const auto Delay = [&Rng] {
      return static_cast<std::int64_t>(
          Rng.below(Rng.below(2) == 0 ? 20 : 9000));
    };
    const std::int64_t RelayOffset = Delay() - Delay();
    // Times of one true clock, in milliseconds.
    const std::int64_t Sent = 100000;
    const std::int64_t Handled = Sent + Delay();
    const std::int64_t Reported = Handled + Delay() - Delay();
    const std::int64_t Proved = Reported + Delay();
    GroupEvidence Known;
    Known.Service = ServiceName("s");
    Known.TermNumber = 3;
    Known.Position = {3, 8};
    Known.ReportedAt = at(Reported + RelayOffset);
    Known.ProvedTerm = 3;
    Known.ProvedAt = at(Proved + RelayOffset);
    Known.Replicas.push_back(
        {ServerId("b"), {3, 7}, at(Reported + RelayOffset), milliseconds(40)});
    const Result<GroupEvidence> Decoded =
        evidenceOf(toMessage(Known, at(Handled + RelayOffset)), at(Sent));
    REQUIRE(succeeded(Decoded));
    CHECK(valueOf(Decoded).ReportedAt <= at(Reported));
    CHECK(valueOf(Decoded).ProvedAt <= at(Proved));
    CHECK(valueOf(Decoded).ProvedAt - valueOf(Decoded).ReportedAt ==
          milliseconds(Proved - Reported));
    CHECK(valueOf(Decoded).Position == Known.Position);
    REQUIRE(valueOf(Decoded).Replicas.size() == 1);
    const ReplicaEvidence &Replica = valueOf(Decoded).Replicas.front();
    CHECK(Replica.Server == ServerId("b"));
    CHECK(Replica.Position == LogPosition{3, 7});
    CHECK(Replica.At <= at(Reported));
    CHECK(Replica.ApplyLag == milliseconds(40));
  }
}

// Guards against evidence with absurd ages, which would overflow.
TEST_CASE("evidence out of bounds is an error") {
  struct Row {
    const char *Name;
    std::int64_t PositionAgeUs;
    std::int64_t ProofAgeUs;
    const char *Service;
    bool Valid;
    std::int64_t ReplicaAgeUs = 0;
    std::int64_t ApplyLagUs = 0;
    const char *Replica = "b";
  };
  constexpr std::int64_t Most = std::numeric_limits<std::int64_t>::max();
  const Row Rows[] = {
      {"valid", 1000, 1000, "s", true},
      {"a huge age of a replica", 0, 0, "s", false, Most},
      {"a huge lag", 0, 0, "s", false, 0, Most},
      {"a negative lag", 0, 0, "s", false, 0, -1},
      {"no replica", 0, 0, "s", false, 0, 0, ""},
      {"after the request", -1000, -2000, "s", true},
      {"a huge age", Most, 0, "s", false},
      {"a huge negative age", 0, -Most, "s", false},
      {"no service", 0, 0, "", false},
  };
  for (const Row &R : Rows) {
    CAPTURE(R.Name);
    relay::Evidence Message;
    Message.set_service(R.Service);
    Message.mutable_position()->set_index(1);
    Message.set_position_age_us(R.PositionAgeUs);
    Message.set_proved_term(1);
    Message.set_proof_age_us(R.ProofAgeUs);
    relay::ReplicaProgress *Replica = Message.add_replicas();
    Replica->set_server(R.Replica);
    Replica->set_age_us(R.ReplicaAgeUs);
    Replica->set_apply_lag_us(R.ApplyLagUs);
    CHECK(succeeded(evidenceOf(Message, at(100000))) == R.Valid);
  }
}

// Guards against a row of another writer that is taken for a relay's.
TEST_CASE("a malformed row names no relay") {
  const RelayRow Valid{StoreVersion(5), EntryVmId("vm-1"), "127.0.0.1:7440",
                       "secret"};
  const Result<RelayRow> Decoded =
      decodeRelayRow(encodeRelayRow(Valid), StoreVersion(5));
  REQUIRE(succeeded(Decoded));
  CHECK(valueOf(Decoded) == Valid);
  const std::string Deep(100000, '[');
  const std::string Rows[] = {
      "",
      "null",
      "[]",
      "{",
      Deep,
      R"({"vm":"a","address":"127.0.0.1:7440"})",
      R"({"vm":"a","address":"127.0.0.1:70000","token":"t"})",
      R"({"vm":"a","address":"127.0.0.1:0","token":"t"})",
      R"({"vm":"a","address":"host:1","token":"t"})",
      R"({"vm":1,"address":"127.0.0.1:7440","token":"t"})"};
  for (const std::string &Text : Rows) {
    CAPTURE(Text.substr(0, 80));
    CHECK_FALSE(succeeded(decodeRelayRow(Text, StoreVersion(5))));
  }
}

// Guards against amounts of a malformed message that would count as a lease,
// and against a request without quotas that is taken for one that holds none.
TEST_CASE("malformed quotas are left out") {
  const double Nan = std::numeric_limits<double>::quiet_NaN();
  struct Row {
    const char *Name;
    const char *Workspace;
    double Number;
    std::int64_t LengthUs;
    bool Valid;
  };
  const Row Rows[] = {
      {"valid", "w", 5, 3000000, true},
      {"no name", "", 5, 3000000, false},
      {"negative", "w", -1, 3000000, false},
      {"no number", "w", Nan, 1, false},
      {"huge", "w", 1e300, 3000000, false},
      {"no length", "w", 5, 0, false},
      {"huge length", "w", 5, std::numeric_limits<std::int64_t>::max(), false},
  };
  for (const Row &R : Rows) {
    CAPTURE(R.Name);
    relay::SyncReply Reply;
    addQuotas(
        Reply,
        {{WorkspaceName(R.Workspace), {R.Number, 2}, 1, Duration(R.LengthUs)}});
    CHECK(quotaLeasesOf(Reply).size() == (R.Valid ? 1U : 0U));
    relay::SyncRequest Request;
    addQuotas(Request,
              {{EntryVmId("vm"), 7},
               3,
               {{WorkspaceName(R.Workspace), R.Number, {1, 2}, 1, 0}}});
    const std::optional<QuotaRequest> Asked = quotaRequestOf(Request, "vm");
    REQUIRE(Asked);
    CHECK(Asked->Holder == QuotaHolderId{EntryVmId("vm"), 7});
    const bool IsReport = R.Workspace[0] != 0 && R.Number == 5;
    CHECK(Asked->Reports.size() == (IsReport ? 1U : 0U));
    relay::ExchangeReply Lent;
    addLoans(Lent,
             {{WorkspaceName(R.Workspace), R.Number, Duration(R.LengthUs)}});
    CHECK(loansOf(Lent).size() == (R.Valid ? 1U : 0U));
    relay::ExchangeRequest Borrow;
    addLoanRequest(
        Borrow,
        {{EntryVmId("vm"), 7}, 3, {{WorkspaceName(R.Workspace), R.Number}}});
    const std::optional<QuotaLoanRequest> Wanted = loanRequestOf(Borrow, "vm");
    REQUIRE(Wanted);
    CHECK(Wanted->Borrower == QuotaHolderId{EntryVmId("vm"), 7});
    CHECK(Wanted->Sequence == 3);
    CHECK(Wanted->Wishes.size() == (IsReport ? 1U : 0U));
  }
  CHECK_FALSE(quotaRequestOf(relay::SyncRequest(), "vm"));
  CHECK_FALSE(loanRequestOf(relay::ExchangeRequest(), "vm"));
}

// Guards against statements that are forwarded to an address or with a token
// that no relay has given.
TEST_CASE("malformed forwarders are left out") {
  struct Row {
    const char *Name;
    const char *Location;
    const char *Token;
    ForwarderVm Forwarder;
    bool IsEntry;
    bool IsForwarder;
  };
  const ForwarderVm Valid{EntryVmId("f"), "127.0.0.1:5", 50};
  const Row Rows[] = {
      {"valid", "there", "token", Valid, true, true},
      {"no data centre", "", "token", Valid, false, false},
      {"no token", "there", "", Valid, false, false},
      {"no name",
       "there",
       "token",
       {EntryVmId(), "127.0.0.1:5", 50},
       true,
       false},
      {"no address", "there", "token", {EntryVmId("f"), "", 50}, true, false},
      {"no port",
       "there",
       "token",
       {EntryVmId("f"), "127.0.0.1", 50},
       true,
       false},
  };
  for (const Row &R : Rows) {
    CAPTURE(R.Name);
    relay::SyncReply Reply;
    *Reply.add_remote_forwarders() = toMessage(
        RemoteForwarders{DataCentre(R.Location), R.Token, {R.Forwarder}});
    const std::vector<RemoteForwarders> Known = remoteForwardersOf(Reply);
    REQUIRE(Known.size() == (R.IsEntry ? 1U : 0U));
    if (Known.empty())
      continue;
    CHECK(Known[0].Token == R.Token);
    CHECK(Known[0].Forwarders.size() == (R.IsForwarder ? 1U : 0U));
  }
}
