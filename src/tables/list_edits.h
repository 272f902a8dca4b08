#ifndef SRC_TABLES_LIST_EDITS_H_
#define SRC_TABLES_LIST_EDITS_H_

#include <cstddef>
#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <vector>

#include "src/commands/control_commands.h"
#include "src/core/ids.h"

namespace marigold {

inline constexpr std::size_t kMaxCommandIdBytes = 128;
inline constexpr std::size_t kMaxRowsPerEdit = 10'000;
inline constexpr std::size_t kMaxServicesPerPlan = 100;
inline constexpr double kMinPlanRate = 0.001;
inline constexpr double kMaxPlanRate = 1'000'000;
inline constexpr std::uint32_t kMaxPlanBurst = 1'000'000;
inline constexpr std::uint32_t kMaxPlanConcurrency = 100'000;
inline constexpr std::uint32_t kMaxPlanWeight = 1'000;
// Limit on the encoded bytes of both lists together. The full lists have to fit
// into one message.
inline constexpr std::size_t kMaxListBytes = 3 * 1024 * 1024;

// The rows of both lists with their versions.
struct Lists {
  ListVersion plans_version;
  ListVersion usage_version;
  std::map<CustomerId, PlanRow> plans;
  std::map<PlanId, UsageRow> usage;

  bool operator==(const Lists&) const = default;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(this->plans_version, this->usage_version, this->plans, this->usage);
  }
};

// The part of an edit in which an error was found. `kEdit` is the edit as a
// whole.
enum class RowGroup : std::uint8_t { kEdit, kPlans, kUsage, kRemoved };

// One invalid value of an edit.
struct RowError {
  RowGroup group = RowGroup::kEdit;
  // Position of the row within its group.
  std::size_t row = 0;
  // The customer or plan of the row.
  std::string key;
  std::string field;
  // The allowed values, as text that follows the word "expected".
  std::string expected;
};

// One line, such as "plans[2] (acme) plan: expected a plan of the usage list".
std::string ToString(const RowError& error);

// "plans" or "usage".
std::string_view ToString(ListKind kind);

// True for UTF-8 text of 1 to `kMaxCommandIdBytes` bytes without control
// characters.
bool IsId(std::string_view text);

ListVersion VersionOf(const Lists& lists, ListKind kind);

// Returns all errors that can be found in an edit without the lists.
std::vector<RowError> CheckValues(const PutRows& edit);

// Returns all errors of an edit that depend on the lists: plans without a usage
// row, and removed rows that are in use or do not exist.
std::vector<RowError> CheckReferences(const Lists& lists, const PutRows& edit);

// Applies an edit that passed all checks, and increments the version of its
// list.
void ApplyEdit(Lists& lists, const PutRows& edit);

// Encoded size of the rows of both lists, in bytes.
std::size_t EncodedBytes(const Lists& lists);

// The result of `EncodedBytes` after the edit, if it is `bytes` before the
// edit.
std::size_t EncodedBytesAfter(const Lists& lists,
                              std::size_t bytes,
                              const PutRows& edit);

}  // namespace marigold

#endif  // SRC_TABLES_LIST_EDITS_H_
