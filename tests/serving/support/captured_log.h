#pragma once

/// Records the log lines written during the lifetime of the object.

#include <boost/log/core.hpp>
#include <boost/log/expressions.hpp>
#include <boost/log/sinks/sync_frontend.hpp>
#include <boost/log/sinks/text_ostream_backend.hpp>
#include <boost/make_shared.hpp>
#include <boost/shared_ptr.hpp>
#include <sstream>
#include <string>

namespace oakpier::serving {

class CapturedLog {
 public:
  CapturedLog() : lines_(boost::make_shared<std::ostringstream>()) {
    const auto backend = boost::make_shared<boost::log::sinks::text_ostream_backend>();
    backend->add_stream(lines_);
    sink_ = boost::make_shared<Sink>(backend);
    sink_->set_formatter(boost::log::expressions::stream << boost::log::expressions::smessage);
    boost::log::core::get()->add_sink(sink_);
  }
  CapturedLog(const CapturedLog&) = delete;
  CapturedLog& operator=(const CapturedLog&) = delete;
  ~CapturedLog() { boost::log::core::get()->remove_sink(sink_); }

  std::string text() const {
    sink_->flush();
    return lines_->str();
  }

 private:
  using Sink = boost::log::sinks::synchronous_sink<boost::log::sinks::text_ostream_backend>;
  boost::shared_ptr<std::ostringstream> lines_;
  boost::shared_ptr<Sink> sink_;
};

}  // namespace oakpier::serving
