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

// A customer and its part of all requests.
struct CustomerWeight {
  CustomerId customer;
  double weight = 1;
};

// Nothing unless `text` is NAME[:WEIGHT][,NAME[:WEIGHT]...] with weights above
// 0.
std::optional<std::vector<CustomerWeight>> ParseCustomers(
    std::string_view text);

// One search of a run. Its query occurs in no other search of the run, so that
// another search's answer differs.
struct LoadRequest {
  RequestId id;
  CustomerId customer;
  // The position of the customer in the settings.
  std::size_t customer_number = 0;
  ServiceId service;
  std::string query;
  Duration deadline{};
  Fraction minimum_coverage;
};

struct RequestPlan {
  std::vector<CustomerWeight> customers;
  ServiceId service;
  Duration deadline{};
  Fraction minimum_coverage;
  std::uint64_t seed = 1;
};

// Makes the requests of a run; the same sequence for the same plan.
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

// The body of `POST /v1/search`.
std::string EncodeLoadRequest(const LoadRequest& request);

}  // namespace marigold

#endif  // TOOLS_LOAD_LOAD_REQUEST_H_
