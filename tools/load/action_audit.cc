#include "tools/load/action_audit.h"

#include <fmt/format.h>

namespace marigold {

namespace {

using ExecutionCounts = std::map<std::string, std::uint64_t>;

ExecutionCounts CountExecutions(
    const std::vector<RecordedExecution>& executions) {
  ExecutionCounts counts;
  for (const RecordedExecution& execution : executions) {
    ++counts[execution.key];
  }
  return counts;
}

std::uint64_t CountOf(const ExecutionCounts& counts, const std::string& key) {
  const auto found = counts.find(key);
  return found == counts.end() ? 0 : found->second;
}

}  // namespace

void ActionAudit::OnSent(const IdempotencyKey& key) {
  this->outcomes_by_key.try_emplace(key.value());
}

std::vector<Violation> ActionAudit::OnExecuted(const IdempotencyKey& key,
                                               const std::string& result) {
  KeyOutcome& outcome = this->outcomes_by_key[key.value()];
  if (!outcome.result.empty() && outcome.result != result) {
    return {{fmt::format("the same result \"{}\" for key {}", outcome.result,
                         key.value()),
             fmt::format("result \"{}\"", result)}};
  }
  outcome.result = result;
  outcome.may_have_run = true;
  return {};
}

void ActionAudit::OnNoResult(const IdempotencyKey& key, bool did_not_run) {
  KeyOutcome& outcome = this->outcomes_by_key[key.value()];
  outcome.may_have_run = outcome.may_have_run || !did_not_run;
}

std::vector<Violation> ActionAudit::FindViolations(
    const std::vector<RecordedExecution>& executions) const {
  const ExecutionCounts counts = CountExecutions(executions);
  std::vector<Violation> violations;
  for (const auto& [key, outcome] : this->outcomes_by_key) {
    const std::uint64_t count = CountOf(counts, key);
    if (count > 1) {
      violations.push_back({fmt::format("key {} to run at most once", key),
                            fmt::format("{} executions", count)});
    }
    if (count > 0 && !outcome.may_have_run) {
      violations.push_back(
          {fmt::format("key {} not to run, because every response said so",
                       key),
           fmt::format("{} executions", count)});
    }
    if (count == 0 && !outcome.result.empty()) {
      violations.push_back(
          {fmt::format("key {} to have run, because it has a result", key),
           "no execution"});
    }
  }
  return violations;
}

Metrics ActionAudit::Summary(
    const std::vector<RecordedExecution>& executions) const {
  const ExecutionCounts counts = CountExecutions(executions);
  double keys_with_result = 0;
  double keys_run = 0;
  double keys_in_doubt = 0;
  for (const auto& [key, outcome] : this->outcomes_by_key) {
    keys_with_result += outcome.result.empty() ? 0 : 1;
    keys_run += CountOf(counts, key) > 0 ? 1 : 0;
    keys_in_doubt += outcome.result.empty() && outcome.may_have_run ? 1 : 0;
  }
  return {{"keys", static_cast<double>(this->outcomes_by_key.size())},
          {"keys_run", keys_run},
          {"keys_with_result", keys_with_result},
          {"keys_in_doubt", keys_in_doubt}};
}

}  // namespace marigold
