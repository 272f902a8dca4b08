#include "src/wire/json_split.h"

#include <criterion/criterion.h>
#include <criterion/parameterized.h>

#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "src/core/random.h"
#include "tests/row_indices.h"

namespace marigold {

namespace {

struct ArrayRow {
  std::string text;
  bool is_valid;
  std::vector<std::string> expected;
};

const ArrayRow kArrays[] = {
    {"[]", true, {}},
    {" [ ] ", true, {}},
    {"[1]", true, {"1"}},
    {"[1, \"a,b\" ,[2,3],{\"c\":[4]},null]",
     true,
     {"1", "\"a,b\"", "[2,3]", "{\"c\":[4]}", "null"}},
    {R"(["\"]","\\"])", true, {R"("\"]")", R"("\\")"}},
    {"[{\xff}, \"\xfe\"]", true, {"{\xff}", "\"\xfe\""}},
    {"[nul,1e999]", true, {"nul", "1e999"}},
    {"", false, {}},
    {"{}", false, {}},
    {"[", false, {}},
    {"[1", false, {}},
    {"[1,", false, {}},
    {"[1,]", false, {}},
    {"[,1]", false, {}},
    {"[1 2]", false, {}},
    {"[1}", false, {}},
    {"[{]", false, {}},
    {"[{[}]]", false, {}},
    {"[\"a]", false, {}},
    {"[\"a\\", false, {}},
    {"[1]]", false, {}},
};

}  // namespace

ParameterizedTestParameters(JsonSplit, ArrayIsSplitAtItsOwnCommas) {
  return RowIndices(kArrays);
}

// Guards against elements that are cut in the wrong place, and against an
// incomplete array that is taken for a whole one.
ParameterizedTest(std::size_t* index, JsonSplit, ArrayIsSplitAtItsOwnCommas) {
  const ArrayRow& row = kArrays[*index];
  const auto split = Capture<std::vector<std::string_view>>(
      [&] { return SplitJsonArray(row.text); });
  const auto* elements = std::get_if<std::vector<std::string_view>>(&split);
  cr_assert_eq(elements != nullptr, row.is_valid, "%s: expected %s",
               row.text.c_str(), row.is_valid ? "elements" : "an error");
  if (elements != nullptr) {
    const std::vector<std::string> actual(elements->begin(), elements->end());
    cr_assert(actual == row.expected, "%s: actual %zu elements",
              row.text.c_str(), actual.size());
  }
}

// Guards against input that ends the process or is read beyond its end.
Test(JsonSplit, AnyBytesAreSplitOrRefused) {
  const std::string_view alphabet = "{}[]\",:\\ a1\xff";
  SeededRandom random(26);
  for (int run = 0; run < 100'000; ++run) {
    std::string text(random.NextBelow(24), ' ');
    for (char& character : text) {
      character = alphabet[random.NextBelow(alphabet.size())];
    }
    const auto split =
        Capture<std::vector<JsonMember>>([&] { return SplitJsonObject(text); });
    const auto* members = std::get_if<std::vector<JsonMember>>(&split);
    if (members == nullptr) {
      continue;
    }
    for (const JsonMember& member : *members) {
      cr_assert(member.value.data() >= text.data() &&
                    member.value.data() + member.value.size() <=
                        text.data() + text.size(),
                "%s: expected a value inside the text", text.c_str());
    }
  }
}

// Guards against nesting that uses up the stack.
Test(JsonSplit, DeepNestingIsSkipped) {
  constexpr std::size_t kDepth = 1'000'000;
  const std::string nested =
      std::string(kDepth, '[') + std::string(kDepth, ']');
  const std::string text = "[" + nested + ",1]";
  const auto split = Capture<std::vector<std::string_view>>(
      [&] { return SplitJsonArray(text); });
  const auto* elements = std::get_if<std::vector<std::string_view>>(&split);
  cr_assert(elements != nullptr, "expected elements");
  cr_assert_eq(elements->size(), 2U, "actual %zu", elements->size());
}

}  // namespace marigold
