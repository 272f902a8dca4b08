#ifndef SRC_POLICY_CUSTOMERS_H_
#define SRC_POLICY_CUSTOMERS_H_

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <variant>
#include <vector>

#include "src/core/ids.h"
#include "src/core/keyed_hash.h"
#include "src/core/units.h"

namespace marigold {

// The requests that a customer may make over all entry VMs together.
struct QuotaLimit {
  RatePerSecond rate;
  // The number of requests beyond the rate that may arrive at once.
  double burst = 0;

  bool is_unlimited() const { return this->rate.value() <= 0; }

  bool operator==(const QuotaLimit&) const = default;

  template <class Archive>
  void save(Archive& archive) const {
    archive(this->rate.value(), this->burst);
  }

  template <class Archive>
  void load(Archive& archive) {
    double requests_per_second = 0;
    archive(requests_per_second, this->burst);
    this->rate = RatePerSecond(requests_per_second);
  }
};

// A customer that may send requests.
struct RoutedCustomer {
  CustomerId customer;
  std::vector<ApiKey> keys;
  // Takes precedence over the priority of a route.
  std::optional<std::uint32_t> priority;
  QuotaLimit quota;

  bool operator==(const RoutedCustomer&) const = default;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(this->customer, this->keys, this->priority, this->quota);
  }
};

// The fields of a customer that can be invalid.
enum class CustomerField { kName, kKeys, kRate, kBurst };

// Stable text for errors, such as "keys".
std::string_view ToString(CustomerField field);

// An invalid field of a customer. Contains no key.
struct CustomerError {
  // The position of the customer, counted from 0.
  std::size_t index = 0;
  CustomerField field = CustomerField::kName;
  std::string expected;
};

// Validates the customers of a route table. Returns one error for each invalid
// field.
std::vector<CustomerError> ValidateCustomers(
    const std::vector<RoutedCustomer>& customers);

// The sender of a request.
struct RequestIdentity {
  // False if the route table has no customers. The request then carries no key.
  bool is_managed = false;
  // Absent if the request has no customer.
  std::optional<CustomerId> customer{};
  // The priority of the request: that of the customer, or else that of the
  // route. 0 is the highest.
  std::uint32_t priority = 0;

  bool operator==(const RequestIdentity&) const = default;
};

// A request that needs a key carries none that is known.
struct UnknownKey {
  bool operator==(const UnknownKey&) const = default;
};

using Identification = std::variant<RequestIdentity, UnknownKey>;

// Finds the customer of an API key. Immutable.
//
// A lookup takes two steps, so that its duration does not reveal how much of a
// key is correct: the keyed hash of the key selects one known key, and all
// bytes of that key are compared.
class CustomerIndex {
 public:
  // `customers` must outlive the index.
  CustomerIndex(const std::vector<RoutedCustomer>& customers,
                const KeyedHash& key_hash);

  // Returns null if no customer has the key.
  const RoutedCustomer* Find(const ApiKey& key) const;

 private:
  struct KnownKey {
    const ApiKey* key = nullptr;
    const RoutedCustomer* customer = nullptr;
  };
  // A keyed hash needs no further mixing.
  struct LowBits {
    std::size_t operator()(const ContentHash& hash) const { return hash.low; }
  };

  KeyedHash hash;
  std::unordered_map<ContentHash, KnownKey, LowBits> known_keys;
};

}  // namespace marigold

#endif  // SRC_POLICY_CUSTOMERS_H_
