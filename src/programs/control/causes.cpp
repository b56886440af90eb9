#include "programs/control/causes.h"

#include <algorithm>
#include <iomanip>
#include <nlohmann/json.hpp>
#include <utility>
#include <vector>

#include "programs/control/log_lines.h"

namespace oakpier {

namespace {

constexpr std::int64_t kMicrosecondsPerSecond = 1'000'000;
constexpr double kPercent = 100.0;
/// At least the length of the longest cause.
constexpr int kCauseWidth = 44;

/// Messages that the gateway's loss ledger logs.
constexpr const char* kTotalLine = "requests ended";
constexpr const char* kCauseLine = "loss";
constexpr const char* kDelegatedLine = "loss at owner";

void addLine(const LogLine& line, LossReport& report) {
  const std::string message = line.message();
  const auto& fields = line.fields;
  LossReport::Route& route = report.routes[fields.at("route").get<std::string>()];
  const double lost = fields.at("lost").get<double>();
  if (message == kTotalLine) {
    route.requests += fields.at("requests").get<std::uint64_t>();
    route.lost += lost;
    route.seconds[fields.at("time_us").get<std::int64_t>() / kMicrosecondsPerSecond] += lost;
  } else if (message == kCauseLine) {
    route.causes[fields.at("cause").get<std::string>()] += lost;
  } else {
    route.delegatedCauses[fields.at("cause").get<std::string>()] += lost;
  }
}

std::vector<std::pair<std::string, double>> largestFirst(const std::map<std::string, double>& causes) {
  std::vector<std::pair<std::string, double>> sorted(causes.begin(), causes.end());
  std::stable_sort(sorted.begin(), sorted.end(),
                   [](const auto& left, const auto& right) { return left.second > right.second; });
  return sorted;
}

void printCauses(const std::map<std::string, double>& causes, double total, std::ostream& out) {
  for (const auto& [cause, lost] : largestFirst(causes)) {
    out << "    " << std::left << std::setw(kCauseWidth) << cause << std::right << std::setw(10) << lost
        << std::setw(8) << (total > 0 ? kPercent * lost / total : 0.0) << " %\n";
  }
}

void printSeconds(const LossReport::Route& route, std::ostream& out) {
  if (route.seconds.empty()) {
    return;
  }
  const std::int64_t first = route.seconds.begin()->first;
  out << "  lost by second from " << first << " on\n";
  for (const auto& [second, lost] : route.seconds) {
    if (lost > 0) {
      out << "    +" << std::left << std::setw(kCauseWidth - 1) << second - first << std::right
          << std::setw(10) << lost << "\n";
    }
  }
}

}  // namespace

void readLosses(std::istream& lines, LossReport& report) {
  std::string text;
  while (std::getline(lines, text)) {
    const auto line = parseLogLine(text);
    if (!line) {
      continue;
    }
    const std::string message = line->message();
    if (message != kTotalLine && message != kCauseLine && message != kDelegatedLine) {
      continue;
    }
    try {
      addLine(*line, report);
    } catch (const nlohmann::json::exception&) {
      ++report.malformedLines;
    }
  }
}

void printLosses(const LossReport& report, bool bySecond, std::ostream& out) {
  out << std::fixed << std::setprecision(2);
  for (const auto& [name, route] : report.routes) {
    out << (name.empty() ? "(no route known)" : name) << ": " << route.requests << " requests, lost "
        << route.lost << "\n";
    printCauses(route.causes, route.lost, out);
    if (!route.delegatedCauses.empty()) {
      out << "  shards without an answer in time at their owners\n";
      double total = 0;
      for (const auto& [cause, lost] : route.delegatedCauses) {
        total += lost;
      }
      printCauses(route.delegatedCauses, total, out);
    }
    if (bySecond) {
      printSeconds(route, out);
    }
  }
  if (report.malformedLines > 0) {
    out << report.malformedLines << " lines on losses could not be read\n";
  }
}

void printLossesAsJson(const LossReport& report, std::ostream& out) {
  nlohmann::ordered_json routes = nlohmann::ordered_json::object();
  for (const auto& [name, route] : report.routes) {
    nlohmann::ordered_json seconds = nlohmann::ordered_json::object();
    for (const auto& [second, lost] : route.seconds) {
      seconds[std::to_string(second)] = lost;
    }
    routes[name] = {{"requests", route.requests},
                    {"lost", route.lost},
                    {"causes", route.causes},
                    {"at_owners", route.delegatedCauses},
                    {"seconds", seconds}};
  }
  out << nlohmann::ordered_json{{"routes", routes}, {"unreadable", report.malformedLines}}.dump(2) << "\n";
}

}  // namespace oakpier
