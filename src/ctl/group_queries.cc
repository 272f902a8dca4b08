#include "src/ctl/group_queries.h"

#include <fmt/format.h>

#include <algorithm>
#include <boost/json.hpp>
#include <string>
#include <utility>
#include <vector>

#include "src/ctl/list_queries.h"
#include "src/ctl/text_table.h"
#include "src/wire/control_json.h"
#include "src/wire/list_json.h"

namespace marigold::ctl {

namespace {

namespace json = boost::json;

constexpr std::uint64_t kMaxDumpedChanges = 1'000;

// The status that one control VM reported.
struct ControlVmReport {
  Endpoint endpoint;
  // Absent if the control VM did not reply.
  std::optional<ControlStatus> status;
};

std::vector<ControlVmReport> FetchStatuses(ControlGroup& group) {
  std::vector<ControlVmReport> reports;
  for (const Endpoint& endpoint : group.controls()) {
    CallFailure failure = CallFailure::kNotConnected;
    const auto reply = group.Call(endpoint, ReadStatus{CallId(1)}, failure);
    const auto* status = reply ? std::get_if<StatusReply>(&*reply) : nullptr;
    reports.push_back({endpoint, {}});
    if (status != nullptr) {
      reports.back().status = status->status;
    }
  }
  return reports;
}

const ControlStatus* FindLeader(const std::vector<ControlVmReport>& reports) {
  for (const ControlVmReport& report : reports) {
    if (report.status && report.status->is_leader &&
        report.status->has_quorum) {
      return &*report.status;
    }
  }
  return nullptr;
}

json::object ToJson(const std::vector<ControlVmReport>& reports) {
  json::array controls;
  for (const ControlVmReport& report : reports) {
    json::object control_vm;
    if (report.status) {
      control_vm = marigold::ToJson(*report.status);
    }
    control_vm["address"] = ToString(report.endpoint);
    control_vm["reachable"] = report.status.has_value();
    controls.push_back(std::move(control_vm));
  }
  const ControlStatus* leader = FindLeader(reports);
  return {{"leader", leader == nullptr ? "" : leader->self.vm.value()},
          {"control_vms", std::move(controls)}};
}

std::string ConditionOf(const ControlStatus& status) {
  if (status.storage_failed) {
    return "disk failed";
  }
  if (!status.has_quorum) {
    return "no quorum";
  }
  return status.is_probationary ? "may not vote" : "ok";
}

void PrintControls(const std::vector<ControlVmReport>& reports) {
  TextTable table({"control vm", "address", "role", "leads", "condition",
                   "term", "commit", "applied", "snapshot", "lists", "plans",
                   "usage", "ledger"});
  for (const ControlVmReport& report : reports) {
    if (!report.status) {
      table.Add({"?", ToString(report.endpoint), "?", "?", "unreachable"});
      continue;
    }
    const ControlStatus& status = *report.status;
    table.Add({status.self.vm.value(), ToString(report.endpoint),
               std::string(ToString(status.self.role)), YesNo(status.is_leader),
               ConditionOf(status), std::to_string(status.term.value()),
               std::to_string(status.commit_index.value()),
               std::to_string(status.applied_index.value()),
               std::to_string(status.snapshot_index.value()),
               std::to_string(status.lists_index.value()),
               std::to_string(status.plans_version.value()),
               std::to_string(status.usage_version.value()),
               std::to_string(status.ledger_entries)});
  }
  table.Print();
}

void PrintMembers(const ControlStatus& leader) {
  TextTable table({"member vm", "address", "role", "disk"});
  for (const Member& member : leader.membership.members) {
    table.Add({member.vm.value(), ToString(member.address),
               std::string(ToString(member.role)), member.disk.value()});
  }
  fmt::print("\n");
  table.Print();
}

// Prints the evacuated data centres according to the leader, or to a control VM
// with the newest lists if none leads.
void PrintEvacuated(const std::vector<ControlVmReport>& reports,
                    const ControlStatus* leader) {
  const ControlStatus* newest = leader;
  for (const ControlVmReport& report : reports) {
    const bool is_newer =
        leader == nullptr && report.status &&
        (newest == nullptr || report.status->lists_index > newest->lists_index);
    newest = is_newer ? &*report.status : newest;
  }
  if (newest != nullptr) {
    fmt::print(
        "\nevacuated data centres: {}\n",
        newest->evacuated.empty() ? "none" : ToString(newest->evacuated));
  }
}

void PrintEntryVms(const std::vector<ControlVmReport>& reports) {
  LogIndex newest;
  for (const ControlVmReport& report : reports) {
    if (report.status) {
      newest = std::max(newest, report.status->lists_index);
    }
  }
  TextTable table({"entry vm", "data centre", "follows", "lists in force",
                   "heard ms ago", "lags"});
  for (const ControlVmReport& report : reports) {
    if (!report.status) {
      continue;
    }
    for (const SubscriberStatus& entry : report.status->subscribers) {
      const std::string lag =
          entry.index >= newest
              ? "no"
              : fmt::format("{:.0f} ms", ToMilliseconds(entry.time_behind));
      table.Add({entry.vm.value(), entry.data_centre.value(),
                 report.status->self.vm.value(),
                 std::to_string(entry.index.value()),
                 fmt::format("{:.0f}", ToMilliseconds(entry.time_since_report)),
                 lag});
    }
  }
  fmt::print("\n");
  table.Print();
}

RequestResult<HistoryReply> FetchHistory(ControlGroup& group,
                                         std::uint64_t limit) {
  return group.CallUntilAccepted<HistoryReply>(
      ReadHistory{CallId(1), limit},
      [](const HistoryReply&) { return std::optional<Refusal>(); });
}

json::array ToJson(const std::vector<ChangeRecord>& changes) {
  json::array records;
  for (const ChangeRecord& change : changes) {
    records.push_back(marigold::ToJson(change));
  }
  return records;
}

}  // namespace

ExitCode PrintHistory(ControlGroup& group, std::uint64_t limit, bool as_json) {
  const auto result = FetchHistory(group, limit);
  if (!result.reply) {
    return ReportFailure(result);
  }
  if (as_json) {
    fmt::print("{}\n", json::serialize(ToJson(result.reply->changes)));
    return ExitCode::kDone;
  }
  TextTable table(
      {"index", "time", "list", "rows", "answer", "version", "change id"});
  for (const ChangeRecord& change : result.reply->changes) {
    table.Add(
        {std::to_string(change.index.value()), ToUtcText(change.answered_at),
         std::string(ToString(change.list)), std::to_string(change.rows),
         change.outcome.accepted ? "accepted"
                                 : std::string(ToString(change.outcome.reason)),
         std::to_string(change.outcome.version.value()),
         change.change.value()});
  }
  table.Print();
  return ExitCode::kDone;
}

ExitCode PrintStatus(ControlGroup& group, bool as_json) {
  const std::vector<ControlVmReport> reports = FetchStatuses(group);
  const ControlStatus* leader = FindLeader(reports);
  if (as_json) {
    fmt::print("{}\n", json::serialize(ToJson(reports)));
  } else {
    PrintControls(reports);
    if (leader != nullptr) {
      PrintMembers(*leader);
    }
    PrintEvacuated(reports, leader);
    PrintEntryVms(reports);
  }
  return leader != nullptr ? ExitCode::kDone : ExitCode::kUnreachable;
}

ExitCode PrintDump(ControlGroup& group) {
  json::object dump = ToJson(FetchStatuses(group));
  const auto lists = FetchLists(group);
  if (!lists.reply) {
    return ReportFailure(lists);
  }
  for (const ListKind list : {ListKind::kPlans, ListKind::kUsage}) {
    const std::string_view name = ToString(list);
    dump[json::string_view(name.data(), name.size())] =
        json::parse(EncodeList(list, ListsOf(*lists.reply)));
  }
  const auto history = FetchHistory(group, kMaxDumpedChanges);
  if (history.reply) {
    dump["history"] = ToJson(history.reply->changes);
  }
  fmt::print("{}\n", json::serialize(dump));
  return ExitCode::kDone;
}

}  // namespace marigold::ctl
