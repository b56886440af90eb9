#include "programs/common/logging.h"

#include <unistd.h>

#include <atomic>
#include <boost/log/core.hpp>
#include <boost/log/expressions.hpp>
#include <boost/log/sinks/async_frontend.hpp>
#include <boost/log/sinks/basic_sink_backend.hpp>
#include <boost/log/sinks/bounded_fifo_queue.hpp>
#include <boost/log/sources/record_ostream.hpp>
#include <boost/log/sources/severity_logger.hpp>
#include <boost/log/trivial.hpp>
#include <boost/log/utility/exception_handler.hpp>
#include <boost/log/utility/setup/console.hpp>
#include <boost/make_shared.hpp>
#include <chrono>
#include <cstdlib>
#include <future>
#include <iostream>
#include <memory>
#include <thread>

#include "programs/common/abnormal_end.h"

namespace oakpier {

namespace {

namespace trivial = boost::log::trivial;

std::string programName;

constexpr std::size_t kMaxQueuedLines = 4096;
constexpr std::chrono::milliseconds kFlushTimeout(200);
std::atomic<std::uint64_t> droppedLines{0};
std::atomic<std::uint64_t> unwrittenLines{0};

/// Overflow policy of the queue.
struct DropAndCount {
  template <typename Lock>
  static bool on_overflow(const boost::log::record_view& /*line*/, Lock& /*lock*/) {
    ++droppedLines;
    return false;
  }
  static void on_queue_space_available() {}
  static void interrupt() {}
};

/// Writes lines to standard output. A line that cannot be written, because the reader has gone or the device
/// is full, is counted, and the next one is tried again.
class StandardOutput : public boost::log::sinks::basic_formatted_sink_backend<char> {
 public:
  void consume(const boost::log::record_view& /*record*/, const std::string& text) {
    const std::string line = (lineIncomplete_ ? "\n" : "") + text + "\n";
    lineIncomplete_ = !writeCompletely(STDOUT_FILENO, line.data(), line.size());
    unwrittenLines += lineIncomplete_ ? 1 : 0;
  }

 private:
  /// Part of the last line may have been written.
  bool lineIncomplete_ = false;
};

using BoundedSink = boost::log::sinks::asynchronous_sink<
    StandardOutput, boost::log::sinks::bounded_fifo_queue<kMaxQueuedLines, DropAndCount>>;
boost::shared_ptr<BoundedSink> boundedSink;

trivial::severity_level severityOf(LogLevel level) {
  switch (level) {
    case LogLevel::kDebug:
      return trivial::debug;
    case LogLevel::kInfo:
      return trivial::info;
    case LogLevel::kWarning:
      return trivial::warning;
    default:
      return trivial::error;
  }
}

}  // namespace

void startLogging(LogLevel level, const std::string& program) {
  programName = program;
  boost::log::add_console_log(
      std::clog,
      boost::log::keywords::format = boost::log::expressions::stream << boost::log::expressions::smessage,
      boost::log::keywords::auto_flush = true);
  boost::log::core::get()->set_filter(trivial::severity >= severityOf(level));
}

void startBoundedLogging(LogLevel level, const std::string& program) {
  programName = program;
  boundedSink = boost::make_shared<BoundedSink>();
  boundedSink->set_formatter(boost::log::expressions::stream << boost::log::expressions::smessage);
  // A line that cannot be logged must not end the thread that logs it or writes it out.
  boundedSink->set_exception_handler(boost::log::make_exception_suppressor());
  boost::log::core::get()->set_exception_handler(boost::log::make_exception_suppressor());
  boost::log::core::get()->add_sink(boundedSink);
  boost::log::core::get()->set_filter(trivial::severity >= severityOf(level));
}

std::uint64_t droppedLogLines() { return droppedLines; }

std::uint64_t unwrittenLogLines() { return unwrittenLines; }

void flushLogsAndExit(int code) {
  if (boundedSink) {
    auto flushed = std::make_shared<std::promise<void>>();
    std::future<void> done = flushed->get_future();
    std::thread([flushed] {
      boundedSink->flush();
      flushed->set_value();
    }).detach();
    done.wait_for(kFlushTimeout);
  }
  // Without destructors: the writer thread may still be blocked on a stalled reader.
  std::_Exit(code);
}

void log(LogLevel level, const std::string& message, const std::vector<LogField>& fields) {
  static boost::log::sources::severity_logger_mt<trivial::severity_level> logger;
  const auto severity = severityOf(level);
  auto record = logger.open_record(boost::log::keywords::severity = severity);
  if (!record) {
    return;
  }
  const auto now = std::chrono::system_clock::now().time_since_epoch();
  nlohmann::ordered_json line;
  line["time_us"] = std::chrono::duration_cast<std::chrono::microseconds>(now).count();
  line["level"] = trivial::to_string(severity);
  line["program"] = programName;
  line["pid"] = getpid();
  line["message"] = message;
  for (const auto& field : fields) {
    line[field.name] = field.value;
  }
  boost::log::record_ostream stream(record);
  stream << line.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
  stream.flush();
  logger.push_record(std::move(record));
}

}  // namespace oakpier
