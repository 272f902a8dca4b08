#include "platform/list_codec.h"

#include <criterion/criterion.h>

#include <string>
#include <variant>

#include "tests/row_indices.h"

namespace marigold::platform {

namespace {

struct EntryRow {
  const char* entry;
  bool is_read;
};

const EntryRow kEntries[] = {
    {R"({"Id":"a","Backend":"s","Address":"10.0.0.1:80","Zone":"z",
        "Version":"v1","Capacity":2,"State":"ready","ColdRemainingMs":0})",
     true},
    {R"({"Id":"a","Backend":"s","Address":"10.0.0.1:80","Zone":"z",
        "Version":"v1","Capacity":2,"State":"draining","born":1700000000000})",
     true},
    {R"({"Id":"a","Backend":"s","Address":"10.0.0.1:80","Zone":"z",
        "Version":"v1","Capacity":2,"State":"odd"})",
     false},
    {R"({"Id":7,"Backend":"s","Address":"10.0.0.1:80","Zone":"z",
        "Version":"v1","Capacity":2,"State":"ready"})",
     false},
    {R"({"Id":"a","Backend":"s","Address":"ten","Zone":"z",
        "Version":"v1","Capacity":2,"State":"ready"})",
     false},
    {R"({"Id":"a","Backend":"s","Address":"10.0.0.1:80","Zone":"z",
        "Version":"v1","Capacity":"2","State":"ready"})",
     false},
    {R"({})", false},
    {R"("text")", false},
    {R"(null)", false},
};

}  // namespace

ParameterizedTestParameters(ListCodec, UnreadableEntryIsSkipped) {
  return RowIndices(kEntries);
}

// If an invalid entry made the whole page unreadable, entry VMs would lose all
// backend servers because of one wrong entry.
ParameterizedTest(std::size_t* index, ListCodec, UnreadableEntryIsSkipped) {
  const EntryRow& row = kEntries[*index];
  const std::string body = std::string(R"({"Instances":[)") + row.entry + "," +
                           kEntries[0].entry + R"(],"NextPageToken":"p-2"})";
  const auto decoded =
      Capture<ListingPage>([&] { return ListCodec::Decode(body); });
  const auto* page = std::get_if<ListingPage>(&decoded);
  cr_assert(page != nullptr, "row %zu: expected a page", *index);
  const std::size_t expected = row.is_read ? 2 : 1;
  cr_assert_eq(page->servers.size(), expected, "row %zu: actual %zu", *index,
               page->servers.size());
  cr_assert_eq(page->servers.size() + page->unreadable_entries, 2U);
  cr_assert_eq(page->next_token, std::string("p-2"));
}

}  // namespace marigold::platform
