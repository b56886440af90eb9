#include "platform_model/store_standin.h"

#include <algorithm>
#include <boost/beast/core/detail/base64.hpp>
#include <nlohmann/json.hpp>

#include "protocol/serving/caller_messages.h"
#include "transport/steady_clock.h"

namespace oakpier::serving::model {

namespace {

using nlohmann::json;
using Query = std::map<std::string, std::string>;

constexpr std::size_t kMaxPageItems = 50;

Query queryOf(const std::string& target) {
  Query query;
  std::size_t begin = target.find('?');
  while (begin != std::string::npos) {
    const std::size_t end = target.find('&', begin + 1);
    const std::string part = target.substr(begin + 1, end == std::string::npos ? end : end - begin - 1);
    const std::size_t equals = part.find('=');
    query[part.substr(0, equals)] = equals == std::string::npos ? "" : part.substr(equals + 1);
    begin = end;
  }
  return query;
}

std::string valueOf(const Query& query, const std::string& name) {
  const auto found = query.find(name);
  return found == query.end() ? "" : found->second;
}

std::uint64_t numberOf(const Query& query, const std::string& name) {
  const std::string text = valueOf(query, name);
  return text.empty() ? 0 : std::stoull(text);
}

std::string encoded(const std::string& bytes) {
  namespace base64 = boost::beast::detail::base64;
  std::string text(base64::encoded_size(bytes.size()), '\0');
  text.resize(base64::encode(text.data(), bytes.data(), bytes.size()));
  return text;
}

bool startsWith(const std::string& text, const std::string& prefix) {
  return text.compare(0, prefix.size(), prefix) == 0;
}

HttpReply jsonReply(const json& body) {
  HttpReply reply;
  reply.status = 200;
  reply.headers.push_back({"Content-Type", "application/json"});
  reply.body = body.dump();
  return reply;
}

}  // namespace

StoreStandin::StoreStandin(boost::asio::io_context& context) : context_(context), service_(context, *this) {}

void StoreStandin::put(const std::string& key, const std::string& value) {
  apply(Change{key, value, ++revision_, false, steadyNow()});
}

void StoreStandin::remove(const std::string& key) { apply(Change{key, "", ++revision_, true, steadyNow()}); }

void StoreStandin::restore(Duration backupAge, Duration rewriteWindow) {
  for (const Watch& watch : watches_) {
    watch.writer.write(withEpoch(textReply(503, "down")));
  }
  watches_.clear();
  const Moment backupAt = steadyNow() - backupAge;
  while (!history_.empty() && history_.back().madeAt > backupAt) {
    history_.pop_back();
  }
  items_.clear();
  revision_ = kFirstRevision;
  for (const Change& change : history_) {
    revision_ = change.revision;
    if (change.deleted) {
      items_.erase(change.key);
    } else {
      items_[change.key] = change;
    }
  }
  compactedRevision_ = std::min(compactedRevision_, revision_);
  ++epoch_;
  for (const auto& [key, lastWrite] : lastWrites_) {
    const auto delay = static_cast<std::int64_t>(drawBelow(rewriteWindow.count() + 1, random_));
    timers_.push_back(std::make_unique<boost::asio::steady_timer>(context_, Duration(delay)));
    timers_.back()->async_wait([this, key = key](const boost::system::error_code& error) {
      if (!error) {
        rewrite(key);
      }
    });
  }
}

void StoreStandin::rewrite(const std::string& key) {
  const Change& lastWrite = lastWrites_.at(key);
  const auto listed = items_.find(key);
  const bool unchanged = listed == items_.end()
                             ? lastWrite.deleted
                             : !lastWrite.deleted && listed->second.value == lastWrite.value;
  if (!unchanged) {
    apply(Change{key, lastWrite.value, ++revision_, lastWrite.deleted, steadyNow()});
  }
}

HttpReply StoreStandin::withEpoch(HttpReply reply) const {
  reply.headers.push_back({"Store-Era", std::to_string(epoch_)});
  return reply;
}

void StoreStandin::apply(Change change) {
  lastWrites_[change.key] = change;
  if (change.deleted) {
    items_.erase(change.key);
  } else {
    items_[change.key] = change;
  }
  history_.push_back(std::move(change));
  watches_.remove_if([this](Watch& watch) { return answer(watch, false); });
}

void StoreStandin::compactHistory() { compactedRevision_ = revision_; }

std::function<void()> StoreStandin::onRequest(HttpRequest request, ResponseWriter writer) {
  ++calls_;
  const Query query = queryOf(request.target);
  if (silent_) {
    unanswered_.push_back(std::move(writer));
  } else if (down_) {
    writer.write(withEpoch(textReply(503, "down")));
  } else if (startsWith(request.target, "/kv-range")) {
    writer.write(withEpoch(range(query)));
  } else if (startsWith(request.target, "/kv-watch")) {
    watch(query, std::move(writer));
  } else {
    writer.write(withEpoch(textReply(404, "no such call")));
  }
  return nullptr;
}

HttpReply StoreStandin::range(const Query& query) const {
  json items = json::array();
  bool more = false;
  for (const auto& [key, item] : items_) {
    if (!startsWith(key, valueOf(query, "path_prefix")) || key <= valueOf(query, "after")) {
      continue;
    }
    if (items.size() == kMaxPageItems) {
      more = true;
      break;
    }
    items.push_back({{"tls_key", key},
                     {"value", encoded(item.value)},
                     {"revision", item.revision},
                     {"created", item.revision},
                     {"lease", 0}});
  }
  return jsonReply({{"items", items}, {"more", more}, {"at", revision_}});
}

void StoreStandin::watch(const Query& query, ResponseWriter writer) {
  const std::uint64_t after = numberOf(query, "after");
  if (after < compactedRevision_ || after > revision_) {
    writer.write(withEpoch(textReply(410, "history is gone")));
    return;
  }
  Watch& watch = watches_.emplace_back(context_, std::move(writer));
  watch.prefix = valueOf(query, "path_prefix");
  watch.after = numberOf(query, "after");
  if (answer(watch, false)) {
    watches_.pop_back();
    return;
  }
  watch.timer.expires_after(std::chrono::milliseconds(numberOf(query, "wait_ms")));
  watch.timer.async_wait([this, expired = &watch](const boost::system::error_code& error) {
    if (!error) {
      watches_.remove_if([&](Watch& other) { return &other == expired && answer(other, true); });
    }
  });
}

bool StoreStandin::answer(Watch& watch, bool evenIfEmpty) const {
  json events = json::array();
  for (const Change& change : history_) {
    if (change.revision <= watch.after || !startsWith(change.key, watch.prefix)) {
      continue;
    }
    json event = {{"tls_key", change.key}, {"revision", change.revision}};
    if (change.deleted) {
      event["gone"] = true;
    } else {
      event["value"] = encoded(change.value);
    }
    events.push_back(event);
  }
  if (silent_ || (events.empty() && !evenIfEmpty)) {
    return false;
  }
  watch.writer.write(withEpoch(jsonReply({{"events", events}, {"at", revision_}})));
  return true;
}

}  // namespace oakpier::serving::model
