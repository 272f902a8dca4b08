#include <utility>

#include "src/core/binary_codec.h"
#include "src/core/checksum.h"
#include "src/core/invariant.h"
#include "src/tables/control_state.h"

namespace marigold {

namespace {

constexpr std::uint32_t kMagic = 0x5343474d;  // "MGCS"
constexpr std::uint32_t kFormatVersion = 3;

struct ImageHeader {
  std::uint32_t magic = kMagic;
  std::uint32_t version = kFormatVersion;
  std::uint64_t body_checksum = 0;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(this->magic, this->version, this->body_checksum);
  }
};

constexpr std::size_t kMagicOffset = 0;
constexpr std::size_t kVersionOffset = 4;
constexpr std::size_t kHeaderBytes = 16;

Result<void> CheckHeader(std::string_view image) {
  if (image.size() < kHeaderBytes) {
    return boost::leaf::new_error(
        ParseError{"header", image.size(), "a header of 16 bytes"});
  }
  BOOST_LEAF_AUTO(header,
                  DecodeBinary<ImageHeader>(image.substr(0, kHeaderBytes)));
  if (header.magic != kMagic) {
    return boost::leaf::new_error(ParseError{
        "magic", kMagicOffset, "the magic number of a control state"});
  }
  if (header.version != kFormatVersion) {
    return boost::leaf::new_error(
        ParseError{"version", kVersionOffset, "format version 3"});
  }
  if (header.body_checksum != Checksum(image.substr(kHeaderBytes))) {
    return boost::leaf::new_error(ParseError{
        "body", kHeaderBytes, "bytes that match the checksum in the header"});
  }
  return {};
}

}  // namespace

// The whole state on which the outcomes of later commands depend.
struct ControlState::Image {
  explicit Image(const ControlStateSettings& settings)
      : changes(settings.remembered_changes),
        ledger({settings.ledger_retention, settings.issue_skew,
                settings.ledger_bytes}) {}

  Lists lists;
  ChangeLog changes;
  ActionLedger ledger;
  LogIndex applied;
  LogIndex lists_index;
  WallTime latest_proposed_at;
  std::optional<PutRoutes> routes;
  LogIndex routes_index;
  EvacuatedDataCentres evacuated;
  LogIndex evacuation_index;
};

std::string ControlState::Serialise() const {
  BinaryWriter body;
  const std::optional<PutRoutes> routes =
      this->routes_in_force ? std::optional(*this->routes_in_force)
                            : std::nullopt;
  body(this->last_applied, this->last_list_change_index,
       this->latest_proposed_at, this->current_lists, this->changes,
       this->ledger, routes, this->last_routes_change_index,
       this->evacuated_data_centres, this->last_evacuation_change_index);
  const std::string bytes = body.Take();
  ImageHeader header;
  header.body_checksum = Checksum(bytes);
  return EncodeBinary(header) + bytes;
}

Result<void> ControlState::Restore(std::string_view image) {
  BOOST_LEAF_CHECK(CheckHeader(image));
  BinaryReader body(image.substr(kHeaderBytes));
  Image restored(this->settings);
  try {
    body(restored.applied, restored.lists_index, restored.latest_proposed_at,
         restored.lists, restored.changes, restored.ledger, restored.routes,
         restored.routes_index, restored.evacuated, restored.evacuation_index);
  } catch (const cereal::Exception& error) {
    return boost::leaf::new_error(
        ParseError{"body", kHeaderBytes + body.offset(), error.what()});
  }
  if (body.remaining() > 0) {
    return boost::leaf::new_error(ParseError{
        "body", kHeaderBytes + body.offset(), "the end of the image"});
  }
  CheckInvariant(Invariant::kListNeverReverts,
                 restored.lists_index >= this->last_list_change_index,
                 "a restored state has older lists than the current one");
  this->current_lists = std::move(restored.lists);
  this->encoded_list_bytes = EncodedBytes(this->current_lists);
  this->changes = std::move(restored.changes);
  this->ledger = std::move(restored.ledger);
  this->last_applied = restored.applied;
  this->last_list_change_index = restored.lists_index;
  this->latest_proposed_at = restored.latest_proposed_at;
  this->routes_in_force =
      restored.routes
          ? std::make_shared<const PutRoutes>(std::move(*restored.routes))
          : nullptr;
  this->last_routes_change_index = restored.routes_index;
  this->evacuated_data_centres = std::move(restored.evacuated);
  this->last_evacuation_change_index = restored.evacuation_index;
  return {};
}

}  // namespace marigold
