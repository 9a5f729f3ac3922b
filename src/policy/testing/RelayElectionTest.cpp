#include "policy/RelayElection.h"

#include <catch2/catch.hpp>

#include <algorithm>
#include <functional>
#include <string>
#include <vector>

using namespace amaranthspur;

namespace {

constexpr Duration Step = milliseconds(10);
constexpr Duration SyncInterval = milliseconds(400);
constexpr Duration SyncTimeout = milliseconds(500);
constexpr Duration MaxContactAge = milliseconds(1650);

/// One entry VM of the model.
struct ModelVm {
  ModelVm(std::size_t Number, double CpuShare)
      : Id("vm-" + std::to_string(Number)), CpuShare(CpuShare),
        Election(this->Id, CpuShare, MaxContactAge) {}

  EntryVmId Id;
  double CpuShare;
  RelayElection Election;
  bool Running = true;
  bool ReachesStore = true;
  bool Leaving = false;
  TimePoint NextSync{};
  TimePoint StoreContact{};            ///< As a relay.
  std::optional<RelayRow> Replacement; ///< Sent by the relay that replaced it.
};

/// A data centre of entry VMs that share one row of the store.
class DataCentreModel {
public:
  explicit DataCentreModel(std::size_t Count) : Rng(Count) {
    const double Shares[] = {0.12, 0.25, 0.5};
    for (std::size_t I = 0; I < Count; ++I)
      this->Vms.emplace_back(I, Shares[I % std::size(Shares)]);
  }

  void startAll() {
    for (ModelVm &Vm : this->Vms)
      this->restart(Vm);
  }

  /// Replaces the process of \p Vm; it knows nothing of before.
  void restart(ModelVm &Vm) {
    Vm.Election = RelayElection(Vm.Id, Vm.CpuShare, MaxContactAge);
    Vm.Election.start(this->Now, this->Rng);
    Vm.NextSync = this->Now;
    Vm.Running = true;
  }

  void run(Duration Time) {
    for (const TimePoint End = this->Now + Time; this->Now < End;
         this->Now += Step)
      for (ModelVm &Vm : this->Vms)
        if (Vm.Running)
          this->step(Vm);
  }

  ModelVm *relay() {
    for (ModelVm &Vm : this->Vms)
      if (Vm.Id == this->Row.Vm)
        return &Vm;
    return nullptr;
  }

  /// Returns how many running entry VMs may follow the relay of the row.
  std::size_t following() const {
    std::size_t Count = 0;
    for (const ModelVm &Vm : this->Vms)
      if (Vm.Running && Vm.Election.mayFollow() &&
          Vm.Election.row().Vm == this->Row.Vm)
        ++Count;
    return Count;
  }

  std::vector<ModelVm> Vms;
  RelayRow Row;
  std::size_t StoreCalls = 0;
  bool StoreUp = true;

private:
  bool reachesStore(const ModelVm &Vm) const {
    return this->StoreUp && Vm.ReachesStore;
  }

  void step(ModelVm &Vm) {
    RelayElection &E = Vm.Election;
    if (Vm.Replacement)
      E.observeRow(*std::exchange(Vm.Replacement, std::nullopt), this->Now);
    if (E.claimAt() && this->Now >= *E.claimAt()) {
      this->claim(Vm);
    } else if (E.role() == RelayRole::Relay) {
      if (this->reachesStore(Vm))
        Vm.StoreContact = this->Now;
      if (E.takeVerification(this->Now) && this->reachesStore(Vm)) {
        ++this->StoreCalls;
        E.observeRow(this->Row, this->Now);
      }
    } else if (E.role() == RelayRole::Follower && this->Now >= Vm.NextSync) {
      this->synchronise(Vm);
    }
  }

