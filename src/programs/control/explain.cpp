#include "programs/control/explain.h"

#include <deque>
#include <map>
#include <nlohmann/json.hpp>

namespace oakpier {

namespace {

using nlohmann::ordered_json;

/// Lines on beliefs that are shown before a request.
constexpr std::size_t kBeliefs = 4;

struct LogLine {
  std::string process;
  ordered_json fields;
};

/// Without the simulated or real time that some collectors put first.
std::string processOf(const std::string& prefix) {
  const std::size_t end = prefix.find_last_not_of(' ');
  if (end == std::string::npos) {
    return "";
  }
  const std::size_t space = prefix.find_last_of(' ', end);
  const std::size_t begin = space == std::string::npos ? 0 : space + 1;
  return prefix.substr(begin, end - begin + 1);
}

bool parse(const std::string& text, LogLine& line) {
  const std::size_t begin = text.find('{');
  if (begin == std::string::npos) {
    return false;
  }
  line.fields = ordered_json::parse(text.substr(begin), nullptr, false);
  line.process = processOf(text.substr(0, begin));
  return line.fields.is_object() && line.fields.contains("message");
}

void print(const LogLine& line, const std::string& indent, std::ostream& out) {
  out << indent << line.fields.value("message", "");
  for (const auto& [key, value] : line.fields.items()) {
    const bool common = key == "time_us" || key == "level" || key == "program" || key == "pid" ||
                        key == "message" || key == "id";
    if (!common) {
      out << "  " << key << "=" << (value.is_string() ? value.get<std::string>() : value.dump());
    }
  }
  out << "\n";
}

}  // namespace

bool explainRequest(const std::string& id, std::istream& lines, std::ostream& out) {
  std::map<std::string, std::deque<LogLine>> beliefs;
  std::string shownProcess;
  bool found = false;
  std::string text;
  while (std::getline(lines, text)) {
    LogLine line;
    if (!parse(text, line)) {
      continue;
    }
    if (!line.fields.contains("id")) {
      auto& recent = beliefs[line.process];
      recent.push_back(line);
      if (recent.size() > kBeliefs) {
        recent.pop_front();
      }
      continue;
    }
    if (line.fields["id"] != id) {
      continue;
    }
    if (!found || shownProcess != line.process) {
      shownProcess = line.process;
      out << "at " << (line.process.empty() ? "the gateway" : line.process) << ", which by then had told:\n";
      for (const LogLine& belief : beliefs[line.process]) {
        print(belief, "    ", out);
      }
      out << "request " << id << ":\n";
    }
    found = true;
    print(line, "  ", out);
  }
  return found;
}

}  // namespace oakpier
