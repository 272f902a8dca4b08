#include "src/ctl/list_queries.h"

#include <fmt/format.h>

#include <boost/json.hpp>
#include <cerrno>
#include <cstring>
#include <fstream>
#include <iterator>
#include <utility>
#include <vector>

#include "src/ctl/text_table.h"
#include "src/wire/control_json.h"
#include "src/wire/list_json.h"

namespace marigold::ctl {

namespace {

namespace json = boost::json;

std::optional<Refusal> RefusalOf(const ListsReply& reply) {
  if (reply.is_confirmed) {
    return std::nullopt;
  }
  return Refusal{Execution::kDidNotRun,
                 Reason::kNoQuorum,
                 "the control VM is not a leader in contact with a quorum",
                 {}};
}

std::optional<std::string> ReadText(const std::string& file) {
  std::ifstream stream(file, std::ios::binary);
  if (!stream) {
    fmt::print(stderr, "marigoldctl: can't read {}: {}\n", file,
               std::strerror(errno));
    return std::nullopt;
  }
  return std::string(std::istreambuf_iterator<char>(stream), {});
}

void PrintErrors(const std::string& file,
                 const std::vector<ListFileError>& errors) {
  for (const ListFileError& error : errors) {
    fmt::print(stderr, "{}:{}: {}{}expected {}\n", file, error.line,
               error.field, error.field.empty() ? "" : ": ", error.expected);
  }
}

std::vector<std::string> CellsOf(const PlanRow& row) {
  return {row.customer.value(), row.plan.value()};
}

std::vector<std::string> CellsOf(const UsageRow& row) {
  std::string services;
  for (const ServiceId& service : row.services) {
    services += (services.empty() ? "" : ",") + service.value();
  }
  return {row.plan.value(),
          services,
          fmt::format("{}", row.rate),
          std::to_string(row.burst),
          std::to_string(row.concurrency),
          std::to_string(row.weight)};
}

TextTable TableOf(ListKind list, std::vector<std::string> first_columns) {
  const std::vector<std::string> columns =
      list == ListKind::kPlans
          ? std::vector<std::string>{"customer", "plan"}
          : std::vector<std::string>{"plan",  "services",    "rate/s",
                                     "burst", "concurrency", "weight"};
  first_columns.insert(first_columns.end(), columns.begin(), columns.end());
  return TextTable(std::move(first_columns));
}

// Collects the rows that an edit would add, change or remove.
class ListDifference {
 public:
  ListDifference(ListKind list, bool as_json)
      : is_json(as_json), table(TableOf(list, {"change"})) {}

  template <class Rows, class Row, class Key>
  void AddPut(const Rows& current_rows, const Key& key, const Row& row) {
    const auto current = current_rows.find(key);
    if (current == current_rows.end()) {
      this->Add("add", row);
    } else if (!(current->second == row)) {
      this->Add("from", current->second);
      this->Add("to", row);
    }
  }

  template <class Rows, class Key>
  void AddRemoved(const Rows& current_rows, const Key& key) {
    const auto current = current_rows.find(key);
    if (current != current_rows.end()) {
      this->Add("remove", current->second);
    }
  }

  void Print() const {
    if (this->is_json) {
      fmt::print("{}\n", json::serialize(this->changes));
    } else if (this->changes.empty()) {
      fmt::print("no change\n");
    } else {
      this->table.Print();
    }
  }

 private:
  template <class Row>
  void Add(const char* change, const Row& row) {
    std::vector<std::string> cells = CellsOf(row);
    cells.insert(cells.begin(), change);
    this->table.Add(std::move(cells));
    json::object object = ToJson(row);
    object["change"] = change;
    this->changes.push_back(std::move(object));
  }

  bool is_json;
  TextTable table;
  json::array changes;
};

}  // namespace

RequestResult<ListsReply> FetchLists(ControlGroup& group) {
  return group.CallUntilAccepted<ListsReply>(ReadLists{CallId(1), LogIndex()},
                                             RefusalOf);
}

Lists ListsOf(const ListsReply& reply) {
  return reply.full_lists.value_or(Lists());
}

std::optional<PutRows> ReadValidList(ListKind list, const std::string& file) {
  const auto text = ReadText(file);
  if (!text) {
    return std::nullopt;
  }
  ListFile list_file = ReadListFile(list, *text);
  PrintErrors(file, list_file.errors);
  if (!list_file.errors.empty()) {
    return std::nullopt;
  }
  return std::move(list_file.edit);
}

ExitCode GetList(ControlGroup& group, ListKind list, bool as_json) {
  const auto lists_result = FetchLists(group);
  if (!lists_result.reply) {
    return ReportFailure(lists_result);
  }
  const Lists lists = ListsOf(*lists_result.reply);
  if (as_json) {
    fmt::print("{}\n", EncodeList(list, lists));
    return ExitCode::kDone;
  }
  fmt::print("{} version {}\n", ToString(list), VersionOf(lists, list).value());
  TextTable table = TableOf(list, {});
  if (list == ListKind::kPlans) {
    for (const auto& [customer, row] : lists.plans) {
      table.Add(CellsOf(row));
    }
  } else {
    for (const auto& [plan, row] : lists.usage) {
      table.Add(CellsOf(row));
    }
  }
  table.Print();
  return ExitCode::kDone;
}

ExitCode CheckList(ListKind list,
                   const std::string& file,
                   const std::optional<std::string>& usage_file) {
  const auto edit = ReadValidList(list, file);
  std::vector<ListFileError> errors;
  if (usage_file) {
    const auto usage_edit = ReadValidList(ListKind::kUsage, *usage_file);
    const auto text = ReadText(file);
    if (!usage_edit || !text) {
      return ExitCode::kRefused;
    }
    Lists lists;
    ApplyEdit(lists, *usage_edit);
    for (const RowError& error :
         CheckReferences(lists, edit.value_or(PutRows()))) {
      errors.push_back(LocateRowError(error, *text));
    }
  }
  PrintErrors(file, errors);
  if (!edit || !errors.empty()) {
    return ExitCode::kRefused;
  }
  fmt::print("{}: valid\n", file);
  return ExitCode::kDone;
}

ExitCode DiffList(ControlGroup& group,
                  ListKind list,
                  const std::string& file,
                  bool as_json) {
  const auto edit = ReadValidList(list, file);
  if (!edit) {
    return ExitCode::kRefused;
  }
  const auto lists_result = FetchLists(group);
  if (!lists_result.reply) {
    return ReportFailure(lists_result);
  }
  const Lists lists = ListsOf(*lists_result.reply);
  ListDifference difference(list, as_json);
  for (const PlanRow& row : edit->plans) {
    difference.AddPut(lists.plans, row.customer, row);
  }
  for (const UsageRow& row : edit->usage) {
    difference.AddPut(lists.usage, row.plan, row);
  }
  for (const std::string& key : edit->removed) {
    if (list == ListKind::kPlans) {
      difference.AddRemoved(lists.plans, CustomerId(key));
    } else {
      difference.AddRemoved(lists.usage, PlanId(key));
    }
  }
  difference.Print();
  return ExitCode::kDone;
}

}  // namespace marigold::ctl
