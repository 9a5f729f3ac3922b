// amaranthspurctl: the command-line tool for operators.
#include "ctl/Commands.h"
#include "ctl/Examples.h"
#include "platform/HttpPlatform.h"

#include <QCoreApplication>
#include <QDateTime>
#include <QJsonDocument>
#include <QUuid>

#include <cstdio>
#include <cstdlib>
#include <fstream>
#include <iostream>
#include <iterator>
#include <limits>
#include <random>

namespace {

using namespace amaranthspur;
using namespace amaranthspur::ctl;

/// Settings that keep the circuit breaker closed. The tool retries until its
/// own timeout, and an open breaker would only end the retries earlier.
constexpr CircuitBreaker::Settings DisabledBreaker = {
    std::numeric_limits<unsigned>::max(), milliseconds(500), milliseconds(500)};

Result<std::string> readFile(const std::string &Path) {
  if (Path == "-")
    return std::string(std::istreambuf_iterator<char>(std::cin), {});
  std::ifstream File(Path, std::ios::binary);
  if (!File)
    return Error{"cannot read " + Path};
  return std::string(std::istreambuf_iterator<char>(File), {});
}

std::optional<std::string> environmentVariable(const std::string &Name) {
  const char *Value = std::getenv(Name.c_str());
  return Value ? std::optional<std::string>(Value) : std::nullopt;
}

std::string currentTime() {
  return QDateTime::currentDateTimeUtc().toString(Qt::ISODate).toStdString();
}

std::string newOperationId() {
  return QUuid::createUuid().toString(QUuid::WithoutBraces).toStdString();
}

/// Prints the report as text or JSON. The text of a failure goes to standard
/// error.
void print(const Report &R, bool Json) {
  if (Json) {
    std::cout
        << QJsonDocument(R.Json).toJson(QJsonDocument::Indented).toStdString();
    return;
  }
  const bool IsFailure =
      R.Status == ExitStatus::Invalid || R.Status == ExitStatus::Unreachable;
  (IsFailure ? std::cerr : std::cout) << R.Text;
}

} // namespace

int main(int argc, char **argv) {
  QCoreApplication App(argc, argv);
  const Result<Options> Read = readOptions(
      std::vector<std::string>(argv + 1, argv + argc), environmentVariable);
  if (!succeeded(Read)) {
    std::cerr << "amaranthspurctl: " << errorOf(Read) << "\n";
    return static_cast<int>(ExitStatus::Invalid);
  }
  const Options &O = valueOf(Read);
  std::optional<HttpPlatform> Client;
  if (O.Platform)
    Client.emplace(*O.Platform, std::random_device()(), DisabledBreaker);
  HttpStatusSource Status;
  const CommandContext Context{
      Client ? &*Client : nullptr,
      &Status,
      readFile,
      exampleAnswers,
      [](const std::string &Line) { std::cerr << Line << "\n"; },
      newOperationId,
      currentTime};
  const Report R = QCoro::waitFor(runCommand(O, Context));
  print(R, O.Json);
  return static_cast<int>(R.Status);
}
