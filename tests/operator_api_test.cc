#include "platform/operator_api.h"

#include <criterion/criterion.h>
#include <criterion/parameterized.h>

#include <optional>
#include <string>
#include <variant>

#include "tests/row_indices.h"

namespace marigold::platform {

namespace {

const std::string kLongestName(128, 'n');

struct PathRow {
  std::string path;
  // "start NAME", "finish NAME", "none" or "refused".
  std::string expected;
};

// Guards against an order for another data centre than the one that the
// operator named, and against other calls that are taken for orders.
const PathRow kPathRows[] = {
    {"/v1/Evacuate.Start/dc1", "start dc1"},
    {"/v1/Evacuate.Finish/dc1", "finish dc1"},
    {"/v1/Evacuate.Start/sk-central:1.b_2", "start sk-central:1.b_2"},
    {"/v1/Evacuate.Start/" + kLongestName, "start " + kLongestName},
    {"/v1/Evacuate.Start/" + kLongestName + "n", "refused"},
    {"/v1/Evacuate.Start/", "refused"},
    {"/v1/Evacuate.Finish", "refused"},
    {"/v1/Evacuate.Start/dc1/", "refused"},
    {"/v1/Evacuate.Start//dc1", "refused"},
    {"/v1/Evacuate.Start/dc%31", "refused"},
    {"/v1/Evacuate.Start/dc 1", "refused"},
    {"/v1/Evacuate.Start/dc\n", "refused"},
    {"/v1/Evacuate.Start/dc\xc3\xa9", "refused"},
    {"/v1/Evacuate.Starting/dc1", "none"},
    {"/v1/Evacuate/dc1", "none"},
    {"/v1/evacuate.start/dc1", "none"},
    {"/v2/Evacuate.Start/dc1", "none"},
    {"/", "none"},
};

std::string Decode(const std::string& path) {
  const auto decoded = Capture<std::optional<SetEvacuation>>(
      [&] { return DecodeEvacuation(path); });
  if (std::holds_alternative<AnyError>(decoded)) {
    return "refused";
  }
  const auto& order = std::get<std::optional<SetEvacuation>>(decoded);
  if (!order) {
    return "none";
  }
  return (order->is_evacuated ? "start " : "finish ") +
         order->data_centre.value();
}

}  // namespace

ParameterizedTestParameters(OperatorApi, DecodesEvacuation) {
  return RowIndices(kPathRows);
}

ParameterizedTest(std::size_t* index, OperatorApi, DecodesEvacuation) {
  const PathRow& row = kPathRows[*index];
  const std::string actual = Decode(row.path);
  cr_assert_eq(actual, row.expected, "%s: expected %s, actual %s",
               row.path.c_str(), row.expected.c_str(), actual.c_str());
}

}  // namespace marigold::platform
