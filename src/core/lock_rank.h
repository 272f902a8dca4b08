#ifndef SRC_CORE_LOCK_RANK_H_
#define SRC_CORE_LOCK_RANK_H_

namespace marigold {

// Order of the locks. A thread acquires locks only in strictly increasing rank.
// docs/design.md section 3.1 lists the data that each lock protects.
enum class LockRank {
  kControlDriver = 10,
  kControlState = 20,
  kSubscribers = 30,
  kListing = 35,
  kListTable = 40,
  kQuotas = 45,
  kAdmission = 50,
  kShares = 60,
  kOpenRequests = 65,
  kSearch = 70,
  kServerTable = 80,
  kAggregators = 85,
  kConnections = 90,
  kMetrics = 100,
  kLog = 110,
  // Locks of the programs under tools. None of them is held while a line is
  // logged.
  kStandinPlatform = 200,
  kStandinSearcher = 210,
  kStandinRecord = 220,
  kLoadRun = 230,
  kRelay = 240,
};

}  // namespace marigold

#endif  // SRC_CORE_LOCK_RANK_H_
