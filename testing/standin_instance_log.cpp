#include "standin_instance_core.h"

#include <algorithm>
#include <charconv>
#include <ranges>

namespace quetzalpaddle::instance_standin {

uint64_t lastIndex(const LogStore &Store) { return Store.m_Entries.size(); }

Position positionAt(const LogStore &Store, uint64_t Index) {
  if (Index == 0)
    return {};
  return fromMessage(Store.m_Entries[Index - 1].position());
}

void toMessage(Position From, instance::Position *To) {
  To->set_term(From.m_Term);
  To->set_index(From.m_Index);
}

Position fromMessage(const instance::Position &From) { return {From.term(), From.index()}; }

void appendEntry(LogStore &Store, instance::LogEntry Entry, uint64_t AppliedIndex) {
  uint64_t Index = Entry.position().index();
  for (const instance::Statement &Write : Entry.writes()) {
    std::vector<RowVersion> &Versions = Store.m_Rows[{Write.table(), Write.key()}];
    auto FirstNewer = std::ranges::find_if(
        Versions, [&](const RowVersion &V) { return V.m_Index > AppliedIndex; });
    // Readers see the last version that is not newer than AppliedIndex.
    if (FirstNewer - Versions.begin() > 1)
      Versions.erase(Versions.begin(), FirstNewer - 1);
    Value NewValue = Write.op() == instance::OP_DELETE ? Value() : Value(Write.value());
    if (!Versions.empty() && Versions.back().m_Index == Index)
      Versions.back().m_Value = std::move(NewValue);
    else
      Versions.push_back({Index, std::move(NewValue)});
  }
  if (Entry.has_request()) {
    const instance::RequestId &Id = Entry.request();
    Store.m_Requests[{Id.customer(), Id.id()}].push_back({Index, Id.attempt(), Entry.ruled_out()});
  }
  Store.m_Entries.push_back(std::move(Entry));
}

void truncateLog(LogStore &Store, uint64_t Index) {
  while (lastIndex(Store) > Index) {
    const instance::LogEntry &Entry = Store.m_Entries.back();
    uint64_t Removed = lastIndex(Store);
    for (const instance::Statement &Write : Entry.writes()) {
      auto Row = Store.m_Rows.find({Write.table(), Write.key()});
      if (Row == Store.m_Rows.end())
        continue;
      std::erase_if(Row->second, [&](const RowVersion &V) { return V.m_Index >= Removed; });
      if (Row->second.empty())
        Store.m_Rows.erase(Row);
    }
    if (Entry.has_request()) {
      auto Request = Store.m_Requests.find({Entry.request().customer(), Entry.request().id()});
      std::erase_if(Request->second, [&](const RequestEvent &E) { return E.m_Index >= Removed; });
      if (Request->second.empty())
        Store.m_Requests.erase(Request);
    }
    Store.m_Entries.pop_back();
  }
}

static RowVersion findVersion(const std::vector<RowVersion> &Versions, uint64_t AsOf) {
  for (const RowVersion &V : std::views::reverse(Versions))
    if (V.m_Index <= AsOf)
      return V;
  return {};
}

RowVersion readRow(const LogStore &Store, const RowKey &Key, uint64_t AsOf) {
  auto Row = Store.m_Rows.find(Key);
  return Row == Store.m_Rows.end() ? RowVersion() : findVersion(Row->second, AsOf);
}

RequestState findRequest(const LogStore &Store, const instance::RequestId &Request) {
  RequestState State;
  auto Found = Store.m_Requests.find({Request.customer(), Request.id()});
  if (Found == Store.m_Requests.end())
    return State;
  for (const RequestEvent &E : Found->second) {
    if (!E.m_IsRuledOut) {
      State.m_CommittedIndex = E.m_Index;
    } else if (E.m_Attempt >= State.m_RuledOutAttempt) {
      State.m_RuledOutAttempt = E.m_Attempt;
      State.m_RuledOutIndex = E.m_Index;
    }
  }
  return State;
}

// Reads a row as the transaction sees it and records the observed version.
static Value readValue(const LogStore &Store, uint64_t AsOf, const RowKey &Key,
                       WriteBuffer &Buffer) {
  if (auto BufferedWrite = Buffer.m_Writes.find(Key); BufferedWrite != Buffer.m_Writes.end())
    return BufferedWrite->second;
  RowVersion Version = readRow(Store, Key, AsOf);
  Buffer.m_ObservedVersions.emplace(Key, Version.m_Index);
  return Version.m_Value;
}

static void writeValue(const LogStore &Store, const RowKey &Key, Value NewValue,
                       WriteBuffer &Buffer) {
  Buffer.m_ObservedVersions.emplace(Key, readRow(Store, Key, lastIndex(Store)).m_Index);
  Buffer.m_Writes[Key] = std::move(NewValue);
}

static void addRow(const RowKey &Key, const Value &Found,
                   google::protobuf::RepeatedPtrField<instance::Row> *Rows) {
  instance::Row *Row = Rows->Add();
  Row->set_table(Key.first);
  Row->set_key(Key.second);
  Row->set_found(Found.has_value());
  Row->set_value(Found.value_or(""));
}

static void scanRows(const LogStore &Store, uint64_t AsOf, const instance::Statement &Statement,
                     WriteBuffer &Buffer, google::protobuf::RepeatedPtrField<instance::Row> *Rows) {
  auto InRange = [&](const RowKey &Key) {
    return Key.first == Statement.table() && Key.second.starts_with(Statement.key());
  };
  RowKey First{Statement.table(), Statement.key()};
  size_t Limit = Statement.limit() == 0 ? SIZE_MAX : Statement.limit();
  std::map<RowKey, std::string> Found;
  for (auto Row = Store.m_Rows.lower_bound(First); Row != Store.m_Rows.end() && InRange(Row->first);
       ++Row) {
    if (Value Read = readValue(Store, AsOf, Row->first, Buffer))
      Found.emplace(Row->first, *Read);
    if (Buffer.m_Writes.empty() && Found.size() >= Limit)
      break;
  }
  for (auto BufferedWrite = Buffer.m_Writes.lower_bound(First);
       BufferedWrite != Buffer.m_Writes.end() && InRange(BufferedWrite->first); ++BufferedWrite)
    if (BufferedWrite->second)
      Found.emplace(BufferedWrite->first, *BufferedWrite->second);
  for (const auto &[Key, Text] : Found | std::views::take(Limit))
    addRow(Key, Text, Rows);
}

static std::optional<int64_t> parseInteger(std::string_view Text) {
  int64_t Number = 0;
  auto [End, Error] = std::from_chars(Text.data(), Text.data() + Text.size(), Number);
  if (Error != std::errc() || End != Text.data() + Text.size())
    return std::nullopt;
  return Number;
}

std::string runStatement(const LogStore &Store, uint64_t AsOf, const instance::Statement &Statement,
                         WriteBuffer &Buffer,
                         google::protobuf::RepeatedPtrField<instance::Row> *Rows) {
  RowKey Key{Statement.table(), Statement.key()};
  switch (Statement.op()) {
  case instance::OP_GET:
    addRow(Key, readValue(Store, AsOf, Key, Buffer), Rows);
    return "";
  case instance::OP_SCAN:
    scanRows(Store, AsOf, Statement, Buffer, Rows);
    return "";
  case instance::OP_PUT:
    writeValue(Store, Key, Statement.value(), Buffer);
    return "";
  case instance::OP_DELETE:
    writeValue(Store, Key, std::nullopt, Buffer);
    return "";
  case instance::OP_INSERT:
    if (readValue(Store, AsOf, Key, Buffer))
      return "key exists already: " + Key.second;
    writeValue(Store, Key, Statement.value(), Buffer);
    return "";
  case instance::OP_ADD: {
    Value OldValue = readValue(Store, AsOf, Key, Buffer);
    std::optional<int64_t> OldNumber = parseInteger(OldValue.value_or("0"));
    std::optional<int64_t> Increment = parseInteger(Statement.value());
    int64_t Sum = 0;
    if (!OldNumber || !Increment || __builtin_add_overflow(*OldNumber, *Increment, &Sum))
      return "value or sum is not a 64-bit integer: " + Key.second;
    writeValue(Store, Key, std::to_string(Sum), Buffer);
    addRow(Key, std::to_string(Sum), Rows);
    return "";
  }
  default:
    return "unknown operation";
  }
}

bool hasConflict(const LogStore &Store, const WriteBuffer &Buffer) {
  return std::ranges::any_of(Buffer.m_ObservedVersions, [&](const auto &Seen) {
    return readRow(Store, Seen.first, lastIndex(Store)).m_Index != Seen.second;
  });
}

standin::DumpReply dumpLog(const LogStore &Store, uint64_t CommittedIndex) {
  standin::DumpReply Reply;
  for (const auto &[Key, Versions] : Store.m_Rows) {
    RowVersion Version = findVersion(Versions, CommittedIndex);
    if (!Version.m_Value)
      continue;
    standin::DumpRow *Row = Reply.add_rows();
    Row->set_table(Key.first);
    Row->set_key(Key.second);
    Row->set_value(*Version.m_Value);
  }
  std::set<std::string> Ids;
  uint64_t Duplicates = 0;
  for (const instance::LogEntry &Entry : Store.m_Entries | std::views::take(CommittedIndex)) {
    if (!Entry.has_request() || Entry.ruled_out())
      continue;
    if (!Ids.insert(Entry.request().customer() + "/" + Entry.request().id()).second)
      ++Duplicates;
  }
  for (const std::string &Id : Ids)
    Reply.add_committed_requests(Id);
  Reply.set_duplicate_commits(Duplicates);
  return Reply;
}

} // namespace quetzalpaddle::instance_standin
