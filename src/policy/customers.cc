#include "src/policy/customers.h"

#include <fmt/format.h>

#include <algorithm>
#include <set>
#include <utility>

namespace marigold {

namespace {

// The largest rate and the largest burst that a quota may have.
constexpr double kMaxQuota = 1e9;

// Compares all bytes of texts of the same length. The duration depends only on
// the length.
bool EqualInConstantTime(std::string_view a, std::string_view b) {
  if (a.size() != b.size()) {
    return false;
  }
  // Volatile, so that the compiler does not end the loop early.
  volatile unsigned char difference = 0;
  for (std::size_t i = 0; i < a.size(); ++i) {
    difference = static_cast<unsigned char>(
        difference |
        (static_cast<unsigned char>(a[i]) ^ static_cast<unsigned char>(b[i])));
  }
  return difference == 0;
}

bool IsBlank(char character) {
  return character == ' ' || character == '\t';
}

bool IsControl(char character) {
  constexpr unsigned char kFirstPrintable = 0x20;
  constexpr unsigned char kDelete = 0x7f;
  const auto byte = static_cast<unsigned char>(character);
  return byte < kFirstPrintable || byte == kDelete;
}

// True if the name can be written as the value of a header field and is read
// from it unchanged.
bool IsName(std::string_view name) {
  return !name.empty() && !IsBlank(name.front()) && !IsBlank(name.back()) &&
         std::none_of(name.begin(), name.end(), IsControl);
}

// False for a value that is not a number as well.
bool IsQuota(double value) {
  return value >= 0 && value <= kMaxQuota;
}

// Collects the errors of one table of customers.
class CustomerCheck {
 public:
  void Add(const RoutedCustomer& customer) {
    const std::string_view name = customer.customer.value();
    if (!IsName(name)) {
      this->AddError(CustomerField::kName,
                     "text without control characters and without blanks at "
                     "its ends");
    } else if (!this->names.insert(name).second) {
      this->AddError(CustomerField::kName, "a name that no other customer has");
    }
    this->CheckKeys(customer);
    const std::string quota_bounds =
        fmt::format("a number from 0 to {}", kMaxQuota);
    if (!IsQuota(customer.quota.rate.value())) {
      this->AddError(CustomerField::kRate, quota_bounds);
    }
    if (!IsQuota(customer.quota.burst)) {
      this->AddError(CustomerField::kBurst, quota_bounds);
    }
    ++this->index;
  }

  std::vector<CustomerError> TakeErrors() { return std::move(this->errors); }

 private:
  void CheckKeys(const RoutedCustomer& customer) {
    for (const ApiKey& key : customer.keys) {
      if (key.value().empty()) {
        this->AddError(CustomerField::kKeys, "no empty key");
        return;
      }
      if (!this->keys.insert(key.value()).second) {
        this->AddError(CustomerField::kKeys,
                       "keys that occur only once and belong to no other "
                       "customer");
        return;
      }
    }
  }

  void AddError(CustomerField field, std::string expected) {
    this->errors.push_back({this->index, field, std::move(expected)});
  }

  std::size_t index = 0;
  std::set<std::string_view> names;
  std::set<std::string_view> keys;
  std::vector<CustomerError> errors;
};

}  // namespace

std::string_view ToString(CustomerField field) {
  switch (field) {
    case CustomerField::kName:
      return "name";
    case CustomerField::kKeys:
      return "keys";
    case CustomerField::kRate:
      return "rate";
    case CustomerField::kBurst:
      return "burst";
  }
  return "unknown";
}

std::vector<CustomerError> ValidateCustomers(
    const std::vector<RoutedCustomer>& customers) {
  CustomerCheck check;
  for (const RoutedCustomer& customer : customers) {
    check.Add(customer);
  }
  return check.TakeErrors();
}

CustomerIndex::CustomerIndex(const std::vector<RoutedCustomer>& customers,
                             const KeyedHash& key_hash)
    : hash(key_hash) {
  for (const RoutedCustomer& customer : customers) {
    for (const ApiKey& key : customer.keys) {
      this->known_keys[this->hash(key.value())] = {&key, &customer};
    }
  }
}

const RoutedCustomer* CustomerIndex::Find(const ApiKey& key) const {
  const auto found = this->known_keys.find(this->hash(key.value()));
  if (found == this->known_keys.end() ||
      !EqualInConstantTime(found->second.key->value(), key.value())) {
    return nullptr;
  }
  return found->second.customer;
}

}  // namespace marigold
