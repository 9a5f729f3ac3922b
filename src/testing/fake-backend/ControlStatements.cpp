#include "testing/fake-backend/ControlStatements.h"

#include "testing/fake-backend/Session.h"

#include <charconv>

namespace amaranthspur::fake {
namespace {

using Row = std::vector<std::string>;

std::optional<std::uint64_t> toNumber(const std::string &Text) {
  std::uint64_t Number = 0;
  const auto [End, Status] =
      std::from_chars(Text.data(), Text.data() + Text.size(), Number);
  if (Status != std::errc() || End != Text.data() + Text.size())
    return std::nullopt;
  return Number;
}

Row formatPosition(LogPosition Position) {
  return {std::to_string(Position.TermNumber), std::to_string(Position.Index)};
}

SqlResult<Row> status(ServerState &Server, const Row & /*Arguments*/) {
  const GroupMember &G = Server.Member;
  const Duration Queue = Server.Slots.waitTime(steadyNow());
  const auto QueueMs = std::chrono::duration_cast<milliseconds>(Queue);
  return Row{std::string(nameOf(G.role())),
             std::to_string(G.adoptedTerm()),
             std::to_string(G.end().TermNumber),
             std::to_string(G.end().Index),
             G.primary().str(),
             std::to_string(QueueMs.count()),
             std::to_string(Server.Slots.used()),
             std::to_string(Server.WorkConnections)};
}

SqlResult<Row> adoptTerm(ServerState &Server, const Row &Arguments) {
  const auto T = toNumber(Arguments[0]);
  if (!T)
    return SqlError{"22023", "term is not a number"};
  const auto Adopted = Server.Member.adoptTerm(*T);
  if (errorIn(Adopted) != nullptr)
    return *errorIn(Adopted);
  return formatPosition(std::get<LogPosition>(Adopted));
}

SqlResult<Row> promote(ServerState &Server, const Row &Arguments) {
  const auto T = toNumber(Arguments[0]);
  if (!T)
    return SqlError{"22023", "term is not a number"};
  const auto Promoted = Server.Member.promote(*T);
  if (errorIn(Promoted) != nullptr)
    return *errorIn(Promoted);
  return formatPosition(Server.Member.end());
}

SqlResult<Row> follow(ServerState &Server, const Row &Arguments) {
  const auto T = toNumber(Arguments[0]);
  const auto From = parseAddress(Arguments[2]);
  if (!T || !succeeded(From))
    return SqlError{"22023", "term or address is malformed"};
  const auto Followed =
      Server.Member.follow(*T, Upstream{ServerId(Arguments[1]), valueOf(From)});
  if (errorIn(Followed) != nullptr)
    return *errorIn(Followed);
  return formatPosition(Server.Member.end());
}

/// Closes the work connections that the previous owner opened.
void closeWorkConnections(ServerState &Server) {
  for (const auto &[ProcessId, Client] : Server.Sessions)
    if (Client->kind() == SessionKind::Work)
      Client->terminate();
}

SqlResult<Row> acquireOwner(ServerState &Server, const Row &Arguments) {
  const auto Incarnation = toNumber(Arguments[1]);
  const auto TtlMs = toNumber(Arguments[2]);
  if (Arguments[0].empty() || !Incarnation || !TtlMs)
    return SqlError{"22023", "incarnation or ttl is not a number"};
  const TimePoint Now = steadyNow();
  Lease &Held = Server.OwnerLease;
  // A higher incarnation of the holder is the same VM after a restart. The
  // process that held the lease has ended, so the lease can be granted again.
  const bool SameHolder = Held.Holder == Arguments[0];
  const bool Refused = SameHolder
                           ? *Incarnation < Held.Incarnation
                           : !Held.Holder.empty() && Now < Held.ExpiresAt;
  const auto Remaining = [&Held, Now] {
    return std::chrono::ceil<milliseconds>(
               std::max(Held.ExpiresAt - Now, Duration::zero()))
        .count();
  };
  if (Refused)
    return SqlError{"55006", "lease is held by " + Held.Holder + " for " +
                                 std::to_string(Remaining()) + " ms"};
  const bool NewHolder =
      !Held.Holder.empty() && (!SameHolder || Held.Incarnation != *Incarnation);
  if (NewHolder)
    closeWorkConnections(Server);
  Held = {Arguments[0], *Incarnation, Now + milliseconds(*TtlMs)};
  return Row{Held.Holder, std::to_string(Remaining())};
}

SqlResult<Row> counters(ServerState &Server, const Row & /*Arguments*/) {
  Row Values;
  for (const auto &Entry : EnumNames<BackendCounter>::Entries)
    Values.push_back(std::to_string(Server.count(Entry.first)));
  return Values;
}

SqlResult<Row> setLag(ServerState &Server, const Row &Arguments) {
  const auto LagMs = toNumber(Arguments[0]);
  if (!LagMs)
    return SqlError{"22023", "lag is not a number"};
  Server.Config.ReplicationLag = milliseconds(*LagMs);
  return Row{std::to_string(*LagMs)};
}

/// The implementation of a control function and its number of arguments.
struct Handler {
  ControlFunction Function;
  std::size_t Arguments;
  SqlResult<Row> (*Run)(ServerState &, const Row &);
};

constexpr auto Handlers = std::to_array<Handler>({
    {ControlFunction::Status, 0, status},
    {ControlFunction::AdoptTerm, 1, adoptTerm},
    {ControlFunction::Promote, 1, promote},
    {ControlFunction::Follow, 3, follow},
    {ControlFunction::AcquireOwner, 3, acquireOwner},
    {ControlFunction::Counters, 0, counters},
    {ControlFunction::SetLag, 1, setLag},
});

} // namespace

std::vector<std::string> controlColumns(ControlFunction Function) {
  switch (Function) {
  case ControlFunction::Status:
    return {"role",       "adopted_term", "log_term", "log_index",
            "primary_id", "queue_ms",     "running",  "connections"};
  case ControlFunction::AcquireOwner:
    return {"holder", "remaining_ms"};
  case ControlFunction::SetLag:
    return {"lag_ms"};
  case ControlFunction::Counters: {
    std::vector<std::string> Names;
    Names.reserve(EnumNames<BackendCounter>::Entries.size());
    for (const auto &Entry : EnumNames<BackendCounter>::Entries)
      Names.emplace_back(Entry.second);
    return Names;
  }
  case ControlFunction::AdoptTerm:
  case ControlFunction::Promote:
  case ControlFunction::Follow:
    break;
  }
  return {"log_term", "log_index"};
}

SqlResult<ExecutionResult> runControl(ServerState &Server,
                                      const ControlCall &Call, RowSink &Sink) {
  for (const Handler &H : Handlers) {
    if (H.Function != Call.Function)
      continue;
    if (Call.Arguments.size() != H.Arguments)
      return SqlError{"42883", std::string(nameOf(Call.Function)) + " takes " +
                                   std::to_string(H.Arguments) + " arguments"};
    const SqlResult<Row> Outcome = H.Run(Server, Call.Arguments);
    if (errorIn(Outcome) != nullptr)
      return *errorIn(Outcome);
    const Row &Values = std::get<Row>(Outcome);
    Sink.columns(controlColumns(Call.Function));
    Sink.row({Values.begin(), Values.end()});
    return ExecutionResult{1, Duration::zero()};
  }
  return SqlError{"42883", "function does not exist"};
}

} // namespace amaranthspur::fake
