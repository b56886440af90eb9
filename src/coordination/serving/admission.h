#pragma once

/// Admission control: refuses requests that cannot be answered, or not in time, before any work is done for
/// them, so that callers can retry elsewhere without delay.

#include <optional>

#include "coordination/serving/query_actions.h"
#include "coordination/serving/query_policy.h"

namespace oakpier::serving {

/// Expected time until enough shards of the route have answered; the slowest shards that an answer may omit
/// do not count.
Duration expectedAnswerTime(const Route& route, QueryContext& context, Moment now);

/// Set if the expected answer time exceeds 1.5 times the target latency. The retry delay is the time by which
/// the answer would miss the target, but at least `policy.retryAfter` and at most 1 s. A route without enough
/// reachable leafs is not refused here but by `refuseIfUnservable`.
std::optional<Refusal> refuseIfOverloaded(const Route& route, QueryContext& context, Moment now);

/// Set if the request cannot succeed: fewer shards than an answer needs have a reachable leaf that takes
/// work. Leafs of shards that are delegated to other daemons count as reachable. The retry delay ends when
/// enough leafs are tried again, but is at least `policy.retryAfter` and at most 1 s, plus a random share of
/// up to half. Guards against work for answers that cannot become complete: in a zone cut off from 26 of its
/// 90 shards, requests would be held for 600 to 1,200 ms.
std::optional<Refusal> refuseIfUnservable(const Route& route, const ServingView& view, QueryContext& context,
                                          Moment now);

}  // namespace oakpier::serving
