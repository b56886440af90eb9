#pragma once

/// Erasure from containers by value or condition, as std::erase and std::erase_if of C++20.

#include <algorithm>

namespace oakpier {

template <typename Container, typename Predicate>
void eraseIf(Container& container, Predicate matches) {
  container.erase(std::remove_if(container.begin(), container.end(), matches), container.end());
}

template <typename Container, typename Value>
void eraseValue(Container& container, const Value& value) {
  container.erase(std::remove(container.begin(), container.end(), value), container.end());
}

}  // namespace oakpier
