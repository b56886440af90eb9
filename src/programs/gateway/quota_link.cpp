#include "programs/gateway/quota_link.h"

namespace oakpier::serving {

void QuotaLink::take(const Tenant&, Listener listener) { listener(QuotaDecision{}); }

void QuotaLink::giveBack(const std::string&) {}

}  // namespace oakpier::serving
