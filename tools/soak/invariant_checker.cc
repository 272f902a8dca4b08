#include "tools/soak/invariant_checker.h"

#include <fmt/format.h>

#include <algorithm>
#include <variant>

#include "src/core/binary_codec.h"

namespace marigold {

namespace {

constexpr std::size_t kMaxViolations = 8;

}  // namespace

void InvariantChecker::OnApplied(const VmId& vm,
                                 const LogEntry& entry,
                                 const std::optional<ControlOutcome>& outcome) {
  const auto [position, added] =
      this->committed_entries.emplace(entry.index, entry);
  if (!added && position->second != entry) {
    this->ReportInvariant(Invariant::kListNeverReverts,
                          fmt::format("{} applied an entry at index {} that "
                                      "differs from the committed one",
                                      vm.value(), entry.index.value()));
  }
  if (!outcome || !std::holds_alternative<PutRowsOutcome>(*outcome)) {
    return;
  }
  auto decoded = Capture<ControlCommand>(
      [&] { return DecodeBinary<ControlCommand>(entry.payload); });
  const auto* command = std::get_if<ControlCommand>(&decoded);
  if (command != nullptr) {
    this->CheckEdit(entry, std::get<PutRows>(*command),
                    std::get<PutRowsOutcome>(*outcome));
  }
}

void InvariantChecker::CheckEdit(const LogEntry& entry,
                                 const PutRows& edit,
                                 const PutRowsOutcome& outcome) {
  if (!outcome.accepted) {
    return;
  }
  this->applied_edits.emplace(edit.change, entry.index);
  const auto [applied, is_first] =
      this->applied_versions.emplace(edit.change, outcome.version);
  if (!is_first && applied->second != outcome.version) {
    this->ReportInvariant(
        Invariant::kListNeverReverts,
        fmt::format("change {} was applied as version {} and again "
                    "as version {}",
                    edit.change.value(), applied->second.value(),
                    outcome.version.value()));
  }
  const auto [version, is_new] = this->change_by_version.emplace(
      std::pair(edit.list, outcome.version), edit.change);
  if (version->second != edit.change) {
    this->ReportInvariant(
        Invariant::kListNeverReverts,
        fmt::format("changes {} and {} were both accepted as version "
                    "{}",
                    version->second.value(), edit.change.value(),
                    outcome.version.value()));
  }
  if (this->refused_changes.contains(edit.change)) {
    this->ReportInvariant(
        Invariant::kDidNotRunIsTrue,
        fmt::format("change {} was refused as did-not-run but was "
                    "applied at index {}",
                    edit.change.value(), entry.index.value()));
  }
}

void InvariantChecker::OnEditAccepted(MonotonicTime /*now*/,
                                      const ChangeId& change,
                                      ListVersion version) {
  const auto [known, added] = this->accepted_versions.emplace(change, version);
  if (!added && known->second != version) {
    this->ReportInvariant(
        Invariant::kListNeverReverts,
        fmt::format("change {} was answered with versions {} and {}",
                    change.value(), known->second.value(), version.value()));
  }
  const auto applied = this->applied_edits.find(change);
  if (applied == this->applied_edits.end()) {
    this->ReportInvariant(
        Invariant::kListNeverReverts,
        fmt::format("change {} was accepted, but no VM has applied it",
                    change.value()));
    return;
  }
  this->highest_accepted_index =
      std::max(this->highest_accepted_index, applied->second);
}

void InvariantChecker::OnEditRefused(const ChangeId& change) {
  this->refused_changes.insert(change);
  if (this->applied_edits.contains(change)) {
    this->ReportInvariant(
        Invariant::kDidNotRunIsTrue,
        fmt::format("change {} was refused as did-not-run after it "
                    "was applied",
                    change.value()));
  }
}

void InvariantChecker::OnListsInForce(const VmId& vm,
                                      LogIndex index,
                                      bool restarted) {
  LogIndex& last = this->in_force_index[vm];
  if (!restarted && index < last) {
    this->ReportInvariant(
        Invariant::kListNeverReverts,
        fmt::format("the list index of {} went back from {} to {}", vm.value(),
                    last.value(), index.value()));
  }
  last = index;
}

void InvariantChecker::OnActionRan(const IdempotencyKey& key,
                                   const RequestId& request) {
  const auto [run, added] = this->action_runs.emplace(key, request);
  if (!added) {
    this->ReportInvariant(
        Invariant::kAtMostOnce,
        fmt::format("action {} ran for request {} and again for {}",
                    key.value(), run->second.value(), request.value()));
  }
  if (this->refused_requests.contains(request)) {
    this->ReportInvariant(
        Invariant::kDidNotRunIsTrue,
        fmt::format("action {} ran after its request was refused as "
                    "did-not-run",
                    key.value()));
  }
}

void InvariantChecker::OnActionRefused(const IdempotencyKey& key,
                                       const RequestId& request) {
  this->refused_requests.insert(request);
  const auto run = this->action_runs.find(key);
  if (run != this->action_runs.end() && run->second == request) {
    this->ReportInvariant(
        Invariant::kDidNotRunIsTrue,
        fmt::format("the request that ran action {} was refused as "
                    "did-not-run",
                    key.value()));
  }
}

void InvariantChecker::OnActionResult(const IdempotencyKey& key,
                                      const std::string& result) {
  if (!this->action_runs.contains(key)) {
    this->ReportInvariant(
        Invariant::kAtMostOnce,
        fmt::format("action {} has a result, but it did not run", key.value()));
  }
  const auto [known, added] = this->action_results.emplace(key, result);
  if (!added && known->second != result) {
    this->ReportInvariant(
        Invariant::kAtMostOnce,
        fmt::format("action {} was answered with \"{}\" and \"{}\"",
                    key.value(), known->second, result));
  }
}

void InvariantChecker::ReportInvariant(Invariant invariant,
                                       std::string detail) {
  this->ReportViolation(
      fmt::format("invariant={} {}", ToString(invariant), detail));
}

void InvariantChecker::ReportViolation(std::string text) {
  if (this->violation_texts.size() < kMaxViolations) {
    this->violation_texts.push_back(std::move(text));
  }
}

}  // namespace marigold