  void claim(ModelVm &Vm) {
    ++this->StoreCalls;
    if (!this->reachesStore(Vm)) {
      Vm.Election.observeStoreFailure(this->Now, this->Rng);
      return;
    }
    const bool Claims = Vm.Election.claimStep() == ClaimStep::Claim &&
                        Vm.Election.row().Version == this->Row.Version;
    if (Claims) {
      ModelVm *Former = this->relay();
      this->Row = {StoreVersion(this->Row.Version.number() + 1), Vm.Id,
                   "127.0.0.1:1", "token"};
      if (Former && Former != &Vm)
        Former->Replacement = this->Row;
    }
    Vm.Election.observeRow(this->Row, this->Now);
    Vm.StoreContact = this->Now;
    Vm.NextSync = this->Now;
  }

  void synchronise(ModelVm &Vm) {
    Vm.NextSync = this->Now + SyncInterval;
    for (ModelVm &Relay : this->Vms) {
      if (Relay.Id != Vm.Election.row().Vm)
        continue;
      if (!Relay.Running) {
        Vm.NextSync = this->Now + SyncTimeout;
        Vm.Election.observeUnanswered(this->Now, this->Rng);
      } else if (Relay.Election.role() != RelayRole::Relay) {
        // A replaced relay tells its followers of the relay that it follows.
        if (Relay.Election.row().Version > Vm.Election.row().Version)
          Vm.Election.observeRow(Relay.Election.row(), this->Now);
        else
          Vm.Election.observeRejection(this->Now, this->Rng);
      } else {
        Vm.Election.observeAnswer(this->Now - Relay.StoreContact, Relay.Leaving,
                                  this->Now, this->Rng);
      }
    }
  }

  Random Rng;
  TimePoint Now{std::chrono::seconds(100)};
};

} // namespace

// Guards against store calls that grow with the number of entry VMs beyond one
// at the start of each, against a data centre without a relay, and against one
// that keeps a relay which cannot serve. The rows are the patterns of load at
// which each entry VM used to read the store by itself: a start of all, the
// loss of any VM, and an outage of the store.
TEST_CASE("a data centre settles on one relay with few store calls") {
  struct Row {
    const char *Name;
    std::function<void(DataCentreModel &)> Event;
    bool RelayChanges;
    /// Store calls that the event may cause, per entry VM and in addition.
    double CallsPerVm;
    std::size_t MoreCalls;
  };
  const Row Rows[] = {
      {"nothing happens", [](DataCentreModel &) {}, false, 0, 1},
      {"all entry VMs lose power and start again",
       [](DataCentreModel &M) { M.startAll(); }, false, 1, 5},
      {"the relay is lost",
       [](DataCentreModel &M) { M.relay()->Running = false; }, true, 1, 10},
      {"the relay is suspended and wakes",
       [](DataCentreModel &M) {
         ModelVm *Suspended = M.relay();
         Suspended->Running = false;
         M.run(std::chrono::seconds(8));
         Suspended->Running = true;
       },
       true, 1, 20},
      {"the relay stops as planned",
       [](DataCentreModel &M) {
         ModelVm *Stopping = M.relay();
         Stopping->Leaving = true;
         M.run(std::chrono::seconds(3));
         Stopping->Running = false;
       },
       true, 1, 10},
      // Each entry VM reads the row before it may claim it.
      {"the store refuses the relay only",
       [](DataCentreModel &M) { M.relay()->ReachesStore = false; }, true, 2,
       20},
      {"the store is away for 12 s",
       [](DataCentreModel &M) {
         M.StoreUp = false;
         M.run(std::chrono::seconds(12));
         M.StoreUp = true;
       },
       false, 6, 20},
  };
  for (const std::size_t Size : {2U, 50U, 500U}) {
    for (const Row &R : Rows) {
      CAPTURE(R.Name, Size);
      DataCentreModel Model(Size);
      Model.startAll();
      Model.run(std::chrono::seconds(3));
      REQUIRE(Model.relay());
      REQUIRE(Model.following() == Size - 1);
      CHECK(Model.StoreCalls == Size);
      const EntryVmId First = Model.Row.Vm;
      const std::size_t Before = Model.StoreCalls;
      R.Event(Model);
      Model.run(std::chrono::seconds(20));
      const auto Running = static_cast<std::size_t>(
          std::count_if(Model.Vms.begin(), Model.Vms.end(),
                        [](const ModelVm &Vm) { return Vm.Running; }));
      CHECK((Model.Row.Vm != First) == R.RelayChanges);
      CHECK(Model.following() == Running - 1);
      const double Allowed = R.CallsPerVm * static_cast<double>(Size) +
                             static_cast<double>(R.MoreCalls);
      CHECK(static_cast<double>(Model.StoreCalls - Before) <= Allowed);
    }
  }
}

