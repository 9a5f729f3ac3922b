#include "policy/TakeoverProcedure.h"

#include <algorithm>

namespace amaranthspur {

namespace {

/// Returns the end of the log that \p S has reported, as far as it counts after
/// the server has left.
LogPosition countedEnd(const TakeoverServer &S) {
  const LogPosition End = S.Report->Received;
  // Entries of another term have no place in the log that the bound is from.
  if (!S.CountedEnd || S.CountedEnd->TermNumber != End.TermNumber)
    return End;
  return std::min(End, *S.CountedEnd);
}

} // namespace

TakeoverProcedure::TakeoverProcedure(std::vector<TakeoverServer> Servers,
                                     Term KnownTerm, RequiredEnd Required,
                                     std::optional<ServerId> Preferred,
                                     TimePoint Begun)
    : Servers(std::move(Servers)), Preferred(std::move(Preferred)),
      Begun(Begun), OldTerm(KnownTerm), Required(std::move(Required)) {
  for (TakeoverServer &S : this->Servers) {
    if (S.OldPrimary)
      this->OldWasSilent = !S.Report;
    S.Report.reset();
  }
}

const TakeoverServer *TakeoverProcedure::old() const {
  const auto Found =
      std::find_if(this->Servers.begin(), this->Servers.end(),
                   [](const TakeoverServer &S) { return S.OldPrimary; });
  return Found == this->Servers.end() ? nullptr : &*Found;
}

const TakeoverServer *TakeoverProcedure::successor() const {
  const auto Found =
      std::find_if(this->Servers.begin(), this->Servers.end(),
                   [this](const TakeoverServer &S) {
                     return S.Report && !S.OldPrimary &&
                            S.Report->Role == ServerRole::Primary &&
                            S.Report->TermNumber > this->OldTerm;
                   });
  return Found == this->Servers.end() ? nullptr : &*Found;
}

bool TakeoverProcedure::isSuperseded() const {
  return std::any_of(this->Servers.begin(), this->Servers.end(),
                     [this](const TakeoverServer &S) {
                       return !S.OldPrimary && S.Report &&
                              S.Report->TermNumber > this->OldTerm;
                     });
}

std::vector<ServerId> TakeoverProcedure::others() const {
  std::vector<ServerId> Ids;
  for (const TakeoverServer &S : this->Servers)
    if (!S.OldPrimary)
      Ids.push_back(S.Id);
  return Ids;
}

std::vector<ServerId> TakeoverProcedure::unadopted() const {
  std::vector<ServerId> Ids;
  for (const TakeoverServer &S : this->Servers)
    if (!S.OldPrimary && (!S.Report || S.Report->Role != ServerRole::Replica ||
                          S.Report->AdoptedTerm < this->NextTerm))
      Ids.push_back(S.Id);
  return Ids;
}

RequiredEnd TakeoverProcedure::longestLog() const {
  RequiredEnd Longest = this->Required;
  for (const TakeoverServer &S : this->Servers)
    if (S.Report && !S.OldPrimary)
      Longest =
          Longest.raisedTo({S.Report->Received, EndSource::Reported, S.Id});
  return Longest;
}

void TakeoverProcedure::end(TakeoverEnd How, std::string Why) {
  this->Current = Phase::End;
  this->Ended = How;
  this->Reason = std::move(Why);
}

void TakeoverProcedure::fail(std::string Why) {
  // The log of the old primary holds every commit that it has acknowledged, so
  // it may lead again whatever the other servers hold.
  if (this->OldEnd && !this->Returning && !this->isSuperseded()) {
    this->Reason = std::move(Why);
    this->Returning = true;
    this->Current = Phase::CheckOld;
    return;
  }
  this->giveUp(std::move(Why));
}

void TakeoverProcedure::giveUp(std::string Why) {
  this->Reason = std::move(Why);
  this->Ended = TakeoverEnd::GivenUp;
  this->Current = Phase::Resume;
}

void TakeoverProcedure::promote(const ServerId &Id,
                                const RequiredEnd &Reached) {
  this->Target = Id;
  this->TargetRequired = Reached;
  this->Current = this->Confirmed == Id ? Phase::Order : Phase::Confirm;
}

RequiredEnd TakeoverProcedure::endWithOldPrimary() const {
  return RequiredEnd{*this->OldEnd, EndSource::OldPrimary, this->old()->Id}
      .raisedTo(this->longestLog());
}

TimePoint TakeoverProcedure::orderBy() const {
  return this->Begun + (this->Returning ? TakeoverClaim::ReturnWindow
                                        : TakeoverClaim::PromotionWindow);
}

TakeoverAction TakeoverProcedure::next(TimePoint Now) {
  if (this->Current <= Phase::Order && !this->Returning &&
      !TakeoverClaim::mayPromote(this->Begun, Now))
    this->fail("the promotion window has passed");
  if (this->Current <= Phase::Order && this->Returning &&
      !TakeoverClaim::mayReturn(this->Begun, Now))
    this->fail(this->Reason + "; too late to return the lead");
  if (this->Current == Phase::StepDown && Now - this->Begun >= StepDownLimit)
    this->fail("the old primary has not stepped down in time");
  if (this->Current == Phase::Resume &&
      !TakeoverClaim::mayUndo(this->Begun, Now))
    this->end(TakeoverEnd::Open, this->Reason + "; too late to undo it");
  if (this->Current == Phase::Release &&
      !TakeoverClaim::mayUndo(this->Begun, Now))
    this->finish();
  if (this->Current == Phase::Freeze && this->unadopted().empty())
    this->Current = Phase::Register;
  TakeoverAction Action;
  Action.TermNumber = this->NextTerm;
  Action.Target = this->Target;
  Action.Required = this->TargetRequired;
  for (const TakeoverServer &S : this->Servers)
    if (S.Id == this->Target && S.Report)
      Action.TargetEnd = S.Report->Received;
  switch (this->Current) {
  case Phase::Survey:
    Action.Step = TakeoverStep::Poll;
    for (const TakeoverServer &S : this->Servers)
      Action.Servers.push_back(S.Id);
    break;
  case Phase::StepDown:
    Action.Step = TakeoverStep::StepDown;
    Action.Servers = {this->old()->Id};
    Action.SendBy = this->orderBy();
    break;
  case Phase::StepDownLast:
    Action.Step = TakeoverStep::StepDown;
    Action.Servers = {this->old()->Id};
    // No time limit is needed: a primary of the led term or a later one ignores
    // the call.
    Action.TermNumber = this->LedTerm;
    break;
  case Phase::Verify:
    Action.Step = TakeoverStep::Poll;
    Action.Servers = this->others();
    break;
  case Phase::CheckOld:
    Action.Step = TakeoverStep::Poll;
    Action.Servers = {this->old()->Id};
    break;
  case Phase::Secure:
    Action.Step = TakeoverStep::Adopt;
    Action.Servers = this->others();
    Action.SendBy = this->orderBy();
    break;
  case Phase::Freeze:
    Action.Step = TakeoverStep::Adopt;
    Action.Servers = this->unadopted();
    Action.SendBy = this->orderBy();
    break;
  case Phase::Register:
    Action.Step = TakeoverStep::ReadServers;
    break;
  case Phase::Confirm:
    Action.Step = TakeoverStep::Confirm;
    break;
  case Phase::Order:
    Action.Step = TakeoverStep::Order;
    Action.SendBy = this->orderBy();
    break;
  case Phase::AwaitEffect:
    Action.Step = TakeoverStep::AwaitEffect;
    Action.SendBy = this->Begun + TakeoverClaim::Lease;
    break;
  case Phase::Release:
  case Phase::Resume:
    Action.Step = TakeoverStep::Resume;
    Action.Servers = this->others();
    Action.SendBy = this->Begun + TakeoverClaim::UndoWindow;
    break;
  case Phase::End:
    Action.End = this->Ended;
    Action.Why = this->Reason;
    break;
  }
  return Action;
}

void TakeoverProcedure::recordAnswers(const ServerReports &Answers,
                                      LogPosition Acknowledged, TimePoint Now) {
  this->Required =
      this->Required.raisedTo({Acknowledged, EndSource::Acknowledged, {}});
  // While only the servers that have not adopted the term are asked, the
  // reports of the others stay.
  const bool AllAsked = this->Current == Phase::Survey ||
                        this->Current == Phase::Secure ||
                        this->Current == Phase::Verify;
  for (TakeoverServer &S : this->Servers) {
    const auto Found = Answers.find(S.Id);
    if (Found != Answers.end())
      S.Report = Found->second;
    else if (AllAsked && !S.OldPrimary)
      S.Report.reset();
    if (S.Report && !S.OldPrimary)
      this->Required =
          this->Required.raisedTo({countedEnd(S), EndSource::Reported, S.Id});
  }
  switch (this->Current) {
  case Phase::Survey:
    this->survey(Now);
    break;
  case Phase::StepDown:
    this->recordStepDown();
    break;
  case Phase::Secure:
    this->secure();
    break;
  case Phase::Freeze:
    this->freeze();
    break;
  case Phase::Verify:
    this->verify();
    break;
  case Phase::CheckOld:
    this->checkOld(Answers);
    break;
  case Phase::StepDownLast:
    this->end(TakeoverEnd::Promoted, "");
    break;
  case Phase::Register:
  case Phase::Confirm:
  case Phase::Order:
  case Phase::AwaitEffect:
  case Phase::Release:
  case Phase::Resume:
  case Phase::End:
    break;
  }
}

void TakeoverProcedure::survey(TimePoint Now) {
  const TakeoverServer *Old = this->old();
  this->NextTerm = nextTerm(this->Servers);
  if (Old && Old->Report && Old->Report->TermNumber < this->OldTerm) {
    this->end(TakeoverEnd::GivenUp, "the old primary has been superseded");
    return;
  }
  if (Old && Old->Report)
    this->OldTerm = Old->Report->TermNumber;
  // Another takeover may have ended between the plan and the claim.
  if (const TakeoverServer *Leader = this->successor()) {
    this->end(TakeoverEnd::GivenUp, "server " + Leader->Id.str() + " leads");
    return;
  }
  if (Old && !Old->Report && !this->OldWasSilent) {
    if (Now - this->Begun >= StepDownLimit)
      this->end(TakeoverEnd::GivenUp, "the old primary does not answer");
    return;
  }
  if (std::optional<std::string> Why = reasonAgainstTakeover(this->Servers)) {
    this->end(TakeoverEnd::GivenUp, std::move(*Why));
    return;
  }
  if (!Old || !Old->Report) {
    this->Current = Phase::Freeze;
    return;
  }
  if (this->OldWasSilent) {
    this->end(TakeoverEnd::GivenUp, "the old primary answers again");
    return;
  }
  if (Old->Report->Role != ServerRole::Primary) {
    this->end(TakeoverEnd::GivenUp, "the old primary no longer leads");
    return;
  }
  // The target may change when the old primary has stepped down.
  const RequiredEnd Longest = this->longestLog();
  const std::optional<ServerId> Likely =
      chooseTarget(this->Servers, Longest.Position, this->Preferred);
  if (Likely)
    this->promote(*Likely, Longest);
  else
    this->end(TakeoverEnd::GivenUp,
              "no server has received the log since a server left");
}

void TakeoverProcedure::recordStepDown() {
  const TakeoverServer *Old = this->old();
  if (Old->Report->Role != ServerRole::Replica)
    return;
  this->OldEnd = Old->Report->Received;
  this->Current = Phase::Secure;
}

void TakeoverProcedure::secure() {
  if (const TakeoverServer *Leader = this->successor()) {
    this->giveUp("server " + Leader->Id.str() + " leads");
    return;
  }
  // An old primary that has restarted may have added entries since. They are in
  // the log of a server that received them before it adopted the term.
  const RequiredEnd End = this->endWithOldPrimary();
  const std::optional<ServerId> Found =
      chooseTarget(this->Servers, End.Position, this->Preferred);
  if (Found && !this->isSuperseded())
    this->promote(*Found, End);
  else
    this->Current = Phase::Freeze;
}

void TakeoverProcedure::freeze() {
  const std::vector<ServerId> Missing = this->unadopted();
  if (!Missing.empty())
    this->fail("server " + Missing.front().str() + " did not adopt the term");
  else
    this->Current = Phase::Register;
}

bool TakeoverProcedure::isNew(const TakeoverServer &Server) const {
  return std::none_of(this->Servers.begin(), this->Servers.end(),
                      [&Server](const TakeoverServer &K) {
                        return K.Id == Server.Id &&
                               K.StartedAtMs == Server.StartedAtMs;
                      });
}

void TakeoverProcedure::recordServers(
    const std::optional<std::vector<TakeoverServer>> &Listed) {
  if (!Listed) {
    this->fail("the registrations cannot be read");
    return;
  }
  bool Changed = false;
  for (const TakeoverServer &S : *Listed) {
    const auto Known =
        std::find_if(this->Servers.begin(), this->Servers.end(),
                     [&S](const TakeoverServer &K) { return K.Id == S.Id; });
    if (Known == this->Servers.end()) {
      this->Servers.push_back(S);
      this->Servers.back().OldPrimary = false;
      this->Servers.back().Report.reset();
      Changed = true;
    } else if (Known->StartedAtMs != S.StartedAtMs) {
      // A server that has restarted no longer holds the term.
      Known->StartedAtMs = S.StartedAtMs;
      Known->Report.reset();
      Changed = Changed || !Known->OldPrimary;
    }
  }
  this->Current = Changed ? Phase::Freeze : Phase::Verify;
}

void TakeoverProcedure::checkOld(const ServerReports &Answers) {
  const RequiredEnd End = this->endWithOldPrimary();
  const auto Found = Answers.find(this->old()->Id);
  if (Found == Answers.end() || Found->second.Role != ServerRole::Replica ||
      Found->second.Received < End.Position)
    this->fail(this->Reason + "; the old primary cannot lead again");
  else
    this->promote(this->old()->Id, End);
}

void TakeoverProcedure::verify() {
  if (const TakeoverServer *Leader = this->successor()) {
    this->giveUp("server " + Leader->Id.str() + " leads");
    return;
  }
  for (const TakeoverServer &S : this->Servers)
    if (!S.OldPrimary && !S.Report) {
      this->fail("server " + S.Id.str() + " no longer answers");
      return;
    }
  // A server that has restarted no longer holds the term.
  if (!this->unadopted().empty()) {
    this->Current = Phase::Freeze;
    return;
  }
  // Commits of terms before the old primary's were acknowledged with servers
  // that may have left. Only a log with an entry of its term holds all of them.
  const RequiredEnd Longest = this->longestLog();
  if (this->OldEnd && Longest.Position < *this->OldEnd &&
      Longest.Position.TermNumber < this->OldTerm) {
    this->fail("no other server holds an entry of the old primary's term");
    return;
  }
  const std::optional<ServerId> Found =
      chooseTarget(this->Servers, Longest.Position, this->Preferred);
  if (this->others().size() < 2)
    this->fail("too few servers");
  else if (Found)
    this->promote(*Found, Longest);
  else
    this->fail("no server holds the longest log that was reported");
}

bool TakeoverProcedure::mayOrder() const {
  const TakeoverServer *Old = this->old();
  return !Old || !Old->Report || this->OldEnd;
}

void TakeoverProcedure::recordClaim(ClaimCheck Result) {
  switch (Result) {
  case ClaimCheck::Lost:
    this->end(TakeoverEnd::Open, "another entry VM holds the claim");
    break;
  case ClaimCheck::Held:
  case ClaimCheck::Unknown:
    // Without an answer of the store, the promotion window alone ensures that
    // no other entry VM has claimed the takeover.
    this->Confirmed = this->Target;
    this->Current = this->mayOrder() ? Phase::Order : Phase::StepDown;
    break;
  }
}

void TakeoverProcedure::recordOrder(PromotionOutcome Outcome) {
  switch (Outcome) {
  case PromotionOutcome::NotDone:
    break;
  case PromotionOutcome::Accepted:
  case PromotionOutcome::Unknown:
    this->ReturnOrdered = this->Returning;
    this->Current = Phase::AwaitEffect;
    break;
  case PromotionOutcome::Refused:
    this->fail("promotion outcome: " + std::string(nameOf(Outcome)));
    break;
  }
}

void TakeoverProcedure::recordEffect(std::optional<Term> Leading) {
  // An order without an effect yet may still take effect. The adopted terms
  // therefore stay, and the claim is held until its lease expires.
  if (!Leading) {
    this->end(TakeoverEnd::Open, "the promotion has not taken effect");
    return;
  }
  this->LedTerm = *Leading;
  if (this->NextTerm > this->LedTerm)
    this->Current = Phase::Release;
  else
    this->finish();
}

void TakeoverProcedure::finish() {
  if (this->Returning)
    this->end(TakeoverEnd::GivenUp, this->Reason);
  // The old primary stops being primary by itself, but only one second after it
  // reaches the new one. Until then it would accept writes that no replica
  // acknowledges.
  else if (this->old() && !this->OldEnd)
    this->Current = Phase::StepDownLast;
  else
    this->end(TakeoverEnd::Promoted, "");
}

void TakeoverProcedure::recordLostTarget() {
  this->fail("another server has the target's address");
}

void TakeoverProcedure::recordResumed() {
  if (this->Current == Phase::Release)
    this->finish();
  else
    this->end(TakeoverEnd::GivenUp, this->Reason);
}

} // namespace amaranthspur
