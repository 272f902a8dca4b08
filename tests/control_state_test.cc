#include "src/tables/control_state.h"

#include <criterion/criterion.h>
#include <criterion/parameterized.h>
#include <fmt/format.h>

#include <functional>
#include <string>
#include <variant>
#include <vector>

#include "src/core/invariant.h"
#include "tests/control_rows.h"
#include "tests/row_indices.h"

namespace marigold {

namespace {

WallTime At(std::int64_t ms) {
  return WallTime(std::chrono::milliseconds(ms));
}

// Applies commands at increasing log indexes.
class StateUnderTest {
 public:
  explicit StateUnderTest(ControlStateSettings settings = {})
      : state_settings(settings), state(settings) {
    SetViolationReaction(ViolationReaction::kAbort);
  }

  ControlOutcome Apply(const ControlCommand& command, std::int64_t ms = 0) {
    this->last = Next(this->last);
    return this->state.Apply(this->last, At(ms), command);
  }

  // Applies an edit and returns its outcome as text.
  std::string ApplyAndFormat(const PutRows& edit) {
    const auto outcome = std::get<PutRowsOutcome>(this->Apply(edit));
    std::string text =
        outcome.accepted ? "accepted" : std::string(ToString(outcome.reason));
    text += fmt::format(" v{}", outcome.version.value());
    for (const std::string& error : outcome.errors) {
      text += "; " + error;
    }
    return text;
  }

  // Replaces the state by one that is restored from its serialised image.
  void Reload() {
    const std::string image = this->state.Serialise();
    ControlState restored(this->state_settings);
    const auto result = Capture<bool>([&]() -> Result<bool> {
      BOOST_LEAF_CHECK(restored.Restore(image));
      return true;
    });
    cr_assert(std::holds_alternative<bool>(result),
              "expected the image to be restored, but it was refused");
    this->state = std::move(restored);
  }

