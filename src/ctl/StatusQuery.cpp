#include "ctl/StatusQuery.h"

#include "core/Async.h"

#include <QJsonArray>
#include <QJsonDocument>
#include <QNetworkAccessManager>
#include <QNetworkProxy>
#include <QNetworkReply>

#include <algorithm>
#include <memory>

namespace amaranthspur::ctl {
namespace {

QString text(const std::string &S) { return QString::fromStdString(S); }

/// Queries one entry VM and decrements \p Pending; the last one wakes \p Done.
QCoro::Task<> pollOne(StatusSource &Source, VmAnswer &Answer,
                      TimePoint Deadline, unsigned &Pending, WaitPoint &Done) {
  if (!Answer.Vm.Admin) {
    Answer.Problem = "its admin address is not known";
  } else {
    const Result<QJsonObject> Status =
        co_await Source.fetch(*Answer.Vm.Admin, Deadline);
    if (!succeeded(Status)) {
      Answer.Problem = errorOf(Status);
    } else {
      const QJsonValue Revision =
          valueOf(Status)["configuration"].toObject()["revision"];
      if (Revision.isDouble())
        Answer.Revision = static_cast<std::uint64_t>(Revision.toInteger());
      else
        Answer.Problem = "its status contains no revision";
    }
  }
  if (--Pending == 0)
    Done.wake();
}

/// Returns the identifier and the address of \p Vm, as far as they are known.
std::string displayName(const PollTarget &Vm) {
  std::string At = Vm.Admin ? Vm.Admin->str() : "";
  if (Vm.Id.empty())
    return At;
  return At.empty() ? Vm.Id : Vm.Id + " (" + At + ")";
}

} // namespace

namespace {

/// Returns the address of a resource of the entry VM at \p From.
QUrl urlOf(const Address &From, const QString &Path) {
  QUrl Url;
  Url.setScheme("http");
  Url.setHost(text(From.Host));
  Url.setPort(From.Port);
  Url.setPath(Path);
  return Url;
}

/// Returns the JSON object at \p Url.
QCoro::Task<Result<QJsonObject>> fetchObject(QUrl Url, TimePoint Deadline) {
  QNetworkAccessManager Http;
  Http.setProxy(QNetworkProxy::NoProxy);
  const std::unique_ptr<QNetworkReply> Reply(Http.get(QNetworkRequest(Url)));
  WaitPoint Finished;
  QObject::connect(Reply.get(), &QNetworkReply::finished, Reply.get(),
                   [&Finished] { Finished.wake(); });
  const bool IsFinished = co_await Finished.wait(Deadline);
  QObject::disconnect(Reply.get(), nullptr, nullptr, nullptr);
  if (!IsFinished) {
    Reply->abort();
    co_return Error{"it did not answer in time"};
  }
  if (Reply->error() != QNetworkReply::NoError)
    co_return Error{"its status could not be read: " +
                    Reply->errorString().toStdString()};
  const QJsonDocument Document = QJsonDocument::fromJson(Reply->readAll());
  if (!Document.isObject())
    co_return Error{"its status is not a JSON object"};
  co_return Document.object();
}

} // namespace

QCoro::Task<Result<QJsonObject>> HttpStatusSource::fetch(Address From,
                                                         TimePoint Deadline) {
  return fetchObject(urlOf(From, "/status"), Deadline);
}

QCoro::Task<Result<QJsonObject>>
HttpStatusSource::fetchRoute(Address From, RouteParameters Asked,
                             TimePoint Deadline) {
  QUrl Url = urlOf(From, "/route");
  QString Query;
  for (const auto &[Key, Value] :
       {std::pair("database", Asked.Database),
        std::pair("workspace", Asked.Workspace), std::pair("mode", Asked.Mode)})
    Query += QString(Query.isEmpty() ? "" : "&") + Key + "=" +
             QString::fromLatin1(QUrl::toPercentEncoding(text(Value)));
  Url.setQuery(Query, QUrl::StrictMode);
  return fetchObject(Url, Deadline);
}

QCoro::Task<std::vector<VmAnswer>>
pollAll(StatusSource &Source, std::vector<PollTarget> Vms, TimePoint Deadline) {
  std::vector<VmAnswer> Answers(Vms.size());
  unsigned Pending = static_cast<unsigned>(Vms.size());
  WaitPoint Done;
  for (std::size_t I = 0; I < Vms.size(); ++I) {
    Answers[I].Vm = Vms[I];
    pollOne(Source, Answers[I], Deadline, Pending, Done);
  }
  if (!Vms.empty())
    co_await Done.wait();
  co_return Answers;
}

Report statusReport(std::optional<std::uint64_t> Newest,
                    const std::vector<VmAnswer> &Answers,
                    const std::string &Problem) {
  std::uint64_t Highest = Newest.value_or(0);
  for (const VmAnswer &A : Answers)
    Highest = std::max(Highest, A.Revision.value_or(0));
  Report R;
  R.line(Newest ? "newest revision: " + std::to_string(Highest)
                : "newest revision: unknown; highest seen: " +
                      std::to_string(Highest));
  std::size_t Confirmed = 0;
  QJsonArray Vms;
  for (const VmAnswer &A : Answers) {
    const bool IsConfirmed = A.Revision && *A.Revision >= Highest;
    Confirmed += IsConfirmed ? 1 : 0;
    std::string Line = displayName(A.Vm) + ": ";
    if (!A.Revision)
      Line += "not confirmed: " + A.Problem;
    else
      Line +=
          (IsConfirmed ? "confirmed revision " : "not confirmed: revision ") +
          std::to_string(*A.Revision);
    R.line(Line + (A.Vm.Leaving ? " (leaving)" : ""));
    QJsonObject Vm{{"id", text(A.Vm.Id)},
                   {"admin_address", text(A.Vm.Admin ? A.Vm.Admin->str() : "")},
                   {"confirmed", IsConfirmed},
                   {"leaving", A.Vm.Leaving}};
    if (A.Revision)
      Vm["revision"] = static_cast<qint64>(*A.Revision);
    else
      Vm["problem"] = text(A.Problem);
    Vms.append(Vm);
  }
  if (Answers.empty())
    R.line("no entry VM is known");
  R.line(std::to_string(Confirmed) + " of " + std::to_string(Answers.size()) +
         " entry VMs have confirmed revision " + std::to_string(Highest));
  if (!Problem.empty())
    R.line("incomplete: " + Problem);
  R.Json = {{"newest_known", Newest.has_value()},
            {"revision", static_cast<qint64>(Highest)},
            {"confirmed", static_cast<qint64>(Confirmed)},
            {"entry_vms", Vms},
            {"problem", text(Problem)}};
  const bool AnyAnswer =
      std::any_of(Answers.begin(), Answers.end(),
                  [](const VmAnswer &A) { return A.Revision.has_value(); });
  if (!Newest && !AnyAnswer)
    R.Status = ExitStatus::Unreachable;
  else if (!Newest || Answers.empty() || Confirmed < Answers.size())
    R.Status = ExitStatus::Refused;
  return R;
}

} // namespace amaranthspur::ctl
