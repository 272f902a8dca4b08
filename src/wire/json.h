#ifndef SRC_WIRE_JSON_H_
#define SRC_WIRE_JSON_H_

#include <boost/container/small_vector.hpp>
#include <boost/json/fwd.hpp>
#include <boost/json/storage_ptr.hpp>
#include <cstdint>
#include <initializer_list>
#include <string>
#include <string_view>
#include <vector>

#include "src/core/result.h"

namespace marigold {

// Reads the fields of one JSON object and remembers the errors. Fields
// that no call has named are errors, so that a misspelt field is not ignored.
class JsonReader {
 public:
  // `path` prefixes the field names in errors, such as "rows[2].".
  JsonReader(const boost::json::object& source, std::string path);

  // Text of at least `low` and at most `high` bytes of valid UTF-8.
  std::string Text(std::string_view field, std::size_t low, std::size_t high);

  // A whole number in [low, high].
  std::uint64_t Number(std::string_view field,
                       std::uint64_t low,
                       std::uint64_t high);

  // A whole number in [low, high], or `fallback` if the field is absent.
  std::uint64_t NumberOr(std::string_view field,
                         std::uint64_t low,
                         std::uint64_t high,
                         std::uint64_t fallback);

  // A finite decimal number in [low, high].
  double Decimal(std::string_view field, double low, double high);

  // A decimal number in [low, high], or `fallback` if the field is absent.
  double DecimalOr(std::string_view field,
                   double low,
                   double high,
                   double fallback);

  // An array of whole numbers.
  std::vector<std::uint64_t> Numbers(std::string_view field);

  // An array of texts, each of at least `low` and at most `high` bytes.
  std::vector<std::string> Texts(std::string_view field,
                                 std::size_t low,
                                 std::size_t high);

  // As `Texts`, or nothing if the field is absent.
  std::vector<std::string> TextsOrEmpty(std::string_view field,
                                        std::size_t low,
                                        std::size_t high);

  // An array of objects; nothing if the field is wrong.
  std::vector<const boost::json::object*> Objects(std::string_view field);

  // Accepts a field without reading it.
  void Ignore(std::string_view field);

  // The first error, or success.
  Result<void> Finish();

  // All errors, in the order in which the fields were read.
  const std::vector<ParseError>& errors() const { return this->all_errors; }

  const std::string& path() const { return this->prefix; }

 private:
  static constexpr std::size_t kInlineFields = 16;

  const boost::json::value* Find(std::string_view field);
  void AddError(std::string_view field, std::string expected);

  const boost::json::object& object;
  std::string prefix;
  // Field names are literals of the callers.
  boost::container::small_vector<std::string_view, kInlineFields> known_fields;
  std::vector<ParseError> all_errors;
};

// `text` as a JSON string with its quotes.
std::string QuoteJson(std::string_view text);

// Parses `text` as one JSON object of at most `depth` levels. Fails with
// `ParseError`, which gives the byte. The value's memory comes from `storage`.
Result<boost::json::value> ParseJsonObject(
    std::string_view text,
    boost::json::storage_ptr storage = {});

}  // namespace marigold

#endif  // SRC_WIRE_JSON_H_
