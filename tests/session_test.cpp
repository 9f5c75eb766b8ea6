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

TokenError openError(std::string_view Text, std::string_view Customer, std::string_view With) {
  auto Opened = decodeToken(Text, Customer, With);
  cr_assert(std::holds_alternative<TokenError>(Opened), "token was accepted");
  return std::get<TokenError>(Opened);
}

} // namespace

// Guards against a position that is lost or changed on the way through a token.
Test(session, roundTrip) {
  SessionToken Token = makeToken();
  auto Opened = decodeToken(encodeToken(Token, Secret), "acme", Secret);
  cr_assert(std::holds_alternative<SessionToken>(Opened));
  cr_assert(std::get<SessionToken>(Opened).m_Positions == Token.m_Positions);
  cr_assert(!std::get<SessionToken>(Opened).m_IsPartial);
}

// Guards against a position that goes back, which would break read-your-writes.
Test(session, positionsOnlyRise) {
  SessionToken Token = makeToken();
  advancePosition(Token, "orders", {3, 40});
  advancePosition(Token, "orders", {2, 99});
  cr_assert(Token.m_Positions["orders"] == (Position{3, 41}));
  advancePosition(Token, "orders", {4, 1});
  cr_assert(Token.m_Positions["orders"] == (Position{4, 1}));
}

// Guards against a changed token, or another spelling of the same one, that is accepted.
Test(session, everyChangedLetterIsRefused) {
  std::string Text = encodeToken(makeToken(), Secret);
  for (size_t At = 0; At < Text.size(); ++At) {
    std::string Changed = Text;
    Changed[At] = Changed[At] == 'A' ? 'B' : 'A';
    openError(Changed, "acme", Secret);
    openError(Text.substr(0, At), "acme", Secret);
  }
  openError(Text + "A", "acme", Secret);
  openError(Text + "=", "acme", Secret);
}

// Guards against a token of another customer or secret that is accepted.
Test(session, otherCustomerAndSecretAreTold) {
  std::string Text = encodeToken(makeToken(), Secret);
  cr_assert(openError(Text, "other", Secret) == TokenError::OtherCustomer);
  cr_assert(openError(Text, "acme", "another secret") == TokenError::BadSignature);
  cr_assert(openError("", "acme", Secret) == TokenError::Malformed);
}

// Guards against a token that grows without bound, and against positions that are left out without
// a mark, after which a replica could serve a read that is too old.
Test(session, tooManyGroupsAreMarked) {
  SessionToken Token{"acme", {}, false};
  for (int At = 0; At < 64; ++At)
    advancePosition(Token, "group" + std::to_string(At), {1, 1});
  auto Full = std::get<SessionToken>(decodeToken(encodeToken(Token, Secret), "acme", Secret));
  cr_assert(Full.m_Positions.size() == 64 && !Full.m_IsPartial);
  advancePosition(Token, "one more", {1, 1});
  auto Cut = std::get<SessionToken>(decodeToken(encodeToken(Token, Secret), "acme", Secret));
  cr_assert(Cut.m_Positions.size() == 64 && Cut.m_IsPartial);
  auto Again = std::get<SessionToken>(decodeToken(encodeToken(Cut, Secret), "acme", Secret));
  cr_assert(Again.m_IsPartial, "the mark must stay");
}

// Guards against encodings that fail for some lengths or bytes. The seed is fixed by RC_PARAMS.
Test(session, anyTokenRoundTrips) {
  setenv("RC_PARAMS", "seed=20261204 max_success=300", 0);
  bool Passed = rc::check("tokens survive", [](const std::string &Customer,
                                               const std::map<uint16_t, uint64_t> &Groups) {
    RC_PRE(Groups.size() <= 64 && Customer.size() <= 128);
    SessionToken Token{Customer, {}, false};
    for (const auto &[Name, Index] : Groups)
      advancePosition(Token, std::to_string(Name), {Name, Index});
    auto Opened = decodeToken(encodeToken(Token, Secret), Customer, Secret);
    RC_ASSERT(std::holds_alternative<SessionToken>(Opened));
    RC_ASSERT(std::get<SessionToken>(Opened).m_Positions == Token.m_Positions);
  });
  cr_assert(Passed);
}
