#include <criterion/criterion.h>
#include <criterion/parameterized.h>

#include <cstddef>
#include <string>
#include <variant>

#include "src/core/random.h"
#include "src/wire/fan_out_messages.h"
#include "tests/row_indices.h"

namespace marigold {

namespace {

GroupQuery SampleQuery() {
  GroupQuery query;
  query.query = GroupQueryId(7);
  query.request = RequestId("r-1");
  query.route = RouteName("search");
  query.request_prefix = "GET /a HTTP/1.1\r\n";
  query.request_suffix = "\r\n";
  query.shards = {{ServiceId("a"), BackendServerId("a-1")},
                  {ServiceId("b"), std::nullopt}};
  query.max_attempts = 2;
  query.time_left = std::chrono::milliseconds(700);
  query.answer_in = std::chrono::milliseconds(100);
  query.max_records = 20;
  return query;
}

GroupQueryReport SampleReport() {
  GroupQueryReport report;
  report.query = GroupQueryId(7);
  report.report.blocks = {{{{0, "stamp"}}, std::string(16, 'r')}};
  report.report.failed = {{1, 1, true}};
  report.report.late = {{2, BackendServerId("c-1")}};
  report.report.sends = 3;
  report.report.calls_in_progress = 2;
  report.report.is_final = true;
  return report;
}

const FanOutMessage kMessages[] = {
    SampleQuery(),
    SampleReport(),
    GroupQueryCancel{GroupQueryId(7), true},
};

bool IsDecoded(const std::string& body) {
  return std::holds_alternative<FanOutMessage>(
      Capture<FanOutMessage>([&] { return DecodeFanOutMessage(body); }));
}

}  // namespace

ParameterizedTestParameters(FanOutMessages, ArriveUnchanged) {
  return RowIndices(kMessages);
}

// Guards against fields that are lost or mixed up between two entry VMs, and
// against a truncated or longer message that is accepted.
ParameterizedTest(std::size_t* index, FanOutMessages, ArriveUnchanged) {
  const FanOutMessage& message = kMessages[*index];
  const std::string body = EncodeFanOutMessage(message);
  const auto decoded =
      Capture<FanOutMessage>([&] { return DecodeFanOutMessage(body); });
  cr_assert(std::holds_alternative<FanOutMessage>(decoded), "row %zu", *index);
  cr_assert(std::get<FanOutMessage>(decoded) == message, "row %zu differs",
            *index);
  for (std::size_t size = 0; size < body.size(); ++size) {
    cr_assert(!IsDecoded(body.substr(0, size)), "row %zu: %zu bytes accepted",
              *index, size);
  }
  cr_assert(!IsDecoded(body + "x"), "row %zu: a byte too many accepted",
            *index);
}

// Guards against a message of another release that is misread.
Test(FanOutMessages, OtherVersionIsRefused) {
  std::string body = EncodeFanOutMessage(kMessages[0]);
  body[0] = static_cast<char>(body[0] + 1);
  const auto decoded =
      Capture<FanOutMessage>([&] { return DecodeFanOutMessage(body); });
  cr_assert(std::holds_alternative<AnyError>(decoded));
  const std::string text = ToString(std::get<AnyError>(decoded));
  cr_assert(text.find("version") != std::string::npos, "actual %s",
            text.c_str());
}

// Guards against a message whose decoding takes unbounded memory.
Test(FanOutMessages, TooLongMessageIsRefused) {
  GroupQuery query = SampleQuery();
  query.request_suffix = std::string(kMaxFanOutMessageBytes, 'x');
  cr_assert(!IsDecoded(EncodeFanOutMessage(query)));
}

// Guards against a crash or an endless loop on damaged bytes.
Test(FanOutMessages, DamagedBytesNeverCrash) {
  SeededRandom random(1);
  for (int round = 0; round < 20'000; ++round) {
    std::string body =
        EncodeFanOutMessage(kMessages[random.NextBelow(std::size(kMessages))]);
    const std::uint64_t changes = 1 + random.NextBelow(4);
    for (std::uint64_t i = 0; i < changes; ++i) {
      body[random.NextBelow(body.size())] =
          static_cast<char>(random.NextBelow(256));
    }
    IsDecoded(body);
  }
}

namespace {

struct ReportRow {
  GroupReport report;
  bool expected;
};

const ReportRow kReportRows[] = {
    {{{{{{0, "s"}, {1, "t"}}, ""}}, {}, {}, 0, 0, false}, true},
    {{{{{{2, "s"}}, ""}}, {}, {}, 0, 0, false}, false},
    {{{}, {{2, 0, false}}, {}, 0, 0, false}, false},
    {{{}, {}, {{2, BackendServerId("x")}}, 0, 0, false}, false},
    {{{}, {}, {}, 0, 0, false, {2, 2}}, true},
    {{{}, {}, {}, 0, 0, false, {3, 0}}, false},
    {{{}, {}, {}, 0, 0, false, {0, 3}}, false},
};

}  // namespace

ParameterizedTestParameters(GroupReport, PositionsAreChecked) {
  return RowIndices(kReportRows);
}

// Guards against a report that names a shard which the query does not have, or
// counts more shards than it has.
ParameterizedTest(std::size_t* index, GroupReport, PositionsAreChecked) {
  const ReportRow& row = kReportRows[*index];
  cr_assert_eq(IsValidReport(row.report, 2), row.expected, "row %zu", *index);
}

}  // namespace marigold
