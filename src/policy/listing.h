#ifndef SRC_POLICY_LISTING_H_
#define SRC_POLICY_LISTING_H_

#include <cstdint>
#include <vector>

#include "src/core/ids.h"
#include "src/core/settings_values.h"
#include "src/core/units.h"

namespace marigold {

// Hash of the rows of a listing. Equal listings have equal hashes.
using ListingHash = detail::NumericId<struct ListingHashTag>;

// A backend server as listed by the platform.
struct ListedServer {
  BackendServerId server;
  ServiceId service;
  Endpoint endpoint;
  DataCentreId data_centre;
  // The number of requests that the server runs at the same time.
  std::uint32_t slots = 1;
  // True if the server must get no new requests.
  bool is_draining = false;
  // True if the server has just started and answers more slowly than usual.
  bool is_cold = false;
  // The start time of the server in Unix milliseconds, or 0 if it is unknown. A
  // server that restarts under the same id counts as another server.
  std::int64_t started_at_ms = 0;

  bool operator==(const ListedServer&) const = default;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(this->server, this->service, this->endpoint, this->data_centre,
            this->slots, this->is_draining, this->is_cold, this->started_at_ms);
  }
};

// The result of one complete read of the platform's list.
struct Listing {
  std::vector<ListedServer> servers;
  // The time at which the platform answered; `MonotonicTime::min()` if the list
  // has not been read.
  MonotonicTime observed_at = MonotonicTime::min();
};

}  // namespace marigold

#endif  // SRC_POLICY_LISTING_H_
