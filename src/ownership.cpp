#include "guavasail/ownership.h"

#include <algorithm>

namespace guavasail {

namespace {

constexpr int64_t Million = 1'000'000;

} // namespace

Duration extendedForDrift(Duration span, uint32_t ppm) {
  return span + span * int64_t{ppm} / Million + Duration(1);
}

Duration reducedForDrift(Duration span, uint32_t ppm) {
  return span - span * int64_t{ppm} / Million - Duration(1);
}

ShareOwner::ShareOwner(const OwnershipInit &init)
    : Init(init), Records(size_t{init.Partitions} * init.Shares) {}

void ShareOwner::want(ShareId share, bool wanted, Instant now) {
  Record &record = at(share);
  if (record.Wanted == wanted)
    return;
  record.Wanted = wanted;
  activate(share, record);
  record.NextCall = now;
}

void ShareOwner::activate(ShareId share, Record &record) {
  if (record.Active)
    return;
  record.Active = true;
  Active.push_back(share);
}

void ShareOwner::release(ShareId share, Record &record, Instant now) {
  // End the lease locally before the store can process the release.
  record.Lease.Until = Instant::min();
  record.NextCall = NeverInstant;
  call(ShareCallKind::Release, share, record, now);
}

void ShareOwner::call(ShareCallKind kind, ShareId share, Record &record,
                      Instant now) {
  record.Serial = ++LastSerial;
  record.Kind = kind;
  record.SentAt = now;
  Calls.push_back(
      {kind, share, Init.Owner, record.Lease.Epoch, record.Serial, Init.Term});
}

void ShareOwner::onReply(const ShareReply &reply, Instant now) {
  if (reply.Share.Partition >= Init.Partitions ||
      reply.Share.Share >= Init.Shares)
    return;
  Record &record = at(reply.Share);
  if (record.Serial == 0 || reply.Serial != record.Serial)
    return;
  record.Serial = 0;
  if (record.Kind == ShareCallKind::Release)
    return;
  if (!reply.Applied) {
    record.Lease.Until = Instant::min();
    record.NextCall = now + Init.RetryInterval;
    return;
  }
  if (!record.Wanted) {
    // The store is reachable, so releasing now does not orphan the share.
    record.Lease.Epoch = reply.Epoch;
    return release(reply.Share, record, now);
  }
  // A lease that had expired on this clock starts anew even if there was no
  // other owner in between: its tokens may have been discarded.
  bool fresh = reply.Epoch != record.Lease.Epoch || record.Lease.Until <= now;
  record.Lease.Epoch = reply.Epoch;
  // The lease at the store starts when the call is applied, not before it was
  // sent.
  record.Lease.Until =
      record.SentAt + reducedForDrift(Init.Term, 2 * Init.DriftPpm);
  if (fresh)
    record.Lease.From =
        now + extendedForDrift(Init.MaxGrantLifetime, 2 * Init.DriftPpm);
  record.NextCall = record.SentAt + Init.RenewInterval;
}

void ShareOwner::advance(Instant now) {
  for (ShareId share : Active) {
    Record &record = at(share);
    if (now < record.NextCall)
      continue;
    bool leased = now < record.Lease.Until;
    if (!leased && !record.Wanted)
      continue;
    call(leased ? ShareCallKind::Renew : ShareCallKind::Claim, share, record,
         now);
    record.NextCall = now + Init.RetryInterval;
  }
  std::erase_if(Active, [&](ShareId share) {
    Record &record = at(share);
    bool done = !record.Wanted && now >= record.Lease.Until;
    record.Active = !done;
    return done;
  });
}

std::optional<ShareLease> ShareOwner::activeLease(ShareId share,
                                                  Instant now) const {
  const Record &record = Records[share.Partition * Init.Shares + share.Share];
  if (now < record.Lease.From || now >= record.Lease.Until)
    return std::nullopt;
  return record.Lease;
}

Instant ShareOwner::nextWake() const {
  Instant wake = NeverInstant;
  for (ShareId it : Active) {
    const Record &record = Records[it.Partition * Init.Shares + it.Share];
    wake = std::min(wake, record.NextCall);
  }
  return wake;
}

} // namespace guavasail
