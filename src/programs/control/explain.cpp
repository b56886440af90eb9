#include "programs/control/explain.h"

#include <array>
#include <deque>
#include <map>
#include <utility>

#include "programs/control/log_lines.h"

namespace oakpier {

namespace {

/// Lines on the state of the process that are printed before a request.
constexpr std::size_t kMaxStateLines = 4;
/// Lines on crashed leafs that are printed after a request.
constexpr std::size_t kMaxCrashLines = 6;

/// Messages that the gateway logs, before the request's own line, for a request that got no token.
constexpr const char* kOverLimitLine = "tenant beyond its limit";
constexpr const char* kNotCountedLine = "no daemon counted for the tenant";
constexpr const char* kOverLimitOutcome = "refused: tenant over its limit";
constexpr const char* kNotCountedOutcome = "refused: no daemon counted for the tenant";

/// Explanation of a refusal, by the outcome that the gateway logs.
struct RefusalMeaning {
  const char* outcome;
  const char* decidedBy;
  const char* next;
};

constexpr std::array<RefusalMeaning, 6> kRefusalMeanings = {{
    {"refused: no readable key",
     "refused for good, by the request alone: it has not exactly one Authorization header with a key",
     "what the caller, or a proxy before the gateway, sends"},
    {"refused: key unknown",
     "refused for good, by the configuration in force, proved fresh: no tenant holds the key",
     "the tenant's keys in the source, and whether the caller uses a former one"},
    {"refused: key unknown, configuration not proved fresh",
     "refused with a time, by the age of the proof: no tenant is known to hold the key, but it may be newer",
     "configuration_proof_age_seconds of this daemon, and its log lines on the source and the members"},
    {"refused: configuration not proved fresh",
     "refused with a time, by the age of the proof: the key is known, but may have been taken away since",
     "configuration_proof_age_seconds of this daemon, and its log lines on the source and the members"},
    {kOverLimitOutcome,
     "refused with a time, by the tenant's limit over all daemons: no token came for the request",
     "tenant_refusals_unanswered_total of this daemon, and the daemon that counts (home)"},
    {kNotCountedOutcome,
     "refused with a time, as none of the daemons that were asked to count for it answered",
     "the tenant's quota server (home), whether it is alive, and the network to it: members changed"},
}};

std::string textField(const LogLine& line, const std::string& name) {
  const auto found = line.fields.find(name);
  return found != line.fields.end() && found->is_string() ? found->get<std::string>() : "";
}

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

/// Keeps the last lines on crashed leafs, by the fingerprint of the requests that ran there.
class CrashedLeafs {
 public:
  void add(const LogLine& line) {
    if (line.fields.contains("fingerprint") && line.fields["fingerprint"].is_string()) {
      store(line.fields["fingerprint"].get<std::string>(), line);
    }
    if (line.fields.contains("under") && line.fields["under"].is_array()) {
      for (const auto& fingerprint : line.fields["under"]) {
        if (fingerprint.is_string()) {
          store(fingerprint.get<std::string>(), line);
        }
      }
    }
  }
  void print(const std::string& fingerprint, std::ostream& out) const {
    const auto found = lines_.find(fingerprint);
    if (found == lines_.end()) {
      return;
    }
    out << "of requests for the same:\n";
    for (const LogLine& line : found->second) {
      oakpier::print(line, "  " + (line.process.empty() ? "" : line.process + " "), out);
    }
  }

 private:
  void store(const std::string& fingerprint, const LogLine& line) {
    auto& recent = lines_[fingerprint];
    recent.push_back(line);
    if (recent.size() > kMaxCrashLines) {
      recent.pop_front();
    }
  }

  std::map<std::string, std::deque<LogLine>> lines_;
};

/// Explains refusals for a request's key or its tenant's limit.
class CallerRefusals {
 public:
  /// Returns true for a line on a tenant's limit. Such lines are frequent and would displace the lines on the
  /// state of the process.
  bool add(const LogLine& line) {
    if (line.message() != kOverLimitLine && line.message() != kNotCountedLine) {
      return false;
    }
    lastRefused_[{line.process, textField(line, "tenant")}] = line;
    return true;
  }
  void print(const LogLine& line, std::ostream& out) const {
    const std::string outcome = textField(line, "outcome");
    for (const RefusalMeaning& meaning : kRefusalMeanings) {
      if (outcome == meaning.outcome) {
        const std::string tenant = textField(line, "tenant");
        out << "  " << (tenant.empty() ? "no known tenant" : "tenant " + tenant) << ": " << meaning.decidedBy
            << "\n";
        printLimit(line, outcome, out);
        out << "  look next at: " << meaning.next << "\n";
      }
    }
  }

 private:
  void printLimit(const LogLine& line, const std::string& outcome, std::ostream& out) const {
    const auto found = lastRefused_.find({line.process, textField(line, "tenant")});
    const bool forTokens = outcome == kOverLimitOutcome || outcome == kNotCountedOutcome;
    if (forTokens && found != lastRefused_.end()) {
      out << "  last told of the tenant here:\n";
      oakpier::print(found->second, "    ", out);
    }
  }

  /// By process and tenant.
  std::map<std::pair<std::string, std::string>, LogLine> lastRefused_;
};

}  // namespace

bool explainRequest(const std::string& id, std::istream& lines, std::ostream& out) {
  std::map<std::string, std::deque<LogLine>> stateLines;
  CrashedLeafs crashedLeafs;
  CallerRefusals callerRefusals;
  std::string shownProcess;
  std::string fingerprint;
  bool found = false;
  std::string text;
  while (std::getline(lines, text)) {
    const auto parsed = parseLogLine(text);
    if (!parsed) {
      continue;
    }
    const LogLine& line = *parsed;
    if (callerRefusals.add(line)) {
      continue;
    }
    if (!line.fields.contains("id")) {
      crashedLeafs.add(line);
      auto& recent = stateLines[line.process];
      recent.push_back(line);
      if (recent.size() > kMaxStateLines) {
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
      for (const LogLine& stateLine : stateLines[line.process]) {
        print(stateLine, "    ", out);
      }
      out << "request " << id << ":\n";
    }
    found = true;
    if (line.fields.contains("fingerprint") && line.fields["fingerprint"].is_string()) {
      fingerprint = line.fields["fingerprint"].get<std::string>();
    }
    print(line, "  ", out);
    callerRefusals.print(line, out);
  }
  crashedLeafs.print(fingerprint, out);
  return found;
}

}  // namespace oakpier
