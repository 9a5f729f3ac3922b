#include "policy/TakeoverProcedure.h"

#include <catch2/catch.hpp>

#include <functional>
#include <utility>

using namespace amaranthspur;

namespace {

constexpr TimePoint Begun{std::chrono::seconds(100)};

/// The servers, the store and the platform as one takeover sees them. Server
/// `p` is the old primary of term 3; `a` and `b` are replicas.
struct Surroundings {
  struct State {
    ServerRole Role = ServerRole::Replica;
    Term TermNumber = 3;
    Term Adopted = 0;
    std::uint64_t Index = 9;
    std::int64_t StartedAtMs = 1;
    std::optional<LogPosition> CountedEnd;
    bool Silent = false;
    bool RefusesTerm = false; ///< It neither steps down nor adopts a term.
  };

  Surroundings() { this->Servers["p"].Role = ServerRole::Primary; }

  std::optional<ServerReport> answer(const ServerId &Id, TakeoverStep Step,
                                     Term T) {
    State &S = this->Servers.at(Id.str());
    if (S.Silent)
      return std::nullopt;
    if (Step == TakeoverStep::StepDown && !S.RefusesTerm && T > S.TermNumber)
      S.Role = ServerRole::Replica;
    if (Step == TakeoverStep::Adopt && !S.RefusesTerm &&
        S.Role == ServerRole::Replica)
      S.Adopted = T;
    return ServerReport{S.Role, S.TermNumber, {3, S.Index}, S.Adopted, {}, 0,
                        0};
  }

  std::vector<TakeoverServer> registered() const {
    std::vector<TakeoverServer> List;
    for (const auto &[Id, S] : this->Servers) {
      TakeoverServer Server;
      Server.Id = ServerId(Id);
      Server.StartedAtMs = S.StartedAtMs;
      Server.CountedEnd = S.CountedEnd;
      List.push_back(Server);
    }
    return List;
  }

  std::map<std::string, State> Servers{{"p", {}}, {"a", {}}, {"b", {}}};
  Term KnownTerm = 3;
  RequiredEnd Required;
  LogPosition Acknowledged;
  bool StoreAnswers = true;
  ClaimCheck Claim = ClaimCheck::Held;
  std::vector<PromotionOutcome> Orders; ///< Answers, in order; then Accepted.
  std::optional<Term> Led = 4; ///< By the target; nothing: no effect yet.
  bool LosesTarget = false; ///< The first target is replaced before it leads.
  TimePoint Now = Begun;
};

/// Called before each step, with the number of earlier steps of this kind.
using Event = std::function<void(Surroundings &, TakeoverStep, unsigned)>;

struct Outcome {
  std::string Steps;   ///< Names of the steps, with the targets of orders.
  std::string Ordered; ///< The ends of the last order, as a log line has them.
  TakeoverEnd End = TakeoverEnd::GivenUp;
  std::string Why;
};

/// Returns the required end of \p Order, why it was required, and the end of
/// the target's log.
std::string describeEnds(const TakeoverAction &Order) {
  return positionText(Order.Required.Position) + " " +
         std::string(nameOf(Order.Required.Source)) + ":" +
         Order.Required.Server.str() + " " + positionText(Order.TargetEnd);
}

Outcome runTakeover(Surroundings &S, const Event &Before) {
  std::vector<TakeoverServer> Planned = S.registered();
  for (TakeoverServer &Server : Planned) {
    Server.OldPrimary = Server.Id.str() == "p";
    Server.Report = S.answer(Server.Id, TakeoverStep::Poll, 0);
  }
  TakeoverProcedure Procedure(Planned, S.KnownTerm, S.Required, std::nullopt,
                              Begun);
  Outcome Seen;
  std::map<TakeoverStep, unsigned> Counts;
  std::size_t OrderCount = 0;
  while (true) {
    const TakeoverAction Action = Procedure.next(S.Now);
    Before(S, Action.Step, Counts[Action.Step]++);
    Seen.Steps += (Seen.Steps.empty() ? "" : " ");
    Seen.Steps += nameOf(Action.Step);
    switch (Action.Step) {
    case TakeoverStep::Poll:
    case TakeoverStep::StepDown:
    case TakeoverStep::Adopt: {
      ServerReports Answers;
      for (const ServerId &Id : Action.Servers)
        if (const auto Report = S.answer(Id, Action.Step, Action.TermNumber))
          Answers.emplace(Id, *Report);
      Procedure.recordAnswers(Answers, S.Acknowledged, S.Now);
      break;
    }
    case TakeoverStep::ReadServers:
      Procedure.recordServers(S.StoreAnswers ? std::optional(S.registered())
                                             : std::nullopt);
      break;
    case TakeoverStep::Confirm:
      Procedure.recordClaim(S.Claim);
      break;
    case TakeoverStep::Order:
      Seen.Steps += "=" + Action.Target.str();
      Seen.Ordered = describeEnds(Action);
      Procedure.recordOrder(OrderCount < S.Orders.size()
                                ? S.Orders[OrderCount]
                                : PromotionOutcome::Accepted);
      ++OrderCount;
      break;
    case TakeoverStep::AwaitEffect:
      if (std::exchange(S.LosesTarget, false))
        Procedure.recordLostTarget();
      else
        Procedure.recordEffect(S.Led);
      break;
    case TakeoverStep::Resume:
      Procedure.recordResumed();
      break;
    case TakeoverStep::End:
      Seen.End = Action.End;
      Seen.Why = Action.Why;
      return Seen;
    }
    S.Now += milliseconds(20);
  }
}

/// Does nothing before any step but the first of \p Step.
Event once(TakeoverStep Step,
           const std::function<void(Surroundings &)> &Change) {
  return [Step, Change](Surroundings &S, TakeoverStep Now, unsigned Earlier) {
    if (Now == Step && Earlier == 0)
      Change(S);
  };
}

} // namespace

