#include "platform/list_codec.h"

#include <criterion/criterion.h>
#include <criterion/parameterized.h>

#include <optional>
#include <string>
#include <variant>

#include "tests/row_indices.h"

namespace marigold::platform {

namespace {

const std::string kSoundEntry =
    R"({"Id":"a","Backend":"s","Address":"10.0.0.1:80","Zone":"z",)"
    R"("Version":"v1","Capacity":2,"State":"ready","ColdRemainingMs":0})";

// Returns the sound entry with one field replaced or added.
std::string EntryWith(const std::string& field, const std::string& value) {
  const std::string name = "\"" + field + "\":";
  const std::size_t begin = kSoundEntry.find(name);
  if (begin == std::string::npos) {
    return kSoundEntry.substr(0, kSoundEntry.size() - 1) + "," + name + value +
           "}";
  }
  const std::size_t end = kSoundEntry.find_first_of(",}", begin);
  return kSoundEntry.substr(0, begin) + name + value + kSoundEntry.substr(end);
}

std::string Nested(std::size_t depth) {
  return std::string(depth, '[') + std::string(depth, ']');
}

struct EntryRow {
  const char* scenario;
  std::string entry;
  bool is_read;
};

const EntryRow kEntries[] = {
    {"a sound entry", kSoundEntry, true},
    {"a draining server", EntryWith("State", R"("draining")"), true},
    {"a start time", EntryWith("born", "1700000000000"), true},
    {"an unknown field", EntryWith("Weight", "7"), true},
    {"brackets and quotes in a text", EntryWith("Version", R"("]}\"[{")"),
     true},
    {"an unknown state", EntryWith("State", R"("odd")"), false},
    {"a number as id", EntryWith("Id", "7"), false},
    {"no address", EntryWith("Address", R"("ten")"), false},
    {"a text as capacity", EntryWith("Capacity", R"("2")"), false},
    {"no fields", "{}", false},
    {"a text", R"("text")", false},
    {"null", "null", false},
    {"bytes that are not UTF-8", EntryWith("Zone", "\"z\xff\""), false},
    {"half of a surrogate pair", EntryWith("Zone", R"("\ud800")"), false},
    {"a control character", EntryWith("Zone", "\"z\x01\""), false},
    {"a line break in the id", EntryWith("Id", R"("a\r\nHost: b")"), false},
    {"a word that is no value", EntryWith("Capacity", "nul"), false},
    {"9 levels of nesting", EntryWith("Weight", Nested(9)), false},
    {"100,000 levels of nesting", EntryWith("Weight", Nested(100'000)), false},
    {"an exponent that is too large", EntryWith("Capacity", "1e999"), false},
    {"a number of 400 digits", EntryWith("Capacity", std::string(400, '9')),
     false},
    {"a start time above the limit",
     EntryWith("born", "99999999999999999999999"), false},
    {"a negative capacity", EntryWith("Capacity", "-1"), false},
    {"port 0", EntryWith("Address", R"("10.0.0.1:0")"), false},
    {"port 65536", EntryWith("Address", R"("10.0.0.1:65536")"), false},
    {"a port of 30 digits",
     EntryWith("Address", "\"10.0.0.1:" + std::string(30, '9') + "\""), false},
    {"a negative port", EntryWith("Address", R"("10.0.0.1:-80")"), false},
};

}  // namespace

ParameterizedTestParameters(ListCodec, UnreadableEntryIsSkipped) {
  return RowIndices(kEntries);
}

// Guards against an entry of another writer that makes the whole page
// unreadable, so that no change of the list is followed any more, or that ends
// the process.
ParameterizedTest(std::size_t* index, ListCodec, UnreadableEntryIsSkipped) {
  const EntryRow& row = kEntries[*index];
  const std::string body = R"({"Instances":[)" + kSoundEntry + "," + row.entry +
                           " , " + kSoundEntry + R"(],"NextPageToken":"p-2"})";
  const auto decoded =
      Capture<ListingPage>([&] { return ListCodec::Decode(body); });
  const auto* page = std::get_if<ListingPage>(&decoded);
  cr_assert(page != nullptr, "%s: expected a page", row.scenario);
  const std::size_t expected = row.is_read ? 3 : 2;
  cr_assert_eq(page->servers.size(), expected, "%s: expected %zu, actual %zu",
               row.scenario, expected, page->servers.size());
  cr_assert_eq(page->servers.size() + page->unreadable_entries, 3U,
               "%s: expected 3 entries", row.scenario);
  cr_assert_eq(page->next_token, std::string("p-2"), "%s", row.scenario);
}

namespace {

struct PageRow {
  const char* scenario;
  std::string body;
  // The number of servers, or nothing if the page is refused.
  std::optional<std::size_t> expected;
};

const PageRow kPages[] = {
    {"no entries", R"({"Instances":[],"NextPageToken":null})", 0},
    {"white space", " { \"Instances\" : [ " + kSoundEntry + " ] } \n", 1},
    {"no entries field", R"({"NextPageToken":null})", std::nullopt},
    {"entries that are no array", R"({"Instances":{}})", std::nullopt},
    {"an empty body", "", std::nullopt},
    {"an array", "[]", std::nullopt},
    {"a page that breaks off",
     R"({"Instances":[)" + kSoundEntry + "," + kSoundEntry.substr(0, 40),
     std::nullopt},
    {"a page that breaks off after an entry",
     R"({"Instances":[)" + kSoundEntry + ",", std::nullopt},
    {"a page without its last bracket", R"({"Instances":[)" + kSoundEntry + "]",
     std::nullopt},
    {"bytes after the page", R"({"Instances":[]}{)", std::nullopt},
    {"entries without a comma between them",
     R"({"Instances":[)" + kSoundEntry + kSoundEntry + "]}", std::nullopt},
    {"a token that is no text", R"({"Instances":[],"NextPageToken":7})",
     std::nullopt},
};

}  // namespace

ParameterizedTestParameters(ListCodec, IncompletePageIsRefused) {
  return RowIndices(kPages);
}

// Guards against a page that broke off and is taken for the whole list, so that
// the servers that it lacks seem to be gone.
ParameterizedTest(std::size_t* index, ListCodec, IncompletePageIsRefused) {
  const PageRow& row = kPages[*index];
  const auto decoded =
      Capture<ListingPage>([&] { return ListCodec::Decode(row.body); });
  const auto* page = std::get_if<ListingPage>(&decoded);
  cr_assert_eq(page != nullptr, row.expected.has_value(), "%s", row.scenario);
  if (page != nullptr) {
    cr_assert_eq(page->servers.size(), *row.expected,
                 "%s: expected %zu, actual %zu", row.scenario, *row.expected,
                 page->servers.size());
  }
}

}  // namespace marigold::platform
