#include "config/Validation.h"

#include "config/Limits.h"
#include "policy/Ownership.h"

#include <algorithm>
#include <arpa/inet.h>
#include <cmath>
#include <map>
#include <set>
#include <sstream>

namespace amaranthspur::config {
namespace {

constexpr std::string_view NameRule =
    "1 to 63 of a-z 0-9 . - that begin and end with a letter or digit";

std::string elementPath(const std::string &Path, int I) {
  return Path + "[" + std::to_string(I) + "]";
}

std::string number(double Value) {
  std::ostringstream Text;
  Text << Value;
  return Text.str();
}

bool isNumericHost(const std::string &Host) {
  in6_addr Buffer{};
  return inet_pton(AF_INET, Host.c_str(), &Buffer) == 1 ||
         inet_pton(AF_INET6, Host.c_str(), &Buffer) == 1;
}

/// Collects the mistakes in one questionnaire. Each check appends to Mistakes.
class Validator {
public:
  explicit Validator(const Questionnaire &Answers) : Answers(Answers) {}

  std::vector<Mistake> run() {
    this->checkRegions();
    this->checkLatency();
    this->checkCount("services", this->Answers.services_size(), 1, MaxServices);
    for (int I = 0; I < this->Answers.services_size(); ++I)
      this->checkService(this->Answers.services(I), elementPath("services", I));
    this->checkDrainedVms();
    return std::move(this->Mistakes);
  }

private:
  using Names = std::set<std::string, std::less<>>;

  void add(std::string Path, std::string Value, std::string Allowed) {
    if (this->Mistakes.size() < MaxMistakes)
      this->Mistakes.push_back(
          {std::move(Path), std::move(Value), std::move(Allowed)});
  }

  /// Checks that a list has \p Min to \p Max entries.
  void checkCount(const std::string &Path, int Size, std::size_t Min,
                  std::size_t Max) {
    const auto Entries = static_cast<std::size_t>(Size);
    if (Entries < Min || Entries > Max)
      this->add(Path, std::to_string(Size) + " entries",
                std::to_string(Min) + " to " + std::to_string(Max) +
                    " entries");
  }

  /// Checks that \p Value is from \p Min to \p Max. NaN is not.
  template <typename T>
  void checkRange(const std::string &Path, T Value, T Min, T Max) {
    if (!(Value >= Min && Value <= Max))
      this->add(Path, number(static_cast<double>(Value)),
                number(static_cast<double>(Min)) + " to " +
                    number(static_cast<double>(Max)));
  }

  /// Checks that \p Name is valid and not yet in \p Seen, and adds it there.
  void checkName(const std::string &Path, const std::string &Name,
                 Names &Seen) {
    if (!isName(Name))
      this->add(Path, quoted(Name), std::string(NameRule));
    else if (!Seen.insert(Name).second)
      this->add(Path, quoted(Name), "a name that is not used above");
  }

  /// Checks that \p Name is one of \p Defined. \p Kind describes them.
  void checkReference(const std::string &Path, const std::string &Name,
                      const Names &Defined, const char *Kind) {
    if (Defined.contains(Name))
      return;
    std::string Allowed = std::string(Kind) + ":";
    for (const std::string &Known : Defined)
      Allowed += " " + Known;
    this->add(Path, quoted(Name), Allowed);
  }

  void checkRegions() {
    this->checkCount("regions", this->Answers.regions_size(), 1, MaxRegions);
    Names Regions;
    for (int I = 0; I < this->Answers.regions_size(); ++I) {
      const RegionAnswer &R = this->Answers.regions(I);
      const std::string Path = elementPath("regions", I);
      this->checkName(Path + ".name", R.name(), Regions);
      this->checkCount(Path + ".data_centres", R.data_centres_size(), 1,
                       MaxDataCentres);
      for (int J = 0; J < R.data_centres_size(); ++J)
        this->checkName(elementPath(Path + ".data_centres", J),
                        R.data_centres(J), this->DataCentres);
    }
    if (this->DataCentres.size() > MaxDataCentres)
      this->checkCount("regions[].data_centres",
                       static_cast<int>(this->DataCentres.size()), 1,
                       MaxDataCentres);
  }

