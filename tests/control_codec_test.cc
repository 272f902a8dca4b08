#include <criterion/criterion.h>
#include <criterion/parameterized.h>

#include <cstring>
#include <string>
#include <variant>
#include <vector>

#include "src/core/random.h"
#include "src/wire/control_messages.h"
#include "src/wire/frame.h"
#include "tests/control_rows.h"
#include "tests/row_indices.h"

namespace marigold {

namespace {

Member SampleMember() {
  return {DiskId("disk-1"),
          VmId("control-1"),
          {"127.0.1.1", 7100},
          MemberRole::kSpare};
}

Lists SampleLists() {
  Lists lists;
  lists.plans_version = ListVersion(3);
  lists.plans[CustomerId("acme")] = Plan("acme", "gold");
  lists.usage[PlanId("gold")] = Usage("gold");
  return lists;
}

ReplicaMessage SampleAppend() {
  ReplicaMessage message;
  message.from = DiskId("a");
  message.term = Term(7);
  AppendRequest append;
  append.entries = {{Term(7), LogIndex(9), EntryKind::kCommand,
                     WallTime(Duration(5)), "payload"}};
  message.body = append;
  return message;
}

ControlStatus SampleStatus() {
  ControlStatus status;
  status.self = SampleMember();
  status.leader = DiskId("a");
  status.subscribers = {{VmId("entry-1"), DataCentreId("dc1"), LogIndex(4),
                         std::chrono::seconds(1), std::chrono::seconds(2)}};
  return status;
}

Refusal SampleRefusal() {
  return {Execution::kMayHaveRun, Reason::kNoQuorum, "lost",
          std::chrono::milliseconds(5)};
}

RouteTable SampleRoutes() {
  RouteTable routes;
  routes.version = RouteVersion(7);
  routes.routes.emplace_back().is_public = true;
  routes.customers = {{CustomerId("acme"),
                       {ApiKey("k-1"), ApiKey("k-2")},
                       2,
                       {RatePerSecond(48.5), 12}},
                      {CustomerId("beta"), {}, {}, {}}};
  return routes;
}

// Messages of most kinds, with different values of their nested variants.
const ControlMessage kMessages[] = {
    PeerMessage{{"127.0.1.1", 7100}, SampleAppend()},
    Hello{SampleMember(), true},
    HelloReply{SampleMember(), false, {{SampleMember()}}},
    Subscribe{VmId("entry-1"), DataCentreId("dc1"), LogIndex(5)},
    StreamHeartbeat{LogIndex(5), true},
    ListUpdate{LogIndex(1),
               LogIndex(2),
               {},
               {PutPlans("c", 1, {Plan("acme", "gold")}, {"old"})}},
    ListUpdate{LogIndex(0), LogIndex(2), SampleLists(), {}},
    ListUpdate{LogIndex(1), LogIndex(2), {}, {}, SampleRoutes()},
    ListUpdate{LogIndex(1), LogIndex(2), {}, {}, {}, {{DataCentreId("dc1")}}},
    Submit{CallId(1), PutRoutes{SampleRoutes(), "document"}},
    Submit{CallId(1), PutUsage("c", 1, {Usage("gold")}, {"old"})},
    Submit{CallId(1), ClaimAction{IdempotencyKey("k"), CustomerId("c"),
                                  ClaimToken(1), VmId("vm"), -1, 2}},
    Submit{CallId(1), SetEvacuation{DataCentreId("dc1"), true}},
    Submit{CallId(1), RecordOutcome{IdempotencyKey("k"), CustomerId("c"),
                                    ClaimToken(1), "result"}},
    SubmitReply{CallId(1),
                ControlOutcome(PutRowsOutcome{false,
                                              ListVersion(4),
                                              Reason::kInvalidList,
                                              {"error"}}),
                Endpoint{"127.0.1.1", 7100}},
    SubmitReply{CallId(1), ControlOutcome(SetEvacuationOutcome{true}), {}},
    SubmitReply{CallId(1), SampleRefusal(), {}},
    ReadLists{CallId(1), LogIndex(4)},
    ListsReply{CallId(1), LogIndex(4), true, true, SampleLists(), {}},
    ListsReply{CallId(1),
               LogIndex(4),
               true,
               true,
               SampleLists(),
               {},
               {},
               {},
               {{DataCentreId("dc1")}}},
    ReadStatus{CallId(1)},
    StatusReply{CallId(1), SampleStatus()},
    ReadHistory{CallId(1), 10},
    HistoryReply{CallId(1), {{LogIndex(1), {}, ListKind::kUsage, {}, 1, {}}}},
    ChangeMembers{CallId(1),
                  {MembershipChange::Kind::kSetRole, SampleMember()}},
    ChangeMembersReply{CallId(1), SampleRefusal(), {}},
};

bool Decodes(const std::string& bytes) {
  return std::holds_alternative<ControlMessage>(
      Capture<ControlMessage>([&] { return DecodeControlMessage(bytes); }));
}

std::string WithLengthAt(const std::string& bytes,
                         std::size_t at,
                         std::uint64_t length) {
  std::string changed = bytes;
  std::memcpy(changed.data() + at, &length, sizeof(length));
  return changed;
}

struct FrameRow {
  const char* behaviour;
  // The offset of the changed byte in a stream of two frames.
  std::size_t changed_byte;
  // The bodies that are read, and "!" if reading fails.
  const char* expected;
};

constexpr std::size_t kSecondFrameOffset = kFrameHeaderBytes + 3;
constexpr std::size_t kNoByteChanged = 1'000;

// If a damaged frame were accepted, a VM would process a message that no other
// VM has sent.
const FrameRow kFrameRows[] = {
    {"both frames intact", kNoByteChanged, "one two "},
    {"length above the limit", kSecondFrameOffset + 3, "one !"},
    {"hash changed", kSecondFrameOffset + 4, "one !"},
    {"body changed", kSecondFrameOffset + kFrameHeaderBytes, "one !"},
};

}  // namespace

ParameterizedTestParameters(ControlCodec, MessageSurvivesRoundTrip) {
  return RowIndices(kMessages);
}

// A field that is missing in `serialize` would be lost on the way, so that the
// receiver would use its default value.
ParameterizedTest(std::size_t* index, ControlCodec, MessageSurvivesRoundTrip) {
  const std::string bytes = EncodeControlMessage(kMessages[*index]);
  const auto decoded =
      Capture<ControlMessage>([&] { return DecodeControlMessage(bytes); });
  const auto* message = std::get_if<ControlMessage>(&decoded);
  cr_assert(message != nullptr, "expected a message, actual an error");
  const std::string reencoded = EncodeControlMessage(*message);
  cr_assert(reencoded == bytes, "expected equal bytes, actual %zu and %zu",
            bytes.size(), reencoded.size());
}

ParameterizedTestParameters(ControlCodec, TruncatedMessageIsRefused) {
  return RowIndices(kMessages);
}

// Without bounds checks, the decoder would read beyond the end of a truncated
// message.
ParameterizedTest(std::size_t* index, ControlCodec, TruncatedMessageIsRefused) {
  const std::string bytes = EncodeControlMessage(kMessages[*index]);
  for (std::size_t size = 0; size < bytes.size(); ++size) {
    cr_assert(!Decodes(bytes.substr(0, size)),
              "expected an error at %zu of %zu bytes, actual a message", size,
              bytes.size());
  }
}

ParameterizedTestParameters(ControlCodec, HugeLengthAllocatesNothing) {
  return RowIndices(kMessages);
}

// If the decoder trusted a length field, a damaged message could make a VM
// allocate memory far beyond the size of the message. Such an allocation throws
// here and fails the test.
ParameterizedTest(std::size_t* index,
                  ControlCodec,
                  HugeLengthAllocatesNothing) {
  const std::string bytes = EncodeControlMessage(kMessages[*index]);
  for (const std::uint64_t length : {~0ULL, 1ULL << 62, 1ULL << 40}) {
    for (std::size_t at = 0; at + sizeof(length) <= bytes.size(); ++at) {
      Decodes(WithLengthAt(bytes, at, length));
    }
  }
}

ParameterizedTestParameters(ControlCodec, RandomDamageNeverCrashes) {
  return RowIndices(kMessages);
}

// If the decoder accepted unknown enum values or flags, using them would be
// undefined behaviour. A message that is decoded from damaged bytes must encode
// to the same bytes again.
ParameterizedTest(std::size_t* index, ControlCodec, RandomDamageNeverCrashes) {
  constexpr int kRounds = 5'000;
  SeededRandom random(*index);
  const std::string bytes = EncodeControlMessage(kMessages[*index]);
  for (int round = 0; round < kRounds; ++round) {
    std::string damaged = bytes;
    for (std::uint64_t changes = 1 + random.NextBelow(3); changes > 0;
         --changes) {
      damaged[random.NextBelow(damaged.size())] =
          static_cast<char>(random.Next());
    }
    const auto decoded =
        Capture<ControlMessage>([&] { return DecodeControlMessage(damaged); });
    if (const auto* message = std::get_if<ControlMessage>(&decoded)) {
      cr_assert(EncodeControlMessage(*message) == damaged,
                "expected the bytes that were read, actual others");
    }
  }
}

ParameterizedTestParameters(ControlCodec, FramesBeforeDamageAreRead) {
  return RowIndices(kFrameRows);
}

ParameterizedTest(std::size_t* index, ControlCodec, FramesBeforeDamageAreRead) {
  const FrameRow& row = kFrameRows[*index];
  std::string stream;
  AppendFrame("one", stream);
  AppendFrame("two", stream);
  if (row.changed_byte != kNoByteChanged) {
    stream[row.changed_byte] = static_cast<char>(stream[row.changed_byte] ^ 64);
  }
  FrameReader reader;
  std::string actual;
  for (const char byte : stream) {
    reader.Add({&byte, 1});
    const auto next =
        Capture<std::optional<std::string>>([&] { return reader.Next(); });
    if (std::holds_alternative<AnyError>(next)) {
      actual += "!";
      break;
    }
    if (const auto& body = std::get<std::optional<std::string>>(next)) {
      actual += *body + " ";
    }
  }
  cr_assert_eq(actual, std::string(row.expected),
               "%s: expected \"%s\", actual \"%s\"", row.behaviour,
               row.expected, actual.c_str());
}

// If the sender framed a body beyond the limit, the receiver would reject the
// frame and close the connection.
Test(ControlCodec, OversizedBodyIsNotFramed) {
  std::string stream;
  const bool framed =
      AppendFrame(std::string(kMaxFrameBodyBytes + 1, 'x'), stream);
  cr_assert(!framed && stream.empty(), "expected no frame, actual %zu bytes",
            stream.size());
}

}  // namespace marigold
