#include "protocol/serving/source_update_codec.h"

#include <zlib.h>

#include <string>
#include <utility>

namespace oakpier::serving {

namespace {

/// Smaller updates are sent uncompressed.
constexpr std::size_t kCompressionThreshold = 600;
/// Compressed updates that declare a larger original size are rejected, so that a faulty peer cannot exhaust
/// the memory.
constexpr std::size_t kMaxUpdateBytes = std::size_t{128} * 1024 * 1024;
/// zlib level, from 1 (fastest) to 9 (smallest).
constexpr int kCompressionLevel = 3;

std::optional<PackedSourceNews> compress(SourceNews update) {
  PackedSourceNews packed;
  packed.set_age_us(update.age_us());
  update.clear_age_us();
  const std::string plain = update.SerializeAsString();
  uLongf size = compressBound(plain.size());
  std::string bytes(size, '\0');
  const int result = compress2(reinterpret_cast<Bytef*>(bytes.data()), &size,
                               reinterpret_cast<const Bytef*>(plain.data()), plain.size(), kCompressionLevel);
  if (result != Z_OK) {
    return std::nullopt;
  }
  bytes.resize(size);
  packed.set_bytes(bytes);
  packed.set_size(static_cast<std::uint32_t>(plain.size()));
  return packed;
}

std::optional<SourceNews> decompress(const PackedSourceNews& packed) {
  if (packed.size() > kMaxUpdateBytes) {
    return std::nullopt;
  }
  std::string plain(packed.size(), '\0');
  uLongf size = plain.size();
  const int result = uncompress(reinterpret_cast<Bytef*>(plain.data()), &size,
                                reinterpret_cast<const Bytef*>(packed.bytes().data()), packed.bytes().size());
  SourceNews update;
  if (result != Z_OK || size != plain.size() || !update.ParseFromString(plain)) {
    return std::nullopt;
  }
  update.set_age_us(update.age_us() + packed.age_us());
  return update;
}

}  // namespace

void encodeUpdate(const SourceNews& update, PeerEnvelope& envelope) {
  if (update.ByteSizeLong() >= kCompressionThreshold) {
    if (const auto packed = compress(update)) {
      *envelope.mutable_packed_source_news() = *packed;
      return;
    }
  }
  *envelope.mutable_source_news() = update;
}

UpdateEncoder::Identity UpdateEncoder::identityOf(const SourceNews& update) {
  return {update.whole(),    update.epoch(),        update.after_revision(),
          update.revision(), update.records_size(), update.reader()};
}

bool UpdateEncoder::sameAsLast(const Identity& identity) const {
  return identity.whole == last_.whole && identity.epoch == last_.epoch &&
         identity.afterRevision == last_.afterRevision && identity.revision == last_.revision &&
         identity.records == last_.records && identity.reader == last_.reader;
}

void UpdateEncoder::encode(const SourceNews& update, PeerEnvelope& envelope) {
  Identity identity = identityOf(update);
  if (packed_.size() > 0 && sameAsLast(identity)) {
    *envelope.mutable_packed_source_news() = packed_;
    envelope.mutable_packed_source_news()->set_age_us(update.age_us());
    return;
  }
  encodeUpdate(update, envelope);
  if (envelope.has_packed_source_news()) {
    ++compressions_;
    packed_ = envelope.packed_source_news();
    last_ = std::move(identity);
  }
}

std::optional<SourceNews> decodeUpdate(const PeerEnvelope& envelope) {
  if (envelope.has_source_news()) {
    return envelope.source_news();
  }
  if (envelope.has_packed_source_news()) {
    return decompress(envelope.packed_source_news());
  }
  return std::nullopt;
}

}  // namespace oakpier::serving
