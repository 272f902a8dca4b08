#include <criterion/criterion.h>
#include <criterion/parameterized.h>

#include <cstdint>
#include <string>
#include <vector>

#include "src/core/settings.h"
#include "tests/row_indices.h"

namespace marigold {

namespace {

struct ParseRow {
  const char* argument;
  // The expected error; empty if the argument is valid.
  const char* error;
};

// Guards against an invalid value that is accepted, and against an error that
// does not name the setting, the value and the allowed values.
const ParseRow kParseRows[] = {
    {"--workers=8", ""},
    {"--workers=0", "setting --workers: value \"0\": expected threads 1 to 64"},
    {"--workers=65",
     "setting --workers: value \"65\": expected threads 1 to 64"},
    {"--workers=8x",
     "setting --workers: value \"8x\": expected threads 1 to 64"},
    {"--listen=127.0.0.1:80", ""},
    {"--listen=localhost:80",
     "setting --listen: value \"localhost:80\": expected IP:PORT"},
    {"--listen=127.0.0.1:65536",
     "setting --listen: value \"127.0.0.1:65536\": expected IP:PORT"},
    {"--workres=8",
     "flag --workres=8: unknown, or a value where none is taken; see --help"},
};

struct EndpointsRow {
  const char* text;
  // The endpoints, separated by blanks.
  const char* expected;
};

// Guards against addresses that are dropped or made up when a file with several
// of them is half written or has another content.
const EndpointsRow kEndpointsRows[] = {
    {"127.0.0.1:80\n", "127.0.0.1:80"},
    {"127.0.0.1:80,127.0.0.2:81, 127.0.0.3:82\r\n",
     "127.0.0.1:80 127.0.0.2:81 127.0.0.3:82"},
    {"127.0.0.1:80\n\n127.0.0.2:81", "127.0.0.1:80 127.0.0.2:81"},
    {"", ""},
    {" ,\n", ""},
    {"127.0.0.1:80,127.0.0.2:", ""},
    {"Seeds:\n  - \"127.0.0.1:80\"\n", ""},
};

}  // namespace

ParameterizedTestParameters(Settings, EndpointsAreReadFromText) {
  return RowIndices(kEndpointsRows);
}

ParameterizedTest(std::size_t* index, Settings, EndpointsAreReadFromText) {
  const EndpointsRow& row = kEndpointsRows[*index];
  std::string actual;
  for (const Endpoint& endpoint : ParseEndpoints(row.text)) {
    actual += (actual.empty() ? "" : " ") + ToString(endpoint);
  }
  cr_assert_eq(actual, std::string(row.expected),
               "\"%s\": expected \"%s\", actual \"%s\"", row.text, row.expected,
               actual.c_str());
}

ParameterizedTestParameters(Settings, ErrorNamesSettingValueAndRange) {
  return RowIndices(kParseRows);
}

ParameterizedTest(std::size_t* index,
                  Settings,
                  ErrorNamesSettingValueAndRange) {
  const ParseRow& row = kParseRows[*index];
  std::int64_t workers = 4;
  Endpoint listen;
  SettingsTable table("program", "summary");
  table.AddNumber("workers", workers, 1, 64, "threads", "help");
  table.AddEndpoint("listen", listen, "help");
  std::string name = "program";
  std::string argument = row.argument;
  char* argv[] = {name.data(), argument.data(), nullptr};
  const SettingsOutcome outcome = ParseSettings(table, 2, argv);
  const std::string actual = outcome.errors.empty() ? "" : outcome.errors[0];
  cr_assert_eq(actual, std::string(row.error), "expected \"%s\", actual \"%s\"",
               row.error, actual.c_str());
}

}  // namespace marigold
