#include <criterion/criterion.h>
#include <criterion/parameterized.h>

#include <cstdint>
#include <string>

#include "tests/row_indices.h"
#include "tools/relay/relay_buffer.h"
#include "tools/relay/relay_link.h"

namespace marigold {

namespace {

using std::chrono::milliseconds;

MonotonicTime At(std::int64_t ms) {
  return MonotonicTime(milliseconds(ms));
}

// In every row, "a" arrives at 0 ms, "b" at 10 ms and the end at 20 ms.
struct BufferRow {
  const char* name;
  RelayMode mode;
  std::int64_t now_ms;
  // The bytes that are forwarded, with "." for the end of the stream.
  const char* forwarded;
};

const BufferRow kBufferRows[] = {
    {"no fault", {false, milliseconds(0)}, 20, "ab."},
    {"silent", {true, milliseconds(0)}, 1000, ""},
    {"delayed, nothing due", {false, milliseconds(50)}, 49, ""},
    {"delayed, first due", {false, milliseconds(50)}, 50, "a"},
    {"delayed, all due", {false, milliseconds(50)}, 70, "ab."},
};

}  // namespace

// Guards against a relay that forwards bytes while it is silent, before their
// delay has passed or out of order, so that a test would run without the fault
// that it simulates.
ParameterizedTestParameters(RelayBuffer, ForwardsBytesWhenDue) {
  return RowIndices(kBufferRows);
}

ParameterizedTest(std::size_t* index, RelayBuffer, ForwardsBytesWhenDue) {
  const BufferRow& row = kBufferRows[*index];
  RelayBuffer buffer;
  buffer.SetMode(row.mode);
  buffer.Push(At(0), "a");
  buffer.Push(At(10), "b");
  buffer.PushEnd(At(20));
  const RelayBuffer::Output output = buffer.TakeDue(At(row.now_ms));
  std::string actual;
  for (const std::string& chunk : output.chunks) {
    actual += chunk;
  }
  actual += output.ended ? "." : "";
  cr_assert_eq(actual, std::string(row.forwarded),
               "%s: expected \"%s\", actual \"%s\"", row.name, row.forwarded,
               actual.c_str());
}

namespace {

struct LinksRow {
  const char* text;
  std::size_t links;
};

const LinksRow kLinksRows[] = {
    {"a=127.0.0.1:1>127.0.0.2:2", 1},
    {"a=127.0.0.1:1>127.0.0.2:2,b=127.0.0.1:3>127.0.0.2:2", 2},
    {"a=127.0.0.1:1>127.0.0.2:2,a=127.0.0.1:3>127.0.0.2:2", 0},
    {"=127.0.0.1:1>127.0.0.2:2", 0},
    {"a=127.0.0.1:1", 0},
    {"a=localhost:1>127.0.0.2:2", 0},
};

}  // namespace

// Guards against a link that is dropped or parsed incorrectly, so that a test
// would run without the fault that it simulates.
ParameterizedTestParameters(RelayLink, ParsesLinks) {
  return RowIndices(kLinksRows);
}

ParameterizedTest(std::size_t* index, RelayLink, ParsesLinks) {
  const LinksRow& row = kLinksRows[*index];
  const auto links = ParseRelayLinks(row.text);
  const std::size_t actual = links ? links->size() : 0;
  cr_assert_eq(actual, row.links, "%s: expected %zu, actual %zu", row.text,
               row.links, actual);
}

}  // namespace marigold
