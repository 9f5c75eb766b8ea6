#include "quetzalpaddle.h"

#include <criterion/criterion.h>
#include <rapidcheck.h>

using namespace quetzalpaddle;

namespace {

constexpr std::string_view Secret = "a secret of the hosts";

SessionToken makeToken() {
  SessionToken Token{"acme", {}, false};
  advancePosition(Token, "orders", {3, 41});
  advancePosition(Token, "stock", {2, 7});
  return Token;
}

TokenError expectDecodeError(std::string_view Text, std::string_view Customer,
                             std::string_view DecodingSecret) {
  auto DecodeResult = decodeToken(Text, Customer, DecodingSecret);
  cr_assert(std::holds_alternative<TokenError>(DecodeResult), "token was accepted");
  return std::get<TokenError>(DecodeResult);
}

} // namespace

// Guards against a position that is lost or changed when a token is encoded and decoded.
Test(session, positionsSurviveEncoding) {
  SessionToken Token = makeToken();
  auto DecodeResult = decodeToken(encodeToken(Token, Secret), "acme", Secret);
  cr_assert(std::holds_alternative<SessionToken>(DecodeResult));
  cr_assert(std::get<SessionToken>(DecodeResult).m_Positions == Token.m_Positions);
  cr_assert(!std::get<SessionToken>(DecodeResult).m_IsPartial);
}

// Guards against a position that moves backwards, which would break read-your-writes.
Test(session, positionsNeverGoBack) {
  SessionToken Token = makeToken();
  advancePosition(Token, "orders", {3, 40});
  advancePosition(Token, "orders", {2, 99});
  cr_assert(Token.m_Positions["orders"] == (Position{3, 41}));
  advancePosition(Token, "orders", {4, 1});
  cr_assert(Token.m_Positions["orders"] == (Position{4, 1}));
}

// Guards against accepting an altered token, or another encoding of the same token.
Test(session, everyChangedCharacterIsRejected) {
  std::string Text = encodeToken(makeToken(), Secret);
  for (size_t Index = 0; Index < Text.size(); ++Index) {
    std::string ChangedText = Text;
    ChangedText[Index] = ChangedText[Index] == 'A' ? 'B' : 'A';
    expectDecodeError(ChangedText, "acme", Secret);
    expectDecodeError(Text.substr(0, Index), "acme", Secret);
  }
  expectDecodeError(Text + "A", "acme", Secret);
  expectDecodeError(Text + "=", "acme", Secret);
}

// Guards against accepting a token of another customer or with the signature of another secret.
Test(session, otherCustomerAndSecretAreRejected) {
  std::string Text = encodeToken(makeToken(), Secret);
  cr_assert(expectDecodeError(Text, "other", Secret) == TokenError::OtherCustomer);
  cr_assert(expectDecodeError(Text, "acme", "another secret") == TokenError::BadSignature);
  cr_assert(expectDecodeError("", "acme", Secret) == TokenError::Malformed);
}

// Guards against a token that grows without bound, and against positions that are left out without
// marking the token as partial: a replica could then serve a read with data that is too old.
Test(session, tooManyGroupsMarkTheTokenAsPartial) {
  SessionToken Token{"acme", {}, false};
  for (int Number = 0; Number < 64; ++Number)
    advancePosition(Token, "group" + std::to_string(Number), {1, 1});
  auto FullToken = std::get<SessionToken>(decodeToken(encodeToken(Token, Secret), "acme", Secret));
  cr_assert(FullToken.m_Positions.size() == 64 && !FullToken.m_IsPartial);
  advancePosition(Token, "one more", {1, 1});
  auto PartialToken =
      std::get<SessionToken>(decodeToken(encodeToken(Token, Secret), "acme", Secret));
  cr_assert(PartialToken.m_Positions.size() == 64 && PartialToken.m_IsPartial);
  auto ReencodedToken =
      std::get<SessionToken>(decodeToken(encodeToken(PartialToken, Secret), "acme", Secret));
  cr_assert(ReencodedToken.m_IsPartial, "a partial token must stay partial");
}

// Guards against encodings that fail for some lengths or bytes. The seed is set by RC_PARAMS.
Test(session, anyTokenSurvivesEncoding) {
  setenv("RC_PARAMS", "seed=20261204 max_success=300", 0);
  bool PropertyHolds = rc::check("tokens survive", [](const std::string &Customer,
                                                      const std::map<uint16_t, uint64_t> &Groups) {
    RC_PRE(Groups.size() <= 64 && Customer.size() <= 128);
    SessionToken Token{Customer, {}, false};
    for (const auto &[Name, Index] : Groups)
      advancePosition(Token, std::to_string(Name), {Name, Index});
    auto DecodeResult = decodeToken(encodeToken(Token, Secret), Customer, Secret);
    RC_ASSERT(std::holds_alternative<SessionToken>(DecodeResult));
    RC_ASSERT(std::get<SessionToken>(DecodeResult).m_Positions == Token.m_Positions);
  });
  cr_assert(PropertyHolds);
}
