#include "protocol/rpc_codec.h"

#include <google/protobuf/util/json_util.h>

namespace oakpier {

BodyFormat bodyFormatOf(const std::string& contentType) {
  const bool json = contentType.rfind(kJsonContentType, 0) == 0;
  return json ? BodyFormat::kJson : BodyFormat::kBinary;
}

const char* contentTypeOf(BodyFormat format) {
  return format == BodyFormat::kJson ? kJsonContentType : kBinaryContentType;
}

std::string encodeBody(const google::protobuf::Message& message, BodyFormat format) {
  if (format == BodyFormat::kBinary) {
    return message.SerializeAsString();
  }
  google::protobuf::util::JsonPrintOptions options;
  options.preserve_proto_field_names = true;
  options.add_whitespace = true;
  std::string text;
  // Fails only for Any fields of unknown type, which the schema does not have.
  (void)google::protobuf::util::MessageToJsonString(message, &text, options);
  return text;
}

std::optional<Error> decodeBody(const std::string& body, BodyFormat format,
                                google::protobuf::Message& message) {
  if (format == BodyFormat::kBinary) {
    if (message.ParseFromString(body)) {
      return std::nullopt;
    }
    return makeError(ERROR_MALFORMED_REQUEST,
                     "the body is not a binary " + message.GetDescriptor()->full_name());
  }
  const auto status = google::protobuf::util::JsonStringToMessage(body, &message);
  if (status.ok()) {
    return std::nullopt;
  }
  return makeError(ERROR_MALFORMED_REQUEST, "the body is not a JSON " + message.GetDescriptor()->full_name() +
                                                ": " + std::string(status.message()));
}

Error makeError(ErrorCode code, const std::string& message, const std::string& field) {
  Error error;
  error.set_code(code);
  error.set_message(message);
  error.set_field(field);
  return error;
}

}  // namespace oakpier
