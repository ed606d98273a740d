#include "guavasail/rate.h"

#include "rate_state.h"

namespace guavasail {

RatePart::RatePart(const RateInit &init)
    : State(std::make_unique<RateState>(init)) {}
RatePart::~RatePart() = default;
RatePart::RatePart(RatePart &&) noexcept = default;
RatePart &RatePart::operator=(RatePart &&) noexcept = default;

void RatePart::setLimits(std::span<const RateLimit> limits, Instant now) {
  State->setLimits(limits, now);
}

void RatePart::setMembers(std::span<const RateMember> members, VmHandle self,
                          Instant now) {
  State->setMembers(members, self, now);
}

Admission RatePart::admit(WorkspaceHandle workspace, Instant now, bool mayAsk) {
  return State->admit(workspace, now, mayAsk);
}

void RatePart::onAsk(VmHandle from, const TokenRequest &message, Instant now) {
  State->onAsk(from, message, now);
}

void RatePart::onGrant(VmHandle from, const TokenGrant &message, Instant now) {
  State->onGrant(from, message, now);
}

void RatePart::advance(Instant now) { State->advance(now); }

Instant RatePart::nextWake() const { return State->nextWake(); }

std::span<const WorkspaceHandle> RatePart::refreshed() const {
  return State->Refreshed;
}

void RatePart::clearRefreshed() { State->Refreshed.clear(); }

void RatePart::flush(EffectBuffer &effects) { State->flush(effects); }

ShareOwner &RatePart::shares() { return State->Owner; }

void RatePart::releaseAll(Instant now) { State->releaseAll(now); }

const RateInit &RatePart::init() const { return State->Init; }

const RateCounts &RatePart::counts() const { return State->Counts; }

size_t RatePart::bytes() const { return State->bytes(); }

uint64_t rateKey(std::string_view name) {
  constexpr uint64_t Basis = 0xcbf29ce484222325ULL;
  constexpr uint64_t Prime = 0x100000001b3ULL;
  uint64_t hash = Basis;
  for (char c : name)
    hash = (hash ^ static_cast<uint8_t>(c)) * Prime;
  return hash;
}

} // namespace guavasail
