#pragma once

/// Histories in files: one JSON object a line.

#include <string>

#include "oakpier/history.pb.h"

namespace oakpier {

/// Empty when written, else what went wrong.
std::string writeHistory(const std::string& path, const History& history);
std::string readHistory(const std::string& path, History& history);

}  // namespace oakpier
