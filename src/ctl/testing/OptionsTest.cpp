#include "ctl/Options.h"

#include <catch2/catch.hpp>

#include <algorithm>
#include <fstream>
#include <iterator>
#include <map>
#include <sstream>

using namespace amaranthspur;
using namespace amaranthspur::ctl;

namespace {

using Variables = std::map<std::string, std::string>;

Result<Options> read(const std::vector<std::string> &Arguments,
                     const Variables &Set) {
  return readOptions(
      Arguments, [&](const std::string &Name) -> std::optional<std::string> {
        const auto Found = Set.find(Name);
        if (Found == Set.end())
          return std::nullopt;
        return Found->second;
      });
}

} // namespace

// Guards against an invalid or missing option that is ignored: a change would
// be based on the wrong revision or sent to the wrong platform.
TEST_CASE("invalid options are refused with the allowed values") {
  struct Row {
    const char *Name;
    std::vector<std::string> Arguments;
    const char *Expected;
  };
  const std::string P = "--platform-address=127.0.0.1:1";
  const Row Rows[] = {
      {"nothing", {}, "a command is needed"},
      {"unknown command", {"acept"}, "allowed: init, check"},
      {"unknown option", {"history", P, "--jsn"}, "jsn"},
      {"no platform", {"history"}, "--platform-address"},
      {"bad platform", {"history", "--platform-address=x"}, "no port"},
      {"host name", {"history", "--platform-address=db:1"}, "numeric host"},
      {"no file", {"check"}, "usage: amaranthspurctl check FILE"},
      {"two files", {"check", "a", "b"}, "usage"},
      {"accept without revision", {"accept", "a", P}, "--from-revision"},
      {"negative revision",
       {"accept", "a", P, "--from-revision=-1"},
       "\"-1\" is not allowed"},
      {"revision with letters",
       {"accept", "a", P, "--from-revision=1x"},
       "\"1x\" is not allowed"},
      {"short timeout", {"history", P, "--timeout-ms=10"}, "from 3000"},
      {"path in an operation",
       {"accept", "a", P, "--from-revision=1", "--operation=a/b"},
       "printable characters"},
      {"unknown target", {"drain", "server", "a", P}, "backend-server"},
      {"drain without id", {"drain", "entry-vm", P}, "usage"},
      {"status without an address", {"status"}, "--admin-address"},
      {"route without a workspace", {"route", "127.0.0.1:1", "d"}, "usage"},
      {"route with two modes",
       {"route", "127.0.0.1:1", "d", "w", "read", "write"},
       "usage"},
      {"bad second admin address",
       {"status", "--admin-address=127.0.0.1:1,127.0.0.1:x"},
       "invalid port"},
  };
  for (const Row &R : Rows) {
    CAPTURE(R.Name);
    const Result<Options> O = read(R.Arguments, {});
    REQUIRE_FALSE(succeeded(O));
    CAPTURE(errorOf(O));
    CHECK(errorOf(O).find(R.Expected) != std::string::npos);
  }
}

// Guards against an environment variable that overrides a flag.
TEST_CASE("a flag overrides its environment variable") {
  const Variables Set = {{"AMARANTHSPUR_PLATFORM_ADDRESS", "127.0.0.1:1"},
                         {"AMARANTHSPUR_FROM_REVISION", "4"},
                         {"AMARANTHSPUR_JSON", "1"},
                         {"USER", "ana"}};
  const Result<Options> O =
      read({"accept", "file", "--from-revision", "5"}, Set);
  REQUIRE(succeeded(O));
  CHECK(valueOf(O).FromRevision == 5U);
  CHECK(valueOf(O).Platform->Port == 1);
  CHECK(valueOf(O).Json);
  CHECK(valueOf(O).Author == "ana");
  CHECK(valueOf(O).Timeout == std::chrono::seconds(10));
}

// Guards against a manual page or a shell completion that omits a command or an
// option.
TEST_CASE("the manual page and the completion cover the help text") {
  const auto Read = [](const std::string &Path) {
    std::ifstream File(SHARE_FOLDER "/" + Path);
    return std::string(std::istreambuf_iterator<char>(File), {});
  };
  const std::string Completion =
      Read("bash-completion/completions/amaranthspurctl");
  std::string Manual = Read("man/man1/amaranthspurctl.1");
  Manual.erase(std::remove(Manual.begin(), Manual.end(), '\\'), Manual.end());
  const Result<Options> O = read({"--help"}, {});
  REQUIRE(succeeded(O));
  std::istringstream Words(valueOf(O).HelpText);
  std::vector<std::string> Names;
  for (std::string Word; Words >> Word;)
    if (Word.starts_with("--") && Word != "--a-b")
      Names.push_back(Word);
  CHECK(Names.size() >= 9);
  for (const auto &[Command, Name] : EnumNames<CommandKind>::Entries)
    Names.emplace_back(Name);
  for (const std::string &Name : Names) {
    CAPTURE(Name);
    CHECK(Completion.find(Name) != std::string::npos);
    CHECK(Manual.find(Name) != std::string::npos);
  }
}

// Guards against a command that the help text omits.
TEST_CASE("the help text lists every command") {
  const Result<Options> O = read({"--help"}, {});
  REQUIRE(succeeded(O));
  CHECK(nameOf(valueOf(O).Command) == "help");
  for (const auto &[Command, Name] : EnumNames<CommandKind>::Entries) {
    CAPTURE(Name);
    CHECK(valueOf(O).HelpText.find("  " + std::string(Name)) !=
          std::string::npos);
  }
}
