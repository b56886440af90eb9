#pragma once

/// Reads and writes protobuf messages as JSON files.

#include <google/protobuf/message.h>

#include <fstream>
#include <sstream>
#include <string>

#include "protocol/rpc_codec.h"

namespace oakpier {

/// Fills `message` from the file. Returns an error that names the file, or an empty string on success.
inline std::string readJsonFile(const std::string& path, google::protobuf::Message& message) {
  std::ifstream file(path);
  if (!file) {
    return "cannot read " + path;
  }
  std::stringstream content;
  content << file.rdbuf();
  const auto error = decodeBody(content.str(), BodyFormat::kJson, message);
  return error ? path + ": " + error->message() : std::string();
}

/// Returns an error that names the file, or an empty string on success.
inline std::string writeJsonFile(const std::string& path, const google::protobuf::Message& message) {
  std::ofstream file(path);
  file << encodeBody(message, BodyFormat::kJson);
  file.close();
  return file ? std::string() : "cannot write " + path;
}

}  // namespace oakpier
