#include "src/wire/list_json.h"

#include <fmt/format.h>

#include <algorithm>
#include <boost/json.hpp>
#include <map>
#include <set>
#include <utility>

#include "src/wire/control_json.h"
#include "src/wire/json.h"
#include "src/wire/json_line_numbers.h"

namespace marigold {

namespace json = boost::json;

namespace {

using LinesByPath = std::map<std::string, std::size_t>;

// Returns the line of the value at `path`. If there is no such value, returns
// the line of the innermost object or array that should contain it.
std::size_t LineOfPath(const LinesByPath& lines, std::string path) {
  while (true) {
    const auto line = lines.find(path);
    if (line != lines.end()) {
      return line->second;
    }
    const std::size_t end = path.find_last_of(".[");
    if (end == std::string::npos) {
      return 1;
    }
    path.resize(end);
  }
}

// These limits only bound what can be represented. The state machine checks the
// values and reports a value that is too high together with all other errors.
constexpr double kMaxRate = 1e12;
constexpr std::uint64_t kMaxCount = 4'000'000'000;

std::string RowPath(std::size_t index) {
  return fmt::format("rows[{}].", index);
}

// Reads the rows of a file and records each error with its line.
class ListFileReader {
 public:
  ListFileReader(ListKind list, std::string_view json)
      : text(json), lines(JsonLineNumbers(json)) {
    this->file.edit.list = list;
  }

  ListFile Read() {
    auto parsed =
        Capture<json::value>([this] { return ParseJsonObject(this->text); });
    if (const auto* error = std::get_if<AnyError>(&parsed)) {
      const auto& parse = std::get<ParseError>(*error);
      this->file.errors.push_back(
          {LineAtOffset(this->text, parse.offset.value_or(0)), "",
           parse.expected});
      return std::move(this->file);
    }
    this->ReadDocument(std::get<json::value>(parsed).get_object());
    return std::move(this->file);
  }

 private:
  void ReadDocument(const json::object& object) {
    JsonReader reader(object, "");
    // The output of `get --json` contains the version and is accepted as input.
    reader.Ignore("version");
    const auto rows = reader.Objects("rows");
    this->file.edit.removed =
        reader.TextsOrEmpty("removed", 1, kMaxCommandIdBytes);
    this->CollectErrors(reader);
    for (std::size_t i = 0; i < rows.size(); ++i) {
      if (this->file.edit.list == ListKind::kPlans) {
        this->ReadPlanRow(*rows[i], i);
      } else {
        this->ReadUsageRow(*rows[i], i);
      }
    }
  }

  void ReadPlanRow(const json::object& object, std::size_t index) {
    JsonReader reader(object, RowPath(index));
    PlanRow row;
    row.customer = CustomerId(reader.Text("customer", 1, kMaxCommandIdBytes));
    row.plan = PlanId(reader.Text("plan", 1, kMaxCommandIdBytes));
    this->CollectErrors(reader);
    this->file.edit.plans.push_back(std::move(row));
  }

  void ReadUsageRow(const json::object& object, std::size_t index) {
    JsonReader reader(object, RowPath(index));
    UsageRow row;
    row.plan = PlanId(reader.Text("plan", 1, kMaxCommandIdBytes));
    for (std::string& service :
         reader.Texts("services", 1, kMaxCommandIdBytes)) {
      row.services.emplace_back(std::move(service));
    }
    row.rate = reader.Decimal("rate", 0, kMaxRate);
    row.burst = ToCount(reader.Number("burst", 0, kMaxCount));
    row.concurrency = ToCount(reader.Number("concurrency", 0, kMaxCount));
    row.weight = ToCount(reader.NumberOr("weight", 0, kMaxCount, 1));
    this->CollectErrors(reader);
    this->file.edit.usage.push_back(std::move(row));
  }

  static std::uint32_t ToCount(std::uint64_t number) {
    return static_cast<std::uint32_t>(number);
  }

  void CollectErrors(JsonReader& reader) {
    if (reader.Finish()) {
      return;
    }
    for (const ParseError& error : reader.errors()) {
      this->file.errors.push_back(
          {LineOfPath(this->lines, error.field), error.field, error.expected});
    }
  }

  std::string_view text;
  LinesByPath lines;
  ListFile file;
};

template <class Rows>
json::array ToArray(const Rows& rows) {
  json::array array;
  for (const auto& [key, row] : rows) {
    array.push_back(ToJson(row));
  }
  return array;
}

}  // namespace

ListFile ReadListFile(ListKind list, std::string_view text) {
  ListFile file = ListFileReader(list, text).Read();
  // Values that could not be read were replaced by defaults. `CheckValues` must
  // not report errors about these defaults.
  std::set<std::string> unreadable_fields;
  for (const ListFileError& error : file.errors) {
    unreadable_fields.insert(error.field);
  }
  // The check requires a change id, but does not depend on its value.
  PutRows checked_edit = file.edit;
  checked_edit.change = ChangeId("check");
  for (const RowError& error : CheckValues(checked_edit)) {
    ListFileError located = LocateRowError(error, text);
    const bool is_reliable = unreadable_fields.empty() ||
                             (error.group != RowGroup::kEdit &&
                              !unreadable_fields.contains(located.field));
    if (is_reliable) {
      file.errors.push_back(std::move(located));
    }
  }
  std::stable_sort(file.errors.begin(), file.errors.end(),
                   [](const ListFileError& a, const ListFileError& b) {
                     return a.line < b.line;
                   });
  return file;
}

ListFileError LocateRowError(const RowError& error, std::string_view text) {
  std::string path;
  switch (error.group) {
    case RowGroup::kEdit:
      path = error.field;
      break;
    case RowGroup::kPlans:
    case RowGroup::kUsage:
      path = RowPath(error.row) + error.field;
      break;
    case RowGroup::kRemoved:
      path = fmt::format("removed[{}]", error.row);
      break;
  }
  return {LineOfPath(JsonLineNumbers(text), path), path, error.expected};
}

std::string EncodeList(ListKind list, const Lists& lists) {
  const bool is_plans = list == ListKind::kPlans;
  const ListVersion version =
      is_plans ? lists.plans_version : lists.usage_version;
  return json::serialize(json::object{
      {"version", version.value()},
      {"rows", is_plans ? ToArray(lists.plans) : ToArray(lists.usage)}});
}

std::string EncodePutOutcome(const ChangeId& change,
                             const PutRowsOutcome& outcome) {
  json::object object = ToJson(outcome);
  object["change_id"] = change.value();
  return json::serialize(object);
}

}  // namespace marigold
