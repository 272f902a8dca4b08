#include "tools/relay/relay_control.h"

#include <algorithm>
#include <array>
#include <boost/json.hpp>
#include <utility>

#include "src/wire/json.h"

namespace marigold {

namespace json = boost::json;

namespace {

constexpr std::size_t kMaxNameBytes = 256;
constexpr std::uint64_t kMaxMilliseconds = 3'600'000;

struct ChangeRow {
  std::string_view name;
  RelayChange change;
};

constexpr auto kChangeRows = std::to_array<ChangeRow>({
    {"cut", RelayChange::kCut},
    {"silence", RelayChange::kSilence},
    {"silence_forward", RelayChange::kSilenceForward},
    {"silence_back", RelayChange::kSilenceBack},
    {"delay", RelayChange::kDelay},
    {"resume", RelayChange::kResume},
});

// Returns the modes after a change, which do not depend on the modes before it.
RelayModes ModesOf(const RelayCommand& command) {
  RelayModes modes;
  modes.forward.silent = command.change == RelayChange::kSilence ||
                         command.change == RelayChange::kSilenceForward;
  modes.back.silent = command.change == RelayChange::kSilence ||
                      command.change == RelayChange::kSilenceBack;
  modes.forward.delay = command.delay;
  modes.back.delay = command.delay;
  return modes;
}

json::object EncodeMode(const RelayMode& mode) {
  return {{"silent", mode.silent}, {"delay_ms", mode.delay.count() / 1000}};
}

}  // namespace

Result<RelayCommand> DecodeRelayCommand(std::string_view body) {
  BOOST_LEAF_AUTO(document, ParseJsonObject(body));
  const json::object& object = document.get_object();
  JsonReader reader(object, "");
  const std::string name = reader.Text("change", 1, kMaxNameBytes);
  const auto* row =
      std::find_if(kChangeRows.begin(), kChangeRows.end(),
                   [&](const ChangeRow& item) { return item.name == name; });
  if (row == kChangeRows.end()) {
    return boost::leaf::new_error(ParseError{"change", {}, "a known change"});
  }
  RelayCommand command;
  command.change = row->change;
  if (object.contains("link")) {
    command.link = reader.Text("link", 1, kMaxNameBytes);
  }
  if (command.change == RelayChange::kDelay) {
    command.delay =
        std::chrono::milliseconds(reader.Number("ms", 0, kMaxMilliseconds));
  }
  BOOST_LEAF_CHECK(reader.Finish());
  return command;
}

Result<std::size_t> RunRelayCommand(const RelayCommand& command,
                                    const RelayLinks& links) {
  std::size_t changed = 0;
  for (const auto& link : links) {
    if (!command.link.empty() && command.link != link->View().settings.name) {
      continue;
    }
    ++changed;
    link->SetModes(ModesOf(command));
    if (command.change == RelayChange::kCut) {
      link->Cut();
    } else {
      BOOST_LEAF_CHECK(link->Open());
    }
  }
  return changed;
}

std::string ReadLinks(const RelayLinks& links) {
  json::array rows;
  for (const auto& link : links) {
    const RelayLinkView view = link->View();
    rows.push_back(json::object{
        {"link", view.settings.name},
        {"listen", ToString(view.settings.listen)},
        {"target", ToString(view.settings.target)},
        {"cut", view.is_cut},
        {"forward", EncodeMode(view.modes.forward)},
        {"back", EncodeMode(view.modes.back)},
        {"open_connections", view.open_connections},
        {"accepted", view.accepted},
    });
  }
  return json::serialize(json::object{{"links", std::move(rows)}});
}

}  // namespace marigold
