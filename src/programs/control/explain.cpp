#include "programs/control/explain.h"

#include <deque>
#include <map>

#include "programs/control/log_lines.h"

namespace oakpier {

namespace {

/// Lines on beliefs that are shown before a request.
constexpr std::size_t kBeliefs = 4;

void print(const LogLine& line, const std::string& indent, std::ostream& out) {
  out << indent << line.message();
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
    const auto parsed = parseLogLine(text);
    if (!parsed) {
      continue;
    }
    const LogLine& line = *parsed;
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
