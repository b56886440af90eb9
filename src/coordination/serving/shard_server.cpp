#include "coordination/serving/shard_server.h"

#include <algorithm>
#include <utility>

#include "coordination/serving/record_merge.h"

namespace oakpier::serving {

namespace {

Duration microseconds(std::uint64_t count) { return Duration(static_cast<std::int64_t>(count)); }

HttpRequest requestOf(const OwnerWork& work) {
  HttpRequest request{work.method(), work.target(), {}, work.body(), work.tenant()};
  for (const HeaderField& field : work.headers()) {
    request.headers.push_back(Header{field.name(), field.value()});
  }
  return request;
}

/// The route fields that a part needs.
Route routeOf(const OwnerWork& work) {
  Route route;
  route.name = work.route();
  route.repeatable = true;
  route.targetLatency = microseconds(work.target_latency_us());
  route.attempts = work.attempts();
  route.rank = work.rank();
  return route;
}

OwnerStatus statusOf(const PartExchange& part) {
  if (part.state() == QueryPart::State::kAnswered) {
    return OWNER_ANSWERED;
  }
  if (part.mayHaveRun()) {
    return OWNER_NO_ANSWER;
  }
  return part.mayHaveArrived() ? OWNER_NOT_RUN : OWNER_NOT_SENT;
}

OwnerResult& addResult(const ServedWork& work, ShardServerActions& out) {
  if (out.results.empty() || !(out.results.back().to == work.asker)) {
    out.results.push_back(OutgoingResults{work.asker, {}});
    out.results.back().results.set_receiver_run(work.askerRun);
  }
  return *out.results.back().results.add_results();
}

}  // namespace

ShardServerActions ShardServer::onWork(const Endpoint& asker, const OwnerWork& work, Moment now) {
  ShardServerActions out;
  auto served = std::make_shared<ServedWork>();
  served->asker = asker;
  served->askerRun = work.sender_run();
  served->route = routeOf(work);
  served->topRecords = work.top_records();
  served->receivedAt = now;
  const Moment leafDeadline = now + microseconds(work.remaining_us());
  served->deadline = std::max(leafDeadline, now + microseconds(work.renewable_us()));
  served->request = requestOf(work);
  if (refuse(served, work, now, out)) {
    return out;
  }
  works_.push_back(served);
  const PartTimes times{now + microseconds(work.useful_us()), leafDeadline, served->deadline};
  for (const OwnerPart& asked : work.parts()) {
    auto exchange = std::make_unique<PartExchange>(asked.service(), served->route, context_, served->trace,
                                                   served->caution);
    served->parts.push_back(ServedWork::Part{asked.exchange(), std::move(exchange)});
    PartExchange& part = *served->parts.back().exchange;
    QueryActions actions;
    part.start(now, times, actions);
    settle(served, served->parts.size() - 1, std::move(actions), out);
  }
  forgetFinished();
  return out;
}

bool ShardServer::refuse(const WorkPointer& work, const OwnerWork& asked, Moment now,
                         ShardServerActions& out) const {
  if (context_.quarantine == nullptr || context_.quarantine->empty() || asked.vetted()) {
    return false;
  }
  const auto judgement = context_.quarantine->judge(fingerprintOf(work->request), now);
  if (judgement.verdict == RequestQuarantine::Verdict::kOrdinary) {
    return false;
  }
  for (const OwnerPart& part : asked.parts()) {
    OwnerResult& result = addResult(*work, out);
    result.set_exchange(part.exchange());
    result.set_status(OWNER_NOT_RUN);
    out.unanswered.push_back(
        UnansweredPart{work, part.service(), UnansweredPart::Reason::kNotRun, LossCause::kEndsLeafs});
  }
  return true;
}

void ShardServer::applyCaution(const WorkPointer& work, bool held, Moment now, ShardServerActions& out) {
  if (!work->caution.holds()) {
    for (std::size_t number = 0; held && number < work->parts.size(); ++number) {
      if (!work->parts[number].finished) {
        QueryActions actions;
        work->parts[number].exchange->onReleased(now, actions);
        settle(work, number, std::move(actions), out);
      }
    }
    return;
  }
  const bool anyOut = std::any_of(work->parts.begin(), work->parts.end(), [](const ServedWork::Part& part) {
    return !part.finished && part.exchange->anythingOut();
  });
  for (ServedWork::Part& part : work->parts) {
    if (anyOut || part.finished) {
      continue;
    }
    const bool ran = part.exchange->mayHaveRun();
    OwnerResult& result = addResult(*work, out);
    result.set_exchange(part.askedAs);
    // OWNER_NOT_SENT would make the requester try another owner.
    result.set_status(ran ? OWNER_NO_ANSWER : OWNER_NOT_RUN);
    giveUp(work, part, ran ? UnansweredPart::Reason::kNoAnswer : UnansweredPart::Reason::kNotRun, out);
  }
}

void ShardServer::settle(const WorkPointer& work, std::size_t number, QueryActions actions,
                         ShardServerActions& out) {
  ServedWork::Part& part = work->parts[number];
  for (SendAction& send : actions.sends) {
    places_.emplace(send.exchange, Place{work, number});
    out.sends.push_back(ServedSend{work, std::move(send)});
  }
  const PartExchange& exchange = *part.exchange;
  if (exchange.state() == QueryPart::State::kOpen) {
    return;
  }
  OwnerResult& result = addResult(*work, out);
  result.set_exchange(part.askedAs);
  result.set_status(statusOf(exchange));
  if (exchange.state() == QueryPart::State::kAnswered) {
    result.set_signature(exchange.outcome().signature);
    result.set_records(greatestRecords({exchange.outcome().reply->body}, work->topRecords));
    finish(part, out);
    return;
  }
  const bool ran = exchange.mayHaveRun();
  giveUp(work, part, ran ? UnansweredPart::Reason::kNoAnswer : UnansweredPart::Reason::kNotRun, out);
}

void ShardServer::giveUp(const WorkPointer& work, ServedWork::Part& part, UnansweredPart::Reason reason,
                         ShardServerActions& out) {
  out.unanswered.push_back(
      UnansweredPart{work, part.exchange->service(), reason, part.exchange->lossCause()});
  finish(part, out);
}

void ShardServer::finish(ServedWork::Part& part, ShardServerActions& out) {
  part.finished = true;
  QueryActions closing;
  part.exchange->close(closing);
  out.abandons.insert(out.abandons.end(), closing.abandons.begin(), closing.abandons.end());
}

void ShardServer::forgetFinished() {
  works_.remove_if([](const WorkPointer& work) {
    return std::all_of(work->parts.begin(), work->parts.end(),
                       [](const ServedWork::Part& part) { return part.finished; });
  });
}

void ShardServer::onWritten(ExchangeId exchange) {
  const auto place = places_.find(exchange);
  if (place != places_.end()) {
    place->second.work->parts[place->second.part].exchange->onWritten(exchange);
  }
}

ShardServerActions ShardServer::onOutcome(ExchangeId exchange, const LeafOutcome& outcome, Moment now) {
  ShardServerActions out;
  const auto found = places_.find(exchange);
  if (found == places_.end()) {
    return out;
  }
  const Place place = found->second;
  places_.erase(found);
  ServedWork::Part& part = place.work->parts[place.part];
  if (part.finished) {
    return out;
  }
  QueryActions actions;
  const bool held = place.work->caution.holds();
  part.exchange->onOutcome(exchange, outcome, now, actions);
  settle(place.work, place.part, std::move(actions), out);
  applyCaution(place.work, held, now, out);
  forgetFinished();
  return out;
}

ShardServerActions ShardServer::onCancel(const Endpoint& asker, const OwnerCancel& cancel) {
  ShardServerActions out;
  for (const WorkPointer& work : works_) {
    if (!(work->asker == asker) || work->askerRun != cancel.sender_run()) {
      continue;
    }
    for (ServedWork::Part& part : work->parts) {
      const auto& exchanges = cancel.exchanges();
      const bool named = std::find(exchanges.begin(), exchanges.end(), part.askedAs) != exchanges.end();
      if (named && !part.finished) {
        giveUp(work, part, UnansweredPart::Reason::kWithdrawn, out);
      }
    }
  }
  forgetFinished();
  return out;
}

ShardServerActions ShardServer::onTime(Moment now) {
  ShardServerActions out;
  for (const WorkPointer& work : works_) {
    for (std::size_t number = 0; number < work->parts.size(); ++number) {
      ServedWork::Part& part = work->parts[number];
      if (part.finished) {
        continue;
      }
      if (now >= work->deadline) {
        giveUp(work, part, UnansweredPart::Reason::kTimePassed, out);
        continue;
      }
      QueryActions actions;
      part.exchange->onTime(now, actions);
      settle(work, number, std::move(actions), out);
    }
  }
  forgetFinished();
  return out;
}

Moment ShardServer::nextDecisionAt() const {
  Moment next = kNever;
  for (const WorkPointer& work : works_) {
    next = std::min(next, work->deadline);
    for (const ServedWork::Part& part : work->parts) {
      next = part.finished ? next : std::min(next, part.exchange->nextDecisionAt());
    }
  }
  return next;
}

}  // namespace oakpier::serving
