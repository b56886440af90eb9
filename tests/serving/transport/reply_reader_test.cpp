#include "transport/serving/reply_reader.h"

#include <catch2/catch.hpp>
#include <string>

namespace oakpier::serving {

namespace {

using State = ReplyReader::State;

const std::string kChunkedHead = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
constexpr std::size_t kReadBytes = 4096;
/// Bound on the memory of a reply that must not be read to its end.
constexpr std::size_t kMaxHeldBytes = std::size_t{1024} * 1024;

State feed(ReplyReader& reader, const std::string& bytes) {
  boost::asio::buffer_copy(reader.buffer().prepare(bytes.size()), boost::asio::buffer(bytes));
  reader.buffer().commit(bytes.size());
  return reader.advance();
}

State feedInReads(ReplyReader& reader, const std::string& bytes) {
  State state = State::kNeedsMore;
  for (std::size_t begin = 0; begin < bytes.size() && state == State::kNeedsMore; begin += kReadBytes) {
    state = feed(reader, bytes.substr(begin, kReadBytes));
  }
  return state;
}

/// Feeds `beginning` and then `unit` again and again; requires that the reply is found broken early.
void requireBroken(const std::string& beginning, const std::string& unit) {
  constexpr std::size_t kFedBytes = std::size_t{4} * 1024 * 1024;
  ReplyReader reader;
  reader.begin(false);
  State state = feedInReads(reader, beginning);
  std::string units;
  while (units.size() < kReadBytes) {
    units += unit;
  }
  for (std::size_t fed = 0; fed < kFedBytes && state == State::kNeedsMore; fed += units.size()) {
    state = feedInReads(reader, units);
    REQUIRE(reader.heldBytes() < kMaxHeldBytes);
  }
  CAPTURE(beginning.substr(0, 80), unit.substr(0, 40));
  REQUIRE(state == State::kBroken);
}

}  // namespace

TEST_CASE("bytes without end in any part of a reply make it broken", "[serving]") {
  requireBroken("HTTP/1.1 200 ", "x");
  requireBroken("HTTP/1.1 200 OK\r\n", "A: b\r\n");
  requireBroken("HTTP/1.1 200 OK\r\nA: ", "x");
  requireBroken(kChunkedHead, "0");
  requireBroken(kChunkedHead + "5;a=", "x");
  requireBroken(kChunkedHead, "1;a=" + std::string(1000, 'x') + "\r\nb\r\n");
  requireBroken(kChunkedHead + "0\r\n", "A: b\r\n");
  requireBroken(kChunkedHead + "0\r\nA: ", "x");
  requireBroken("", "HTTP/1.1 100 Continue\r\n\r\n");
}

TEST_CASE("a header field that the parser cannot store makes a reply broken", "[serving]") {
  constexpr std::size_t kFieldBytes = 65534;
  ReplyReader reader;
  reader.begin(false);
  REQUIRE(feed(reader, kChunkedHead + "2\r\nok\r\n0\r\nT: " + std::string(kFieldBytes, 'x') + "\r\n\r\n") ==
          State::kBroken);
}

TEST_CASE("a reply with a status that HTTP does not have is broken as soon as its header is complete",
          "[serving]") {
  for (const char* status : {"000", "001", "099", "101", "600", "999"}) {
    for (const char* framing : {"Content-Length: 5\r\n", "Transfer-Encoding: chunked\r\n", ""}) {
      ReplyReader reader;
      reader.begin(false);
      CAPTURE(status, framing);
      const std::string head = std::string("HTTP/1.1 ") + status + " X\r\n" + framing;
      REQUIRE(feed(reader, head) == State::kNeedsMore);
      REQUIRE(feed(reader, "\r\n") == State::kBroken);
    }
  }
}

TEST_CASE("a reply with any final status of HTTP is complete, also after interim ones", "[serving]") {
  constexpr unsigned kFirst = 200;
  constexpr unsigned kLast = 599;
  for (unsigned status = kFirst; status <= kLast; ++status) {
    ReplyReader reader;
    reader.begin(false);
    CAPTURE(status);
    REQUIRE(feed(reader, "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 102 Processing\r\n\r\nHTTP/1.1 " +
                             std::to_string(status) + " X\r\nContent-Length: 0\r\n\r\n") == State::kComplete);
    REQUIRE(reader.take().status == status);
  }
}

TEST_CASE("a reply in many small chunks, with extensions, a trailer and interim replies is read",
          "[serving]") {
  std::string bytes = "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\nA: b\r\n\r\n" + kChunkedHead;
  constexpr int kChunks = 20000;
  for (int chunk = 0; chunk < kChunks; ++chunk) {
    bytes += "1;a=b\r\nx\r\n";
  }
  bytes += "0\r\nT: t\r\n\r\n";
  ReplyReader reader;
  reader.begin(false);
  REQUIRE(feedInReads(reader, bytes) == State::kComplete);
  REQUIRE(reader.take().body == std::string(kChunks, 'x'));
}

TEST_CASE("a reply that is cut at any byte before its end is broken", "[serving]") {
  for (const std::string& whole :
       {std::string("HTTP/1.1 200 OK\r\nA: b\r\nContent-Length: 3\r\n\r\nabc"),
        kChunkedHead + "3\r\nabc\r\n0\r\nT: t\r\n\r\n",
        std::string("HTTP/1.1 100 Continue\r\n\r\n") + kChunkedHead + "0\r\n\r\n"}) {
    for (std::size_t length = 0; length < whole.size(); ++length) {
      ReplyReader reader;
      reader.begin(false);
      const State state = feed(reader, whole.substr(0, length));
      CAPTURE(whole, length);
      REQUIRE(state == State::kNeedsMore);
      REQUIRE(reader.onEof() == State::kBroken);
    }
  }
}

}  // namespace oakpier::serving
