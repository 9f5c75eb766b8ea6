// Evacuation of data centres: which instances may get what, how lists of evacuated data centres are
// merged, and the limit on statements to an instance that has just started. Free of I/O, threads
// and clock reads.
#pragma once

#include "answer.h"

#include <deque>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace quetzalpaddle {

struct EvacuationSettings {
  // From the store's receipt of an entry until nothing may reach the data centre; 0: the feature is
  // off.
  Millis m_Timeout{0};
  // No statement is sent within this time before the limit: one may first have to wait for a
  // connection (700 ms).
  Millis m_StatementMargin{1000};
  // The same for commands, which take up to 350 ms, and the interval of checks.
  Millis m_CommandMargin{450};
  // For this long after a lift an instance counts as cold until a newer entry of it arrives:
  // instances renew their entries about once a second.
  Millis m_LiftCaution{2000};
};

// What the instances of a data centre may get. Later stages allow less.
enum class EvacuationStage {
  None,
  Moving, // statements that only the primary can run, and commands
  Ending, // commands
  Closed, // nothing
};

// Returns the name for logs, such as "moving".
std::string_view stageName(EvacuationStage Stage);

// Whether a read may choose an instance.
bool acceptsReads(EvacuationStage Stage);
// Whether any statement may be sent. When it no longer may, open transactions are ended.
bool acceptsStatements(EvacuationStage Stage);
// Whether a status, suspend or resume statement may be sent.
bool acceptsCommands(EvacuationStage Stage);
// Whether a promotion may choose an instance.
bool mayBePromoted(EvacuationStage Stage);

//-----------------------------------------------------------------------------
// [SECTION] Lists of evacuated data centres
//-----------------------------------------------------------------------------

struct Evacuation {
  // The store received the entry then or later; zero: unknown.
  TimePoint m_ReceivedAt{};
  // Whether that is certain. The first update of another host allows only an estimate.
  bool m_IsBound = true;
};

// All evacuated data centres as of a revision of the store.
struct EvacuationList {
  uint64_t m_Revision = 0;                           // 0: not known yet
  TimePoint m_CurrentAt{};                           // when it was last known to be the newest
  std::map<std::string, Evacuation> m_Evacuations{}; // by data centre
};

// A list holds at most this many entries, of names up to this length. Deployments have a few data
// centres; the whole list is in every update.
constexpr size_t MaxEvacuations = 64;
constexpr size_t MaxDataCentreBytes = 128;

// An entry in the store.
struct EvacuationEntry {
  uint64_t m_Revision = 0;
  std::string m_DataCentre;
};

// Returns the data centres whose entries count: the oldest MaxEvacuations of those whose name is
// not too long. The choice depends on nothing but the store, so that all hosts make the same one,
// and a new entry displaces none that hosts know.
std::set<std::string> limitEvacuations(std::vector<EvacuationEntry> Entries);

// Whether a list stays within the bounds with these changes. If not, it has to be read again.
bool fitsEvacuations(const EvacuationList &List, const std::map<std::string, bool> &Changes);

// Returns the stage of a data centre.
EvacuationStage stageAt(const EvacuationList &List, const std::string &DataCentre, TimePoint Now,
                        const EvacuationSettings &Settings);

// Applies a list of the store. DataCentres: those that have an entry. Returns whether the list has
// changed; one that is not newer is ignored.
bool applyEvacuations(EvacuationList &List, uint64_t Revision,
                      const std::set<std::string> &DataCentres);

// Applies changes of the store since a revision up to Revision. Changes: by data centre, whether it
// has an entry.
bool applyEvacuationChanges(EvacuationList &List, uint64_t Revision,
                            const std::map<std::string, bool> &Changes);

// Merges the list of another host, in times of this host's clock: the one of the higher revision
// wins. One beyond the bounds is ignored. Returns whether the evacuated data centres have changed.
bool mergeEvacuations(EvacuationList &List, const EvacuationList &Reported);

//-----------------------------------------------------------------------------
// [SECTION] Cold instances
//-----------------------------------------------------------------------------

struct ColdSettings {
  // Across all hosts, m_PerSecond * m_Excess + m_Slack statements may reach a cold instance in 1 s.
  double m_Excess = 1.5;
  double m_Slack = 5;
  Millis m_Window{1000};
  // From when a host is the only dispatcher it knows of until it uses the whole rate: another host
  // hears of the change within 1 s, and what it has sent counts for one window more.
  Millis m_HandoverTime{2000};
};

// Statements that a dispatcher has sent to a cold instance lately, its own ones among them.
struct ColdWindow {
  std::optional<uint32_t> m_Limit; // statements in any window; nothing: no limit
  uint32_t m_MaxBatch = 0;         // statements that may be sent together into an empty window
  std::deque<TimePoint> m_SentAt;  // oldest first
  uint32_t m_ReservedCount = 0;    // requests that were granted a slot and have sent nothing yet
  uint32_t m_WaitingCount = 0;     // statements of requests that wait until they may send more
  TimePoint m_SoleSince{};         // since when this host is the only dispatcher; zero: it is not
};

// Records whether this host is the only dispatcher of the instance, as far as it knows.
void noteSoleDispatcher(ColdWindow &Window, bool IsSole, TimePoint Now);

// Returns how many statements this host may send in any window, at least 1 with the whole rate.
// PerSecond: the rate of the instance's group, greater than 0.
uint32_t coldLimit(const ColdWindow &Window, double PerSecond, TimePoint Now,
                   const ColdSettings &Settings);

// Returns how many statements that cannot be sent apart may be sent into an empty window. With the
// whole rate, that is what the bound leaves beside two other dispatchers during a handover.
uint32_t maxColdBatch(const ColdWindow &Window, double PerSecond, TimePoint Now,
                      const ColdSettings &Settings);

// Returns whether one more request may be granted a slot: one statement, together with a begin.
bool maySendToCold(ColdWindow &Window, TimePoint Now, const ColdSettings &Settings);

// Estimates the wait of a statement behind QueuedCount others for the limit alone.
Duration expectedColdWait(const ColdWindow &Window, uint32_t QueuedCount);

// Reserves a request that maySendToCold() has allowed.
void reserveForCold(ColdWindow &Window);
// Ends a reservation, before the first statement of the request or if none is sent.
void releaseForCold(ColdWindow &Window);

enum class ColdRoom {
  Free,  // the statements may be sent now
  Taken, // they may be sent once others have left the window
  Never, // there are more of them than may be sent together
};

// Returns whether Count statements may be sent together.
ColdRoom findColdRoom(ColdWindow &Window, uint32_t Count, TimePoint Now,
                      const ColdSettings &Settings);

// Records statements that are sent.
void noteSentToCold(ColdWindow &Window, uint32_t Count, TimePoint Now);

} // namespace quetzalpaddle
