#pragma once

/// How a schema-defined call travels over HTTP: POST /package.Service/Method with a binary or a JSON body.

#include <google/protobuf/message.h>

#include <optional>
#include <string>

#include "oakpier/error.pb.h"

namespace oakpier {

enum class BodyFormat { kBinary, kJson };

inline constexpr const char* kBinaryContentType = "application/x-protobuf";
inline constexpr const char* kJsonContentType = "application/json";

/// JSON only when the content type says so.
BodyFormat bodyFormatOf(const std::string& contentType);

const char* contentTypeOf(BodyFormat format);

std::string encodeBody(const google::protobuf::Message& message, BodyFormat format);

/// Fills `message`; on failure returns ERROR_MALFORMED_REQUEST with the place that could not be read.
std::optional<Error> decodeBody(const std::string& body, BodyFormat format,
                                google::protobuf::Message& message);

Error makeError(ErrorCode code, const std::string& message, const std::string& field = "");

}  // namespace oakpier
