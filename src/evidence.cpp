#include "evidence.h"

#include "rendezvous.h"

#include <algorithm>
#include <cmath>
#include <numeric>

namespace guavasail {

namespace {

constexpr float FirstBucketMicros = 1000;
constexpr float BucketsPerOctave = 2;
constexpr uint64_t InstanceKeySeed = 0x696e7374;
constexpr uint64_t ServiceKeySeed = 0x73657276;

constexpr std::array<uint8_t, 5> CellOfOutcome = {0, CellError, CellFault,
                                                  CellTimeout, CellUnreachable};

} // namespace

uint8_t latencyBucket(Duration latency) {
  auto micros = static_cast<float>(latency.count());
  if (micros <= FirstBucketMicros)
    return 0;
  float octaves = std::log2(micros / FirstBucketMicros);
  auto bucket = static_cast<uint32_t>(octaves * BucketsPerOctave);
  return static_cast<uint8_t>(std::min(bucket, NumLatencyBuckets - 1));
}

Duration bucketStart(uint32_t bucket) {
  if (bucket == 0)
    return Duration::zero();
  float octaves = static_cast<float>(bucket) / BucketsPerOctave;
  return Duration(static_cast<int64_t>(FirstBucketMicros * std::exp2(octaves)));
}

uint8_t evidenceCell(OutcomeKind kind, Duration latency) {
  if (kind == OutcomeKind::Ok)
    return latencyBucket(latency);
  return CellOfOutcome[static_cast<size_t>(kind)];
}

uint32_t instanceKey(std::string_view name) {
  return static_cast<uint32_t>(rendezvousKey(name, InstanceKeySeed));
}

uint64_t serviceKey(std::string_view name) {
  return rendezvousKey(name, ServiceKeySeed);
}

void LatencyHistogram::decay(float factor) {
  for (float &count : Counts)
    count *= factor;
}

float LatencyHistogram::total() const {
  return std::accumulate(Counts.begin(), Counts.end(), 0.0F);
}

uint32_t LatencyHistogram::quantileBucket(float quantile) const {
  float wanted = total() * quantile;
  float sum = 0;
  for (uint32_t n = 0; n < NumLatencyBuckets; ++n) {
    sum += Counts[n];
    if (sum >= wanted)
      return n;
  }
  return NumLatencyBuckets - 1;
}

void EvidenceCollector::resize(size_t count) {
  Counts.resize(count);
  IsDirty.resize(count);
  Dirty.reserve(count);
}

void EvidenceCollector::add(InstanceHandle instance, uint8_t cell) {
  ++Counts[instance.Value][cell];
  if (IsDirty[instance.Value])
    return;
  IsDirty[instance.Value] = true;
  Dirty.push_back(instance);
}

bool EvidenceCollector::remove(InstanceHandle instance, uint8_t cell) {
  uint16_t &count = Counts[instance.Value][cell];
  if (count == 0)
    return false;
  --count;
  return true;
}

void EvidenceCollector::clear() {
  for (InstanceHandle it : Dirty) {
    Counts[it.Value] = {};
    IsDirty[it.Value] = false;
  }
  Dirty.clear();
}

TrackedAttempt &AttemptTracker::entryFor(AttemptHandle attempt) {
  size_t index = slotIndex(attempt);
  if (Items.size() <= index)
    Items.resize(index + 1);
  return Items[index];
}

TrackedAttempt *AttemptTracker::find(AttemptHandle attempt) {
  size_t index = slotIndex(attempt);
  if (index >= Items.size())
    return nullptr;
  TrackedAttempt &item = Items[index];
  return item.Live && item.Attempt == attempt ? &item : nullptr;
}

} // namespace guavasail
