#include "programs/control/log_lines.h"

namespace oakpier {

namespace {

/// The last word of the prefix: some collectors write a time before the name.
std::string processOf(const std::string& prefix) {
  const std::size_t end = prefix.find_last_not_of(' ');
  if (end == std::string::npos) {
    return "";
  }
  const std::size_t space = prefix.find_last_of(' ', end);
  const std::size_t begin = space == std::string::npos ? 0 : space + 1;
  return prefix.substr(begin, end - begin + 1);
}

}  // namespace

std::optional<LogLine> parseLogLine(const std::string& text) {
  const std::size_t begin = text.find('{');
  if (begin == std::string::npos) {
    return std::nullopt;
  }
  LogLine line;
  line.fields = nlohmann::ordered_json::parse(text.substr(begin), nullptr, false);
  line.process = processOf(text.substr(0, begin));
  if (!line.fields.is_object() || !line.fields.contains("message")) {
    return std::nullopt;
  }
  return line;
}

}  // namespace oakpier
