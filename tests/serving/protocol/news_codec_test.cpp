/// Encoding of updates between daemons, including corrupted ones.

#include "protocol/serving/news_codec.h"

#include <google/protobuf/util/message_differencer.h>

#include <catch2/catch.hpp>

#include "support/property.h"

namespace oakpier::serving {

namespace {

SourceNews newsOf(std::size_t records) {
  SourceNews news;
  news.set_after_revision(3);
  news.set_revision(900);
  news.set_reader("127.0.0.1:9");
  for (std::size_t number = 0; number < records; ++number) {
    SourceRecordNews* record = news.add_records();
    record->set_key("servers/leaf-" + std::to_string(number));
    record->set_value(R"({"service":"shelf","zone":"a","capacity":2,"state":"ready","number":)" +
                      std::to_string(number * 7919) + "}");
    record->set_revision(number);
  }
  return news;
}

}  // namespace

TEST_CASE("an update of any size decodes to what was encoded", "[serving]") {
  for (const std::size_t records : {0U, 1U, 5U, 600U}) {
    PeerEnvelope envelope;
    packNews(newsOf(records), envelope);
    const auto unpacked = unpackNews(envelope);
    REQUIRE(unpacked);
    REQUIRE(google::protobuf::util::MessageDifferencer::Equals(*unpacked, newsOf(records)));
  }
}

TEST_CASE("large updates are compressed", "[serving]") {
  PeerEnvelope envelope;
  packNews(newsOf(600), envelope);
  REQUIRE(envelope.ByteSizeLong() * 5 < newsOf(600).ByteSizeLong());
}

TEST_CASE("an update for several peers is compressed once", "[serving]") {
  NewsPacker packer;
  SourceNews news = newsOf(600);
  for (const std::uint64_t age : {5U, 70U, 900U}) {
    news.set_age_us(age);
    PeerEnvelope envelope;
    packer.pack(news, envelope);
    REQUIRE(google::protobuf::util::MessageDifferencer::Equals(*unpackNews(envelope), news));
  }
  REQUIRE(packer.compressions() == 1);
  news.set_revision(901);
  PeerEnvelope other;
  packer.pack(news, other);
  REQUIRE(packer.compressions() == 2);
  REQUIRE(unpackNews(other)->revision() == 901);
}

TEST_CASE("a corrupted update decodes to nothing or to the original", "[serving]") {
  OAKPIER_PROPERTY("corruption", [] {
    PeerEnvelope envelope;
    packNews(newsOf(50), envelope);
    std::string bytes = envelope.packed_source_news().bytes();
    if (*rc::gen::arbitrary<bool>()) {
      bytes.resize(*rc::gen::inRange<std::size_t>(0, bytes.size()));
    } else {
      bytes[*rc::gen::inRange<std::size_t>(0, bytes.size())] ^= static_cast<char>(*rc::gen::inRange(1, 128));
    }
    envelope.mutable_packed_source_news()->set_bytes(bytes);
    // Some bits, such as padding, do not affect the decoded update.
    const auto unpacked = unpackNews(envelope);
    const bool same = !unpacked || google::protobuf::util::MessageDifferencer::Equals(*unpacked, newsOf(50));
    RC_ASSERT(same);
  });
  REQUIRE_FALSE(unpackNews(PeerEnvelope{}));
}

}  // namespace oakpier::serving
