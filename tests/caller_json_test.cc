#include "src/wire/caller_json.h"

#include <criterion/criterion.h>
#include <criterion/parameterized.h>

#include <string>
#include <variant>

#include "tests/row_indices.h"

namespace marigold {

namespace {

const std::string kLongText(20'000, 'x');

struct DecodeRow {
  std::string body;
  // The expected error text, or "" if the body is valid.
  const char* error;
};

std::string SearchBody(const std::string& fields) {
  return R"({"request_id":"r","customer":"c","service":"s",)" + fields + "}";
}

// If the decoder accepted an invalid body, a search with values that the caller
// did not intend would run. If the error named no field or byte, the caller
// could not find the mistake.
const DecodeRow kSearchRows[] = {
    {SearchBody(R"("query":"q","deadline_ms":300)"), ""},
    {SearchBody(R"("query":"q","deadline_ms":300,"minimum_coverage":0.5)"), ""},
    {SearchBody(R"("query":"","deadline_ms":1)"), ""},
    {"", "byte 0: expected one JSON object (incomplete JSON)"},
    {"{", "byte 1: expected one JSON object (incomplete JSON)"},
    {"[]", "byte 0: expected a JSON object"},
    {"nonsense", "byte 0: expected one JSON object (syntax error)"},
    {SearchBody(R"("query":"q","deadline_ms":300)") + "x",
     "byte 77: expected nothing after the JSON object"},
    {R"({"customer":"c","service":"s","query":"q","deadline_ms":300})",
     "field request_id: expected text of 1 to 128 bytes"},
    {SearchBody(R"("query":7,"deadline_ms":300)"),
     "field query: expected text of 0 to 16384 bytes"},
    {SearchBody(R"("query":")" + kLongText + R"(","deadline_ms":300)"),
     "field query: expected text of 0 to 16384 bytes"},
    {SearchBody(R"("query":"q","deadline_ms":0)"),
     "field deadline_ms: expected a whole number from 1 to 60000"},
    {SearchBody(R"("query":"q","deadline_ms":-5)"),
     "field deadline_ms: expected a whole number from 1 to 60000"},
    {SearchBody(R"("query":"q","deadline_ms":60001)"),
     "field deadline_ms: expected a whole number from 1 to 60000"},
    {SearchBody(R"("query":"q","deadline_ms":1.5)"),
     "field deadline_ms: expected a whole number from 1 to 60000"},
    {SearchBody(R"("query":"q","deadline_ms":"300")"),
     "field deadline_ms: expected a whole number from 1 to 60000"},
    {SearchBody(R"("query":"q","deadline_ms":300,"minimum_coverage":1.1)"),
     "field minimum_coverage: expected a number from 0 to 1"},
    {SearchBody(R"("query":"q","deadline_ms":300,"minimum_coverage":1e999)"),
     "field minimum_coverage: expected a number from 0 to 1"},
    {SearchBody(R"("query":"q","deadline_ms":300,"deadlin":1)"),
     "field deadlin: expected no such field"},
    {SearchBody(R"("query":{"a":[[[[[[[[[[1]]]]]]]]]]},"deadline_ms":300)"),
     "byte 66: expected one JSON object (too deep)"},
    {SearchBody("\"query\":\"\xff\",\"deadline_ms\":300"),
     "byte 56: expected one JSON object (syntax error)"},
};

std::string ActionBody(const std::string& fields) {
  return R"({"request_id":"r","customer":"c","service":"s","action":"a",)"
         R"("idempotency_key":"k",)" +
         fields + "}";
}

// If the decoder accepted an invalid body, a paid action that the caller did
// not intend would run.
const DecodeRow kActionRows[] = {
    {ActionBody(
         R"("shard":0,"key_issued_at_ms":1,"payload":"p","deadline_ms":300)"),
     ""},
    {ActionBody(R"("shard":18446744073709551615,"key_issued_at_ms":1,)"
                R"("payload":"","deadline_ms":300)"),
     ""},
    {ActionBody(R"("key_issued_at_ms":1,"payload":"p","deadline_ms":300)"),
     "field shard: expected a whole number from 0 to 18446744073709551615"},
    {ActionBody(R"("shard":0,"payload":"p","deadline_ms":300)"),
     "field key_issued_at_ms: expected a whole number from 0 to "
     "253402300799999"},
    {ActionBody(R"("shard":0,"key_issued_at_ms":-1,"payload":"p",)"
                R"("deadline_ms":300)"),
     "field key_issued_at_ms: expected a whole number from 0 to "
     "253402300799999"},
    {ActionBody(R"("shard":0,"key_issued_at_ms":1,"payload":{},)"
                R"("deadline_ms":300)"),
     "field payload: expected text of 0 to 16384 bytes"},
    {ActionBody(
         R"("shard":0,"key_issued_at_ms":1,"payload":"p","deadline_ms":null)"),
     "field deadline_ms: expected a whole number from 1 to 60000"},
};

template <class Request, class Decode>
std::string ErrorOf(Decode decode, const std::string& body) {
  const auto decoded = Capture<Request>([&] { return decode(body); });
  const auto* error = std::get_if<AnyError>(&decoded);
  return error == nullptr ? "" : ToString(std::get<ParseError>(*error));
}

void Check(const DecodeRow& row, const std::string& actual) {
  cr_assert_eq(actual, std::string(row.error),
               "body %s: expected \"%s\", actual \"%s\"", row.body.c_str(),
               row.error, actual.c_str());
}

struct AnswerRow {
  const char* name;
  std::string actual;
  const char* expected;
};

// Callers parse these bodies. They break if a field is renamed, moved or
// changes its type.
AnswerRow MakeAnswerRow(std::size_t index) {
  SearchAnswer answer{SnapshotId(7),
                      {ShardId(0), ShardId(2)},
                      {{ShardId(1), MissingReason::kNoServer}},
                      {{"id \"1\"", 0.5, "t\n"}}};
  const Refusal refusal{Execution::kDidNotRun, Reason::kRateLimited, "d",
                        std::chrono::milliseconds(20)};
  switch (index) {
    case 0:
      return {"search", EncodeSearchAnswer(RequestId("r"), answer),
              R"({"request_id":"r","snapshot":7,"coverage":0.6666666666666666,)"
              R"("shards_covered":[0,2],"shards_missing":[{"shard":1,"reason":)"
              R"("no_server"}],"matches":[{"id":"id \"1\"","score":0.5,)"
              R"("text":"t\n"}]})"};
    case 1:
      return {"action", EncodeActionAnswer(RequestId("r"), {"done", true}),
              R"({"request_id":"r","verdict":"ran","result":"done",)"
              R"("is_repeat":true})"};
    default:
      return {"refusal", EncodeRefusal(RequestId("r"), refusal),
              R"({"request_id":"r","verdict":"did_not_run","reason":)"
              R"("rate_limited","detail":"d","retry_after_ms":20})"};
  }
}

}  // namespace

ParameterizedTestParameters(CallerJson, SearchErrorNamesFieldOrByte) {
  return RowIndices(kSearchRows);
}

ParameterizedTest(std::size_t* index, CallerJson, SearchErrorNamesFieldOrByte) {
  const DecodeRow& row = kSearchRows[*index];
  Check(row, ErrorOf<SearchRequest>(DecodeSearchRequest, row.body));
}

ParameterizedTestParameters(CallerJson, ActionErrorNamesFieldOrByte) {
  return RowIndices(kActionRows);
}

ParameterizedTest(std::size_t* index, CallerJson, ActionErrorNamesFieldOrByte) {
  const DecodeRow& row = kActionRows[*index];
  Check(row, ErrorOf<ActionRequest>(DecodeActionRequest, row.body));
}

Test(CallerJson, EncodedAnswersMatchCallerProtocol) {
  for (std::size_t i = 0; i < 3; ++i) {
    const AnswerRow row = MakeAnswerRow(i);
    cr_assert_eq(row.actual, std::string(row.expected),
                 "%s: expected %s, actual %s", row.name, row.expected,
                 row.actual.c_str());
  }
}

}  // namespace marigold
