#ifndef SRC_POLICY_LISTING_H_
#define SRC_POLICY_LISTING_H_

#include <cstdint>
#include <vector>

#include "src/core/ids.h"
#include "src/core/settings_values.h"
#include "src/core/units.h"

namespace marigold {

// Of the rows of a listing; equal listings have equal hashes.
using ListingHash = detail::NumericId<struct ListingHashTag>;

// A backend server as the platform's list shows it.
struct ListedServer {
  BackendServerId server;
  ServiceId service;
  Endpoint endpoint;
  DataCentreId data_centre;
  // Requests that it runs at the same time.
  std::uint32_t slots = 1;
  // It gets no new requests.
  bool is_draining = false;
  // It has just started and is slow.
  bool is_cold = false;
  // Unix milliseconds of its start, or 0 if unknown. Another start under the
  // same id is another server.
  std::int64_t started_at_ms = 0;

  bool operator==(const ListedServer&) const = default;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(this->server, this->service, this->endpoint, this->data_centre,
            this->slots, this->is_draining, this->is_cold, this->started_at_ms);
  }
};

// One whole read of the platform's list.
struct Listing {
  std::vector<ListedServer> servers;
  // When the platform answered; `MonotonicTime::min()` for no read.
  MonotonicTime observed_at = MonotonicTime::min();
};

}  // namespace marigold

#endif  // SRC_POLICY_LISTING_H_
