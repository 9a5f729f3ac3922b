#include "policy/ConfigAdoption.h"

#include <catch2/catch.hpp>

#include <algorithm>

using namespace amaranthspur;

namespace {

const DataCentre OwnDataCentre("joburg-a");
const DataCentre OtherDataCentre("paarl-a");
constexpr TimePoint Now{std::chrono::seconds(100)};

Member member(const std::string &Id, const DataCentre &Location,
              MemberState State = MemberState::Live) {
  return {EntryVmId(Id), "127.0.1.1:7000", Location, 1, State};
}

std::vector<Member> members(unsigned Count) {
  std::vector<Member> All;
  for (unsigned I = 1; I <= Count; ++I)
    All.push_back(member("vm-" + std::to_string(I), OwnDataCentre));
  All.push_back(member("far-1", OtherDataCentre));
  return All;
}

std::vector<std::string> readersOf(const std::vector<Member> &Members) {
  std::vector<std::string> Readers;
  for (const Member &M : Members)
    if (M.Location == OwnDataCentre && acceptsWork(M) &&
        ConfigAdoption(M.Id, OwnDataCentre).isReader(Members))
      Readers.push_back(M.Id.str());
  return Readers;
}

} // namespace

// Guards against a data centre in which no entry VM reads the head row, and
// against one in which every entry VM loads the platform with these reads.
TEST_CASE("two live entry VMs of a data centre read the head") {
  struct Row {
    unsigned Count;
    std::size_t Readers;
  };
  const Row Rows[] = {{1, 1}, {2, 2}, {3, 2}, {7, 2}, {300, 2}};
  for (const Row &R : Rows) {
    CAPTURE(R.Count);
    CHECK(readersOf(members(R.Count)).size() == R.Readers);
  }
}

// Guards against a reader that is not replaced after it dies or leaves.
TEST_CASE("a reader that dies or leaves is replaced") {
  for (const MemberState State : {MemberState::Dead, MemberState::Leaving}) {
    CAPTURE(nameOf(State));
    std::vector<Member> Members = members(5);
    const std::string FormerReader = readersOf(Members).front();
    for (Member &M : Members)
      if (M.Id.str() == FormerReader)
        M.State = State;
    const std::vector<std::string> After = readersOf(Members);
    CHECK(After.size() == 2);
    CHECK(std::find(After.begin(), After.end(), FormerReader) == After.end());
  }
}

