// amaranthspur-bench starts deployments of local processes and runs load
// scenarios on them.
#include "bench/Scenario.h"
#include "bench/soak/Soak.h"

#include <QCoreApplication>
#include <QJsonDocument>

#include <cxxopts.hpp>

#include <algorithm>
#include <cstdlib>
#include <fstream>
#include <iostream>
#include <optional>

#include <sys/resource.h>

namespace amaranthspur::bench {
namespace {

/// Default of --seconds: the time of one scenario for all its variants.
constexpr unsigned DefaultSeconds = 44;

/// The command-line options of `run`.
struct RunOptions {
  const Scenario *Row = nullptr;
  std::uint64_t Seed = 1;
  unsigned Seconds = DefaultSeconds;
  std::vector<PolicyVariant> Variants;
  bool Compact = false;
  std::string PlotFile;
  std::string LogDirectory;
};

cxxopts::Options makeOptions() {
  cxxopts::Options Options("amaranthspur-bench",
                           "Load and experiments on amaranthspur.\n"
                           "  amaranthspur-bench list\n"
                           "  amaranthspur-bench run SCENARIO [options]\n"
                           "  amaranthspur-bench demo\n"
                           "  amaranthspur-bench soak [options]");
  Options.add_options()("command", "list, run, demo or soak",
                        cxxopts::value<std::string>()->default_value(""))(
      "scenario", "name of a scenario",
      cxxopts::value<std::string>()->default_value(""))(
      "seed", "seed of all arrivals and random choices",
      cxxopts::value<std::uint64_t>()->default_value("1"))(
      "seconds", "time for all variants together",
      cxxopts::value<unsigned>()->default_value(
          std::to_string(DefaultSeconds)))(
      "variant", "policy variants, separated by commas",
      cxxopts::value<std::vector<std::string>>()->default_value(
          "amaranthspur,naive"))("json", "print the result on one line")(
      "plot", "SVG file for a plot of the run over time",
      cxxopts::value<std::string>()->default_value(""))(
      "log-directory", "existing directory for the processes' logs",
      cxxopts::value<std::string>()->default_value(""))(
      "daemon", "soak: path of the daemon, also of an earlier version",
      cxxopts::value<std::string>()->default_value(""))(
      "phases", "soak: kinds of phases, separated by commas; default: all",
      cxxopts::value<std::vector<std::string>>())(
      "regressions", "soak: run the seeds that failed once")(
      "deploy", "soak: deploy file with the daemon's arguments",
      cxxopts::value<std::string>()->default_value(""))("help",
                                                        "show this text");
  Options.positional_help("COMMAND [SCENARIO]");
  Options.parse_positional({"command", "scenario"});
  return Options;
}

Result<RunOptions> parseRunOptions(const cxxopts::ParseResult &Parsed) {
  RunOptions Read;
  const auto ScenarioText = Parsed["scenario"].as<std::string>();
  const auto Name = parseName<ScenarioName>(ScenarioText);
  const auto Rows = scenarios();
  const auto Row = std::ranges::find_if(
      Rows, [&Name](const Scenario &R) { return Name && R.Name == *Name; });
  if (Row == Rows.end())
    return Error{"unknown scenario \"" + ScenarioText + "\"; see \"list\""};
  Read.Row = &*Row;
  for (const std::string &Text :
       Parsed["variant"].as<std::vector<std::string>>()) {
    const auto Variant = parseName<PolicyVariant>(Text);
    if (!Variant)
      return Error{"unknown variant \"" + Text +
                   "\"; allowed: " + allNames<PolicyVariant>()};
    Read.Variants.push_back(*Variant);
  }
  Read.Seed = Parsed["seed"].as<std::uint64_t>();
  Read.Seconds = Parsed["seconds"].as<unsigned>();
  Read.Compact = Parsed.count("json") > 0;
  Read.PlotFile = Parsed["plot"].as<std::string>();
  Read.LogDirectory = Parsed["log-directory"].as<std::string>();
  return Read;
}

Result<soak::SoakSettings>
parseSoakSettings(const cxxopts::ParseResult &Parsed) {
  soak::SoakSettings Read;
  Read.Seed = Parsed["seed"].as<std::uint64_t>();
  if (Parsed.count("seconds") > 0)
    Read.Seconds = Parsed["seconds"].as<unsigned>();
  Read.Daemon = Parsed["daemon"].as<std::string>();
  Read.DeployFile = Parsed["deploy"].as<std::string>();
  if (Parsed.count("phases") > 0)
    for (const auto &Name : Parsed["phases"].as<std::vector<std::string>>()) {
      const auto Profile = parseName<soak::FaultProfile>(Name);
      if (!Profile)
        return Error{"unknown phase \"" + Name +
                     "\"; allowed: " + allNames<soak::FaultProfile>()};
      Read.Phases.push_back(*Profile);
    }
  Read.LogDirectory = Parsed["log-directory"].as<std::string>();
  return Read;
}

unsigned timeShareOf(const Scenario &Row, PolicyVariant Variant) {
  return Variant == PolicyVariant::Amaranthspur ? Row.MainVariantShare : 1;
}

QCoro::Task<int> runVariants(RunOptions Requested) {
  unsigned Shares = 0;
  for (const PolicyVariant Variant : Requested.Variants)
    Shares += timeShareOf(*Requested.Row, Variant);
  QJsonObject Variants;
  std::vector<PlotRun> Runs;
  for (const PolicyVariant Variant : Requested.Variants) {
    RunSettings Settings;
    Settings.Seed = Requested.Seed;
    Settings.Length = std::chrono::seconds(Requested.Seconds) *
                      timeShareOf(*Requested.Row, Variant) /
                      std::max(Shares, 1U);
    Settings.Variant = Variant;
    Settings.LogDirectory = Requested.LogDirectory;
    auto Done = co_await Requested.Row->Run(Settings);
    if (!succeeded(Done)) {
      std::cerr << "event=scenario-failed scenario="
                << nameOf(Requested.Row->Name) << " variant=" << nameOf(Variant)
                << " reason=\"" << errorOf(Done) << "\"\n";
      co_return EXIT_FAILURE;
    }
    Variants[QString::fromStdString(std::string(nameOf(Variant)))] =
        valueOf(Done).Figures;
    for (PlotRun &Run : valueOf(Done).Runs)
      Runs.push_back(std::move(Run));
  }
  QJsonObject Output;
  Output["scenario"] =
      QString::fromStdString(std::string(nameOf(Requested.Row->Name)));
  Output["seed"] = static_cast<qint64>(Requested.Seed);
  Output["variants"] = Variants;
  std::cout << QJsonDocument(Output)
                   .toJson(Requested.Compact ? QJsonDocument::Compact
                                             : QJsonDocument::Indented)
                   .toStdString();
  std::cout << (Requested.Compact ? "\n" : "") << std::flush;
  if (!Requested.PlotFile.empty()) {
    std::ofstream File(Requested.PlotFile);
    File << drawSvg(Runs);
    if (!File.flush()) {
      std::cerr << "cannot write " << Requested.PlotFile << "\n";
      co_return EXIT_FAILURE;
    }
  }
  co_return EXIT_SUCCESS;
}

QCoro::Task<int> runDemoCommand(RunSettings Settings) {
  const auto Done = co_await runDemo(Settings);
  if (succeeded(Done))
    co_return EXIT_SUCCESS;
  std::cerr << "event=demo-failed reason=\"" << errorOf(Done) << "\"\n";
  co_return EXIT_FAILURE;
}

QCoro::Task<> finish(QCoro::Task<int> &Work, std::optional<int> &Status) {
  Status = co_await Work;
  QCoreApplication::quit();
}

/// Runs \p Work on the event loop and returns its exit status.
int runOnEventLoop(QCoro::Task<int> Work) {
  std::optional<int> Status;
  finish(Work, Status);
  if (!Status)
    QCoreApplication::exec();
  return Status.value_or(EXIT_FAILURE);
}

/// Raises the limit of open files to its maximum, because scenarios open
/// thousands of connections.
void raiseFileLimit() {
  rlimit Limit{};
  if (::getrlimit(RLIMIT_NOFILE, &Limit) == 0) {
    Limit.rlim_cur = Limit.rlim_max;
    ::setrlimit(RLIMIT_NOFILE, &Limit);
  }
}

void listScenarios() {
  for (const Scenario &Row : scenarios())
    std::cout << nameOf(Row.Name) << "\t" << Row.Summary << "\n";
}

int runCommand(int Argc, char **Argv) {
  cxxopts::Options Options = makeOptions();
  const cxxopts::ParseResult Parsed = Options.parse(Argc, Argv);
  const auto Command = Parsed["command"].as<std::string>();
  if (Parsed.count("help") > 0) {
    std::cout << Options.help();
    return EXIT_SUCCESS;
  }
  if (Command == "list") {
    listScenarios();
    return EXIT_SUCCESS;
  }
  raiseFileLimit();
  if (Command == "demo") {
    RunSettings Settings;
    Settings.Seed = Parsed["seed"].as<std::uint64_t>();
    Settings.LogDirectory = Parsed["log-directory"].as<std::string>();
    return runOnEventLoop(runDemoCommand(Settings));
  }
  if (Command == "soak") {
    const Result<soak::SoakSettings> Settings = parseSoakSettings(Parsed);
    if (!succeeded(Settings)) {
      std::cerr << errorOf(Settings) << "\n";
      return soak::CannotRun;
    }
    return runOnEventLoop(Parsed.count("regressions") > 0
                              ? soak::runRegressions(valueOf(Settings))
                              : soak::runSoak(valueOf(Settings)));
  }
  if (Command != "run") {
    std::cerr << Options.help();
    return EXIT_FAILURE;
  }
  const Result<RunOptions> Requested = parseRunOptions(Parsed);
  if (!succeeded(Requested)) {
    std::cerr << errorOf(Requested) << "\n";
    return EXIT_FAILURE;
  }
  return runOnEventLoop(runVariants(valueOf(Requested)));
}

} // namespace
} // namespace amaranthspur::bench

int main(int Argc, char **Argv) {
  const QCoreApplication Application(Argc, Argv);
  // cxxopts reports errors as exceptions.
  try {
    return amaranthspur::bench::runCommand(Argc, Argv);
  } catch (const std::exception &Failure) {
    std::cerr << Failure.what() << "\n";
    return EXIT_FAILURE;
  }
}
