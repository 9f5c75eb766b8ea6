// Attribution of answers on a connection to an instance.
#include "line_answer.h"

#include <algorithm>
#include <utility>
#include <xxhash.h>

namespace quetzalpaddle {

namespace {

// The repetition of an older answer is not recognized.
constexpr size_t MaxRecentDigests = 1024;
constexpr std::string_view HostAnswerDigest = "-"; // of statements that touch no data
constexpr size_t MaxKeywordBytes = 16;
// Further statements after a batch of the host's, and the same once an answer was repeated.
constexpr size_t ConfirmationCount = 2;
constexpr size_t MaxConfirmationCount = 3;

uint64_t hashDigest(const std::string &Digest) { return XXH3_64bits(Digest.data(), Digest.size()); }

bool hasDigest(const InstanceAnswer &Answer) {
  return !Answer.m_Digest.empty() && Answer.m_Digest != HostAnswerDigest;
}

bool isKnownDigest(const AnswerHistory &History, const std::string &Digest) {
  return std::ranges::find(History.m_RecentDigests, hashDigest(Digest)) !=
         History.m_RecentDigests.end();
}

void addDigest(AnswerHistory &History, const std::string &Digest) {
  History.m_RecentDigests.push_back(hashDigest(Digest));
  if (History.m_RecentDigests.size() > MaxRecentDigests)
    History.m_RecentDigests.pop_front();
}

AnswerMatch makeAmbiguous(AnswerHistory &History, std::string_view Why) {
  History.m_Violation = Why;
  History.m_IsOver = true;
  return AnswerMatch::Ambiguous;
}

AnswerMatch matchError(AnswerHistory &History, const InstanceAnswer &Answer,
                       const ExpectedAnswer &Expected) {
  bool IsLagging = Answer.m_ErrorCode == "LAGGING";
  if (IsLagging && !Expected.m_HasPosition && History.m_HasLagged)
    return AnswerMatch::Repeated;
  if (Expected.m_EndsOutside && Answer.m_Ready.m_State != TransactionState::None)
    return makeAmbiguous(History, "an error in a transaction that no statement began");
  bool IsFirstLagging = IsLagging && Expected.m_HasPosition && !History.m_HasLagged;
  History.m_HasLagged = History.m_HasLagged || IsLagging;
  History.m_IsOver = History.m_IsOver || !IsFirstLagging;
  return AnswerMatch::Accepted;
}

// An answer with an older position repeats an earlier one, or the log was rolled back.
bool isOutdated(const AnswerHistory &History, const InstanceAnswer &Answer) {
  return Answer.m_Ready.m_Position != Position{} &&
         Answer.m_Ready.m_Position < History.m_LastPosition;
}

AnswerMatch matchHostAnswer(AnswerHistory &History, const InstanceAnswer &Answer,
                            const ExpectedAnswer &Expected) {
  if (Answer.m_Ready.m_State != Expected.m_State) {
    History.m_IsErrorAmbiguous = true;
    return AnswerMatch::Repeated;
  }
  if (isOutdated(History, Answer))
    return makeAmbiguous(History, "an answer of an older position");
  ++(Expected.m_State == TransactionState::None ? History.m_HostAnswersOutside
                                                : History.m_HostAnswersInTransaction);
  return AnswerMatch::Accepted;
}

AnswerMatch matchCallerAnswer(AnswerHistory &History, const InstanceAnswer &Answer,
                              const ExpectedAnswer &Expected) {
  if (!hasDigest(Answer)) {
    History.m_IsErrorAmbiguous = true;
    if (!Expected.m_IsAny)
      return AnswerMatch::Repeated;
    return isOutdated(History, Answer) ? makeAmbiguous(History, "an answer of an older position")
                                       : AnswerMatch::Accepted;
  }
  if (Answer.m_Ready.m_State != Expected.m_State)
    return makeAmbiguous(History, "an answer in another transaction state");
  History.m_IsErrorAmbiguous = false;
  return AnswerMatch::Accepted;
}

} // namespace

std::optional<InstanceAnswer> addMessage(AnswerHistory &History, std::string_view Line) {
  InstanceAnswer &Answer = History.m_PartialAnswer;
  auto Message = platform::parseInstanceMessage(Line);
  // Nothing but the ready message follows the result.
  bool IsReady = std::holds_alternative<platform::ReadyMessage>(Message);
  if (std::holds_alternative<platform::MalformedMessage>(Message) ||
      (Answer.m_HasResult && !IsReady)) {
    makeAmbiguous(History, Line.substr(0, std::min(Line.find(' '), MaxKeywordBytes)));
    return std::nullopt;
  }
  if (auto *Row = std::get_if<platform::RowMessage>(&Message)) {
    Answer.m_Rows.push_back(std::move(Row->m_Row));
  } else if (auto *Complete = std::get_if<platform::CompleteMessage>(&Message)) {
    Answer.m_Digest = std::move(Complete->m_Digest);
    Answer.m_HasResult = true;
  } else if (auto *Error = std::get_if<platform::ErrorMessage>(&Message)) {
    Answer.m_ErrorCode = std::move(Error->m_Code);
    Answer.m_ErrorText = std::move(Error->m_Text);
    Answer.m_HasResult = true;
  } else if (auto *Ready = std::get_if<platform::ReadyMessage>(&Message)) {
    Answer.m_Ready = *Ready;
    return std::exchange(Answer, {});
  }
  return std::nullopt;
}

AnswerMatch matchAnswer(AnswerHistory &History, const InstanceAnswer &Answer,
                        const ExpectedAnswer &Expected) {
  if (!Answer.m_HasResult) {
    // A ready message alone repeats the answer to CONNECT.
    if (!Answer.m_Rows.empty())
      return makeAmbiguous(History, "an answer without a result");
    ++History.m_RepeatedCount;
    return AnswerMatch::Repeated;
  }
  AnswerMatch Match = AnswerMatch::Repeated;
  if (!Answer.m_ErrorCode.empty())
    Match = matchError(History, Answer, Expected);
  else if (!hasDigest(Answer) || !isKnownDigest(History, Answer.m_Digest))
    Match = Expected.m_IsHostStatement ? matchHostAnswer(History, Answer, Expected)
                                       : matchCallerAnswer(History, Answer, Expected);
  if (Match == AnswerMatch::Repeated) {
    ++History.m_RepeatedCount;
    History.m_HasRepeated = true;
  } else {
    History.m_LastPosition = std::max(History.m_LastPosition, Answer.m_Ready.m_Position);
    if (hasDigest(Answer))
      addDigest(History, Answer.m_Digest);
  }
  return Match;
}

bool isAmbiguousError(const AnswerHistory &History, const InstanceAnswer &Answer) {
  const std::string &Code = Answer.m_ErrorCode;
  // No statement that only prepares a connection is answered with the other two.
  return History.m_IsErrorAmbiguous && !Code.empty() && Code != "LAGGING" && Code != "READONLY";
}

InstanceAnswer chooseAnswer(InstanceAnswer Error, InstanceAnswer Next) {
  // If the next answer is an error as well, either may be the write's, and these two say that it
  // ran.
  bool IsRun = Next.m_ErrorCode == "FAILED" || Next.m_ErrorCode == "TIMEOUT";
  if (hasDigest(Next) || IsRun)
    return Next;
  return Error;
}

bool isRepetition(const AnswerHistory &History, const InstanceAnswer &Answer) {
  if (!Answer.m_HasResult)
    return Answer.m_Rows.empty();
  if (!Answer.m_ErrorCode.empty())
    return Answer.m_ErrorCode == "LAGGING" && History.m_HasLagged;
  return !hasDigest(Answer) || isKnownDigest(History, Answer.m_Digest);
}

size_t countConfirmations(const AnswerHistory &History, size_t StatementCount,
                          TransactionState State) {
  if (History.m_HasRepeated)
    return MaxConfirmationCount;
  uint32_t EarlierAnswers = State == TransactionState::None ? History.m_HostAnswersOutside
                                                            : History.m_HostAnswersInTransaction;
  return StatementCount > 1 || EarlierAnswers > 0 ? ConfirmationCount : 0;
}

} // namespace quetzalpaddle
