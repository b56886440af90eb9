#pragma once

/// Encoding of schema-defined calls over HTTP: POST /package.Service/Method with a binary or a JSON body.

#include <google/protobuf/message.h>

#include <optional>
#include <string>

#include "oakpier/error.pb.h"

namespace oakpier {

enum class BodyFormat { kBinary, kJson };

inline constexpr const char* kBinaryContentType = "application/x-protobuf";
inline constexpr const char* kJsonContentType = "application/json";

/// Binary unless the content type is JSON.
BodyFormat bodyFormatOf(const std::string& contentType);

const char* contentTypeOf(BodyFormat format);

std::string encodeBody(const google::protobuf::Message& message, BodyFormat format);

/// Parses `body` into `message`. On failure returns ERROR_MALFORMED_REQUEST, for JSON with the parser's
/// message.
std::optional<Error> decodeBody(const std::string& body, BodyFormat format,
                                google::protobuf::Message& message);

Error makeError(ErrorCode code, const std::string& message, const std::string& field = "");

}  // namespace oakpier
