#include "testing/fake-backend/Settings.h"

#include <cxxopts.hpp>

namespace amaranthspur::fake {
namespace {

cxxopts::Options makeOptions() {
  cxxopts::Options Options("fake-backend",
                           "Fake backend server of a database group for tests");
  const auto Text = [](const char *Default) {
    return cxxopts::value<std::string>()->default_value(Default);
  };
  const auto Number = [](const char *Default) {
    return cxxopts::value<unsigned>()->default_value(Default);
  };
  Options.add_options()("id", "identifier of the server",
                        Text(""))("listen", "address host:port", Text(""))(
      "role", "primary or replica",
      Text("replica"))("term", "term that the group has reached",
                       cxxopts::value<Term>()->default_value("1"))(
      "primary", "primary to replicate from, id=host:port",
      Text(""))("slots", "statements that run at once", Number("5"))(
      "connection-limit", "work connections accepted", Number("50"))(
      "connect-delay-ms", "time that opening a connection takes", Number("0"))(
      "replication-lag-ms", "delay before received entries take effect",
      Number("0"))("idle-in-transaction-timeout-ms",
                   "longest pause inside a transaction", Number("10000"))(
      "lock-timeout-ms", "longest wait for the write lock", Number("2000"))(
      "bind-address", "source address of replication connections",
      Text(""))("help", "print this text");
  return Options;
}

Result<Upstream> parseUpstream(const std::string &Text) {
  const std::size_t Equals = Text.find('=');
  if (Equals == std::string::npos || Equals == 0)
    return Error{"--primary \"" + Text + "\" is not id=host:port"};
  const Result<Address> From = parseAddress(Text.substr(Equals + 1));
  if (!succeeded(From))
    return Error{"--primary: " + errorOf(From)};
  return Upstream{ServerId(Text.substr(0, Equals)), valueOf(From)};
}

Result<Settings> readSettings(const cxxopts::ParseResult &Flags) {
  Settings Parsed;
  Parsed.Id = ServerId(Flags["id"].as<std::string>());
  if (Parsed.Id.empty())
    return Error{"--id is missing"};
  const auto Listen = parseAddress(Flags["listen"].as<std::string>());
  if (!succeeded(Listen))
    return Error{"--listen: " + errorOf(Listen)};
  Parsed.Listen = valueOf(Listen);
  const auto Role = parseName<ServerRole>(Flags["role"].as<std::string>());
  if (!Role)
    return Error{"--role is not one of " + allNames<ServerRole>()};
  Parsed.Role = *Role;
  Parsed.FirstTerm = Flags["term"].as<Term>();
  if (const auto Text = Flags["primary"].as<std::string>(); !Text.empty()) {
    const auto Primary = parseUpstream(Text);
    if (!succeeded(Primary))
      return Error{errorOf(Primary)};
    Parsed.Primary = valueOf(Primary);
  }
  const auto Time = [&Flags](const char *Flag) {
    return Duration(milliseconds(Flags[Flag].as<unsigned>()));
  };
  Parsed.Slots = Flags["slots"].as<unsigned>();
  if (Parsed.Slots == 0)
    return Error{"--slots must be positive"};
  Parsed.ConnectionLimit = Flags["connection-limit"].as<unsigned>();
  Parsed.ConnectDelay = Time("connect-delay-ms");
  Parsed.ReplicationLag = Time("replication-lag-ms");
  Parsed.IdleInTransactionTimeout = Time("idle-in-transaction-timeout-ms");
  Parsed.LockTimeout = Time("lock-timeout-ms");
  Parsed.BindHost = Flags["bind-address"].as<std::string>();
  return Parsed;
}

} // namespace

Result<Settings> parseSettings(int Argc, const char *const *Argv) {
  // cxxopts throws exceptions; convert them to error results.
  try {
    return readSettings(makeOptions().parse(Argc, Argv));
  } catch (const std::exception &Failure) {
    return Error{Failure.what()};
  }
}

std::string settingsHelp() { return makeOptions().help(); }

} // namespace amaranthspur::fake
