// The process of an entry VM. It serves callers over HTTP and sends their
// searches and actions to backend servers.

#include "src/core/log.h"
#include "src/core/settings.h"
#include "src/programs/entry_process.h"
#include "src/programs/entry_settings.h"

int main(int argc, char** argv) {
  marigold::EntrySettings settings;
  marigold::SettingsTable table = marigold::MakeEntrySettingsTable(settings);
  marigold::SettingsOutcome outcome =
      marigold::ParseSettings(table, argc, argv);
  for (std::string& error : marigold::CheckEntrySettings(settings)) {
    outcome.errors.push_back(std::move(error));
  }
  if (const auto code = marigold::ReportSettings(table, outcome)) {
    return *code;
  }
  marigold::SetLogLevel(marigold::ToLogLevel(settings));
  return marigold::EntryProcess(settings).Run();
}
