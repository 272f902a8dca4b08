#ifndef SRC_CORE_BINARY_CODEC_H_
#define SRC_CORE_BINARY_CODEC_H_

#include <bit>
#include <cereal/cereal.hpp>
#include <cereal/types/map.hpp>
#include <cereal/types/optional.hpp>
#include <cereal/types/string.hpp>
#include <cereal/types/utility.hpp>
#include <cereal/types/variant.hpp>
#include <cereal/types/vector.hpp>
#include <cstddef>
#include <cstdint>
#include <cstring>
#include <string>
#include <string_view>
#include <type_traits>
#include <utility>
#include <vector>

#include "src/core/result.h"
#include "src/core/units.h"

namespace marigold {

// Number of enumerators of an enum whose values count from 0. An enum without a
// specialisation can't be decoded, so that unknown values are always rejected.
template <class Enum>
inline constexpr std::uint64_t kEnumValues = 0;

template <>
inline constexpr std::uint64_t kEnumValues<Execution> = 3;
template <>
inline constexpr std::uint64_t kEnumValues<Reason> = kReasonCount;

// Encodes values in a cereal binary format that is always little-endian.
class BinaryWriter
    : public cereal::OutputArchive<BinaryWriter,
                                   cereal::AllowEmptyClassElision> {
 public:
  BinaryWriter()
      : cereal::OutputArchive<BinaryWriter, cereal::AllowEmptyClassElision>(
            this) {}

  void Write(const void* data, std::size_t size) {
    this->buffer.append(static_cast<const char*>(data), size);
  }

  std::string Take() { return std::move(this->buffer); }

 private:
  static_assert(std::endian::native == std::endian::little);

  std::string buffer;
};

// Decodes what `BinaryWriter` wrote. The input is untrusted: memory use grows
// only with the bytes that are present, and unknown values of flags and enums
// are rejected. Throws `cereal::Exception`, which `DecodeBinary` turns into an
// error.
class BinaryReader
    : public cereal::InputArchive<BinaryReader,
                                  cereal::AllowEmptyClassElision> {
 public:
  explicit BinaryReader(std::string_view input)
      : cereal::InputArchive<BinaryReader, cereal::AllowEmptyClassElision>(
            this),
        bytes(input) {}

  void Read(void* data, std::size_t size) {
    if (size > this->remaining()) {
      throw cereal::Exception(std::to_string(size) + " more bytes");
    }
    if (size > 0) {
      std::memcpy(data, this->bytes.data() + this->position, size);
      this->position += size;
    }
  }

  // Reads the length of a container whose items take at least one byte each.
  // Throws if the length exceeds the number of remaining bytes.
  std::size_t ReadCount() {
    std::uint64_t count = 0;
    this->Read(&count, sizeof(count));
    if (count > this->remaining()) {
      this->position -= sizeof(count);
      throw cereal::Exception("a length within the message");
    }
    return static_cast<std::size_t>(count);
  }

  std::size_t offset() const { return this->position; }
  std::size_t remaining() const { return this->bytes.size() - this->position; }

 private:
  std::string_view bytes;
  std::size_t position = 0;
};

template <class T>
std::string EncodeBinary(const T& value) {
  BinaryWriter writer;
  writer(value);
  return writer.Take();
}

// Fails with `ParseError`, which gives the byte offset, unless `bytes` is
// exactly one encoded `T`.
template <class T>
Result<T> DecodeBinary(std::string_view bytes) {
  BinaryReader reader(bytes);
  T value{};
  try {
    reader(value);
  } catch (const cereal::Exception& error) {
    return boost::leaf::new_error(
        ParseError{"", reader.offset(), error.what()});
  }
  if (reader.remaining() > 0) {
    return boost::leaf::new_error(
        ParseError{"", reader.offset(), "the end of the message"});
  }
  return value;
}

}  // namespace marigold