// Guards against an order for a server that may lack acknowledged commits,
// against a group that stays without a primary, and against orders and undone
// adoptions of a holder that has lost its claim.
TEST_CASE("the steps of a takeover") {
  struct Row {
    const char *Name;
    std::function<void(Surroundings &)> Prepare;
    Event Before;
    std::string Steps;
    TakeoverEnd End;
  };
  const auto Nothing = [](Surroundings &) {};
  const Event Never = [](Surroundings &, TakeoverStep, unsigned) {};
  const auto SilentPrimary = [](Surroundings &S) {
    S.Servers["p"].Silent = true;
  };
  const auto LeftTerm = [](Surroundings &S) {
    S.Servers["a"].Adopted = S.Servers["b"].Adopted = 4;
  };
  const auto LosesLog = [](Surroundings &S, TakeoverStep Step,
                           unsigned Earlier) {
    if (Step == TakeoverStep::Adopt && Earlier == 0)
      S.Servers["b"].Index = 10;
    if (Step == TakeoverStep::Poll && Earlier == 1)
      S.Servers["b"].Index = 0;
  };
  const std::string SteppedDown = "poll confirm step-down adopt ";
  const std::string Frozen = "poll adopt read-servers poll ";
  const Row Rows[] = {
      {"the old primary answers", Nothing, Never,
       SteppedDown + "order=a await-effect end", TakeoverEnd::Promoted},
      {"another server reaches the end of the old primary's log",
       [](Surroundings &S) { S.Servers["a"].Index = 8; }, Never,
       SteppedDown + "order=b await-effect end", TakeoverEnd::Promoted},
      {"the likely target restarts with an empty log", Nothing,
       once(TakeoverStep::Adopt,
            [](Surroundings &S) { S.Servers["a"].Index = 0; }),
       SteppedDown + "confirm order=b await-effect end", TakeoverEnd::Promoted},
      {"a replica is silent, another one has the whole log",
       [](Surroundings &S) { S.Servers["a"].Silent = true; }, Never,
       SteppedDown + "order=b await-effect end", TakeoverEnd::Promoted},
      {"no replica has the whole log, and all answer",
       [](Surroundings &S) { S.Servers["p"].Index = 12; }, Never,
       SteppedDown + "read-servers poll order=a await-effect end",
       TakeoverEnd::Promoted},
      {"no replica has the whole log, and one is silent",
       [](Surroundings &S) {
         S.Servers["p"].Index = 12;
         S.Servers["b"].Silent = true;
       },
       Never, SteppedDown + "adopt poll confirm order=p await-effect end",
       TakeoverEnd::GivenUp},
      {"the old primary does not step down",
       [](Surroundings &S) { S.Servers["p"].RefusesTerm = true; },
       [](Surroundings &S, TakeoverStep Step, unsigned) {
         if (Step == TakeoverStep::StepDown)
           S.Now += milliseconds(300);
       },
       "poll confirm step-down step-down step-down resume end",
       TakeoverEnd::GivenUp},
      {"the claim takes too long to step down after it", Nothing,
       once(TakeoverStep::Confirm,
            [](Surroundings &S) { S.Now += TakeoverProcedure::StepDownLimit; }),
       "poll confirm resume end", TakeoverEnd::GivenUp},
      {"the claim is lost before the step-down",
       [](Surroundings &S) { S.Claim = ClaimCheck::Lost; }, Never,
       "poll confirm end", TakeoverEnd::Open},
      {"the platform refuses the target",
       [](Surroundings &S) { S.Orders = {PromotionOutcome::Refused}; }, Never,
       SteppedDown + "order=a poll confirm order=p await-effect end",
       TakeoverEnd::GivenUp},
      {"the platform refuses every order",
       [](Surroundings &S) {
         S.Orders = {PromotionOutcome::Refused, PromotionOutcome::Refused};
       },
       Never, SteppedDown + "order=a poll confirm order=p resume end",
       TakeoverEnd::GivenUp},
      {"the platform is busy for a moment",
       [](Surroundings &S) { S.Orders = {PromotionOutcome::NotDone}; }, Never,
       SteppedDown + "order=a order=a await-effect end", TakeoverEnd::Promoted},
      {"after the promotion window only the old primary may be ordered",
       Nothing,
       once(TakeoverStep::Adopt,
            [](Surroundings &S) { S.Now += TakeoverClaim::PromotionWindow; }),
       SteppedDown + "poll confirm order=p await-effect end",
       TakeoverEnd::GivenUp},
      {"no order may be given after the window for returning the lead", Nothing,
       once(TakeoverStep::Adopt,
            [](Surroundings &S) { S.Now += TakeoverClaim::ReturnWindow; }),
       SteppedDown + "resume end", TakeoverEnd::GivenUp},
      {"the old primary has lost its log when it is to lead again",
       [](Surroundings &S) { S.Orders = {PromotionOutcome::Refused}; },
       [](Surroundings &S, TakeoverStep Step, unsigned Earlier) {
         if (Step == TakeoverStep::Poll && Earlier == 1)
           S.Servers["p"].Index = 0;
       },
       SteppedDown + "order=a poll resume end", TakeoverEnd::GivenUp},
      {"the old primary leads again by itself",
       [](Surroundings &S) { S.Orders = {PromotionOutcome::Refused}; },
       [](Surroundings &S, TakeoverStep Step, unsigned Earlier) {
         if (Step == TakeoverStep::Poll && Earlier == 1)
           S.Servers["p"].Role = ServerRole::Primary;
       },
       SteppedDown + "order=a poll resume end", TakeoverEnd::GivenUp},
      {"a replica reports a later term",
       [](Surroundings &S) {
         S.Servers["b"].TermNumber = 4;
         S.Led = 5;
       },
       Never, SteppedDown + "read-servers poll order=a await-effect end",
       TakeoverEnd::Promoted},
      {"a replica reports a later term, and another one falls silent",
       [](Surroundings &S) { S.Servers["b"].TermNumber = 4; },
       once(TakeoverStep::Adopt,
            [](Surroundings &S) { S.Servers["a"].Silent = true; }),
       SteppedDown + "adopt resume end", TakeoverEnd::GivenUp},
      {"a later term than the old primary's was known before",
       [](Surroundings &S) { S.KnownTerm = 4; }, Never, "poll end",
       TakeoverEnd::GivenUp},
      {"no replica has received the log since a server left",
       [](Surroundings &S) {
         S.Required = {{3, 10}, EndSource::EarlierAttempt, {}};
         S.Servers["p"].Index = 12;
       },
       Never, "poll end", TakeoverEnd::GivenUp},
      {"the old primary is silent, and no replica has received its log since a "
       "server left",
       [](Surroundings &S) {
         S.Servers["p"].Silent = true;
         S.Required = {{3, 10}, EndSource::EarlierAttempt, {}};
       },
       Never, Frozen + "resume end", TakeoverEnd::GivenUp},
      {"nothing may be undone late in the lease", Nothing,
       once(TakeoverStep::Adopt,
            [](Surroundings &S) { S.Now += TakeoverClaim::UndoWindow; }),
       SteppedDown + "end", TakeoverEnd::Open},
      {"the order has no effect yet", [](Surroundings &S) { S.Led.reset(); },
       Never, SteppedDown + "order=a await-effect end", TakeoverEnd::Open},
      {"an earlier takeover has left a term that the target does not lead",
       LeftTerm, Never, SteppedDown + "order=a await-effect resume end",
       TakeoverEnd::Promoted},
      {"the same, and the lead is returned",
       [&LeftTerm](Surroundings &S) {
         LeftTerm(S);
         S.Orders = {PromotionOutcome::Refused};
       },
       Never,
       SteppedDown + "order=a poll confirm order=p await-effect resume end",
       TakeoverEnd::GivenUp},
      {"the same, and the old primary is silent",
       [&LeftTerm](Surroundings &S) {
         LeftTerm(S);
         S.Servers["p"].Silent = true;
       },
       Never, Frozen + "confirm order=a await-effect resume step-down end",
       TakeoverEnd::Promoted},
      {"the same, and the effect is too late to undo anything", LeftTerm,
       once(TakeoverStep::AwaitEffect,
            [](Surroundings &S) { S.Now += TakeoverClaim::UndoWindow; }),
       SteppedDown + "order=a await-effect end", TakeoverEnd::Promoted},
      {"a server that leads reports the term as held", SilentPrimary,
       once(TakeoverStep::Adopt,
            [](Surroundings &S) {
              S.Servers["b"].Role = ServerRole::Primary;
              S.Servers["b"].Adopted = 4;
            }),
       "poll adopt resume end", TakeoverEnd::GivenUp},
      {"the target is replaced before it leads",
       [](Surroundings &S) { S.LosesTarget = true; }, Never,
       SteppedDown +
           "order=a await-effect poll confirm order=p await-effect end",
       TakeoverEnd::GivenUp},
      {"another server leads by now", Nothing,
       once(TakeoverStep::Poll,
            [](Surroundings &S) {
              S.Servers["b"].Role = ServerRole::Primary;
              S.Servers["b"].TermNumber = 4;
            }),
       "poll end", TakeoverEnd::GivenUp},
      {"the old primary has lost the lead by now", Nothing,
       once(TakeoverStep::Poll,
            [](Surroundings &S) { S.Servers["p"].Role = ServerRole::Replica; }),
       "poll end", TakeoverEnd::GivenUp},
      {"the old primary is silent", SilentPrimary, Never,
       Frozen + "confirm order=a await-effect step-down end",
       TakeoverEnd::Promoted},
      {"the old primary is silent; the longest log wins",
       [](Surroundings &S) {
         S.Servers["p"].Silent = true;
         S.Servers["b"].Index = 10;
       },
       Never, Frozen + "confirm order=b await-effect step-down end",
       TakeoverEnd::Promoted},
      {"the old primary answers again", SilentPrimary,
       once(TakeoverStep::Poll,
            [](Surroundings &S) { S.Servers["p"].Silent = false; }),
       "poll end", TakeoverEnd::GivenUp},
      {"the old primary is silent and a replica falls silent", SilentPrimary,
       once(TakeoverStep::Adopt,
            [](Surroundings &S) { S.Servers["b"].Silent = true; }),
       "poll adopt resume end", TakeoverEnd::GivenUp},
      {"a replica has joined with a longer log", SilentPrimary,
       once(TakeoverStep::ReadServers,
            [](Surroundings &S) { S.Servers["c"].Index = 11; }),
       "poll adopt read-servers adopt read-servers poll confirm order=c "
       "await-effect step-down end",
       TakeoverEnd::Promoted},
      {"a replica has restarted by its registration", SilentPrimary,
       once(TakeoverStep::ReadServers,
            [](Surroundings &S) {
              S.Servers["b"] = {};
              S.Servers["b"].StartedAtMs = 2;
            }),
       "poll adopt read-servers adopt read-servers poll confirm order=a "
       "await-effect step-down end",
       TakeoverEnd::Promoted},
      {"a replica has lost the term that it adopted", SilentPrimary,
       [](Surroundings &S, TakeoverStep Step, unsigned Earlier) {
         if (Step == TakeoverStep::Poll && Earlier == 1)
           S.Servers["b"].Adopted = 0;
       },
       "poll adopt read-servers poll adopt read-servers poll confirm order=a "
       "await-effect step-down end",
       TakeoverEnd::Promoted},
      {"the server with the longest log has lost it", SilentPrimary, LosesLog,
       Frozen + "resume end", TakeoverEnd::GivenUp},
      {"the same, and callers relied only on what another server has",
       [](Surroundings &S) {
         S.Servers["p"].Silent = true;
         S.Servers["b"].CountedEnd = {3, 9};
       },
       LosesLog, Frozen + "confirm order=a await-effect step-down end",
       TakeoverEnd::Promoted},
      {"the same, but what they relied on is known of another term only",
       [](Surroundings &S) {
         S.Servers["p"].Silent = true;
         S.Servers["b"].CountedEnd = {2, 9};
       },
       LosesLog, Frozen + "resume end", TakeoverEnd::GivenUp},
      {"a leaving server has the longest log",
       [](Surroundings &S) {
         S.Servers["p"].Silent = true;
         S.Servers["b"].Index = 10;
         S.Servers["b"].CountedEnd = {3, 9};
       },
       Never, Frozen + "confirm order=b await-effect step-down end",
       TakeoverEnd::Promoted},
      {"the registrations cannot be read",
       [](Surroundings &S) {
         S.Servers["p"].Silent = true;
         S.StoreAnswers = false;
       },
       Never, "poll adopt read-servers resume end", TakeoverEnd::GivenUp},
      {"only one server is left",
       [](Surroundings &S) {
         S.Servers["p"].Silent = true;
         S.Servers.erase("b");
       },
       Never, "poll end", TakeoverEnd::GivenUp},
  };
  for (const Row &R : Rows) {
    CAPTURE(R.Name);
    Surroundings S;
    R.Prepare(S);
    const Outcome Seen = runTakeover(S, R.Before);
    CAPTURE(Seen.Why);
    CHECK(Seen.Steps == R.Steps);
    CHECK(nameOf(Seen.End) == nameOf(R.End));
    CHECK((Seen.End == TakeoverEnd::Promoted) == Seen.Why.empty());
  }
}

