#include "config/Plan.h"
#include "config/testing/Examples.h"

#include <catch2/catch.hpp>

#include <algorithm>
#include <functional>

using namespace amaranthspur;
using namespace amaranthspur::config;

namespace {

template <typename E> std::vector<std::string> texts(const E &Entries) {
  std::vector<std::string> Lines;
  Lines.reserve(Entries.size());
  for (const auto &Entry : Entries)
    Lines.push_back(text(Entry));
  return Lines;
}

std::vector<std::string> riskNames(const Plan &P) {
  std::vector<std::string> Names;
  Names.reserve(P.Warnings.size());
  for (const Warning &W : P.Warnings)
    Names.emplace_back(nameOf(W.Kind));
  return Names;
}

/// One edit of the example `engravers` and its expected plan.
struct PlanRow {
  const char *Name;
  std::function<void(Questionnaire &)> Edit;
  std::vector<std::string> Changes;
  std::vector<std::string> Risks;
};

ServiceAnswer &service(Questionnaire &A, int I) {
  return *A.mutable_services(I);
}

const std::vector<PlanRow> PlanRows = {
    {"nothing", [](Questionnaire &) {}, {}, {}},
    {"order only",
     [](Questionnaire &A) { A.mutable_services()->SwapElements(0, 2); },
     {},
     {}},
    {"weight",
     [](Questionnaire &A) { service(A, 0).mutable_callers(0)->set_weight(6); },
     {"service orders-1: caller bench: weight: 4 -> 6"},
     {}},
    {"drained server",
     [](Questionnaire &A) {
       service(A, 1).mutable_backend_servers(2)->set_leaving(true);
     },
     {"service orders-2: backend server orders-2-c: leaving: no -> yes"},
     {"capacity-reduced"}},
    {"two drained servers",
     [](Questionnaire &A) {
       service(A, 1).mutable_backend_servers(1)->set_leaving(true);
       service(A, 1).mutable_backend_servers(2)->set_leaving(true);
     },
     {"service orders-2: backend server orders-2-b: leaving: no -> yes",
      "service orders-2: backend server orders-2-c: leaving: no -> yes"},
     {"majority-leaving", "capacity-reduced"}},
    {"removed server",
     [](Questionnaire &A) {
       service(A, 0).mutable_backend_servers()->RemoveLast();
     },
     {"service orders-1: backend server orders-1-c is removed"},
     {"even-group", "capacity-reduced", "server-removed"}},
    {"moved server",
     [](Questionnaire &A) {
       service(A, 0).mutable_backend_servers(0)->set_host("10.9.9.9");
     },
     {"service orders-1: backend server orders-1-a: host: 10.10.1.21 -> "
      "10.9.9.9"},
     {"server-moved"}},
    {"removed service",
     [](Questionnaire &A) { A.mutable_services()->RemoveLast(); },
     {"service orders-3 is removed"},
     {"service-removed"}},
    {"removed caller",
     [](Questionnaire &A) { service(A, 0).mutable_callers()->RemoveLast(); },
     {"service orders-1: caller checker is removed"},
     {"caller-removed"}},
    {"class",
     [](Questionnaire &A) {
       ClassAnswer &C = *service(A, 0).mutable_classes(0);
       C.set_deadline_ms(900);
       C.set_max_staleness_ms(200);
       C.set_unrepeatable_writes(false);
     },
     {"service orders-1: class order: deadline ms: 2000 -> 900",
      "service orders-1: class order: max staleness ms: 0 -> 200",
      "service orders-1: class order: unrepeatable writes: yes -> no"},
     {"staleness-unreachable", "deadline-shortened", "staleness-raised",
      "writes-become-repeatable"}},
    {"drained entry VM",
     [](Questionnaire &A) { A.add_drained_entry_vms("vm-3"); },
     {"drained entry vm vm-3 is added"},
     {}},
    {"new data centre",
     [](Questionnaire &A) {
       A.mutable_regions(1)->add_data_centres("paarl-b");
     },
     {"region westcape: data centre paarl-b is added"},
     {}},
    {"latency",
     [](Questionnaire &A) { A.mutable_latency()->set_within_region_ms(1.5); },
     {"latency: within region ms: 1 -> 1.5"},
     {}},
};

} // namespace

// Guards against a change that the plan does not list, and against a risk that
// it does not warn about.
TEST_CASE("a plan lists every change and its risks") {
  const Questionnaire From = example("engravers");
  for (const PlanRow &R : PlanRows) {
    CAPTURE(R.Name);
    Questionnaire To = From;
    R.Edit(To);
    const Plan P = planChange(From, To);
    CHECK(texts(P.Changes) == R.Changes);
    CHECK(riskNames(P) == R.Risks);
    for (const std::string &Line : texts(P.Warnings))
      CHECK(Line.find(": ") != std::string::npos);
  }
}

// Guards against a failure to plan the first configuration, when no answers are
// in force yet.
TEST_CASE("the first configuration adds everything") {
  const Plan P = planChange(Questionnaire(), example("association"));
  const std::vector<std::string> Lines = texts(P.Changes);
  for (const char *Expected :
       {"service ledger-1 is added", "region sur is added",
        "latency: between regions ms: 0 -> 8"})
    CHECK(std::find(Lines.begin(), Lines.end(), Expected) != Lines.end());
  CHECK(P.Warnings.empty());
}