// cereal finds these overloads by the type of the archive. It requires them in
// its namespace and under these names.
namespace cereal {

template <class T>
requires std::is_arithmetic_v<T>
void save(marigold::BinaryWriter& writer, const T& value) {
  writer.Write(&value, sizeof(value));
}

template <class T>
requires std::is_arithmetic_v<T>
void load(marigold::BinaryReader& reader, T& value) {
  if constexpr (std::is_same_v<T, bool>) {
    std::uint8_t flag = 0;
    reader.Read(&flag, sizeof(flag));
    if (flag > 1) {
      throw Exception("a flag of 0 or 1");
    }
    value = flag == 1;
  } else {
    reader.Read(&value, sizeof(value));
  }
}

template <class T>
requires std::is_enum_v<T>
void save(marigold::BinaryWriter& writer, const T& value) {
  writer(static_cast<std::underlying_type_t<T>>(value));
}

template <class T>
requires std::is_enum_v<T>
void load(marigold::BinaryReader& reader, T& value) {
  static_assert(marigold::kEnumValues<T> > 0, "the enum has no kEnumValues");
  std::underlying_type_t<T> raw{};
  reader(raw);
  if (raw < 0 || static_cast<std::uint64_t>(raw) >= marigold::kEnumValues<T>) {
    throw Exception("an enumerator below " +
                    std::to_string(marigold::kEnumValues<T>));
  }
  value = static_cast<T>(raw);
}

template <class T>
requires std::is_enum_v<T>
struct specialize<marigold::BinaryWriter,
                  T,
                  specialization::non_member_load_save>
    : public std::true_type {
};

template <class T>
requires std::is_enum_v<T>
struct specialize<marigold::BinaryReader,
                  T,
                  specialization::non_member_load_save>
    : public std::true_type {
};

template <class T>
void save(marigold::BinaryWriter& writer, const NameValuePair<T>& pair) {
  writer(pair.value);
}

template <class T>
void load(marigold::BinaryReader& reader, NameValuePair<T>& pair) {
  reader(pair.value);
}

template <class T>
void save(marigold::BinaryWriter& writer, const SizeTag<T>& tag) {
  const auto count = static_cast<std::uint64_t>(tag.size);
  writer.Write(&count, sizeof(count));
}

template <class T>
void load(marigold::BinaryReader& reader, SizeTag<T>& tag) {
  tag.size = reader.ReadCount();
}

template <class T>
void save(marigold::BinaryWriter& writer, const BinaryData<T>& data) {
  writer.Write(data.data, static_cast<std::size_t>(data.size));
}

template <class T>
void load(marigold::BinaryReader& reader, BinaryData<T>& data) {
  reader.Read(data.data, static_cast<std::size_t>(data.size));
}

// cereal's own overload resizes a vector to the encoded length before it reads
// the items. This overload grows the vector item by item, so that a forged
// length does not allocate memory.
template <class T>
void load(marigold::BinaryReader& reader, std::vector<T>& items) {
  const std::size_t count = reader.ReadCount();
  items.clear();
  for (std::size_t i = 0; i < count; ++i) {
    reader(items.emplace_back());
  }
}

template <class T>
void save(marigold::BinaryWriter& writer, const std::vector<T>& items) {
  writer(make_size_tag(static_cast<size_type>(items.size())));
  for (const T& item : items) {
    writer(item);
  }
}

inline void save(marigold::BinaryWriter& writer,
                 const marigold::WallTime& time) {
  writer(static_cast<std::int64_t>(time.time_since_epoch().count()));
}

inline void load(marigold::BinaryReader& reader, marigold::WallTime& time) {
  std::int64_t micros = 0;
  reader(micros);
  time = marigold::WallTime(marigold::Duration(micros));
}

inline void save(marigold::BinaryWriter& writer,
                 const marigold::Duration& duration) {
  writer(static_cast<std::int64_t>(duration.count()));
}

inline void load(marigold::BinaryReader& reader, marigold::Duration& duration) {
  std::int64_t micros = 0;
  reader(micros);
  duration = marigold::Duration(micros);
}

}  // namespace cereal

CEREAL_SETUP_ARCHIVE_TRAITS(marigold::BinaryReader, marigold::BinaryWriter)

#endif  // SRC_CORE_BINARY_CODEC_H_
