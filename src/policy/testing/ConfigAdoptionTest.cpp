#include "policy/ConfigAdoption.h"

#include <catch2/catch.hpp>

#include <algorithm>

using namespace amaranthspur;

namespace {

const DataCentre Here("joburg-a");
const DataCentre There("paarl-a");
constexpr TimePoint Now{std::chrono::seconds(100)};

Member member(const std::string &Id, const DataCentre &Location,
              MemberState State = MemberState::Live) {
  return {EntryVmId(Id), "127.0.1.1:7000", Location, 1, State};
}

std::vector<Member> members(unsigned Count) {
  std::vector<Member> All;
  for (unsigned I = 1; I <= Count; ++I)
    All.push_back(member("vm-" + std::to_string(I), Here));
  All.push_back(member("far-1", There));
  return All;
}

std::vector<std::string> readersOf(const std::vector<Member> &Members) {
  std::vector<std::string> Readers;
  for (const Member &M : Members)
    if (M.Location == Here && takesWork(M) &&
        ConfigAdoption(M.Id, Here).isReader(Members))
      Readers.push_back(M.Id.str());
  return Readers;
}

} // namespace

// Guards against a data centre that nobody reads the head for, and against one
// whose every entry VM burdens the platform.
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

// Guards against a reader whose death or departure leaves nobody in its place.
TEST_CASE("a reader that dies or leaves is replaced") {
  for (const MemberState State : {MemberState::Dead, MemberState::Leaving}) {
    CAPTURE(nameOf(State));
    std::vector<Member> Members = members(5);
    const std::string Gone = readersOf(Members).front();
    for (Member &M : Members)
      if (M.Id.str() == Gone)
        M.State = State;
    const std::vector<std::string> After = readersOf(Members);
    CHECK(After.size() == 2);
    CHECK(std::find(After.begin(), After.end(), Gone) == After.end());
  }
}

// Guards against an entry VM that misses a newer revision, asks in vain for one
// that it has, or keeps asking a source that fails.
TEST_CASE("the next fetch follows from what is known") {
  struct Row {
    const char *Name;
    std::uint64_t InForce;
    std::uint64_t Head; ///< 0: not read.
    std::vector<std::pair<const char *, std::uint64_t>> PeerRevisions;
    bool StoreFailed;
    std::vector<const char *> FailedPeers;
    std::string Expected; ///< "store", the peer, or "none".
  };
  const Row Rows[] = {
      {"up to date", 5, 5, {{"vm-2", 5}}, false, {}, "none"},
      {"store has newer", 5, 6, {}, false, {}, "store"},
      {"peer has newer", 5, 0, {{"vm-2", 4}, {"vm-3", 6}}, false, {}, "vm-3"},
      {"highest peer", 5, 0, {{"vm-2", 7}, {"vm-3", 6}}, false, {}, "vm-2"},
      {"near peer first", 5, 0, {{"far-1", 7}, {"vm-3", 7}}, false, {}, "vm-3"},
      {"far peer alone", 5, 0, {{"far-1", 7}}, false, {}, "far-1"},
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
      {"older peers", 5, 0, {{"vm-2", 4}}, false, {}, "none"},
      {"unknown peer of a higher revision",
       5,
       0,
       {{"x", 9}},
       false,
       {},
       "none"},
      {"start, store down", 0, 0, {{"vm-3", 2}}, false, {}, "vm-3"},
      {"start, enough asked",
       0,
       0,
       {},
       false,
       {"vm-2", "vm-3", "vm-4"},
       "none"},
      {"start, enough asked, then one reports",
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
    ConfigAdoption A(EntryVmId("vm-1"), Here);
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

// Guards against a revision that goes back, and against two contents under one
// revision.
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
      {"between", 6, "any", AdoptionVerdict::Adopt},
      {"head", 7, "head-hash", AdoptionVerdict::Adopt},
      {"head with another hash", 7, "b", AdoptionVerdict::HashConflict},
      {"beyond the head that was read", 8, "any", AdoptionVerdict::Adopt},
  };
  for (const Row &R : Rows) {
    CAPTURE(R.Name);
    ConfigAdoption A(EntryVmId("vm-1"), Here);
    A.onAdopted(5);
    A.onHead(7, "head-hash");
    A.onHead(3, "older answer");
    CHECK(nameOf(A.judge(R.Revision, R.Hash)) == nameOf(R.Expected));
    A.onAdopted(R.Revision);
    CHECK(A.inForce() == std::max<std::uint64_t>(5, R.Revision));
  }
}

// Guards against 3,400 entry VMs that read the head four times a second.
TEST_CASE("only readers read the head often") {
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
