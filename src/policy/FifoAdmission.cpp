#include "policy/Admission.h"

#include <map>
#include <set>
#include <unordered_map>
#include <unordered_set>

namespace amaranthspur {
namespace {

/// Serves all callers and classes from one queue in order of arrival. This is
/// the baseline with which FairAdmission is compared.
class FifoAdmission final : public Admission {
public:
  explicit FifoAdmission(const AdmissionLimits &Limits) : Limits(Limits) {}

  std::optional<Refusal> submit(const WorkItem &Item,
                                TimePoint /*Now*/) override {
    if (this->Queue.size() >= this->Limits.MaxQueued ||
        this->QueuedBytes + Item.Bytes > this->Limits.MaxQueuedBytes)
      return notRun(RefusalReason::Overloaded, "queue of the server is full");
    const std::uint64_t Order = this->NextOrder++;
    if (!this->OrderOf.emplace(Item.Id, Order).second)
      return notRun(RefusalReason::Overloaded, "work identifier is in use");
    this->Queue.emplace(Order, Item);
    this->ByDeadline.emplace(Item.Deadline, Item.Id);
    this->QueuedBytes += Item.Bytes;
    return std::nullopt;
  }

  std::optional<WorkId> next(TimePoint /*Now*/) override {
    if (this->Queue.empty() || this->Running.size() >= this->Limits.Slots)
      return std::nullopt;
    const WorkId Id = this->Queue.begin()->second.Id;
    this->withdraw(Id);
    this->Running.insert(Id);
    return Id;
  }

  void finished(WorkId Id, TimePoint /*Now*/) override {
    this->Running.erase(Id);
  }

  void withdraw(WorkId Id) override {
    const auto Found = this->OrderOf.find(Id);
    if (Found == this->OrderOf.end())
      return;
    const auto Queued = this->Queue.find(Found->second);
    this->ByDeadline.erase({Queued->second.Deadline, Id});
    this->QueuedBytes -= Queued->second.Bytes;
    this->Queue.erase(Queued);
    this->OrderOf.erase(Found);
  }

  std::vector<ExpiredWork> expire(TimePoint Now) override {
    std::vector<ExpiredWork> Expired;
    while (!this->ByDeadline.empty() &&
           this->ByDeadline.begin()->first <= Now) {
      const WorkId Id = this->ByDeadline.begin()->second;
      Expired.push_back({Id, RefusalReason::DeadlineExpired});
      this->withdraw(Id);
    }
    return Expired;
  }

  void observeQueueTime(Duration /*QueueTime*/, TimePoint /*Now*/) override {}

  void configure(const ServiceConfig & /*Service*/,
                 const AdmissionLimits &NewLimits) override {
    this->Limits = NewLimits;
  }

  AdmissionStats stats() const override {
    AdmissionStats Stats;
    Stats.Queued = this->Queue.size();
    Stats.Running = static_cast<unsigned>(this->Running.size());
    Stats.Concurrency = this->Limits.Slots;
    return Stats;
  }

private:
  AdmissionLimits Limits;
  std::uint64_t NextOrder = 0;
  std::map<std::uint64_t, WorkItem> Queue;
  std::unordered_map<WorkId, std::uint64_t> OrderOf;
  std::set<std::pair<TimePoint, WorkId>> ByDeadline;
  std::unordered_set<WorkId> Running;
  std::size_t QueuedBytes = 0;
};

} // namespace

std::unique_ptr<Admission> makeFifoAdmission(const ServiceConfig & /*Service*/,
                                             const AdmissionLimits &Limits) {
  return std::make_unique<FifoAdmission>(Limits);
}

} // namespace amaranthspur
