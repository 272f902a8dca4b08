#include "platform/http_dialect.h"

#include <criterion/criterion.h>

#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "tests/row_indices.h"

namespace marigold::platform {

namespace {

BackendReply MakeReply(
    unsigned status,
    const std::vector<std::pair<const char*, const char*>>& fields) {
  BackendReply reply;
  reply.result(status);
  for (const auto& [name, value] : fields) {
    reply.insert(name, value);
  }
  return reply;
}

struct ReplyRow {
  const char* behaviour;
  BackendReply reply;
  bool not_executed;
  bool is_from_other_server;
  bool has_stamp;
  bool has_content_encoding;
};

const ReplyRow kReplies[] = {
    {"a success", MakeReply(200, {{"X-Server-Stamp", "s"}}), false, false, true,
     false},
    {"a success marked as not executed",
     MakeReply(200, {{"X-Server-Stamp", "s"}, {"X-Not-Executed", "1"}}), false,
     false, true, false},
    {"a full server", MakeReply(503, {{"X-Not-Executed", "1"}}), true, false,
     false, false},
    {"a failure after which the request may have run",
     MakeReply(503, {{"X-Server-Stamp", "s"}}), false, false, true, false},
    {"a reply of another server than the expected one",
     MakeReply(421, {{"X-Not-Executed", "1"}}), true, true, false, false},
    {"an encoded body",
     MakeReply(200, {{"X-Server-Stamp", "s"}, {"Content-Encoding", "gzip"}}),
     false, false, true, true},
};

struct NoticeRow {
  const char* scenario;
  BackendReply reply;
  bool is_leaving;
  // The pause in milliseconds; absent if the server does not ask for one.
  std::optional<double> pause_ms;
  bool has_invalid_pause;
};

const std::string kLongNumber(400, '9');

const NoticeRow kNotices[] = {
    {"nothing", MakeReply(200, {}), false, {}, false},
    {"leaving with a success",
     MakeReply(200, {{"Server-Leaving", "1"}}),
     true,
     {},
     false},
    {"leaving with a refusal",
     MakeReply(503, {{"Server-Leaving", "1"}}),
     true,
     {},
     false},
    {"leaving with an error",
     MakeReply(500, {{"server-leaving", "1"}}),
     true,
     {},
     false},
    {"another value",
     MakeReply(200, {{"Server-Leaving", "0"}}),
     false,
     {},
     false},
    {"an empty value",
     MakeReply(200, {{"Server-Leaving", ""}}),
     false,
     {},
     false},
    {"a pause of whole seconds", MakeReply(503, {{"Retry-After", "2"}}), false,
     2000, false},
    {"a pause with a fraction", MakeReply(503, {{"Retry-After", "0.3"}}), false,
     300, false},
    {"no pause", MakeReply(503, {{"Retry-After", "0"}}), false, 0, false},
    {"a pause with a success",
     MakeReply(200, {{"Retry-After", "2"}}),
     false,
     {},
     false},
    {"a pause with another refusal",
     MakeReply(429, {{"Retry-After", "2"}}),
     false,
     {},
     false},
    {"a pause above the bound", MakeReply(503, {{"Retry-After", "86400"}}),
     false, 120'000, false},
    {"a pause of 400 digits",
     MakeReply(503, {{"Retry-After", kLongNumber.c_str()}}),
     false,
     {},
     true},
    {"an infinite pause",
     MakeReply(503, {{"Retry-After", "inf"}}),
     false,
     {},
     true},
    {"a pause that is not a number",
     MakeReply(503, {{"Retry-After", "soon"}}),
     false,
     {},
     true},
    {"a negative pause",
     MakeReply(503, {{"Retry-After", "-1"}}),
     false,
     {},
     true},
    {"a date",
     MakeReply(503, {{"Retry-After", "Sat, 05 Dec 2026 04:00:00 GMT"}}),
     false,
     {},
     true},
    {"two pauses", MakeReply(503, {{"Retry-After", "1"}, {"Retry-After", "3"}}),
     false, 3000, false},
    {"a pause and text",
     MakeReply(503, {{"Retry-After", "x"}, {"Retry-After", "3"}}), false, 3000,
     true},
    {"leaving and a pause",
     MakeReply(503, {{"Server-Leaving", "1"}, {"Retry-After", "3"}}), true,
     3000, false},
};

struct LoadRow {
  const char* text;
  // Absent if the text can't be read.
  std::optional<ReportedLoad> load;
};

const LoadRow kLoads[] = {
    {"3,0,8", ReportedLoad{3, 0, 8, 1.0}},
    {"2,0,4,100", ReportedLoad{2, 0, 4, 1.0}},
    {"2,1,4,250", ReportedLoad{2, 1, 4, 2.5}},
    {"2,1,4,80", ReportedLoad{2, 1, 4, 0.8}},
    {"2,1,4,0", ReportedLoad{2, 1, 4, 1.0}},
    {"2,1", std::nullopt},
    {"2,1,", std::nullopt},
    {"2,1,4,", std::nullopt},
    {"2,1,4,100,7", std::nullopt},
    {"2,1,4,x", std::nullopt},
    {"-1,0,4", std::nullopt},
    {"2, 1, 4", std::nullopt},
    {"", std::nullopt},
};

CallerRequest MakeRequest() {
  CallerRequest request;
  request.method_string("POST");
  request.target("/x/1?q=a%20b");
  request.version(11);
  request.set("Host", "a.example");
  request.set("X-Request-Id", "id-1");
  request.set("X-Deadline-Ms", "800");
  request.set("X-Expect-Instance", "forged");
  request.set("Connection", "keep-alive, X-Hop");
  request.set("X-Hop", "1");
  request.insert("X-Twice", "a");
  request.insert("X-Twice", "b");
  request.set("Transfer-Encoding", "chunked");
  request.body() = "body";
  return request;
}

bool Contains(const std::string& text, std::string_view part) {
  return text.find(part) != std::string::npos;
}

}  // namespace

ParameterizedTestParameters(HttpDialect, NoticeOfAServerIsRead) {
  return RowIndices(kNotices);
}

// Guards against a server that gets requests although it said that it is about
// to stop or asked for a pause, and against one that takes itself out of use
// for good by a value that can't be read.
ParameterizedTest(std::size_t* index, HttpDialect, NoticeOfAServerIsRead) {
  const NoticeRow& row = kNotices[*index];
  const ServerNotice actual = HttpDialect::ReadNotice(row.reply);
  cr_assert_eq(actual.is_leaving, row.is_leaving, "%s", row.scenario);
  cr_assert_eq(actual.has_invalid_pause, row.has_invalid_pause, "%s",
               row.scenario);
  cr_assert_eq(actual.pause.has_value(), row.pause_ms.has_value(), "%s",
               row.scenario);
  if (actual.pause) {
    cr_assert_eq(ToMilliseconds(*actual.pause), *row.pause_ms,
                 "%s: expected %g ms, actual %g ms", row.scenario,
                 *row.pause_ms, ToMilliseconds(*actual.pause));
  }
}

ParameterizedTestParameters(HttpDialect, ReportedLoadIsRead) {
  return RowIndices(kLoads);
}

// Guards against a server whose load is unknown because it also states how slow
// its machine is.
ParameterizedTest(std::size_t* index, HttpDialect, ReportedLoadIsRead) {
  const LoadRow& row = kLoads[*index];
  const BackendReply reply = MakeReply(200, {{"X-Server-Load", row.text}});
  const auto actual = HttpDialect::ReadReply(reply).load;
  cr_assert_eq(actual.has_value(), row.load.has_value(), "%s", row.text);
  cr_assert(actual == row.load, "%s: expected another load", row.text);
}

ParameterizedTestParameters(HttpDialect, ReplyHeadTellsWhetherRequestRan) {
  return RowIndices(kReplies);
}

// If a reply were taken as "not executed" although the request may have run,
// the request would be sent again and could run twice.
ParameterizedTest(std::size_t* index,
                  HttpDialect,
                  ReplyHeadTellsWhetherRequestRan) {
  const ReplyRow& row = kReplies[*index];
  const ReplyMetadata head = HttpDialect::ReadReply(row.reply);
  cr_assert_eq(head.promises_not_executed, row.not_executed, "%s",
               row.behaviour);
  cr_assert_eq(head.is_from_other_server, row.is_from_other_server, "%s",
               row.behaviour);
  cr_assert_eq(!head.stamp.empty(), row.has_stamp, "%s", row.behaviour);
  cr_assert_eq(head.has_content_encoding, row.has_content_encoding, "%s",
               row.behaviour);
}

// The backend server must receive the request unchanged, except for header
// fields that apply to one connection only. If the caller's own deadline or
// expected instance were forwarded, the server would work beyond the deadline,
// or another server than the chosen one could run the request.
Test(HttpDialect, SendForwardsRequestAndReplacesOwnFields) {
  CallerRequest request = MakeRequest();
  const SendTemplate parts = HttpDialect::MakeSendTemplate(request, {});
  cr_assert(parts.body != nullptr, "expected a body, actual none");
  const std::string sent =
      HttpDialect::WriteSend(
          parts, {BackendServerId("i-1"), std::chrono::milliseconds(250)}) +
      *parts.body;
  cr_assert(sent.starts_with("POST /x/1?q=a%20b HTTP/1.1\r\n"));
  cr_assert(sent.ends_with("Content-Length: 4\r\n\r\nbody"));
  cr_assert(Contains(sent, "X-Request-Id: id-1\r\n"));
  cr_assert(Contains(sent, "X-Deadline-Ms: 250\r\n"));
  cr_assert(Contains(sent, "X-Expect-Instance: i-1\r\n"));
  cr_assert(Contains(sent, "X-Twice: a\r\nX-Twice: b\r\n"));
  cr_assert_not(Contains(sent, "800"));
  cr_assert_not(Contains(sent, "forged"));
  cr_assert_not(Contains(sent, "X-Hop"));
  cr_assert_not(Contains(sent, "chunked"));
}

struct IdentityRow {
  const char* scenario;
  SenderIdentity identity;
  // Parts of the sent header; null if nothing is expected.
  const char* present;
  const char* absent;
};

const IdentityRow kIdentities[] = {
    {"a customer",
     {true, CustomerId("north")},
     "X-Tenant: north\r\n",
     "forged"},
    {"a customer's key", {true, CustomerId("north")}, nullptr, "secret"},
    {"no customer", {true, std::nullopt}, nullptr, "X-Tenant"},
    {"no customer but a key", {true, std::nullopt}, nullptr, "secret"},
    {"a configuration without customers", {}, "X-Tenant: forged\r\n", nullptr},
    {"a key without customers", {}, "X-Api-Key: secret\r\n", nullptr},
};

ParameterizedTestParameters(HttpDialect, ServerSeesOnlyTheVerifiedCustomer) {
  return RowIndices(kIdentities);
}

// Guards against a key that reaches a backend server, and against a caller that
// passes for another customer.
ParameterizedTest(std::size_t* index,
                  HttpDialect,
                  ServerSeesOnlyTheVerifiedCustomer) {
  const IdentityRow& row = kIdentities[*index];
  CallerRequest request = MakeRequest();
  request.set("X-Api-Key", "secret");
  request.set("X-Tenant", "forged");
  const SendTemplate parts =
      HttpDialect::MakeSendTemplate(request, row.identity);
  const std::string sent = HttpDialect::WriteSend(
      parts, {BackendServerId("i-1"), std::chrono::milliseconds(250)});
  cr_assert(row.present == nullptr || Contains(sent, row.present), "%s",
            row.scenario);
  cr_assert_not(row.absent != nullptr && Contains(sent, row.absent), "%s",
                row.scenario);
}

// Without the stamps of all parts and the number of missing ones, a caller
// could not check a merged answer.
Test(HttpDialect, MergedAnswerListsPartStamps) {
  const std::string_view stamps[] = {"a", "b"};
  const std::string answer =
      HttpDialect::WriteMerged({stamps, 1, "records"}, false);
  cr_assert(answer.starts_with("HTTP/1.1 200 OK\r\n"));
  cr_assert(Contains(answer, "X-Part-Stamps: a, b\r\n"));
  cr_assert(Contains(answer, "X-Missing-Parts: 1\r\n"));
  cr_assert(answer.ends_with("Content-Length: 7\r\n\r\nrecords"));
}

// Without Retry-After, a refused caller does not know when to retry.
Test(HttpDialect, RefusalHasRetryAfter) {
  const std::string answer = HttpDialect::WriteLocalAnswer(
      {503, "later", std::chrono::milliseconds(400)}, true);
  cr_assert(Contains(answer, "Retry-After: 0.400\r\n"));
  cr_assert(Contains(answer, "Connection: close\r\n"));
}

}  // namespace marigold::platform
