#ifndef TOOLS_BENCH_FAULT_H_
#define TOOLS_BENCH_FAULT_H_

#include <bitset>
#include <cstddef>
#include <optional>
#include <span>
#include <string_view>

namespace marigold {

enum class Fault {
  kStragglers,
  kSlowServer,
  kLostReplica,
  kColdStart,
  kShed,
  kSkewedLoad,
  kLyingReports,
  kLaggingList,
  kSilentConnections,
  kSnapshotTurnover,
  kRepartition,
  kCutDataCentre,
  kMirroredLoad,
  kBurst,
  kGreedyCustomer,
};

inline constexpr std::size_t kFaultCount = 15;

using FaultSet = std::bitset<kFaultCount>;

struct FaultRow {
  Fault fault;
  std::string_view name;
  std::string_view help;
};

std::span<const FaultRow> FaultRows();

// Returns an empty value for an unknown name.
std::optional<Fault> ParseFault(std::string_view name);

inline bool Has(const FaultSet& faults, Fault fault) {
  return faults.test(static_cast<std::size_t>(fault));
}

}  // namespace marigold

#endif  // TOOLS_BENCH_FAULT_H_
