#include "testing/fake-platform/PlatformStore.h"

#include <algorithm>

namespace amaranthspur::fakeplatform {

bool RateLimit::take(std::uint64_t PerSecond, TimePoint Now) {
  if (PerSecond == 0)
    return true;
  const auto Burst = static_cast<double>(PerSecond);
  if (this->Rate != PerSecond) {
    this->Rate = PerSecond;
    this->Tokens = Burst;
    this->Last = Now;
  }
  const double Seconds = toMilliseconds(Now - this->Last) / 1000.0;
  this->Last = Now;
  this->Tokens = std::min(Burst, this->Tokens + Seconds * Burst);
  if (this->Tokens < 1)
    return false;
  this->Tokens -= 1;
  return true;
}

PlatformStore::PlatformStore(std::uint64_t Seed) : Generator(Seed) {}

Row PlatformStore::readRow(const std::string &Key) const {
  const auto Found = this->State.Rows.find(Key);
  return Found == this->State.Rows.end() ? Row{} : Found->second;
}

WriteOutcome PlatformStore::writeRow(const std::string &Key,
                                     std::uint64_t Expected, std::string Value,
                                     std::string Operation) {
  Row &Present = this->State.Rows[Key];
  if (Present.Version != Expected)
    return {false, Present};
  Present = {++this->State.Counter, std::move(Value), std::move(Operation)};
  return {true, Present};
}

void PlatformStore::setExternalRow(const std::string &Table,
                                   const std::string &Key, std::string Value) {
  this->State.ExternalRows[Table][Key] = {Key, std::move(Value),
                                          ++this->State.Counter, false};
}

void PlatformStore::removeExternalRow(const std::string &Table,
                                      const std::string &Key) {
  this->State.ExternalRows[Table][Key] = {Key, {}, ++this->State.Counter, true};
}

std::vector<ExternalRow>
PlatformStore::externalRowsAfter(const std::string &Table,
                                 std::uint64_t After) const {
  std::vector<ExternalRow> Changed;
  const auto Found = this->State.ExternalRows.find(Table);
  if (Found == this->State.ExternalRows.end())
    return Changed;
  for (const auto &[Key, R] : Found->second)
    if (R.Version > After)
      Changed.push_back(R);
  std::sort(Changed.begin(), Changed.end(),
            [](const ExternalRow &A, const ExternalRow &B) {
              return A.Version < B.Version;
            });
  return Changed;
}

void PlatformStore::returnFromCopy() {
  this->State = this->Copy;
  this->EraHeader = std::to_string(++this->Era);
}

void PlatformStore::putObject(const std::string &Name, std::string Content) {
  this->Objects[Name] = std::move(Content);
}

const std::string *PlatformStore::findObject(const std::string &Name) const {
  const auto Found = this->Objects.find(Name);
  return Found == this->Objects.end() ? nullptr : &Found->second;
}

void PlatformStore::putVm(Vm V, TimePoint Now) {
  std::vector<VmChange> &Changes = this->Vms[V.Id];
  Changes.push_back({Now, std::move(V)});
}

void PlatformStore::removeVm(const std::string &Id, TimePoint Now) {
  this->Vms[Id].push_back({Now, std::nullopt});
}

std::vector<Vm> PlatformStore::listVms(TimePoint Now) const {
  std::vector<Vm> List;
  for (const auto &[Id, Changes] : this->Vms) {
    const auto Shown =
        std::find_if(Changes.rbegin(), Changes.rend(), [&](const VmChange &C) {
          return C.At + this->ActiveFaults.ListLag <= Now;
        });
    if (Shown != Changes.rend() && Shown->NewState)
      List.push_back(*Shown->NewState);
  }
  return List;
}

void PlatformStore::setFaults(const Faults &F,
                              std::optional<std::uint64_t> Seed) {
  this->ActiveFaults = F;
  if (Seed)
    this->Generator = Random(*Seed);
}

Admission PlatformStore::admit(RequestKind Kind, TimePoint Now) {
  if (this->ActiveFaults.Outage)
    return Admission::Outage;
  const bool Allowed =
      Kind == RequestKind::Read
          ? this->Reads.take(this->ActiveFaults.ReadsPerSecond, Now)
          : this->Writes.take(this->ActiveFaults.WritesPerSecond, Now);
  return Allowed ? Admission::Admitted : Admission::RateLimited;
}

bool PlatformStore::drawAnswerLoss() {
  return this->ActiveFaults.LoseAnswers > 0 &&
         this->Generator.unit() < this->ActiveFaults.LoseAnswers;
}

} // namespace amaranthspur::fakeplatform
