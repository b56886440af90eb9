#pragma once

/// How a deployment's read-only configuration source is spoken to over HTTP, and what its records mean. The
/// source reader decides what is asked and when; a dialect only translates.

#include <string>

#include "coordination/serving/source_reader.h"
#include "coordination/serving/source_records.h"
#include "state/serving/http_message.h"

namespace oakpier::serving {

class SourceDialect {
 public:
  virtual ~SourceDialect() = default;
  /// The request that makes the call.
  virtual HttpRequest requestFor(const SourceCall& call) const = 0;
  virtual SourceAnswer decode(const SourceCall& call, const HttpReply& reply) const = 0;
  virtual SourceStatement interpret(const SourceRecord& record) const = 0;
};

}  // namespace oakpier::serving
