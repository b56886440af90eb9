#include "history/history_file.h"

#include <google/protobuf/util/json_util.h>

#include <fstream>

namespace oakpier {

std::string writeHistory(const std::string& path, const History& history) {
  std::ofstream file(path);
  google::protobuf::util::JsonPrintOptions options;
  options.preserve_proto_field_names = true;
  for (const auto& entry : history.entries()) {
    std::string line;
    if (!google::protobuf::util::MessageToJsonString(entry, &line, options).ok()) {
      return "an entry cannot be written as JSON";
    }
    file << line << "\n";
  }
  file.close();
  return file ? std::string() : "cannot write " + path;
}

std::string readHistory(const std::string& path, History& history) {
  std::ifstream file(path);
  if (!file) {
    return "cannot read " + path;
  }
  int number = 0;
  for (std::string line; std::getline(file, line);) {
    ++number;
    if (!google::protobuf::util::JsonStringToMessage(line, history.add_entries()).ok()) {
      return path + ":" + std::to_string(number) + " is not a history entry";
    }
  }
  return {};
}

}  // namespace oakpier
