// The process of a control VM. It replicates the log with the two lists and the
// action ledger.

#include <cstdint>
#include <variant>

#include "src/core/log.h"
#include "src/core/settings.h"
#include "src/programs/control_process.h"

namespace marigold {

namespace {

struct ControlSettings {
  Endpoint listen{"127.0.0.1", 7100};
  Endpoint http{"127.0.0.1", 7180};
  std::string data_folder;
  std::string vm;
  std::string data_centre = "dc1";
  std::vector<Endpoint> peers;
  bool forms_new_group = false;
  std::string join_as = "spare";
  Duration heartbeat = std::chrono::milliseconds(100);
  Duration election_timeout = std::chrono::milliseconds(500);
  Duration replace_after = std::chrono::seconds(30);
  std::int64_t compact_entries = 8'192;
  std::int64_t compact_bytes = 8 * 1024 * 1024;
  std::int64_t workers = 4;
  std::string log_level = "info";
};

SettingsTable MakeTable(ControlSettings& settings) {
  SettingsTable table("marigold-control",
                      "Stores the two lists and the action ledger in a "
                      "replicated log.");
  table.AddEndpoint("listen", settings.listen,
                    "Address for control VMs, entry VMs and marigoldctl.");
  table.AddEndpoint("http", settings.http,
                    "Address for /state, /metrics and /health.");
  table.AddText("data-folder", settings.data_folder, "folder",
                "Folder of the log; created if it is missing.");
  table.AddText("vm", settings.vm, "id", "Id of this VM.");
  table.AddText("data-centre", settings.data_centre, "id",
                "Data centre of this VM.");
  table.AddEndpoints("peers", settings.peers,
                     "Addresses of the other control VMs.");
  table.AddSwitch("init", settings.forms_new_group,
                  "Form a new group of voters with the peers, once all of them "
                  "are started with this and have empty folders. Without "
                  "effect on a folder that was used before.");
  table.AddChoice("join-as", settings.join_as, {"spare", "learner"},
                  "Role in which an empty folder joins the peers' group.");
  table.AddMilliseconds("heartbeat-ms", settings.heartbeat, 10, 10'000,
                        "Time between a leader's messages.");
  table.AddMilliseconds("election-timeout-ms", settings.election_timeout, 50,
                        60'000, "Time without a leader before an election.");
  table.AddMilliseconds("replace-after-ms", settings.replace_after, 0,
                        86'400'000,
                        "Time after which a spare takes a silent voter's "
                        "place; 0 turns it off.");
  table.AddNumber("compact-entries", settings.compact_entries, 16, 10'000'000,
                  "entries", "Applied entries between snapshots.");
  table.AddNumber("compact-bytes", settings.compact_bytes, 64 * 1024,
                  1'000'000'000, "bytes",
                  "Bytes of applied entries after which a snapshot is written "
                  "even if they are fewer.");
  table.AddNumber("workers", settings.workers, 2, 64, "threads",
                  "Threads that run handlers.");
  table.AddChoice("log-level", settings.log_level,
                  {"debug", "info", "warning", "error"},
                  "Lines below this level are not logged.");
  return table;
}

// Adds the errors that `SettingsTable` can't detect.
void CheckSettings(const ControlSettings& settings, SettingsOutcome& outcome) {
  if (outcome.help_requested) {
    return;
  }
  if (settings.data_folder.empty()) {
    outcome.errors.emplace_back("setting --data-folder: expected a folder");
  }
  if (!IsId(settings.vm)) {
    outcome.errors.emplace_back(
        "setting --vm: expected an id of 1 to 128 "
        "bytes");
  }
  if (settings.election_timeout < 3 * settings.heartbeat) {
    outcome.errors.emplace_back(
        "setting --election-timeout-ms: expected at least three times "
        "--heartbeat-ms");
  }
}

ControlDriverSettings ToDriverSettings(const ControlSettings& settings) {
  ControlDriverSettings driver;
  driver.vm = VmId(settings.vm);
  driver.data_centre = DataCentreId(settings.data_centre);
  driver.address = settings.listen;
  driver.peers = settings.peers;
  driver.data_folder = settings.data_folder;
  driver.init = settings.forms_new_group;
  driver.join_as =
      settings.join_as == "learner" ? MemberRole::kLearner : MemberRole::kSpare;
  driver.replica.heartbeat_interval = settings.heartbeat;
  driver.replica.election_timeout = settings.election_timeout;
  driver.replica.replace_after = settings.replace_after;
  driver.compaction.entries =
      static_cast<std::uint64_t>(settings.compact_entries);
  driver.compaction.bytes = static_cast<std::uint64_t>(settings.compact_bytes);
  return driver;
}

int Run(const ControlSettings& settings) {
  SetLogLevel(ParseLogLevel(settings.log_level).value_or(LogLevel::kInfo));
  ControlProcess process(
      {settings.http, {}, settings.workers, ToDriverSettings(settings)});
  const auto opened = Capture<bool>([&]() -> Result<bool> {
    BOOST_LEAF_CHECK(process.Open(
        [&](const HttpRequest& request, const HttpResponder& respond) {
          respond(process.AnswerHttp(request));
        }));
    return true;
  });
  if (const auto* error = std::get_if<AnyError>(&opened)) {
    LogEvent(LogLevel::kError, "start_failed", {{"error", ToString(*error)}});
    return 1;
  }
  process.Serve();
  return 0;
}

}  // namespace

}  // namespace marigold

int main(int argc, char** argv) {
  marigold::ControlSettings settings;
  marigold::SettingsTable table = marigold::MakeTable(settings);
  marigold::SettingsOutcome outcome =
      marigold::ParseSettings(table, argc, argv);
  marigold::CheckSettings(settings, outcome);
  if (const auto code = marigold::ReportSettings(table, outcome)) {
    return *code;
  }
  return marigold::Run(settings);
}
