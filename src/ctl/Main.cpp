// amaranthspurctl: the operator's command line.
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

/// The tool retries until its own time is over; a breaker would only shorten
/// that.
constexpr CircuitBreaker::Settings NoBreaker = {
    std::numeric_limits<unsigned>::max(), milliseconds(500), milliseconds(500)};

Result<std::string> readFile(const std::string &Path) {
  if (Path == "-")
    return std::string(std::istreambuf_iterator<char>(std::cin), {});
  std::ifstream File(Path, std::ios::binary);
  if (!File)
    return Error{"cannot read " + Path};
  return std::string(std::istreambuf_iterator<char>(File), {});
}

std::optional<std::string> variable(const std::string &Name) {
  const char *Value = std::getenv(Name.c_str());
  return Value ? std::optional<std::string>(Value) : std::nullopt;
}

std::string timeOfDay() {
  return QDateTime::currentDateTimeUtc().toString(Qt::ISODate).toStdString();
}

std::string newOperation() {
  return QUuid::createUuid().toString(QUuid::WithoutBraces).toStdString();
}

void print(const Report &R, bool Json) {
  if (Json) {
    std::cout
        << QJsonDocument(R.Json).toJson(QJsonDocument::Indented).toStdString();
    return;
  }
  const bool Bad =
      R.Status == ExitStatus::Invalid || R.Status == ExitStatus::Unreachable;
  (Bad ? std::cerr : std::cout) << R.Text;
}

} // namespace

int main(int argc, char **argv) {
  QCoreApplication App(argc, argv);
  const Result<Options> Read =
      readOptions(std::vector<std::string>(argv + 1, argv + argc), variable);
  if (!succeeded(Read)) {
    std::cerr << "amaranthspurctl: " << errorOf(Read) << "\n";
    return static_cast<int>(ExitStatus::Invalid);
  }
  const Options &O = valueOf(Read);
  std::optional<HttpPlatform> Service;
  if (O.Platform)
    Service.emplace(*O.Platform, std::random_device()(), NoBreaker);
  HttpStatusSource Status;
  const Surroundings Around{
      Service ? &*Service : nullptr,
      &Status,
      readFile,
      exampleAnswers,
      [](const std::string &Line) { std::cerr << Line << "\n"; },
      newOperation,
      timeOfDay};
  const Report R = QCoro::waitFor(runCommand(O, Around));
  print(R, O.Json);
  return static_cast<int>(R.Status);
}
