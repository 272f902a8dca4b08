#ifndef TOOLS_LOAD_LOAD_REQUEST_H_
#define TOOLS_LOAD_LOAD_REQUEST_H_

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "src/core/ids.h"
#include "src/core/random.h"
#include "src/core/units.h"

namespace marigold {

// A customer and the relative frequency of its requests.
struct CustomerWeight {
  CustomerId customer;
  double weight = 1;
};

// Parses NAME[:WEIGHT][,NAME[:WEIGHT]...], where weights are above 0 and 1 by
// default. Returns nothing if `text` has another form.
std::optional<std::vector<CustomerWeight>> ParseCustomers(
    std::string_view text);

// One request of a run. Its query occurs in no other request of the run, so
// that the answer to another request fails the checks.
struct LoadRequest {
  RequestId id;
  CustomerId customer;
  // The index of the customer in `RequestPlan::customers`.
  std::size_t customer_number = 0;
  ServiceId service;
  std::string query;
  Duration deadline{};
  Fraction minimum_coverage;
};

// The parameters of all requests of a run.
struct RequestPlan {
  std::vector<CustomerWeight> customers;
  ServiceId service;
  Duration deadline{};
  Fraction minimum_coverage;
  std::uint64_t seed = 1;
};

// Creates the requests of a run. The same plan gives the same sequence.
class RequestSource {
 public:
  explicit RequestSource(RequestPlan request_plan);

  LoadRequest Next();

 private:
  std::size_t DrawCustomer();

  RequestPlan plan;
  SeededRandom random;
  double weight_sum = 0;
  std::uint64_t created_count = 0;
};

// Encodes the body of `POST /v1/search`.
std::string EncodeLoadRequest(const LoadRequest& request);

}  // namespace marigold

#endif  // TOOLS_LOAD_LOAD_REQUEST_H_
