#include "policy/LeadershipProof.h"

#include <catch2/catch.hpp>

using namespace amaranthspur;

namespace {

ServerReport report(Term T, Term Adopted,
                    ServerRole Role = ServerRole::Replica) {
  ServerReport R;
  R.Role = Role;
  R.TermNumber = T;
  R.AdoptedTerm = Adopted;
  return R;
}

} // namespace

// Guards against a proof for a superseded primary (review case 3): after the
// promotion a replica that receives nothing reports the old term.
TEST_CASE("the primary is proved to lead by all other servers or by the claim "
          "row") {
  using S = ProofState;
  using Reports = std::vector<std::optional<ServerReport>>;
  constexpr auto Silent = std::nullopt;
  const ServerReport Follows = report(3, 3);
  const ServerReport Deaf = report(3, 3);
  const ServerReport Behind = report(2, 2);
  const ServerReport Adopted = report(3, 4);
  const ServerReport Leads = report(4, 4, ServerRole::Primary);
  const ServerReport FollowsNext = report(4, 4);
  const ServerReport OldPrimary = report(2, 2, ServerRole::Primary);
  const ServerReport Rival = report(3, 3, ServerRole::Primary);
  struct Row {
    const char *Name;
    Reports Others; ///< Of the servers other than the primary of term 3.
    std::optional<ClaimRow> Claim;
    ProofState Expected;
  };
  const auto Finished = [](Term T) {
    return ClaimRow{ClaimState::Finished, std::nullopt, T};
  };
  const ClaimRow Held{ClaimState::Held, ServerId("i"), 0};
  const ClaimRow Missing = parseClaimRow(0, "");
  const ClaimRow Odd = parseClaimRow(4, "finished x");
  const Row Rows[] = {
      {"all follow", {Follows, Follows}, Silent, S::Proved},
      {"all follow, one is behind", {Follows, Behind}, Silent, S::Proved},
      {"all follow, a claim is held", {Follows, Follows}, Held, S::Proved},
      {"one is silent", {Follows, Silent}, Silent, S::NeedsClaim},
      {"a deaf replica, the new primary is silent",
       {Deaf, Silent},
       Finished(4),
       S::NeedsClaim},
      {"a deaf replica and the new primary",
       {Deaf, Leads},
       Silent,
       S::Superseded},
      {"a deaf replica and a replica of the new primary",
       {Deaf, FollowsNext},
       Silent,
       S::Superseded},
      {"a later term although the row proves it",
       {Deaf, FollowsNext},
       Finished(3),
       S::Superseded},
      {"one has adopted the next term",
       {Follows, Adopted},
       Silent,
       S::NeedsClaim},
      {"an adoption is left after a takeover was given up",
       {Follows, Adopted},
       Finished(3),
       S::Proved},
      {"an earlier primary that has not stepped down",
       {Follows, OldPrimary},
       Silent,
       S::NeedsClaim},
      {"another primary of the same term",
       {Follows, Rival},
       Silent,
       S::NeedsClaim},
      {"the row has the same term", {Silent, Silent}, Finished(3), S::Proved},
      {"the row has an older term", {Silent, Follows}, Finished(2), S::Proved},
      {"the row has a newer term",
       {Silent, Follows},
       Finished(4),
       S::NeedsClaim},
      {"the row has no term", {Silent, Follows}, Finished(0), S::NeedsClaim},
      {"a takeover is under way", {Silent, Follows}, Held, S::NeedsClaim},
      {"the row's value is unknown", {Silent, Follows}, Odd, S::NeedsClaim},
      {"there is no row, but this is not the first term",
       {Silent, Follows},
       Missing,
       S::NeedsClaim},
      {"there is no other server", {}, Silent, S::NeedsClaim},
      {"there is no other server, and the row proves it",
       {},
       Finished(3),
       S::Proved},
  };
  for (const Row &R : Rows) {
    CAPTURE(R.Name);
    LeadershipProof Proof(3, TimePoint());
    std::vector<ServerId> Others;
    for (const std::optional<ServerReport> &Report : R.Others) {
      const ServerId Id("i-" + std::to_string(Others.size()));
      Others.push_back(Id);
      if (Report)
        Proof.recordReport(Id, *Report);
      else
        Proof.recordSilence(Id);
    }
    if (R.Claim)
      Proof.recordClaim(*R.Claim);
    CHECK(Proof.state(Others) == R.Expected);
  }
}

// Guards against a proof before a server has answered, in particular one that
// has registered after the others were asked and been promoted.
TEST_CASE("a server without an answer leaves the proof open") {
  LeadershipProof Proof(1, TimePoint());
  const ServerId A("a");
  const ServerId B("b");
  Proof.recordReport(A, report(1, 1));
  CHECK(Proof.state({A}) == ProofState::Proved);
  CHECK(Proof.state({A, B}) == ProofState::Open);
  Proof.recordSilence(B);
  CHECK(Proof.state({A, B}) == ProofState::NeedsClaim);
  // A server that was not waited for has answered after all.
  Proof.recordReport(B, report(1, 1));
  CHECK(Proof.state({A, B}) == ProofState::Proved);
}

// Guards against a group in its first term whose reads at the primary fail
// because no takeover has written a row yet.
TEST_CASE("a missing claim row proves the first term only") {
  for (const Term T : {Term(1), Term(2)}) {
    CAPTURE(T);
    LeadershipProof Proof(T, TimePoint());
    Proof.recordClaim(parseClaimRow(0, ""));
    CHECK((Proof.state({ServerId("a")}) == ProofState::Proved) == (T == 1));
  }
}
