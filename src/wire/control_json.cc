#include "src/wire/control_json.h"

#include <fmt/chrono.h>

#include <boost/json.hpp>
#include <chrono>

namespace marigold {

namespace json = boost::json;

namespace {

json::string ToJsonString(std::string_view text) {
  return json::string(text.data(), text.size());
}

json::object ToJson(const SubscriberStatus& subscriber) {
  return {{"vm", subscriber.vm.value()},
          {"data_centre", subscriber.data_centre.value()},
          {"index", subscriber.index.value()},
          {"heard_ms_ago", ToMilliseconds(subscriber.time_since_report)},
          {"behind_ms", ToMilliseconds(subscriber.time_behind)}};
}

}  // namespace

std::string ToUtcText(WallTime time) {
  const auto seconds =
      std::chrono::duration_cast<std::chrono::seconds>(time.time_since_epoch());
  return fmt::format("{:%Y-%m-%dT%H:%M:%SZ}",
                     fmt::gmtime(static_cast<std::time_t>(seconds.count())));
}

json::object ToJson(const Member& member) {
  return {{"disk", member.disk.value()},
          {"vm", member.vm.value()},
          {"address", ToString(member.address)},
          {"role", ToJsonString(ToString(member.role))}};
}

json::object ToJson(const ControlStatus& status) {
  json::array members;
  for (const Member& member : status.membership.members) {
    members.push_back(ToJson(member));
  }
  json::array subscribers;
  for (const SubscriberStatus& subscriber : status.subscribers) {
    subscribers.push_back(ToJson(subscriber));
  }
  json::array evacuated;
  for (const DataCentreId& data_centre : status.evacuated) {
    evacuated.emplace_back(data_centre.value());
  }
  return {
      {"self", ToJson(status.self)},
      {"data_centre", status.data_centre.value()},
      {"leads", status.is_leader},
      {"has_quorum", status.has_quorum},
      {"storage_failed", status.storage_failed},
      {"may_vote", !status.is_probationary},
      {"leader", status.leader ? status.leader->value() : ""},
      {"term", status.term.value()},
      {"commit_index", status.commit_index.value()},
      {"applied_index", status.applied_index.value()},
      {"last_index", status.last_index.value()},
      {"snapshot_index", status.snapshot_index.value()},
      {"lists_index", status.lists_index.value()},
      {"plans_version", status.plans_version.value()},
      {"usage_version", status.usage_version.value()},
      {"ledger_entries", status.ledger_entries},
      {"evacuated", std::move(evacuated)},
      {"members", std::move(members)},
      {"entry_vms", std::move(subscribers)},
  };
}

json::array ToJson(const std::vector<QuotaCustomerStatus>& limited) {
  json::array customers;
  for (const QuotaCustomerStatus& customer : limited) {
    customers.push_back({{"customer", customer.customer.value()},
                         {"rate", customer.limit.rate.value()},
                         {"burst", customer.limit.burst},
                         {"ratio", customer.ratio.value()},
                         {"level", customer.level},
                         {"offered", customer.offered.value()},
                         {"reserved", customer.reserved.value()}});
  }
  return customers;
}

json::object ToJson(const ChangeRecord& record) {
  json::object object = ToJson(record.outcome);
  object["index"] = record.index.value();
  object["time"] = ToUtcText(record.answered_at);
  object["list"] = ToJsonString(ToString(record.list));
  object["change"] = record.change.value();
  object["rows"] = record.rows;
  return object;
}

json::object ToJson(const PlanRow& row) {
  return {{"customer", row.customer.value()}, {"plan", row.plan.value()}};
}

json::object ToJson(const UsageRow& row) {
  json::array services;
  for (const ServiceId& service : row.services) {
    services.emplace_back(service.value());
  }
  return {{"plan", row.plan.value()},
          {"services", std::move(services)},
          {"rate", row.rate},
          {"burst", row.burst},
          {"concurrency", row.concurrency},
          {"weight", row.weight}};
}

json::object ToJson(const PutRowsOutcome& outcome) {
  json::object object{{"accepted", outcome.accepted},
                      {"version", outcome.version.value()}};
  if (!outcome.accepted) {
    object["verdict"] = ToJsonString(ToString(outcome.execution));
    object["reason"] = ToJsonString(ToString(outcome.reason));
    json::array errors;
    for (const std::string& error : outcome.errors) {
      errors.emplace_back(error);
    }
    object["errors"] = std::move(errors);
  }
  return object;
}

}  // namespace marigold
