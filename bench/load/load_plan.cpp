#include "load/load_plan.h"

#include <algorithm>
#include <random>
#include <sstream>

namespace oakpier {

namespace {

bool setKey(const std::string& key, const std::string& value, LoadStream& stream) {
  if (key == "deadline") {
    stream.deadlineMs = static_cast<std::uint32_t>(std::stoul(value));
  } else if (key == "rows") {
    stream.maxRows = static_cast<std::uint32_t>(std::stoul(value));
  } else if (key == "coverage") {
    stream.minimumCoverage = std::stod(value);
  } else if (key == "once") {
    stream.notRepeatable = std::stod(value);
  } else if (key == "bykey") {
    stream.byKey = value == "1";
  } else {
    return false;
  }
  return true;
}

}  // namespace

std::string parseStream(const std::string& text, LoadStream& stream) {
  std::vector<std::string> parts;
  std::istringstream input(text);
  for (std::string part; std::getline(input, part, ':');) {
    parts.push_back(part);
  }
  if (parts.size() < 3) {
    return "'" + text + "' is not allowed: give service:class:rate";
  }
  try {
    stream.service = parts[0];
    stream.priorityClass = parts[1];
    stream.perSecond = std::stod(parts[2]);
    for (std::size_t position = 3; position < parts.size(); ++position) {
      const auto equals = parts[position].find('=');
      if (equals == std::string::npos ||
          !setKey(parts[position].substr(0, equals), parts[position].substr(equals + 1), stream)) {
        return "'" + parts[position] +
               "' is not allowed: deadline=MS, rows=N, coverage=SHARE, once=SHARE or bykey=1";
      }
    }
  } catch (const std::exception&) {
    return "'" + text + "' is not allowed: a number is malformed";
  }
  return stream.perSecond > 0 ? std::string() : "'" + text + "' is not allowed: the rate must be above 0";
}

std::vector<PlannedQuery> planLoad(const std::vector<LoadStream>& streams, Duration length,
                                   std::uint64_t seed) {
  std::mt19937_64 random(seed);
  std::vector<PlannedQuery> planned;
  for (std::size_t number = 0; number < streams.size(); ++number) {
    const LoadStream& stream = streams[number];
    std::exponential_distribution<double> gap(stream.perSecond / 1e6);
    std::bernoulli_distribution once(stream.notRepeatable);
    double at = gap(random);
    for (std::size_t count = 0; at < static_cast<double>(length.count()); ++count, at += gap(random)) {
      PlannedQuery query;
      query.at = Duration(static_cast<std::int64_t>(at));
      query.stream = number;
      query.request.set_request_id("q" + std::to_string(seed) + "-" + std::to_string(number) + "-" +
                                   std::to_string(count));
      query.request.set_service(stream.service);
      query.request.set_priority_class(stream.priorityClass);
      query.request.set_deadline_ms(stream.deadlineMs);
      query.request.set_max_rows(stream.maxRows);
      query.request.set_minimum_coverage(stream.minimumCoverage);
      query.request.set_not_repeatable(once(random));
      query.request.set_query("match");
      if (stream.byKey) {
        query.request.set_routing_key("key-" + std::to_string(random()));
      }
      planned.push_back(std::move(query));
    }
  }
  std::sort(planned.begin(), planned.end(),
            [](const PlannedQuery& left, const PlannedQuery& right) { return left.at < right.at; });
  return planned;
}

}  // namespace oakpier
