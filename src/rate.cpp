#include "guavasail/rate.h"

#include "rate_state.h"

namespace guavasail {

RateLimiter::RateLimiter(const RateInit &init)
    : State(std::make_unique<RateState>(init)) {}
RateLimiter::~RateLimiter() = default;
RateLimiter::RateLimiter(RateLimiter &&) noexcept = default;
RateLimiter &RateLimiter::operator=(RateLimiter &&) noexcept = default;

void RateLimiter::setLimits(std::span<const RateLimit> limits, Instant now) {
  State->setLimits(limits, now);
}

void RateLimiter::setMembers(std::span<const RateMember> members, VmHandle self,
                             Instant now) {
  State->setMembers(members, self, now);
}

Admission RateLimiter::admit(WorkspaceHandle workspace, Instant now,
                             bool mayWait) {
  return State->admit(workspace, now, mayWait);
}

void RateLimiter::onTokenRequest(VmHandle from, const TokenRequest &message,
                                 Instant now) {
  State->onTokenRequest(from, message, now);
}

void RateLimiter::onTokenGrant(VmHandle from, const TokenGrant &message,
                               Instant now) {
  State->onTokenGrant(from, message, now);
}

void RateLimiter::advance(Instant now) { State->advance(now); }

Instant RateLimiter::nextWake() const { return State->nextWake(); }

std::span<const WorkspaceHandle> RateLimiter::readyWorkspaces() const {
  return State->ReadyWorkspaces;
}

void RateLimiter::clearReadyWorkspaces() { State->ReadyWorkspaces.clear(); }

void RateLimiter::flush(EffectBuffer &effects) { State->flush(effects); }

ShareOwner &RateLimiter::shareOwner() { return State->Owner; }

void RateLimiter::releaseShares(Instant now) { State->releaseShares(now); }

const RateInit &RateLimiter::init() const { return State->Init; }

const RateCounts &RateLimiter::counts() const { return State->Counts; }

size_t RateLimiter::bytes() const { return State->bytes(); }

uint64_t rateKey(std::string_view name) {
  constexpr uint64_t Basis = 0xcbf29ce484222325ULL;
  constexpr uint64_t Prime = 0x100000001b3ULL;
  uint64_t hash = Basis;
  for (char c : name)
    hash = (hash ^ static_cast<uint8_t>(c)) * Prime;
  return hash;
}

} // namespace guavasail