  void checkLatency() {
    const LatencyAnswer &L = this->Answers.latency();
    this->checkRange("latency.within_region_ms", L.within_region_ms(), 0.0,
                     MaxLatencyMs);
    this->checkRange("latency.between_regions_ms", L.between_regions_ms(), 0.0,
                     MaxLatencyMs);
    this->checkCount("latency.exceptions", L.exceptions_size(), 0,
                     MaxDataCentres * MaxDataCentres / 2);
    std::set<std::pair<std::string, std::string>> Pairs;
    for (int I = 0; I < L.exceptions_size(); ++I) {
      const LatencyException &E = L.exceptions(I);
      const std::string Path = elementPath("latency.exceptions", I);
      this->checkReference(Path + ".from", E.from(), this->DataCentres,
                           "a data centre");
      this->checkReference(Path + ".to", E.to(), this->DataCentres,
                           "a data centre");
      this->checkRange(Path + ".one_way_ms", E.one_way_ms(), 0.0, MaxLatencyMs);
      const auto Pair = std::minmax(E.from(), E.to());
      if (E.from() == E.to() || !Pairs.insert(Pair).second)
        this->add(Path, quoted(E.from() + " - " + E.to()),
                  "each pair of two data centres once");
    }
  }

  void checkService(const ServiceAnswer &S, const std::string &Path) {
    this->checkName(Path + ".name", S.name(), this->Services);
    this->checkCount(Path + ".backend_servers", S.backend_servers_size(), 1,
                     MaxServersPerService);
    for (int I = 0; I < S.backend_servers_size(); ++I)
      this->checkServer(S.backend_servers(I),
                        elementPath(Path + ".backend_servers", I));
    const auto &Servers = S.backend_servers();
    const bool AllLeaving =
        !Servers.empty() &&
        std::all_of(Servers.begin(), Servers.end(),
                    [](const BackendServerAnswer &B) { return B.leaving(); });
    if (AllLeaving)
      this->add(Path + ".backend_servers", "all leaving",
                "at least one backend server that stays");
    this->checkCount(Path + ".classes", S.classes_size(), 1,
                     MaxClassesPerService);
    const double MinReplicationMs = this->minReplicationMs(S);
    Names Classes;
    for (int I = 0; I < S.classes_size(); ++I)
      this->checkClass(S.classes(I), elementPath(Path + ".classes", I),
                       MinReplicationMs, Classes);
    this->checkCount(Path + ".callers", S.callers_size(), 1,
                     MaxCallersPerService);
    Names Callers;
    for (int I = 0; I < S.callers_size(); ++I) {
      const CallerAnswer &C = S.callers(I);
      const std::string At = elementPath(Path + ".callers", I);
      this->checkName(At + ".name", C.name(), Callers);
      this->checkRange(At + ".weight", C.weight(), 1U, MaxWeight);
      this->checkReference(At + ".default_class", C.default_class(), Classes,
                           "a class of this service");
    }
  }

  void checkServer(const BackendServerAnswer &B, const std::string &Path) {
    this->checkName(Path + ".id", B.id(), this->Servers);
    if (!isNumericHost(B.host()))
      this->add(Path + ".host", quoted(B.host()),
                "a numeric IPv4 or IPv6 address");
    this->checkRange(Path + ".port", B.port(), 1U, 65535U);
    const std::string Address = B.host() + " port " + std::to_string(B.port());
    if (!this->Addresses.insert(Address).second)
      this->add(Path + ".host", quoted(Address),
                "an address that no other backend server has");
    this->checkReference(Path + ".data_centre", B.data_centre(),
                         this->DataCentres, "a data centre");
    this->checkRange(Path + ".slots", B.slots(), 1U, MaxSlots);
    this->checkRange(Path + ".connection_limit", B.connection_limit(), 1U,
                     MaxConnectionLimit);
    const std::uint64_t MinConnections =
        std::uint64_t{B.slots()} + ControlConnections;
    if (MinConnections > B.connection_limit())
      this->add(Path + ".connection_limit",
                std::to_string(B.connection_limit()),
                "at least " + std::to_string(MinConnections) +
                    ", one connection for each slot and " +
                    std::to_string(ControlConnections) + " for control");
  }

