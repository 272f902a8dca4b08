#include <criterion/criterion.h>
#include <criterion/parameterized.h>

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

#include "src/wire/caller_json.h"
#include "tests/row_indices.h"
#include "tools/load/action_audit.h"
#include "tools/load/answer_check.h"
#include "tools/load/arrivals.h"
#include "tools/load/load_request.h"
#include "tools/load/metrics.h"
#include "tools/load/observers.h"
#include "tools/standin/match_content.h"

namespace marigold {

namespace {

struct RateRow {
  double rate;
  std::uint64_t seed;
};

const RateRow kRateRows[] = {{10, 1}, {1000, 2}, {25'000, 3}};

constexpr int kArrivals = 20'000;

}  // namespace

// Guards against a load whose mean rate differs from the setting, so that every
// result of a run would be for another load than the one reported.
ParameterizedTestParameters(Arrivals, MeanRateIsTheSetting) {
  return RowIndices(kRateRows);
}

ParameterizedTest(std::size_t* index, Arrivals, MeanRateIsTheSetting) {
  const RateRow& row = kRateRows[*index];
  PoissonArrivals arrivals(RatePerSecond(row.rate), row.seed);
  Duration last{};
  for (int i = 0; i < kArrivals; ++i) {
    last = arrivals.Next();
  }
  const double actual = kArrivals / ToSeconds(last);
  cr_assert(actual > row.rate * 0.97 && actual < row.rate * 1.03,
            "expected %f per s, actual %f", row.rate, actual);
}

namespace {

struct CustomerRow {
  const char* text;
  std::size_t customers;
  double last_weight;
};

const CustomerRow kCustomerRows[] = {
    {"a", 1, 1},   {"a:2,b:0.5", 2, 0.5}, {"", 0, 0},
    {"a:0", 0, 0}, {"a:x", 0, 0},         {":1", 0, 0},
};

}  // namespace

// Guards against a customer that gets a wrong weight or is silently dropped, so
// that the load has another mix of customers than the setting says.
ParameterizedTestParameters(LoadRequest, ParsesCustomers) {
  return RowIndices(kCustomerRows);
}

ParameterizedTest(std::size_t* index, LoadRequest, ParsesCustomers) {
  const CustomerRow& row = kCustomerRows[*index];
  const auto parsed =
      ParseCustomers(row.text).value_or(std::vector<CustomerWeight>());
  const double weight = parsed.empty() ? 0 : parsed.back().weight;
  cr_assert(parsed.size() == row.customers && weight == row.last_weight,
            "\"%s\": expected %zu customers, last %f; actual %zu, %f", row.text,
            row.customers, row.last_weight, parsed.size(), weight);
}

namespace {

LoadRequest MakeRequest() {
  LoadRequest request;
  request.id = RequestId("r1");
  request.service = ServiceId("lookup");
  request.query = "query 1";
  return request;
}

// Returns the correct answer to `MakeRequest` over three shards, the last of
// which is missing.
SearchAnswer MakeCorrectAnswer() {
  SearchAnswer answer;
  answer.snapshot = SnapshotId(4);
  answer.covered = {ShardId(0), ShardId(1)};
  answer.missing = {{ShardId(2), MissingReason::kDeadline}};
  for (const ShardId shard : answer.covered) {
    for (const Match& match : MatchesFor(ServiceId("lookup"), "query 1",
                                         {SnapshotId(4), 3}, shard)) {
      answer.matches.push_back(match);
    }
  }
  SortMatches(answer.matches);
  return answer;
}

std::vector<Match> OtherMatches(const char* query,
                                std::uint64_t snapshot,
                                std::uint64_t shard) {
  return MatchesFor(ServiceId("lookup"), query, {SnapshotId(snapshot), 3},
                    ShardId(shard));
}

struct AnswerRow {
  const char* name;
  void (*change)(SearchAnswer&);
  const char* request_id;
  // Part of the expected content in the violation. Empty if the answer is
  // correct.
  const char* expected;
};

const AnswerRow kAnswerRows[] = {
    {"correct answer", [](SearchAnswer&) {}, "r1", ""},
    {"request id of another request", [](SearchAnswer&) {}, "r2",
     "request id r1"},
    {"shard neither covered nor missing",
     [](SearchAnswer& a) { a.covered.pop_back(); }, "r1",
     "shard 1 exactly once"},
    {"shard both covered and missing",
     [](SearchAnswer& a) { a.missing[0].shard = ShardId(1); }, "r1",
     "shard 2 exactly once"},
    {"last shard left out", [](SearchAnswer& a) { a.missing.clear(); }, "r1",
     "match"},
    {"match left out", [](SearchAnswer& a) { a.matches.pop_back(); }, "r1",
     "matches"},
    {"match repeated",
     [](SearchAnswer& a) { a.matches.push_back(a.matches.back()); }, "r1",
     "matches"},
    {"matches not in order",
     [](SearchAnswer& a) { std::swap(a.matches.front(), a.matches.back()); },
     "r1", "match"},
    {"match of another snapshot",
     [](SearchAnswer& a) { a.matches[0] = OtherMatches("query 1", 3, 0)[0]; },
     "r1", "snapshot 4"},
    {"match of another query",
     [](SearchAnswer& a) { a.matches[0] = OtherMatches("query 2", 4, 0)[0]; },
     "r1", "match"},
    {"match of a missing shard",
     [](SearchAnswer& a) { a.matches[0] = OtherMatches("query 1", 4, 2)[0]; },
     "r1", "match"},
};

}  // namespace

// Guards against a checker that accepts an incorrect answer, one that mixes
// snapshots, or one to another request, so that a run would report no
// violation.
ParameterizedTestParameters(AnswerCheck, FindsWrongAnswers) {
  return RowIndices(kAnswerRows);
}

ParameterizedTest(std::size_t* index, AnswerCheck, FindsWrongAnswers) {
  const AnswerRow& row = kAnswerRows[*index];
  SearchAnswer answer = MakeCorrectAnswer();
  row.change(answer);
  const std::string body =
      EncodeSearchAnswer(RequestId(row.request_id), answer);
  const CheckOutcome outcome = CheckSearchResponse(MakeRequest(), 200, body);
  const auto* violation = std::get_if<Violation>(&outcome);
  const std::string actual = violation == nullptr ? "" : violation->expected;
  const bool is_as_expected =
      std::string(row.expected).empty()
          ? violation == nullptr
          : actual.find(row.expected) != std::string::npos;
  cr_assert(is_as_expected, "%s: expected \"%s\", actual \"%s\"", row.name,
            row.expected, actual.c_str());
}

namespace {

struct RefusalRow {
  int status;
  const char* body;
  const char* verdict;
};

const RefusalRow kRefusalRows[] = {
    {503,
     R"({"request_id":"r1","verdict":"did_not_run","reason":"x","detail":""})",
     "did_not_run"},
    {429,
     R"({"request_id":"r1","verdict":"ran","reason":"x","detail":"",)"
     R"("retry_after_ms":5})",
     "ran"},
    {503,
     R"({"request_id":"r2","verdict":"did_not_run","reason":"x","detail":""})",
     ""},
    {503, R"({"request_id":"r1","verdict":"maybe","reason":"x","detail":""})",
     ""},
    {503, "oops", ""},
    {302, "", ""},
};

}  // namespace

// Guards against a checker that accepts a refusal of another request or one
// without a known verdict.
ParameterizedTestParameters(AnswerCheck, ReadsRefusals) {
  return RowIndices(kRefusalRows);
}

ParameterizedTest(std::size_t* index, AnswerCheck, ReadsRefusals) {
  const RefusalRow& row = kRefusalRows[*index];
  const CheckOutcome outcome =
      CheckSearchResponse(MakeRequest(), row.status, row.body);
  const auto* refusal = std::get_if<CheckedRefusal>(&outcome);
  const std::string actual = refusal == nullptr ? "" : refusal->verdict;
  cr_assert_eq(actual, std::string(row.verdict),
               "row %zu: expected \"%s\", actual \"%s\"", *index, row.verdict,
               actual.c_str());
}

namespace {

struct QuantileRow {
  std::vector<int> samples;
  double quantile;
  int expected;
};

const QuantileRow kQuantileRows[] = {
    {{}, 0.5, 0},           {{7}, 0.99, 7},
    {{1, 2, 3, 4}, 0.5, 2}, {{1, 2, 3, 4}, 0.51, 3},
    {{1, 2, 3, 4}, 1, 4},   {{1, 2, 3, 4}, 0, 1},
};

}  // namespace

// Guards against a percentile that is off by one sample.
ParameterizedTestParameters(Metrics, QuantileIsTheNearestRank) {
  return RowIndices(kQuantileRows);
}

ParameterizedTest(std::size_t* index, Metrics, QuantileIsTheNearestRank) {
  const QuantileRow& row = kQuantileRows[*index];
  std::vector<Duration> samples;
  for (const int sample : row.samples) {
    samples.emplace_back(sample);
  }
  const auto actual = Quantile(samples, row.quantile).count();
  cr_assert_eq(actual, row.expected, "row %zu: expected %d, actual %ld", *index,
               row.expected, static_cast<long>(actual));
}

namespace {

struct BoundRow {
  const char* bound;
  const char* problem;
};

// The run has the metric p99_ms with the value 20 and no other one.
const BoundRow kBoundRows[] = {
    {"p99_ms<=20", ""},
    {"p99_ms>=20", ""},
    {"p99_ms<=19.5", "expected p99_ms <= 19.5, actual 20"},
    {"answers>=1", "expected answers >= 1, actual 0"},
    {"p99_ms<20", "not a bound"},
    {"<=3", "not a bound"},
};

}  // namespace

// Guards against a bound that passes although the value is beyond the limit, so
// that a run would succeed that has to fail.
ParameterizedTestParameters(Metrics, BoundsAreChecked) {
  return RowIndices(kBoundRows);
}

ParameterizedTest(std::size_t* index, Metrics, BoundsAreChecked) {
  const BoundRow& row = kBoundRows[*index];
  const auto bound = ParseBound(row.bound);
  const std::string actual =
      bound ? CheckBound(*bound, {{"p99_ms", 20}}).value_or("") : "not a bound";
  cr_assert_eq(actual, std::string(row.problem),
               "%s: expected \"%s\", actual \"%s\"", row.bound, row.problem,
               actual.c_str());
}

// Guards against a comparison of runs that uses other values than those
// measured, because a value changes when it is written to CSV and read again.
Test(Metrics, CsvIsReadAsItWasWritten) {
  const Metrics written = {{"p99_ms", 20.25}, {"refused.ran.x", 3}};
  const auto read =
      Capture<Metrics>([&] { return ParseCsv(FormatCsv(written)); });
  const std::string expected = FormatJson(written);
  const std::string actual = FormatJson(std::get<Metrics>(read));
  cr_assert_eq(actual, expected, "expected %s, actual %s", expected.c_str(),
               actual.c_str());
}

namespace {

struct PrometheusRow {
  const char* name;
  double value;
};

const PrometheusRow kPrometheusRows[] = {{"a_total", 3},
                                         {"a_total{kind=\"x y\"}", 4},
                                         {"b", -1},
                                         {"# c_total", -1}};

constexpr char kPrometheusText[] =
    "# HELP a_total help 9\na_total 3\na_total{kind=\"x y\"} 4\nb 5\n";

}  // namespace

// Guards against gauges or comments that are read as counters, and against
// counters that are mixed up because their labels are ignored.
ParameterizedTestParameters(Observers, ReadsPrometheusCounters) {
  return RowIndices(kPrometheusRows);
}

ParameterizedTest(std::size_t* index, Observers, ReadsPrometheusCounters) {
  const PrometheusRow& row = kPrometheusRows[*index];
  const Counters counters = ParsePrometheusCounters(kPrometheusText);
  const auto found = counters.find(row.name);
  const double actual = found == counters.end() ? -1 : found->second;
  cr_assert_eq(actual, row.value, "%s: expected %f, actual %f", row.name,
               row.value, actual);
}

namespace {

struct ActionRow {
  int status;
  const char* body;
  // "ran", the verdict of a refusal, or "violation".
  const char* outcome;
};

const ActionRow kActionRows[] = {
    {200,
     R"({"request_id":"r1","verdict":"ran","result":"receipt s 1 k",)"
     R"("is_repeat":false})",
     "ran"},
    {200,
     R"({"request_id":"r1","verdict":"ran","result":"receipt s 1 other",)"
     R"("is_repeat":true})",
     "violation"},
    {200,
     R"({"request_id":"r2","verdict":"ran","result":"receipt s 1 k",)"
     R"("is_repeat":false})",
     "violation"},
    {200, R"({"request_id":"r1","verdict":"ran"})", "violation"},
    {503,
     R"({"request_id":"r1","verdict":"may_have_run","reason":"x","detail":""})",
     "may_have_run"},
};

std::string Describe(const ActionCheck& check) {
  if (std::holds_alternative<CheckedExecution>(check)) {
    return "ran";
  }
  const auto* refusal = std::get_if<CheckedRefusal>(&check);
  return refusal == nullptr ? "violation" : refusal->verdict;
}

}  // namespace

// Guards against a checker that accepts the result of another action, or a body
// that lacks a field.
ParameterizedTestParameters(ActionCheck, ReadsOutcomes) {
  return RowIndices(kActionRows);
}

ParameterizedTest(std::size_t* index, ActionCheck, ReadsOutcomes) {
  const ActionRow& row = kActionRows[*index];
  ActionLoadRequest action;
  action.request = MakeRequest();
  action.key = IdempotencyKey("k");
  const std::string actual =
      Describe(CheckActionResponse(action, row.status, row.body));
  cr_assert_eq(actual, std::string(row.outcome),
               "row %zu: expected %s, actual %s", *index, row.outcome,
               actual.c_str());
}

namespace {

struct AuditRow {
  const char* name;
  // The responses to the requests with the key: a result that starts with
  // "ran", or the verdict "did_not_run" or "may_have_run".
  std::vector<std::string> told;
  std::size_t executions;
  // Part of the expected content in the violation. Empty for no violation.
  const char* expected;
};

const AuditRow kAuditRows[] = {
    {"ran once", {"ran", "ran"}, 1, ""},
    {"ran twice", {"ran"}, 2, "at most once"},
    {"may have run, and ran", {"may_have_run"}, 1, ""},
    {"may have run, and did not run", {"may_have_run"}, 0, ""},
    {"refused, and did not run", {"did_not_run"}, 0, ""},
    {"refused, and ran", {"did_not_run", "did_not_run"}, 1, "not to run"},
    {"may have run, resend refused, and ran",
     {"may_have_run", "did_not_run"},
     1,
     ""},
    {"result without an execution", {"ran"}, 0, "to have run"},
    {"two different results", {"ran", "ran other"}, 1, "result \"ran\""},
};

}  // namespace

// Guards against an audit that misses a second execution of an action, or an
// execution although every response said that the action did not run.
ParameterizedTestParameters(ActionAudit, FindsContradictionsWithTheRecord) {
  return RowIndices(kAuditRows);
}

ParameterizedTest(std::size_t* index,
                  ActionAudit,
                  FindsContradictionsWithTheRecord) {
  const AuditRow& row = kAuditRows[*index];
  const IdempotencyKey key("k");
  ActionAudit audit;
  std::vector<Violation> violations;
  for (const std::string& told : row.told) {
    if (told.starts_with("ran")) {
      for (const Violation& violation : audit.OnExecuted(key, told)) {
        violations.push_back(violation);
      }
    } else {
      audit.OnNoResult(key, told == "did_not_run");
    }
  }
  for (const Violation& violation : audit.FindViolations(
           std::vector<RecordedExecution>(row.executions, {"k", "s"}))) {
    violations.push_back(violation);
  }
  const std::string actual = violations.empty() ? "" : violations[0].expected;
  const bool is_as_expected =
      std::string(row.expected).empty()
          ? violations.empty()
          : actual.find(row.expected) != std::string::npos;
  cr_assert(is_as_expected, "%s: expected \"%s\", actual \"%s\"", row.name,
            row.expected, actual.c_str());
}

}  // namespace marigold