// Guards against an entry VM that does not fetch a newer revision, fetches one
// that it already has, or does not back off from a source that fails.
TEST_CASE("the next fetch depends on the known revisions and failures") {
  struct Row {
    const char *Name;
    std::uint64_t InForce;
    std::uint64_t Head; ///< Revision of the head row, or 0 if it was not read.
    std::vector<std::pair<const char *, std::uint64_t>> PeerRevisions;
    bool StoreFailed;
    std::vector<const char *> FailedPeers;
    std::string Expected; ///< "store", the id of the peer, or "none".
  };
  const Row Rows[] = {
      {"up to date", 5, 5, {{"vm-2", 5}}, false, {}, "none"},
      {"store has a newer revision", 5, 6, {}, false, {}, "store"},
      {"peer has a newer revision",
       5,
       0,
       {{"vm-2", 4}, {"vm-3", 6}},
       false,
       {},
       "vm-3"},
      {"peer with the highest revision",
       5,
       0,
       {{"vm-2", 7}, {"vm-3", 6}},
       false,
       {},
       "vm-2"},
      {"peer of the own data centre first",
       5,
       0,
       {{"far-1", 7}, {"vm-3", 7}},
       false,
       {},
       "vm-3"},
      {"only a peer of another data centre",
       5,
       0,
       {{"far-1", 7}},
       false,
       {},
       "far-1"},
      {"store failed, peer has it", 5, 6, {{"vm-2", 6}}, true, {}, "vm-2"},
      {"store failed, no peer", 5, 6, {{"vm-2", 5}}, true, {}, "none"},
      {"peer failed, another has it",
       5,
       0,
       {{"vm-2", 6}, {"vm-3", 6}},
       false,
       {"vm-2"},
       "vm-3"},
      {"all failed", 5, 0, {{"vm-2", 6}}, false, {"vm-2"}, "none"},
      {"peer has an older revision", 5, 0, {{"vm-2", 4}}, false, {}, "none"},
      {"higher revision of a peer that is no member",
       5,
       0,
       {{"x", 9}},
       false,
       {},
       "none"},
      {"start, store unavailable", 0, 0, {{"vm-3", 2}}, false, {}, "vm-3"},
      {"start, maximum number of peers asked",
       0,
       0,
       {},
       false,
       {"vm-2", "vm-3", "vm-4"},
       "none"},
      {"start, maximum number of peers asked, another one has a revision",
       0,
       0,
       {{"vm-5", 1}},
       false,
       {"vm-2", "vm-3", "vm-4"},
       "vm-5"},
  };
  const std::vector<Member> Members = members(6);
  for (const Row &R : Rows) {
    CAPTURE(R.Name);
    ConfigAdoption A(EntryVmId("vm-1"), OwnDataCentre);
    A.onAdopted(R.InForce);
    if (R.Head > 0)
      A.onHead(R.Head, "hash");
    for (const auto &[Peer, Revision] : R.PeerRevisions)
      A.onPeerRevision(EntryVmId(Peer), Revision);
    if (R.StoreFailed)
      A.onFetchFailed({ConfigSource::Store, EntryVmId(), R.Head, "hash"}, Now);
    for (const char *Peer : R.FailedPeers)
      A.onFetchFailed({ConfigSource::Peer, EntryVmId(Peer), 0, ""}, Now);
    const auto Choice = A.chooseFetch(Members, Now);
    std::string Chosen = "none";
    if (Choice)
      Chosen =
          Choice->From == ConfigSource::Store ? "store" : Choice->Peer.str();
    CHECK(Chosen == R.Expected);
    const bool Failed = R.StoreFailed || !R.FailedPeers.empty();
    CHECK((A.nextChange(Now) < TimePoint::max()) == Failed);
  }
}

// Guards against a return to an earlier revision, and against two different
// contents with the same revision.
TEST_CASE("only a higher revision with the hash of the head is adopted") {
  struct Row {
    const char *Name;
    std::uint64_t Revision;
    const char *Hash;
    AdoptionVerdict Expected;
  };
  const Row Rows[] = {
      {"lower", 4, "a", AdoptionVerdict::NotNewer},
      {"same", 5, "a", AdoptionVerdict::NotNewer},
      {"below the head", 6, "any", AdoptionVerdict::Adopt},
      {"head", 7, "head-hash", AdoptionVerdict::Adopt},
      {"head with another hash", 7, "b", AdoptionVerdict::HashConflict},
      {"above the head", 8, "any", AdoptionVerdict::Adopt},
  };
  for (const Row &R : Rows) {
    CAPTURE(R.Name);
    ConfigAdoption A(EntryVmId("vm-1"), OwnDataCentre);
    A.onAdopted(5);
    A.onHead(7, "head-hash");
    A.onHead(3, "older answer");
    CHECK(nameOf(A.checkRevision(R.Revision, R.Hash)) == nameOf(R.Expected));
    A.onAdopted(R.Revision);
    CHECK(A.inForce() == std::max<std::uint64_t>(5, R.Revision));
  }
}

// Guards against 3,400 entry VMs that each read the head row every 250 ms.
TEST_CASE("only readers read the head frequently") {
  const std::vector<Member> Members = members(5);
  for (const Member &M : Members) {
    CAPTURE(M.Id.str());
    ConfigAdoption A(M.Id, M.Location);
    const bool Reader = A.isReader(Members);
    CHECK(A.headInterval(Members) == (Reader
                                          ? ConfigAdoption::HeadInterval
                                          : ConfigAdoption::StartHeadInterval));
    A.onHead(0, "");
    CHECK(A.headInterval(Members) == (Reader
                                          ? ConfigAdoption::HeadInterval
                                          : ConfigAdoption::SlowHeadInterval));
  }
}