  ControlStateSettings state_settings;
  ControlState state;
  LogIndex last;
};

struct EditRow {
  const char* behaviour;
  std::vector<PutRows> before;
  PutRows edit;
  const char* answer;
};

PutRows InvalidUsageEdit() {
  UsageRow row = Usage("gold");
  row.services = {ServiceId("lookup"), ServiceId("lookup")};
  row.rate = 0;
  row.burst = 0;
  row.concurrency = kMaxPlanConcurrency + 1;
  row.weight = 0;
  return PutUsage("bad", 0, {row});
}

const std::vector<PutRows> kGoldInUse = {
    PutUsage("u1", 0, {Usage("gold")}),
    PutPlans("p1", 0, {Plan("acme", "gold")})};

// Guards against an edit that is applied in part, that breaks the references
// between the lists, or whose errors do not name the row, the field and the
// allowed values.
const EditRow kEditRows[] = {
    {"first edit is accepted",
     {},
     PutUsage("c", 0, {Usage("gold")}),
     "accepted v1"},
    {"plan with a usage row is accepted",
     {PutUsage("u1", 0, {Usage("gold")})},
     PutPlans("c", 0, {Plan("acme", "gold")}),
     "accepted v1"},
    {"edit of an older version is a conflict", kGoldInUse,
     PutPlans("c", 0, {Plan("other", "gold")}), "version_conflict v1"},
    {"edit of a version that does not exist yet is a conflict", kGoldInUse,
     PutPlans("c", 2, {Plan("other", "gold")}), "version_conflict v1"},
    {"plan without a usage row is refused", kGoldInUse,
     PutPlans("c", 1, {Plan("ok", "gold"), Plan("bad", "tin")}),
     "invalid_list v1; plans[1] (bad) plan: expected a plan of the usage list"},
    {"removal of a usage row in use is refused", kGoldInUse,
     PutUsage("c", 1, {}, {"gold"}),
     "invalid_list v1; removed[0] (gold) key: expected a plan that no customer "
     "has"},
    {"removal of an unused usage row is accepted",
     {PutUsage("u1", 0, {Usage("gold")})},
     PutUsage("c", 1, {}, {"gold"}),
     "accepted v2"},
    {"removal of an absent row is refused", kGoldInUse,
     PutPlans("c", 1, {}, {"nobody"}),
     "invalid_list v1; removed[0] (nobody) key: expected a customer of the "
     "plan list"},
    {"edit without rows is refused",
     {},
     PutPlans("c", 0, {}),
     "invalid_list v0; rows: expected 1 to 10000 rows"},
    {"change id reused with other content is refused", kGoldInUse,
     PutPlans("p1", 1, {Plan("acme", "gold")}), "change_id_reused v1"},
    {"row that is both set and removed is refused", kGoldInUse,
     PutPlans("c", 1, {Plan("a", "gold")}, {"a"}),
     "invalid_list v1; removed[0] (a) key: expected a key that the edit names "
     "once; removed[0] (a) key: expected a customer of the plan list"},
    {"usage rows in an edit of the plan list are refused",
     {},
     {ListKind::kPlans, ChangeId("c"), ListVersion(0), {}, {Usage("gold")}, {}},
     "invalid_list v0; usage: expected no usage rows in an edit of the plan "
     "list"},
    {"control character in an id is refused", kGoldInUse,
     PutPlans("c", 1, {Plan("a\n", "gold")}),
     "invalid_list v1; plans[0] (invalid id) customer: expected UTF-8 text of "
     "1 to 128 bytes without control characters"},
    {"every invalid value is listed",
     {},
     InvalidUsageEdit(),
     "invalid_list v0; "
     "usage[0] (gold) services[1]: expected each service once; "
     "usage[0] (gold) rate: expected a number from 0.001 to 1000000; "
     "usage[0] (gold) burst: expected a number from 1 to 1000000; "
     "usage[0] (gold) concurrency: expected a number from 1 to 100000; "
     "usage[0] (gold) weight: expected a number from 1 to 1000"},
};

struct ResendRow {
  const char* behaviour;
  PutRows first;
  const char* answer;
};

// Guards against a resend that gets another answer than the first send, so that
// an operator reads a conflict for an edit that was applied. By the time of the
// resend, each of these edits would get another answer if it were checked
// again.
const ResendRow kResendRows[] = {
    {"accepted edit", PutPlans("r", 0, {Plan("acme", "gold")}), "accepted v1"},
    {"edit with a version conflict", PutPlans("r", 7, {Plan("acme", "gold")}),
     "version_conflict v0"},
    {"invalid edit", PutPlans("r", 0, {Plan("acme", "tin")}),
     "invalid_list v0; plans[0] (acme) plan: expected a plan of the usage "
     "list"},
};

}  // namespace

ParameterizedTestParameters(ControlState, AnswersEdit) {
  return RowIndices(kEditRows);
}

ParameterizedTest(std::size_t* index, ControlState, AnswersEdit) {
  const EditRow& row = kEditRows[*index];
  StateUnderTest test;
  for (const PutRows& edit : row.before) {
    test.Apply(edit);
  }
  const std::string actual = test.ApplyAndFormat(row.edit);
  cr_assert_eq(actual, std::string(row.answer),
               "%s: expected \"%s\", actual \"%s\"", row.behaviour, row.answer,
               actual.c_str());
}

ParameterizedTestParameters(ControlState, RejectedEditChangesNothing) {
  return RowIndices(kEditRows);
}

// Guards against a rejected edit of which some rows are applied, because they
// were applied before the error was found.
ParameterizedTest(std::size_t* index,
                  ControlState,
                  RejectedEditChangesNothing) {
  const EditRow& row = kEditRows[*index];
  StateUnderTest test;
  for (const PutRows& edit : row.before) {
    test.Apply(edit);
  }
  const Lists before = test.state.lists();
  const bool accepted = test.ApplyAndFormat(row.edit).starts_with("accepted");
  const bool same = test.state.lists() == before;
  cr_assert_eq(same, !accepted, "%s: expected unchanged %d, actual %d",
               row.behaviour, !accepted, same);
}

ParameterizedTestParameters(ControlState, ResendGetsTheFirstAnswer) {
  return RowIndices(kResendRows);
}

ParameterizedTest(std::size_t* index, ControlState, ResendGetsTheFirstAnswer) {
  const ResendRow& row = kResendRows[*index];
  StateUnderTest test;
  test.Apply(PutUsage("u1", 0, {Usage("gold")}));
  const std::string first = test.ApplyAndFormat(row.first);
  cr_assert_eq(first, std::string(row.answer));
  test.Apply(PutUsage("u2", 1, {Usage("tin")}));
  const auto version = test.state.lists().plans_version.value();
  for (std::uint64_t i = 0; i < 1000; ++i) {
    const std::string change = fmt::format("later-{}", i);
    test.Apply(PutPlans(change.c_str(), version + i, {Plan("other", "gold")}));
  }
  test.Reload();
  const std::string again = test.ApplyAndFormat(row.first);
  cr_assert_eq(again, first, "%s: expected \"%s\", actual \"%s\"",
               row.behaviour, first.c_str(), again.c_str());
}

// Guards against an edit that is applied twice, because it is resent after its
// change id was forgotten.
Test(ControlState, ForgottenChangeIsNotAppliedAgain) {
  ControlStateSettings settings;
  settings.remembered_changes = 3;
  StateUnderTest test(settings);
  test.Apply(PutUsage("u1", 0, {Usage("gold")}));
  const PutRows old = PutPlans("old", 0, {Plan("acme", "gold")});
  test.Apply(old);
  for (std::uint64_t i = 1; i < 5; ++i) {
    const std::string change = fmt::format("later-{}", i);
    test.Apply(PutPlans(change.c_str(), i, {Plan("other", "gold")}));
  }
  const std::string actual = test.ApplyAndFormat(old);
  cr_assert_eq(actual, std::string("version_conflict v5"),
               "expected \"version_conflict v5\", actual \"%s\"",
               actual.c_str());
}

// Guards against deltas without an edit that was dropped from memory. An entry
// VM would miss this edit without noticing.
Test(ControlState, NoDeltaAcrossForgottenEdits) {
  ControlStateSettings settings;
  settings.remembered_changes = 3;
  StateUnderTest test(settings);
  for (std::uint64_t i = 0; i < 5; ++i) {
    const std::string change = fmt::format("u-{}", i);
    test.Apply(PutUsage(change.c_str(), i, {Usage("gold")}));
  }
  test.Reload();
  std::string actual;
  for (std::uint64_t from = 0; from <= 5; ++from) {
    const auto edits = test.state.EditsAfter(LogIndex(from));
    actual += edits ? std::to_string(edits->size()) : "-";
  }
  cr_assert_eq(actual, std::string("--3210"), "expected --3210, actual %s",
               actual.c_str());
}

// Guards against a damaged or truncated image that is restored as a valid
// state. Each byte is changed once, and the image is cut off before each byte.
Test(ControlState, DamagedImageIsRefusedWithTheByte) {
  StateUnderTest test;
  test.Apply(PutUsage("u1", 0, {Usage("gold")}));
  test.Apply(ClaimAction{IdempotencyKey("k"), CustomerId("c"), ClaimToken(1),
                         VmId("vm"), 0, 0});
  const std::string image = test.state.Serialise();
  std::size_t refused = 0;
  for (std::size_t at = 0; at < image.size(); ++at) {
    std::string damaged = image;
    damaged[at] = static_cast<char>(damaged[at] ^ 1);
    for (const std::string& bytes : {damaged, image.substr(0, at)}) {
      ControlState restored({});
      const auto result = Capture<bool>([&]() -> Result<bool> {
        BOOST_LEAF_CHECK(restored.Restore(bytes));
        return true;
      });
      const auto* error = std::get_if<AnyError>(&result);
      refused += error != nullptr &&
                 std::get<ParseError>(*error).offset.has_value() &&
                 restored.lists() == Lists();
    }
  }
  cr_assert_eq(refused, 2 * image.size(), "expected %zu, actual %zu",
               2 * image.size(), refused);
}

// Guards against members of a group whose states differ after the same
// commands, because one of them was restored from a snapshot that lacks a part
// of the state.
Test(ControlState, RestoredStateContinuesAsTheOriginal) {
  StateUnderTest original;
  StateUnderTest restarted;
  for (std::uint64_t i = 0; i < 50; ++i) {
    const std::string change = fmt::format("u-{}", i);
    const std::string key = fmt::format("k-{}", i % 7);
    const ControlCommand commands[] = {
        PutUsage(change.c_str(), i / 2, {Usage("gold")}),
        ClaimAction{IdempotencyKey(key), CustomerId("c"), ClaimToken(i),
                    VmId("vm"), 5, 0},
        ReleaseClaim{IdempotencyKey(key), CustomerId("c"), ClaimToken(i / 2)},
    };
    for (const ControlCommand& command : commands) {
      original.Apply(command, static_cast<std::int64_t>(i));
      restarted.Apply(command, static_cast<std::int64_t>(i));
      restarted.Reload();
    }
  }
  cr_assert(original.state.Serialise() == restarted.state.Serialise(),
            "expected equal images, actual different ones");
}

// Guards against a removed key that comes back with an older route table after
// a restart, and against customers that the image lacks.
Test(ControlState, RestoredRoutesKeepCustomersAndRefuseOlderVersions) {
  const auto routes = [](std::uint64_t version, std::vector<ApiKey> keys) {
    PutRoutes put;
    put.table.version = RouteVersion(version);
    put.table.customers = {
        {CustomerId("acme"), std::move(keys), 2, {RatePerSecond(48.5), 12}},
        {CustomerId("beta"), {}, {}, {}}};
    return put;
  };
  const PutRoutes before = routes(1, {ApiKey("old"), ApiKey("new")});
  const PutRoutes after = routes(2, {ApiKey("new")});
  StateUnderTest restarted;
  restarted.Apply(before);
  restarted.Reload();
  restarted.Apply(after);
  restarted.Reload();
  const auto outcome = std::get<PutRoutesOutcome>(restarted.Apply(before));
  cr_assert(!outcome.changed && outcome.version == RouteVersion(2),
            "expected version 2 unchanged, actual version %lu",
            outcome.version.value());
  cr_assert(restarted.state.routes()->table == after.table,
            "expected the customers of version 2");
}

}  // namespace marigold