  void checkClass(const ClassAnswer &C, const std::string &Path,
                  double MinReplicationMs, Names &Classes) {
    this->checkName(Path + ".name", C.name(), Classes);
    this->checkRange(Path + ".deadline_ms", C.deadline_ms(), 1U, MaxDeadlineMs);
    if (!(C.expected_length_ms() > 0 &&
          C.expected_length_ms() <= C.deadline_ms()))
      this->add(Path + ".expected_length_ms", number(C.expected_length_ms()),
                "more than 0 and at most the class's deadline_ms of " +
                    std::to_string(C.deadline_ms()));
    this->checkRange(Path + ".max_staleness_ms", C.max_staleness_ms(), 0U,
                     MaxStalenessMs);
    // A replica's data is at least as old as the latency from the primary. A
    // lower tolerance could never be satisfied.
    if (C.max_staleness_ms() > 0 && C.max_staleness_ms() < MinReplicationMs)
      this->add(Path + ".max_staleness_ms",
                std::to_string(C.max_staleness_ms()),
                "0, or at least the " + number(MinReplicationMs) +
                    " ms that replication takes between the nearest two "
                    "backend servers");
  }

  /// Returns the lowest latency between any two servers of \p S, or 0 if there
  /// are fewer than two.
  double minReplicationMs(const ServiceAnswer &S) const {
    double Min = MaxLatencyMs;
    for (int I = 0; I < S.backend_servers_size(); ++I)
      for (int J = 0; J < I; ++J)
        Min = std::min(Min, latencyBetween(this->Answers,
                                           S.backend_servers(I).data_centre(),
                                           S.backend_servers(J).data_centre()));
    return S.backend_servers_size() < 2 ? 0 : Min;
  }

  void checkDrainedVms() {
    this->checkCount("drained_entry_vms",
                     this->Answers.drained_entry_vms_size(), 0,
                     MaxDrainedEntryVms);
    Names Vms;
    for (int I = 0; I < this->Answers.drained_entry_vms_size(); ++I)
      this->checkName(elementPath("drained_entry_vms", I),
                      this->Answers.drained_entry_vms(I), Vms);
  }

  const Questionnaire &Answers;
  std::vector<Mistake> Mistakes;
  Names DataCentres;
  Names Services;
  Names Servers;
  Names Addresses;
};

std::string_view regionOf(const Questionnaire &Answers,
                          std::string_view Location) {
  for (const RegionAnswer &R : Answers.regions())
    for (const std::string &Name : R.data_centres())
      if (Name == Location)
        return R.name();
  return {};
}

} // namespace

std::vector<Mistake> validate(const Questionnaire &Answers) {
  return Validator(Answers).run();
}

bool isName(std::string_view Name) {
  const auto IsAlphanumeric = [](char C) {
    return (C >= 'a' && C <= 'z') || (C >= '0' && C <= '9');
  };
  if (Name.empty() || Name.size() > MaxNameLength)
    return false;
  if (!IsAlphanumeric(Name.front()) || !IsAlphanumeric(Name.back()))
    return false;
  return std::all_of(Name.begin(), Name.end(), [&](char C) {
    return IsAlphanumeric(C) || C == '.' || C == '-';
  });
}

double latencyBetween(const Questionnaire &Answers, std::string_view From,
                      std::string_view To) {
  if (From == To)
    return 0;
  const LatencyAnswer &L = Answers.latency();
  for (const LatencyException &E : L.exceptions())
    if ((E.from() == From && E.to() == To) ||
        (E.from() == To && E.to() == From))
      return E.one_way_ms();
  const bool SameRegion = regionOf(Answers, From) == regionOf(Answers, To);
  return SameRegion ? L.within_region_ms() : L.between_regions_ms();
}

std::string quoted(std::string_view Text) {
  constexpr std::size_t MaxShown = 80;
  std::string Shown = "\"";
  for (const char C : Text.substr(0, MaxShown))
    Shown += static_cast<unsigned char>(C) < ' ' || C == '\x7f' ? '?' : C;
  return Shown + (Text.size() > MaxShown ? "...\"" : "\"");
}

} // namespace amaranthspur::config
