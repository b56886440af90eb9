#pragma once

/// Refuses at once what could not be answered in time, so that the work that is taken on is worth doing.

#include <optional>

#include "coordination/serving/query_actions.h"
#include "coordination/serving/query_policy.h"

namespace oakpier::serving {

/// The time until enough leafs are expected to have answered a request to the route; the shards that an
/// answer may lack do not count.
Duration expectedAnswerTime(const Route& route, QueryContext& context, Moment now);

/// Set when the answer is expected so late that the caller is served better by coming back. It waits for
/// the time by which the answer would be late.
std::optional<Refusal> refuseWhenBusy(const Route& route, QueryContext& context, Moment now);

}  // namespace oakpier::serving
