// Session tokens: canonical binary format, authenticated with HMAC-SHA256 and encoded as base64url
// without padding.
//
// Format (sizes in bytes): version (1), flags (1), customer, number of groups (2); for each group
// in ascending order its name, term (8) and index (8); MAC of all the preceding bytes (32). Numbers
// are big-endian. Names are preceded by their length (2).
#include "hmac.h"
#include "quetzalpaddle.h"

#include <openssl/crypto.h>

#include <algorithm>

namespace quetzalpaddle {

namespace {

constexpr uint8_t TokenVersion = 1;
constexpr uint8_t FlagPartial = 1;
constexpr size_t MacSize = 32;
// Limits a token to a few kilobytes, so that it fits into the 16 KiB of the request header.
constexpr size_t MaxGroups = 64;
constexpr size_t MaxNameSize = 128;
constexpr std::string_view Alphabet =
    "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789-_";

std::string encodeBase64Url(std::string_view Bytes) {
  std::string Text;
  Text.reserve((Bytes.size() * 4 + 2) / 3);
  uint32_t BitBuffer = 0;
  int BitCount = 0;
  for (unsigned char Byte : Bytes) {
    BitBuffer = BitBuffer << 8 | Byte;
    for (BitCount += 8; BitCount >= 6; BitCount -= 6)
      Text += Alphabet[BitBuffer >> (BitCount - 6) & 63];
  }
  if (BitCount > 0)
    Text += Alphabet[BitBuffer << (6 - BitCount) & 63];
  return Text;
}

// Returns nothing for text that encodeBase64Url() does not produce, so that a token has exactly one
// encoding.
std::optional<std::string> decodeBase64Url(std::string_view Text) {
  std::string Bytes;
  Bytes.reserve(Text.size() * 3 / 4);
  uint32_t BitBuffer = 0;
  int BitCount = 0;
  for (char Character : Text) {
    size_t Value = Alphabet.find(Character);
    if (Value == std::string_view::npos)
      return std::nullopt;
    BitBuffer = BitBuffer << 6 | static_cast<uint32_t>(Value);
    BitCount += 6;
    if (BitCount >= 8) {
      BitCount -= 8;
      Bytes += static_cast<char>(BitBuffer >> BitCount & 0xff);
    }
  }
  if (BitCount >= 6 || (BitBuffer & ((1U << BitCount) - 1)) != 0)
    return std::nullopt;
  return Bytes;
}

void appendNumber(std::string &Bytes, uint64_t Value, int Size) {
  for (int Shift = (Size - 1) * 8; Shift >= 0; Shift -= 8)
    Bytes += static_cast<char>(Value >> Shift & 0xff);
}

void appendName(std::string &Bytes, const std::string &Name) {
  appendNumber(Bytes, Name.size(), 2);
  Bytes += Name;
}

bool readNumber(std::string_view &Bytes, int Size, uint64_t &Value) {
  if (Bytes.size() < static_cast<size_t>(Size))
    return false;
  Value = 0;
  for (int At = 0; At < Size; ++At)
    Value = Value << 8 | static_cast<unsigned char>(Bytes[At]);
  Bytes.remove_prefix(Size);
  return true;
}

bool readName(std::string_view &Bytes, std::string &Name) {
  uint64_t Size = 0;
  if (!readNumber(Bytes, 2, Size) || Size > MaxNameSize || Size > Bytes.size())
    return false;
  Name = Bytes.substr(0, Size);
  Bytes.remove_prefix(Size);
  return true;
}

bool parseToken(std::string_view Bytes, SessionToken &Token) {
  uint64_t Version = 0;
  uint64_t Flags = 0;
  uint64_t Count = 0;
  if (!readNumber(Bytes, 1, Version) || Version != TokenVersion || !readNumber(Bytes, 1, Flags) ||
      (Flags & ~uint64_t{FlagPartial}) != 0 || !readName(Bytes, Token.m_Customer) ||
      !readNumber(Bytes, 2, Count) || Count > MaxGroups)
    return false;
  Token.m_IsPartial = (Flags & FlagPartial) != 0;
  for (uint64_t At = 0; At < Count; ++At) {
    std::string Name;
    Position Seen;
    if (!readName(Bytes, Name) || !readNumber(Bytes, 8, Seen.m_Term) ||
        !readNumber(Bytes, 8, Seen.m_Index))
      return false;
    if (!Token.m_Positions.empty() && Token.m_Positions.rbegin()->first >= Name)
      return false;
    Token.m_Positions.emplace_hint(Token.m_Positions.end(), std::move(Name), Seen);
  }
  return Bytes.empty();
}

} // namespace

std::string encodeToken(const SessionToken &Token, std::string_view Secret) {
  bool IsPartial = Token.m_IsPartial || Token.m_Positions.size() > MaxGroups;
  size_t Count = std::min(Token.m_Positions.size(), MaxGroups);
  std::string Bytes;
  appendNumber(Bytes, TokenVersion, 1);
  appendNumber(Bytes, IsPartial ? FlagPartial : 0, 1);
  appendName(Bytes, Token.m_Customer);
  appendNumber(Bytes, Count, 2);
  for (const auto &[Group, Seen] : Token.m_Positions) {
    if (Count-- == 0)
      break;
    appendName(Bytes, Group);
    appendNumber(Bytes, Seen.m_Term, 8);
    appendNumber(Bytes, Seen.m_Index, 8);
  }
  return encodeBase64Url(Bytes + computeHmac(Secret, Bytes));
}

std::variant<SessionToken, TokenError> decodeToken(std::string_view Text, std::string_view Customer,
                                                   std::string_view Secret) {
  std::optional<std::string> Bytes = decodeBase64Url(Text);
  if (!Bytes || Bytes->size() < MacSize)
    return TokenError::Malformed;
  std::string_view Content = std::string_view(*Bytes).substr(0, Bytes->size() - MacSize);
  std::string Mac = computeHmac(Secret, Content);
  if (CRYPTO_memcmp(Mac.data(), Bytes->data() + Content.size(), MacSize) != 0)
    return TokenError::BadSignature;
  SessionToken Token;
  if (!parseToken(Content, Token))
    return TokenError::Malformed;
  if (Token.m_Customer != Customer)
    return TokenError::OtherCustomer;
  return Token;
}

void advancePosition(SessionToken &Token, const std::string &Group, Position Seen) {
  Position &Known = Token.m_Positions[Group];
  Known = std::max(Known, Seen);
}

} // namespace quetzalpaddle
