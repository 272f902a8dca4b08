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

// Reads the fields of one JSON object and collects the errors. If a field is
// missing or invalid, the read functions record an error and return the lowest
// value or an empty one. `Finish` reports each field that was not read as an
// error, so that a misspelt field is not ignored.
class JsonReader {
 public:
  // `path` precedes the field names in errors, such as "rows[2].". The object
  // must outlive the reader.
  JsonReader(const boost::json::object& source, std::string path);

  // A string of valid UTF-8 with at least `low` and at most `high` bytes.
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

  // An array of strings, each with at least `low` and at most `high` bytes.
  std::vector<std::string> Texts(std::string_view field,
                                 std::size_t low,
                                 std::size_t high);

  // Like `Texts`, but returns an empty vector if the field is absent.
  std::vector<std::string> TextsOrEmpty(std::string_view field,
                                        std::size_t low,
                                        std::size_t high);

  // An array of objects, which belong to the JSON object that is read. Empty if
  // the field is invalid.
  std::vector<const boost::json::object*> Objects(std::string_view field);

  // Accepts any value of a field, or its absence.
  void Ignore(std::string_view field);

  // Checks for fields that were not read. Fails with the first error, a
  // `ParseError`.
  Result<void> Finish();

  // All errors in the order in which they were found.
  const std::vector<ParseError>& errors() const { return this->all_errors; }

  const std::string& path() const { return this->prefix; }

 private:
  static constexpr std::size_t kInlineFields = 16;

  const boost::json::value* Find(std::string_view field);
  void AddError(std::string_view field, std::string expected);

  const boost::json::object& object;
  std::string prefix;
  // The names of the fields that were read or ignored. They are views of string
  // literals in the calling code.
  boost::container::small_vector<std::string_view, kInlineFields> known_fields;
  std::vector<ParseError> all_errors;
};

// Returns `text` as a JSON string, with quotes and escapes.
std::string QuoteJson(std::string_view text);

// Parses `text` as one JSON object with at most 8 levels of nesting. Fails with
// `ParseError`, which contains the offset of the invalid byte. The memory of
// the value is allocated from `storage`.
Result<boost::json::value> ParseJsonObject(
    std::string_view text,
    boost::json::storage_ptr storage = {});

}  // namespace marigold

#endif  // SRC_WIRE_JSON_H_
