#include "src/wire/platform_list_json.h"

#include <fmt/format.h>

#include <boost/json.hpp>
#include <charconv>
#include <system_error>
#include <utility>
#include <variant>

#include "src/core/settings_values.h"
#include "src/wire/json.h"
#include "src/wire/json_split.h"

namespace marigold {

namespace json = boost::json;

namespace {

constexpr std::size_t kMaxIdBytes = 256;

Result<ServerRecord> DecodeServerRecord(std::string_view row) {
  BOOST_LEAF_AUTO(value, ParseJsonObject(row));
  JsonReader reader(value.get_object(), "");
  ServerRecord record;
  record.server = BackendServerId(reader.Text("server", 1, kMaxIdBytes));
  const std::string address = reader.Text("address", 1, kMaxIdBytes);
  const std::uint64_t port = reader.Number("port", 1, 65535);
  record.service = ServiceId(reader.Text("service", 1, kMaxIdBytes));
  record.data_centre = DataCentreId(reader.Text("data_centre", 1, kMaxIdBytes));
  const std::string state = reader.Text("state", 1, kMaxIdBytes);
  BOOST_LEAF_CHECK(reader.Finish());
  const auto endpoint = ParseEndpoint(fmt::format("{}:{}", address, port));
  if (!endpoint) {
    return boost::leaf::new_error(ParseError{"address", {}, "an IPv4 number"});
  }
  if (state != "live" && state != "leaving") {
    return boost::leaf::new_error(ParseError{"state", {}, "live or leaving"});
  }
  record.endpoint = *endpoint;
  record.is_leaving = state == "leaving";
  return record;
}

Result<std::uint64_t> DecodeListVersion(std::string_view text) {
  std::uint64_t version = 0;
  const char* const end = text.data() + text.size();
  const auto [stop, error] = std::from_chars(text.data(), end, version);
  if (error != std::errc() || stop != end) {
    return boost::leaf::new_error(
        ParseError{"version", {}, "a whole number from 0"});
  }
  return version;
}

// Decodes the records of the platform's list. Those that are invalid are
// skipped and counted.
Result<void> DecodeServerRecords(std::string_view text, PlatformVmList& list) {
  BOOST_LEAF_AUTO(rows, SplitJsonArray(text));
  for (const std::string_view row : rows) {
    const auto decoded =
        Capture<ServerRecord>([&] { return DecodeServerRecord(row); });
    if (const auto* record = std::get_if<ServerRecord>(&decoded)) {
      list.servers.push_back(*record);
    } else {
      ++list.unreadable_records;
    }
  }
  return {};
}

}  // namespace

std::string EncodePlatformList(const PlatformVmList& list) {
  json::array vms;
  for (const ServerRecord& record : list.servers) {
    vms.push_back(json::object{
        {"server", record.server.value()},
        {"address", record.endpoint.address},
        {"port", record.endpoint.port},
        {"service", record.service.value()},
        {"data_centre", record.data_centre.value()},
        {"state", record.is_leaving ? "leaving" : "live"},
    });
  }
  return json::serialize(
      json::object{{"version", list.version}, {"vms", std::move(vms)}});
}

Result<PlatformVmList> DecodePlatformList(std::string_view body) {
  BOOST_LEAF_AUTO(members, SplitJsonObject(body));
  PlatformVmList list;
  bool has_version = false;
  bool has_vms = false;
  for (const JsonMember& member : members) {
    if (member.name == "version") {
      BOOST_LEAF_ASSIGN(list.version, DecodeListVersion(member.value));
      has_version = true;
    } else if (member.name == "vms") {
      BOOST_LEAF_CHECK(DecodeServerRecords(member.value, list));
      has_vms = true;
    } else {
      return boost::leaf::new_error(
          ParseError{std::string(member.name), {}, "no such field"});
    }
  }
  if (!has_version || !has_vms) {
    return boost::leaf::new_error(
        ParseError{has_version ? "vms" : "version", {}, "a value"});
  }
  return list;
}

}  // namespace marigold