// Guards against a small entry VM as the relay while larger ones are there: at
// 0.12 of a core, serving 49 followers takes most of its processor time.
TEST_CASE("the largest entry VMs become relays") {
  DataCentreModel Model(50);
  Model.startAll();
  Model.run(std::chrono::seconds(2));
  REQUIRE(Model.relay());
  CHECK(Model.relay()->CpuShare == 0.5);
}

// Guards against tables that are taken from a relay which does not have the
// store's latest changes, and against doing without a relay that has.
TEST_CASE("a relay is followed only while it is current") {
  enum class Event { Answer, Stale, Unanswered, Rejected, NotReady, Leaving };
  struct Row {
    const char *Name;
    std::vector<Event> Events;
    bool MayFollow;
    bool Claims;
    bool Awaits;
  };
  const Row Rows[] = {
      {"not asked yet", {}, false, false, true},
      {"current", {Event::Answer}, true, false, false},
      {"starting", {Event::NotReady}, false, false, true},
      {"starting, then ready",
       {Event::NotReady, Event::Answer},
       true,
       false,
       false},
      {"starting for too long", std::vector<Event>(8, Event::NotReady), false,
       true, false},
      {"without contact with the store",
       {Event::Answer, Event::Stale},
       false,
       true,
       false},
      {"in contact again", {Event::Stale, Event::Answer}, true, false, false},
      {"one request lost",
       {Event::Answer, Event::Unanswered},
       false,
       false,
       false},
      {"answers after one lost request",
       {Event::Unanswered, Event::Answer},
       true,
       false,
       false},
      {"two requests lost",
       {Event::Unanswered, Event::Unanswered},
       false,
       true,
       false},
      {"not a relay", {Event::Rejected}, false, true, false},
      {"about to stop", {Event::Leaving}, true, true, false},
  };
  for (const Row &R : Rows) {
    CAPTURE(R.Name);
    Random Rng(1);
    TimePoint Now{std::chrono::seconds(100)};
    RelayElection E(EntryVmId("a"), 0.25, MaxContactAge);
    E.start(Now, Rng);
    E.observeRow({StoreVersion(7), EntryVmId("b"), "127.0.0.1:1", "token"},
                 Now);
    for (const Event Next : R.Events) {
      Now += SyncInterval;
      switch (Next) {
      case Event::Answer:
        E.observeAnswer(MaxContactAge, false, Now, Rng);
        break;
      case Event::Stale:
        E.observeAnswer(MaxContactAge + Step, false, Now, Rng);
        break;
      case Event::Unanswered:
        E.observeUnanswered(Now, Rng);
        break;
      case Event::Rejected:
        E.observeRejection(Now, Rng);
        break;
      case Event::NotReady:
        E.observeNotReady(Now, Rng);
        break;
      case Event::Leaving:
        E.observeAnswer(Duration::zero(), true, Now, Rng);
        break;
      }
    }
    CHECK(E.mayFollow() == R.MayFollow);
    CHECK(E.claimAt().has_value() == R.Claims);
    CHECK(E.awaitsFirstAnswer() == R.Awaits);
  }
}
