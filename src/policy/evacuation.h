#ifndef SRC_POLICY_EVACUATION_H_
#define SRC_POLICY_EVACUATION_H_

#include <algorithm>
#include <string>
#include <vector>

#include "src/core/ids.h"

namespace marigold {

// The data centres whose backend servers get no requests. Sorted, without
// duplicates.
using EvacuatedDataCentres = std::vector<DataCentreId>;

inline bool IsEvacuated(const EvacuatedDataCentres& evacuated,
                        const DataCentreId& data_centre) {
  return std::binary_search(evacuated.begin(), evacuated.end(), data_centre);
}

// Adds the data centre to the set or removes it. Returns false if the set was
// in the wanted state before.
inline bool SetEvacuated(EvacuatedDataCentres& evacuated,
                         const DataCentreId& data_centre,
                         bool is_evacuated) {
  const auto position =
      std::lower_bound(evacuated.begin(), evacuated.end(), data_centre);
  const bool was_evacuated =
      position != evacuated.end() && *position == data_centre;
  if (was_evacuated == is_evacuated) {
    return false;
  }
  if (is_evacuated) {
    evacuated.insert(position, data_centre);
  } else {
    evacuated.erase(position);
  }
  return true;
}

// The names, separated by commas, for logs and tables.
inline std::string ToString(const EvacuatedDataCentres& evacuated) {
  std::string names;
  for (const DataCentreId& data_centre : evacuated) {
    names.append(names.empty() ? "" : ",").append(data_centre.value());
  }
  return names;
}

}  // namespace marigold

#endif  // SRC_POLICY_EVACUATION_H_
