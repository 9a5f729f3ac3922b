#include "core/SessionToken.h"

#include <catch2/catch.hpp>

using namespace amaranthspur;

namespace {
constexpr std::string_view Key = "deployment-key";
} // namespace

// Guards against a token that an entry VM issued but cannot parse.
TEST_CASE("formatting and parsing a token gives the same token") {
  const SessionToken Tokens[] = {
      {ServiceName("orders"), {1, 0}},
      {ServiceName("ledger.sur-1"), {7, 18446744073709551615U}},
  };
  for (const SessionToken &Token : Tokens) {
    const std::string Text = formatToken(Token, Key);
    CAPTURE(Text);
    const auto Parsed = parseToken(Text, Key, Token.Service);
    REQUIRE(succeeded(Parsed));
    CHECK(valueOf(Parsed) == Token);
  }
}

// Guards against accepting a position from untrusted text.
TEST_CASE("an invalid token is rejected with the reason") {
  const std::string Good = formatToken({ServiceName("orders"), {3, 42}}, Key);
  std::string Forged = Good;
  Forged.replace(Forged.find(".42."), 4, ".43.");
  struct Row {
    const char *Name;
    std::string Text;
    const char *Service;
    const char *Expected;
  };
  const Row Rows[] = {
      {"empty", "", "orders", "malformed"},
      {"missing fields", "v1.", "orders", "malformed"},
      {"term is not a number", "v1.orders.x.1.00", "orders", "malformed"},
      {"negative term", "v1.orders.-1.1.00", "orders", "malformed"},
      {"term overflow", "v1.orders.99999999999999999999.1.00", "orders",
       "malformed"},
      {"other version", "v2" + Good.substr(2), "orders", "malformed"},
      {"forged position", Forged, "orders", "not issued"},
      {"truncated MAC", Good.substr(0, Good.size() - 1), "orders",
       "not issued"},
      {"other key", formatToken({ServiceName("orders"), {3, 42}}, "other-key"),
       "orders", "not issued"},
      {"other service", Good, "ledger", "for service"},
      {"too long", std::string(300, 'x'), "orders", "longer than"},
  };
  for (const Row &R : Rows) {
    CAPTURE(R.Name, R.Text);
    const auto Parsed = parseToken(R.Text, Key, ServiceName(R.Service));
    REQUIRE_FALSE(succeeded(Parsed));
    CHECK(errorOf(Parsed).find(R.Expected) != std::string::npos);
  }
}
