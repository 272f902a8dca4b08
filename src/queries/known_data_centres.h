#ifndef SRC_QUERIES_KNOWN_DATA_CENTRES_H_
#define SRC_QUERIES_KNOWN_DATA_CENTRES_H_

#include <span>

#include "src/core/ids.h"
#include "src/policy/listing.h"
#include "src/tables/control_status.h"

namespace marigold {

// What a control VM knows of data centres.
struct DataCentreSources {
  // The status of this control VM with its subscribers.
  const ControlStatus& status;
  std::span<const ListedServer> servers;
  // True if the platform's list was read. `servers` is empty before.
  bool has_listing = false;
  // The data centres of the entry VMs that follow any control VM.
  std::span<const DataCentreId> entry_vms;
};

enum class DataCentreKnowledge {
  kKnown,
  kUnknown,
  // The platform's list, which may name the data centre, was not read yet.
  kUndecided,
};

// Decides whether a data centre may be evacuated. It is known if the listing,
// the members of the control group or an entry VM names it, or if it is
// evacuated. The last one lets an evacuation end after everything in the data
// centre is gone.
DataCentreKnowledge FindDataCentre(const DataCentreSources& sources,
                                   const DataCentreId& data_centre);

}  // namespace marigold

#endif  // SRC_QUERIES_KNOWN_DATA_CENTRES_H_