// Guards against a late call that makes a primary of a later term step down:
// the servers may hold a later term than the target of the takeover leads.
TEST_CASE("the last step-down of a takeover spares a primary of a later term") {
  Surroundings S;
  S.Servers["p"].Silent = true;
  S.Servers["a"].Adopted = S.Servers["b"].Adopted = 6;
  const Outcome Seen =
      runTakeover(S, once(TakeoverStep::StepDown, [](Surroundings &Now) {
                    // The next takeover has returned the lead.
                    Now.Servers["p"].Silent = false;
                    Now.Servers["p"].TermNumber = 5;
                  }));
  CHECK(Seen.Steps ==
        "poll adopt read-servers poll confirm order=a await-effect "
        "resume step-down end");
  CHECK(S.Servers["p"].Role == ServerRole::Primary);
}

// Guards against an order whose log line does not tell why its target was
// complete: the source of the end is the one that was highest.
TEST_CASE("an order tells the end that its target had to reach, and why") {
  struct Row {
    const char *Name;
    std::function<void(Surroundings &)> Prepare;
    std::string Ordered;
  };
  const auto SilentPrimary = [](Surroundings &S) {
    S.Servers["p"].Silent = true;
  };
  const Row Rows[] = {
      {"the old primary steps down", [](Surroundings &) {},
       "3.9 old-primary:p 3.9"},
      {"a replica has more than the old primary",
       [](Surroundings &S) { S.Servers["b"].Index = 10; },
       "3.10 reported:b 3.10"},
      {"the old primary leads again",
       [](Surroundings &S) {
         S.Servers["a"].Index = S.Servers["b"].Index = 8;
         S.Servers["b"].RefusesTerm = true;
       },
       "3.9 old-primary:p 3.9"},
      {"the old primary is silent",
       [&](Surroundings &S) {
         SilentPrimary(S);
         S.Servers["a"].Index = 8;
       },
       "3.9 reported:b 3.9"},
      {"the end after a loss is higher than all but the target's",
       [&](Surroundings &S) {
         SilentPrimary(S);
         S.Required = {{3, 9}, EndSource::AfterLoss, {}};
       },
       "3.9 after-loss: 3.9"},
      {"an earlier attempt saw the same end",
       [&](Surroundings &S) {
         SilentPrimary(S);
         S.Required = {{3, 9}, EndSource::EarlierAttempt, {}};
       },
       "3.9 earlier-attempt: 3.9"},
      {"a commit was reported",
       [&](Surroundings &S) {
         SilentPrimary(S);
         S.Acknowledged = {3, 9};
       },
       "3.9 acknowledged: 3.9"},
  };
  for (const Row &R : Rows) {
    CAPTURE(R.Name);
    Surroundings S;
    R.Prepare(S);
    CHECK(runTakeover(S, [](Surroundings &, TakeoverStep, unsigned) {
          }).Ordered == R.Ordered);
  }
}
