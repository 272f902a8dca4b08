#include "src/queries/known_data_centres.h"

#include <algorithm>

namespace marigold {

DataCentreKnowledge FindDataCentre(const DataCentreSources& sources,
                                   const DataCentreId& data_centre) {
  const auto is_there = [&](const auto& item) {
    return item.data_centre == data_centre;
  };
  const ControlStatus& status = sources.status;
  const bool is_known =
      is_there(status) ||
      std::ranges::any_of(status.membership.members, is_there) ||
      std::ranges::any_of(status.subscribers, is_there) ||
      std::ranges::any_of(sources.servers, is_there) ||
      std::ranges::find(sources.entry_vms, data_centre) !=
          sources.entry_vms.end() ||
      IsEvacuated(status.evacuated, data_centre);
  if (is_known) {
    return DataCentreKnowledge::kKnown;
  }
  return sources.has_listing ? DataCentreKnowledge::kUnknown
                             : DataCentreKnowledge::kUndecided;
}

}  // namespace marigold
