#include <algorithm>
#include <array>
#include <boost/json.hpp>

#include "src/wire/json.h"
#include "tools/standin/admin_commands.h"

namespace marigold {

namespace {

constexpr std::size_t kMaxNameBytes = 256;
constexpr std::uint64_t kMaxMilliseconds = 3'600'000;
constexpr std::uint64_t kMaxShards = 10'000;
constexpr double kMaxFactor = 1000;

// The fields that a change requires besides its targets.
enum class Fields {
  kNone,
  kDuration,
  kShare,
  kStragglers,
  kFault,
  kReport,
  kShards
};

struct ChangeRow {
  std::string_view name;
  AdminChange change;
  Fields fields;
};

constexpr auto kChangeRows = std::to_array<ChangeRow>({
    {"drain", AdminChange::kDrain, Fields::kNone},
    {"undrain", AdminChange::kUndrain, Fields::kNone},
    {"leave", AdminChange::kLeave, Fields::kNone},
    {"stay", AdminChange::kStay, Fields::kNone},
    {"kill", AdminChange::kKill, Fields::kNone},
    {"return", AdminChange::kReturn, Fields::kNone},
    {"silence", AdminChange::kSilence, Fields::kNone},
    {"freeze", AdminChange::kFreeze, Fields::kNone},
    {"thaw", AdminChange::kThaw, Fields::kNone},
    {"reset", AdminChange::kReset, Fields::kNone},
    {"delay", AdminChange::kDelay, Fields::kDuration},
    {"service_time", AdminChange::kServiceTime, Fields::kDuration},
    {"action_time", AdminChange::kActionTime, Fields::kDuration},
    {"stragglers", AdminChange::kStragglers, Fields::kStragglers},
    {"shed", AdminChange::kShed, Fields::kShare},
    {"fault", AdminChange::kFault, Fields::kFault},
    {"report", AdminChange::kReport, Fields::kReport},
    {"advance_snapshot", AdminChange::kAdvanceSnapshot, Fields::kNone},
    {"repartition", AdminChange::kRepartition, Fields::kShards},
    {"list_lag", AdminChange::kListLag, Fields::kDuration},
});

const ChangeRow* FindChange(std::string_view name) {
  const auto* row =
      std::find_if(kChangeRows.begin(), kChangeRows.end(),
                   [name](const ChangeRow& item) { return item.name == name; });
  return row == kChangeRows.end() ? nullptr : row;
}

Duration ReadDuration(JsonReader& reader) {
  return std::chrono::milliseconds(reader.Number("ms", 0, kMaxMilliseconds));
}

Result<void> ReadFault(JsonReader& reader, AdminCommand& command) {
  const auto fault = ParseReplyFault(reader.Text("kind", 1, kMaxNameBytes));
  if (!fault) {
    return boost::leaf::new_error(ParseError{"kind", {}, "a reply fault"});
  }
  command.fault = *fault;
  command.share = reader.Decimal("share", 0, 1);
  return {};
}

Result<void> ReadReport(JsonReader& reader, AdminCommand& command) {
  const auto mode = ParseReportMode(reader.Text("mode", 1, kMaxNameBytes));
  if (!mode) {
    return boost::leaf::new_error(ParseError{"mode", {}, "a report mode"});
  }
  command.mode = *mode;
  command.duration = ReadDuration(reader);
  return {};
}

Result<void> ReadFields(Fields fields,
                        JsonReader& reader,
                        AdminCommand& command) {
  switch (fields) {
    case Fields::kNone:
      break;
    case Fields::kDuration:
      command.duration = ReadDuration(reader);
      break;
    case Fields::kShare:
      command.share = reader.Decimal("share", 0, 1);
      break;
    case Fields::kStragglers:
      command.share = reader.Decimal("share", 0, 1);
      command.factor = reader.Decimal("factor", 1, kMaxFactor);
      break;
    case Fields::kFault:
      return ReadFault(reader, command);
    case Fields::kReport:
      return ReadReport(reader, command);
    case Fields::kShards:
      command.shards = reader.Number("shards", 1, kMaxShards);
      break;
  }
  return {};
}

}  // namespace

std::string_view ToString(AdminChange change) {
  const auto* row = std::find_if(
      kChangeRows.begin(), kChangeRows.end(),
      [change](const ChangeRow& item) { return item.change == change; });
  return row == kChangeRows.end() ? "unknown" : row->name;
}

Result<AdminCommand> DecodeAdminCommand(std::string_view body) {
  BOOST_LEAF_AUTO(document, ParseJsonObject(body));
  const boost::json::object& object = document.get_object();
  JsonReader reader(object, "");
  AdminCommand command;
  const ChangeRow* row = FindChange(reader.Text("change", 1, kMaxNameBytes));
  if (row == nullptr) {
    return boost::leaf::new_error(ParseError{"change", {}, "a known change"});
  }
  command.change = row->change;
  if (object.contains("server")) {
    command.server = reader.Text("server", 1, kMaxNameBytes);
  }
  if (object.contains("service")) {
    command.service = reader.Text("service", 1, kMaxNameBytes);
  }
  if (object.contains("data_centre")) {
    command.data_centre = reader.Text("data_centre", 1, kMaxNameBytes);
  }
  BOOST_LEAF_CHECK(ReadFields(row->fields, reader, command));
  BOOST_LEAF_CHECK(reader.Finish());
  return command;
}

}  // namespace marigold
