#include <criterion/criterion.h>
#include <criterion/parameterized.h>

#include <optional>
#include <string>
#include <variant>

#include "src/wire/platform_list_json.h"
#include "tests/row_indices.h"

namespace marigold {

namespace {

const std::string kSoundRecord =
    R"({"server":"a","address":"10.0.0.1","port":80,"service":"s",)"
    R"("data_centre":"dc1","state":"live"})";

struct ListRow {
  const char* scenario;
  std::string body;
  // The number of records that are read, or nothing if the list is refused.
  std::optional<std::size_t> expected;
  std::size_t expected_unreadable = 0;
};

std::string ListOf(const std::string& records) {
  return R"({"version":7,"vms":[)" + records + "]}";
}

const ListRow kLists[] = {
    {"two records", ListOf(kSoundRecord + "," + kSoundRecord), 2},
    {"no records", ListOf(""), 0},
    {"a record that is not UTF-8",
     ListOf(kSoundRecord + ",{\"server\":\"\xff\"}"), 1, 1},
    {"a record with deep nesting",
     ListOf(std::string(1000, '[') + std::string(1000, ']') + "," +
            kSoundRecord),
     1, 1},
    {"a port out of range",
     ListOf(R"({"server":"b","address":"10.0.0.1","port":65536,"service":"s",)"
            R"("data_centre":"dc1","state":"live"},)" +
            kSoundRecord),
     1, 1},
    {"an unknown field in a record",
     ListOf(R"({"server":"b","address":"10.0.0.1","port":80,"service":"s",)"
            R"("data_centre":"dc1","state":"live","odd":1},)" +
            kSoundRecord),
     1, 1},
    {"a list that breaks off", R"({"version":7,"vms":[)" + kSoundRecord,
     std::nullopt},
    {"no version", R"({"vms":[]})", std::nullopt},
    {"a version that is no number", R"({"version":"7","vms":[]})",
     std::nullopt},
    {"no records field", R"({"version":7})", std::nullopt},
    {"an unknown field", R"({"version":7,"vms":[],"odd":1})", std::nullopt},
};

}  // namespace

ParameterizedTestParameters(PlatformList, UnreadableRecordIsSkipped) {
  return RowIndices(kLists);
}

// Guards against one invalid record that makes the whole list unreadable, so
// that no change of the list is followed any more.
ParameterizedTest(std::size_t* index, PlatformList, UnreadableRecordIsSkipped) {
  const ListRow& row = kLists[*index];
  const auto decoded =
      Capture<PlatformVmList>([&] { return DecodePlatformList(row.body); });
  const auto* list = std::get_if<PlatformVmList>(&decoded);
  cr_assert_eq(list != nullptr, row.expected.has_value(), "%s", row.scenario);
  if (list == nullptr) {
    return;
  }
  cr_assert_eq(list->version, 7U, "%s", row.scenario);
  cr_assert_eq(list->servers.size(), *row.expected,
               "%s: expected %zu, actual %zu", row.scenario, *row.expected,
               list->servers.size());
  cr_assert_eq(list->unreadable_records, row.expected_unreadable,
               "%s: expected %zu, actual %zu", row.scenario,
               row.expected_unreadable, list->unreadable_records);
}

}  // namespace marigold
