/// Encoding of updates between daemons, including corrupted ones.

#include "protocol/serving/source_update_codec.h"

#include <google/protobuf/util/message_differencer.h>

#include <catch2/catch.hpp>

#include "support/property.h"

namespace oakpier::serving {

namespace {

SourceNews updateOf(std::size_t records) {
  SourceNews update;
  update.set_after_revision(3);
  update.set_revision(900);
  update.set_reader("127.0.0.1:9");
  for (std::size_t number = 0; number < records; ++number) {
    SourceRecordNews* record = update.add_records();
    record->set_key("servers/leaf-" + std::to_string(number));
    record->set_value(R"({"service":"shelf","zone":"a","capacity":2,"state":"ready","number":)" +
                      std::to_string(number * 7919) + "}");
    record->set_revision(number);
  }
  return update;
}

}  // namespace

TEST_CASE("an update of any size decodes to what was encoded", "[serving]") {
  for (const std::size_t records : {0U, 1U, 5U, 600U}) {
    PeerEnvelope envelope;
    encodeUpdate(updateOf(records), envelope);
    const auto decoded = decodeUpdate(envelope);
    REQUIRE(decoded);
    REQUIRE(google::protobuf::util::MessageDifferencer::Equals(*decoded, updateOf(records)));
  }
}

TEST_CASE("large updates are compressed", "[serving]") {
  PeerEnvelope envelope;
  encodeUpdate(updateOf(600), envelope);
  REQUIRE(envelope.ByteSizeLong() * 5 < updateOf(600).ByteSizeLong());
}

TEST_CASE("an update for several peers is compressed once", "[serving]") {
  UpdateEncoder encoder;
  SourceNews update = updateOf(600);
  for (const std::uint64_t age : {5U, 70U, 900U}) {
    update.set_age_us(age);
    PeerEnvelope envelope;
    encoder.encode(update, envelope);
    REQUIRE(google::protobuf::util::MessageDifferencer::Equals(*decodeUpdate(envelope), update));
  }
  REQUIRE(encoder.compressions() == 1);
  update.set_revision(901);
  PeerEnvelope other;
  encoder.encode(update, other);
  REQUIRE(encoder.compressions() == 2);
  REQUIRE(decodeUpdate(other)->revision() == 901);
}

TEST_CASE("a corrupted update decodes to nothing or to the original", "[serving]") {
  OAKPIER_PROPERTY("corruption", [] {
    PeerEnvelope envelope;
    encodeUpdate(updateOf(50), envelope);
    std::string bytes = envelope.packed_source_news().bytes();
    if (*rc::gen::arbitrary<bool>()) {
      bytes.resize(*rc::gen::inRange<std::size_t>(0, bytes.size()));
    } else {
      bytes[*rc::gen::inRange<std::size_t>(0, bytes.size())] ^= static_cast<char>(*rc::gen::inRange(1, 128));
    }
    envelope.mutable_packed_source_news()->set_bytes(bytes);
    // Some bits, such as padding, do not affect the decoded update.
    const auto decoded = decodeUpdate(envelope);
    const bool same = !decoded || google::protobuf::util::MessageDifferencer::Equals(*decoded, updateOf(50));
    RC_ASSERT(same);
  });
  REQUIRE_FALSE(decodeUpdate(PeerEnvelope{}));
}

}  // namespace oakpier::serving
