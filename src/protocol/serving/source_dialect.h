#pragma once

/// Interface to a deployment's configuration source, which is read over HTTP and never written. An
/// implementation encodes calls and decodes replies and records; `SourceReader` decides which call to make
/// and when.

#include <string>

#include "coordination/serving/source_reader.h"
#include "coordination/serving/source_records.h"
#include "state/serving/http_message.h"

namespace oakpier::serving {

class SourceDialect {
 public:
  virtual ~SourceDialect() = default;
  virtual HttpRequest requestFor(const SourceCall& call) const = 0;
  virtual SourceAnswer decode(const SourceCall& call, const HttpReply& reply) const = 0;
  virtual SourceStatement interpret(const SourceRecord& record) const = 0;
};

}  // namespace oakpier::serving
