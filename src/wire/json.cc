#include "src/wire/json.h"

#include <fmt/format.h>

#include <algorithm>
#include <array>
#include <boost/json.hpp>
#include <cmath>
#include <utility>

namespace marigold {

namespace json = boost::json;

namespace {

constexpr std::size_t kMaxDepth = 8;
// A buffer of this size is enough to parse a usual message without allocating
// heap memory for the parser's state.
constexpr std::size_t kParserBufferBytes = 2048;

bool AsDecimal(const json::value& value, double& number) {
  if (!value.is_number()) {
    return false;
  }
  number = value.to_number<double>();
  return std::isfinite(number);
}

bool AsUnsigned(const json::value& value, std::uint64_t& number) {
  if (value.is_uint64()) {
    number = value.get_uint64();
    return true;
  }
  if (value.is_int64() && value.get_int64() >= 0) {
    number = static_cast<std::uint64_t>(value.get_int64());
    return true;
  }
  return false;
}

}  // namespace

JsonReader::JsonReader(const json::object& source, std::string path)
    : object(source), prefix(std::move(path)) {}

std::string JsonReader::Text(std::string_view field,
                             std::size_t low,
                             std::size_t high) {
  const json::value* value = this->Find(field);
  if (value == nullptr || !value->is_string() ||
      value->get_string().size() < low || value->get_string().size() > high) {
    this->AddError(field, fmt::format("text of {} to {} bytes", low, high));
    return "";
  }
  return std::string(value->get_string().data(), value->get_string().size());
}

std::uint64_t JsonReader::Number(std::string_view field,
                                 std::uint64_t low,
                                 std::uint64_t high) {
  const json::value* value = this->Find(field);
  std::uint64_t number = 0;
  if (value == nullptr || !AsUnsigned(*value, number) || number < low ||
      number > high) {
    this->AddError(field,
                   fmt::format("a whole number from {} to {}", low, high));
    return low;
  }
  return number;
}

std::uint64_t JsonReader::NumberOr(std::string_view field,
                                   std::uint64_t low,
                                   std::uint64_t high,
                                   std::uint64_t fallback) {
  if (this->Find(field) == nullptr) {
    return fallback;
  }
  return this->Number(field, low, high);
}

double JsonReader::Decimal(std::string_view field, double low, double high) {
  const json::value* value = this->Find(field);
  double number = 0;
  if (value == nullptr || !AsDecimal(*value, number) || number < low ||
      number > high) {
    this->AddError(field, fmt::format("a number from {} to {}", low, high));
    return low;
  }
  return number;
}

double JsonReader::DecimalOr(std::string_view field,
                             double low,
                             double high,
                             double fallback) {
  if (this->Find(field) == nullptr) {
    return fallback;
  }
  return this->Decimal(field, low, high);
}

std::vector<std::uint64_t> JsonReader::Numbers(std::string_view field) {
  const json::value* value = this->Find(field);
  std::vector<std::uint64_t> numbers;
  if (value == nullptr || !value->is_array()) {
    this->AddError(field, "an array of whole numbers");
    return numbers;
  }
  for (const json::value& item : value->get_array()) {
    std::uint64_t number = 0;
    if (!AsUnsigned(item, number)) {
      this->AddError(field, "an array of whole numbers");
      return {};
    }
    numbers.push_back(number);
  }
  return numbers;
}

std::vector<std::string> JsonReader::Texts(std::string_view field,
                                           std::size_t low,
                                           std::size_t high) {
  const json::value* value = this->Find(field);
  std::vector<std::string> texts;
  bool is_valid = value != nullptr && value->is_array();
  if (is_valid) {
    for (const json::value& item : value->get_array()) {
      const json::string* text = item.if_string();
      is_valid = is_valid && text != nullptr && text->size() >= low &&
                 text->size() <= high;
      texts.emplace_back(is_valid ? std::string(text->begin(), text->end())
                                  : "");
    }
  }
  if (!is_valid) {
    this->AddError(
        field, fmt::format("an array of texts of {} to {} bytes", low, high));
    return {};
  }
  return texts;
}

std::vector<std::string> JsonReader::TextsOrEmpty(std::string_view field,
                                                  std::size_t low,
                                                  std::size_t high) {
  if (this->Find(field) == nullptr) {
    return {};
  }
  return this->Texts(field, low, high);
}

std::vector<const json::object*> JsonReader::Objects(std::string_view field) {
  const json::value* value = this->Find(field);
  std::vector<const json::object*> objects;
  if (value == nullptr || !value->is_array()) {
    this->AddError(field, "an array of objects");
    return objects;
  }
  for (const json::value& item : value->get_array()) {
    if (!item.is_object()) {
      this->AddError(field, "an array of objects");
      return {};
    }
    objects.push_back(&item.get_object());
  }
  return objects;
}

void JsonReader::Ignore(std::string_view field) {
  this->known_fields.emplace_back(field);
}

Result<void> JsonReader::Finish() {
  for (const auto& item : this->object) {
    const std::string_view name(item.key().data(), item.key().size());
    if (std::find(this->known_fields.begin(), this->known_fields.end(), name) ==
        this->known_fields.end()) {
      this->AddError(name, "no such field");
    }
  }
  if (!this->all_errors.empty()) {
    return boost::leaf::new_error(this->all_errors.front());
  }
  return {};
}

const json::value* JsonReader::Find(std::string_view field) {
  this->Ignore(field);
  return this->object.if_contains(
      json::string_view(field.data(), field.size()));
}

void JsonReader::AddError(std::string_view field, std::string expected) {
  this->all_errors.push_back(
      {this->prefix + std::string(field), {}, std::move(expected)});
}

std::string QuoteJson(std::string_view text) {
  return json::serialize(json::string_view(text.data(), text.size()));
}

Result<json::value> ParseJsonObject(std::string_view text,
                                    json::storage_ptr storage) {
  json::parse_options options;
  options.max_depth = kMaxDepth;
  std::array<unsigned char, kParserBufferBytes> buffer;
  json::stream_parser parser({}, options, buffer.data(), buffer.size());
  parser.reset(std::move(storage));
  json::error_code error;
  const std::size_t consumed =
      parser.write_some(text.data(), text.size(), error);
  if (!error && consumed == text.size()) {
    parser.finish(error);
  }
  if (error) {
    return boost::leaf::new_error(
        ParseError{"", consumed, "one JSON object (" + error.message() + ")"});
  }
  if (consumed != text.size()) {
    return boost::leaf::new_error(
        ParseError{"", consumed, "nothing after the JSON object"});
  }
  json::value value = parser.release();
  if (!value.is_object()) {
    return boost::leaf::new_error(ParseError{"", 0, "a JSON object"});
  }
  return value;
}

}  // namespace marigold
